package rowanplank.cli;

import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.Marker;
import org.slf4j.event.Level;
import org.slf4j.helpers.LegacyAbstractLogger;
import org.slf4j.helpers.MessageFormatter;
import org.slf4j.simple.SimpleServiceProvider;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.net.Clock;
import rowanplank.net.SystemClock;

/**
 * Gives libraries loggers that keep to the bound of the node's own log. Guards against a library that warns at each turn
 * of the loop, with a stack trace, for as long as something lasts. What is below a warning is not written.
 */
public final class LimitedLoggers implements SLF4JServiceProvider {
    private final SimpleServiceProvider lines = new SimpleServiceProvider();
    private final Clock clock;
    private final RateLimitedLog.Sink sink;
    private ILoggerFactory loggers;

    /** Called by SLF4J, which is told of this class by its name. */
    public LimitedLoggers() {
        this(new SystemClock(), null);
    }

    /** @param sink where libraries' lines go; null for the process's own log */
    LimitedLoggers(Clock clock, RateLimitedLog.Sink sink) {
        this.clock = clock;
        this.sink = sink;
    }

    /** From now on; to be called before the first logger is asked for. */
    public static void use() {
        System.setProperty("slf4j.provider", LimitedLoggers.class.getName());
        System.setProperty("slf4j.internal.verbosity", "WARN"); // else it tells of this each time, on standard error
    }

    @Override
    public void initialize() {
        lines.initialize();
        ILoggerFactory all = lines.getLoggerFactory();
        RateLimitedLog limited = new RateLimitedLog(clock, sink != null ? sink
                : (warning, line, cause) -> all.getLogger("library").warn(line, cause));
        // The node's own lines are counted where they are written.
        loggers = name -> name.equals(RateLimitedLog.NAME) ? all.getLogger(name) : new Limited(name, limited);
    }

    /** A library's logger. */
    private static final class Limited extends LegacyAbstractLogger {
        private static final long serialVersionUID = 1;
        private final transient RateLimitedLog log;

        Limited(String name, RateLimitedLog log) {
            this.name = name;
            this.log = log;
        }

        @Override
        public boolean isTraceEnabled() {
            return false;
        }

        @Override
        public boolean isDebugEnabled() {
            return false;
        }

        @Override
        public boolean isInfoEnabled() {
            return false;
        }

        @Override
        public boolean isWarnEnabled() {
            return true;
        }

        @Override
        public boolean isErrorEnabled() {
            return true;
        }

        @Override
        protected String getFullyQualifiedCallerName() {
            return null;
        }

        @Override
        protected void handleNormalizedLoggingCall(Level level, Marker marker, String text, Object[] arguments,
                Throwable cause) {
            log.warn(name + ": " + MessageFormatter.basicArrayFormat(text, arguments), cause);
        }
    }

    @Override
    public ILoggerFactory getLoggerFactory() {
        return loggers;
    }

    @Override
    public IMarkerFactory getMarkerFactory() {
        return lines.getMarkerFactory();
    }

    @Override
    public MDCAdapter getMDCAdapter() {
        return lines.getMDCAdapter();
    }

    @Override
    public String getRequestedApiVersion() {
        return lines.getRequestedApiVersion();
    }
}
