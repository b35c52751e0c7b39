package routerfleet.log;

import java.text.MessageFormat;
import java.util.ResourceBundle;
import rowanplank.net.SystemClock;

/** Gives out the loggers of {@link System#getLogger}; named in {@code META-INF/services}. */
public final class FleetLoggerFinder extends System.LoggerFinder {
    private static final StandardErrorLog LOG = new StandardErrorLog(line -> System.err.println(line), new SystemClock());

    /** The log of this process. */
    static StandardErrorLog log() {
        return LOG;
    }

    /** A logger that writes to it. */
    static System.Logger logger(String name) {
        return new FleetLogger(name);
    }

    @Override
    public System.Logger getLogger(String name, Module module) {
        return logger(name);
    }

    /** One name's logger. */
    private static final class FleetLogger implements System.Logger {
        private final String name;

        FleetLogger(String name) {
            this.name = name;
        }

        @Override
        public String getName() {
            return name;
        }

        @Override
        public boolean isLoggable(Level level) {
            return LOG.isLoggable(name, level);
        }

        @Override
        public void log(Level level, ResourceBundle bundle, String message, Throwable thrown) {
            LOG.write(name, level, message, thrown);
        }

        @Override
        public void log(Level level, ResourceBundle bundle, String format, Object... parameters) {
            if (isLoggable(level)) {
                boolean plain = parameters == null || parameters.length == 0;
                LOG.write(name, level, plain ? format : MessageFormat.format(format, parameters), null);
            }
        }
    }
}
