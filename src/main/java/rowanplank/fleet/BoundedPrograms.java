package rowanplank.fleet;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.IntConsumer;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.net.Loop;
import rowanplank.net.Programs;

/** Starts programs with a time limit: each is asked to stop shortly before its limit, and killed when it is reached. */
final class BoundedPrograms {
    /** A program is asked to stop when one part in this many of its time limit is left. */
    private static final int STOP_FRACTION = 5;

    private final Loop loop;
    private final Programs programs;
    private final RateLimitedLog log;

    BoundedPrograms(Loop loop, Programs programs, RateLimitedLog log) {
        this.loop = loop;
        this.programs = programs;
        this.log = log;
    }

    /** A program that has been started or is being started. */
    private static final class Run {
        private Programs.Running running;
        private boolean over;
    }

    /**
     * Starts a program.
     *
     * @param what its name in the log
     * @param longest its time limit
     * @param ended receives the exit status, once
     * @throws IOException if it cannot be started
     */
    Programs.Running start(String what, List<String> command, Map<String, String> environment, Duration longest,
            IntConsumer ended) throws IOException {
        Run run = new Run();
        run.running = programs.start(command, environment, status -> {
            run.over = true;
            if (status != 0) {
                log.warn(what + " ended with status " + status);
            }
            ended.accept(status);
        });
        loop.schedule(longest.minus(longest.dividedBy(STOP_FRACTION)), () -> {
            if (!run.over) {
                run.running.stop();
            }
        });
        loop.schedule(longest, () -> {
            if (!run.over) {
                log.warn(what + " exceeded its time limit and is killed");
                run.running.kill();
            }
        });
        return run.running;
    }
}
