package routerfleet.log;

import java.util.function.Consumer;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.net.Clock;

/**
 * Writes events, one a line, no more than a few a second. The node's own loggers write from INFO on, those of
 * libraries from WARNING on.
 */
final class StandardErrorLog {
    private static final String OWN = "routerfleet";

    private final RateLimitedLog limit;

    /** @param out takes each line */
    StandardErrorLog(Consumer<String> out, Clock clock) {
        limit = new RateLimitedLog(clock, (warning, line, cause) -> out.accept(LogLine.at(clock.now(), line)));
    }

    boolean isLoggable(String logger, System.Logger.Level level) {
        System.Logger.Level least = logger.startsWith(OWN) ? System.Logger.Level.INFO : System.Logger.Level.WARNING;
        return level != System.Logger.Level.OFF && level.getSeverity() >= least.getSeverity();
    }

    void write(String logger, System.Logger.Level level, String message, Throwable cause) {
        if (isLoggable(logger, level)) {
            limit.warn(LogLine.event(level, logger, message, cause));
        }
    }
}
