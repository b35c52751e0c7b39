package rowanplank.net;

import java.time.Duration;
import java.time.Instant;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The node's log. Guards against a flood: whatever clients, page servers or discovery do, no more than a few lines a
 * second are written, and how many were left out is said.
 */
public final class RateLimitedLog {
    private static final double LINES_A_SECOND = 5;
    private static final double BURST = 100;

    private final Logger logger = LoggerFactory.getLogger("rowanplank");
    private final Clock clock;
    private double allowance = BURST;
    private Instant at;
    private long left;

    public RateLimitedLog(Clock clock) {
        this.clock = clock;
        at = clock.now();
    }

    public void info(String line) {
        if (mayWrite()) {
            logger.info(line);
        }
    }

    public void warn(String line) {
        if (mayWrite()) {
            logger.warn(line);
        }
    }

    public void warn(String line, Throwable cause) {
        if (mayWrite()) {
            logger.warn(line, cause);
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
            logger.warn("{} log lines left out", left);
            left = 0;
        }
        return true;
    }
}
