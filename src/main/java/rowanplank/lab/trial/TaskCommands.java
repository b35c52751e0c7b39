package rowanplank.lab.trial;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import rowanplank.net.ChildProcesses;

/**
 * The processes that the nodes of a trial started for their tasks and that may outlive a killed node. The trial has ended
 * only when they have: {@link #close} ends those that are left. May be used from any thread.
 */
final class TaskCommands implements AutoCloseable {
    private static final Duration ENDS_WITHIN = Duration.ofSeconds(5);

    private final Map<Long, ProcessHandle> running = new ConcurrentSkipListMap<>();

    /** A command said that it runs, under this process id. */
    void began(long pid) {
        running.values().removeIf(process -> !process.isAlive());
        ProcessHandle.of(pid).ifPresent(process -> running.put(pid, process));
    }

    /** Kills those that still run and waits for their end, 5 s at the most. */
    @Override
    public void close() {
        ChildProcesses.killAndAwait(running.values(), ENDS_WITHIN);
    }
}
