package rowanplank.metrics;

import java.time.Duration;
import java.time.Instant;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rowanplank.net.Clock;

/**
 * The node's log. Guards against a flood: whatever clients, page servers or discovery do, no more than a few lines a
 * second are written, and how many were left out is said.
 */
public final class RateLimitedLog {
    /** The name under which the node's own lines are written; what libraries write has the same bound (cli). */
    public static final String NAME = "rowanplank";
    private static final double LINES_A_SECOND = 5;
    private static final double BURST = 100;

    /** Where lines go. */
    public interface Sink {
        /** @param cause what was thrown; null where nothing was */
        void write(boolean warning, String line, Throwable cause);

        /** The process's own log. */
        static Sink system() {
            Logger logger = LoggerFactory.getLogger(NAME);
            return (warning, line, cause) -> {
                if (warning) {
                    logger.warn(line, cause);
                } else {
                    logger.info(line);
                }
            };
        }
    }

    private final Clock clock;
    private final Sink sink;
    private double allowance = BURST;
    private Instant at;
    private long left;

    public RateLimitedLog(Clock clock, Sink sink) {
        this.clock = clock;
        this.sink = sink;
        at = clock.now();
    }

    public void info(String line) {
        if (mayWrite()) {
            sink.write(false, line, null);
        }
    }

    public void warn(String line) {
        warn(line, null);
    }

    public void warn(String line, Throwable cause) {
        if (mayWrite()) {
            sink.write(true, line, cause);
        }
    }

    private synchronized boolean mayWrite() {
        Instant now = clock.now();
        allowance = Math.min(BURST, allowance + Clock.millis(Duration.between(at, now)) / 1000 * LINES_A_SECOND);
        at = now;
        if (allowance < 1) {
            left++;
            return false;
        }
        allowance--;
        if (left > 0) {
            sink.write(true, left + " log lines left out", null);
            left = 0;
        }
        return true;
    }
}
