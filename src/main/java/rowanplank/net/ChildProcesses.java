package rowanplank.net;

import java.io.File;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.IntConsumer;

/**
 * Processes that this one starts, and that end with it: {@link #close} ends those that are left. Each has a pipe from
 * this process as its standard input; the system closes it whatever way this process ends, and the child that reads
 * there has to take that for its end. May be used from any thread.
 */
public final class ChildProcesses implements AutoCloseable {
    private static final Duration ENDS_WITHIN = Duration.ofSeconds(5);

    /** One of them. */
    public static final class Child {
        private final Process process;
        /** Kept, so that the pipes that end with this process do not end before it. */
        private final Set<Process> helpers = ConcurrentHashMap.newKeySet();

        private Child(Process process) {
            this.process = process;
        }

        public long pid() {
            return process.pid();
        }

        /** How much processor time it has used; zero where the system does not tell. */
        public Duration processorTime() {
            return process.toHandle().info().totalCpuDuration().orElse(Duration.ZERO);
        }

        public boolean isAlive() {
            return process.isAlive();
        }

        /** Asks it to end (SIGTERM). */
        public void stop() {
            process.destroy();
        }

        /**
         * Has it stand still (SIGSTOP) from soon on, for so long, or until this process ends: one that stands still
         * can't see that its input has ended. A helper that outlives this process sees to it that it goes on, whatever
         * becomes of this process.
         */
        public void stall(Duration length) throws IOException {
            String pid = Long.toString(process.pid());
            Process helper = new ProcessBuilder("sh", "-c", "kill -STOP " + pid + "; timeout " + length.toMillis() / 1000.0
                    + " cat; kill -CONT " + pid).redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
            helpers.add(helper);
            helper.onExit().thenAccept(helpers::remove);
        }

        /** Tells it to read its configuration anew (SIGHUP). */
        public void hangUp() throws IOException {
            new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
        }

        /** Ends it outright (SIGKILL). */
        public void kill() {
            process.destroyForcibly();
        }
    }

    private final List<Child> children = new ArrayList<>();
    private boolean closed;

    /**
     * @param environment put over this process's own
     * @param log where its standard output and error go, behind what is there
     * @param ended told the exit status, on a thread of the system's
     * @throws IOException if it can't be started, or all are to end
     */
    public synchronized Child start(List<String> command, Map<String, String> environment, String log,
            IntConsumer ended) throws IOException {
        if (closed) {
            throw new IOException("no process is started any more");
        }
        children.removeIf(c -> !c.isAlive());
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(new File(log)));
        builder.environment().putAll(environment);
        Child child = new Child(builder.start());
        children.add(child);
        child.process.onExit().thenAccept(p -> ended.accept(p.exitValue()));
        return child;
    }

    /** Ends all of them, and what they have started themselves, and starts no more. */
    @Override
    public void close() {
        List<ProcessHandle> left = new ArrayList<>();
        synchronized (this) {
            closed = true;
            for (Child child : children) {
                child.process.toHandle().descendants().forEach(left::add);
                left.add(child.process.toHandle());
            }
        }
        killAndAwait(left, ENDS_WITHIN);
    }

    /**
     * Kills these processes (SIGKILL) and waits for the ends of all.
     *
     * @param most how long it waits altogether
     * @return whether all have ended
     */
    public static boolean killAndAwait(Collection<ProcessHandle> processes, Duration most) {
        processes.forEach(ProcessHandle::destroyForcibly);
        CompletableFuture<?>[] ends = processes.stream().map(ProcessHandle::onExit).toArray(CompletableFuture[]::new);
        try {
            CompletableFuture.allOf(ends).get(most.toMillis(), TimeUnit.MILLISECONDS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        } catch (TimeoutException | ExecutionException e) {
            return false;
        }
    }

    /** How many have not ended. */
    public synchronized long alive() {
        return children.stream().filter(Child::isAlive).count();
    }
}
