package routerfleet.soak;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import routerfleet.settings.HostPort;
import routerfleet.settings.LocalSettings;

/** A node of the fleet that runs as a process of its own, is sent signals and is started again after its end. */
final class FleetProcess implements AutoCloseable {
    /** Value of {@link Life#termNanos} while the process has not been sent SIGTERM. */
    static final long NEVER = Long.MIN_VALUE;

    /** One life of the process, from its start to its end. */
    static final class Life {
        private final Process process;
        private volatile long termNanos;
        private volatile boolean ending;

        Life(Process process, long termNanos) {
            this.process = process;
            this.termNanos = termNanos;
        }

        /** Whether its end has been arranged. */
        boolean isEnding() {
            return ending;
        }

        void markEnding() {
            ending = true;
        }

        /** When it was first sent SIGTERM; {@link #NEVER} if it was not. */
        long termNanos() {
            return termNanos;
        }
    }

    private final List<String> command;
    private final String name;
    private final HostPort address;
    private final Path settings;
    private final File log;
    private final List<Life> lives = new ArrayList<>();

    /**
     * @param command starts it, word by word
     * @param address where clients, or servers and operators, reach it
     * @param settings its settings file, which exists
     */
    FleetProcess(List<String> command, String name, HostPort address, Path settings) {
        this.command = command;
        this.name = name;
        this.address = address;
        this.settings = settings;
        log = settings.resolveSibling(name + ".log").toFile();
    }

    HostPort address() {
        return address;
    }

    String name() {
        return name;
    }

    Path settings() {
        return settings;
    }

    synchronized void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        builder.environment().put(LocalSettings.VARIABLE, settings.toString());
        lives.add(new Life(builder.start(), NEVER));
    }

    /** The current life. */
    synchronized Life life() {
        return lives.get(lives.size() - 1);
    }

    /** Sends SIGTERM, again if it was sent before. */
    synchronized void terminate() {
        Life life = life();
        if (life.termNanos == NEVER) {
            life.termNanos = System.nanoTime();
        }
        life.process.toHandle().destroy();
    }

    void hangUp() throws IOException, InterruptedException {
        signal("HUP");
    }

    /** Suspends the process until {@link #resume}. */
    void suspend() throws IOException, InterruptedException {
        signal("STOP");
    }

    void resume() throws IOException, InterruptedException {
        signal("CONT");
    }

    private void signal(String name) throws IOException, InterruptedException {
        if (life().process.isAlive()) {
            new ProcessBuilder("kill", "-" + name, Long.toString(life().process.pid()))
                    .redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD).start().waitFor();
        }
    }

    /** Waits for its end after SIGTERM, kills it once the grace period is over, and starts it again. */
    void restartAfterEnd(long graceMs) throws IOException, InterruptedException {
        Life life = life();
        long leftMs = graceMs - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - life.termNanos);
        if (!life.process.waitFor(Math.max(0, leftMs), TimeUnit.MILLISECONDS)) {
            life.process.destroyForcibly().waitFor();
        }
        start();
    }

    /** Lets its next start be another than the first one of the whole system. */
    void setStartedBefore() throws IOException {
        Files.writeString(settings, Files.readString(settings).replace("bootstrap=true", "bootstrap=false"));
    }

    /** Kills it without a warning, and waits for its end. */
    void kill() throws InterruptedException {
        life().process.destroyForcibly().waitFor();
    }

    /** Kills it without a warning, waits for its end, and starts it again after a pause. */
    void restartAfterKill(long pauseMs) throws IOException, InterruptedException {
        kill();
        Thread.sleep(pauseMs);
        start();
    }

    /** Processor time of the current life, in milliseconds; 0 where the system does not tell. */
    long processorMs() {
        return life().process.info().totalCpuDuration().map(Duration::toMillis).orElse(0L);
    }

    /** What all lives have written. */
    List<String> log() throws IOException {
        return log.exists() ? Files.readAllLines(log.toPath()) : List.of();
    }

    @Override
    public synchronized void close() {
        for (Life life : lives) {
            life.process.destroyForcibly().onExit().join();
        }
    }
}
