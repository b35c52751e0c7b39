package rowanplank.fleet;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.IntConsumer;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.net.Loop;
import rowanplank.net.Programs;

/** Programs that may take so long at the most: each is asked to end a little before that, and ended outright at it. */
final class BoundedPrograms {
    /** Of its longest time, a program is asked to end when so much is left, one part in so many. */
    private static final int STOP_FRACTION = 5;

    private final Loop loop;
    private final Programs programs;
    private final RateLimitedLog log;

    BoundedPrograms(Loop loop, Programs programs, RateLimitedLog log) {
        this.loop = loop;
        this.programs = programs;
        this.log = log;
    }

    /** A program that was started, or is just being started. */
    private static final class Run {
        private Programs.Running running;
        private boolean over;
    }

    /**
     * @param what the log calls it
     * @param ended told the exit status, once
     * @throws IOException if it can't be started
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
                log.warn(what + " took longer than it may, and is ended");
                run.running.kill();
            }
        });
        return run.running;
    }
}
