package routerfleet.log;

import io.netty.util.internal.logging.InternalLoggerFactory;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.Marker;
import org.slf4j.event.Level;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.helpers.LegacyAbstractLogger;
import org.slf4j.helpers.MessageFormatter;
import org.slf4j.helpers.NOPMDCAdapter;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/** Takes what libraries log by SLF4J into the process's own log. */
public final class LibraryLoggers implements SLF4JServiceProvider {
    private static final String API_VERSION = "2.0.99";

    private final IMarkerFactory markers = new BasicMarkerFactory();
    private final MDCAdapter context = new NOPMDCAdapter();

    /** Has the fleet's classes and libraries log here from now on; to be called before the first of them is used. */
    public static void use() {
        Loggers.ownProcess();
        InternalLoggerFactory.setDefaultFactory(new NettyLoggers());
        System.setProperty("slf4j.provider", LibraryLoggers.class.getName());
        System.setProperty("slf4j.internal.verbosity", "WARN");
        System.setProperty("org.jboss.logging.provider", "slf4j");
    }

    @Override
    public void initialize() { }

    @Override
    public ILoggerFactory getLoggerFactory() {
        return LibraryLogger::new;
    }

    @Override
    public IMarkerFactory getMarkerFactory() {
        return markers;
    }

    @Override
    public MDCAdapter getMDCAdapter() {
        return context;
    }

    @Override
    public String getRequestedApiVersion() {
        return API_VERSION;
    }

    /** A library's logger. */
    private static final class LibraryLogger extends LegacyAbstractLogger {
        private static final long serialVersionUID = 1;

        LibraryLogger(String name) {
            this.name = name;
        }

        private static System.Logger.Level levelOf(Level level) {
            return switch (level) {
                case ERROR -> System.Logger.Level.ERROR;
                case WARN -> System.Logger.Level.WARNING;
                case INFO -> System.Logger.Level.INFO;
                case DEBUG -> System.Logger.Level.DEBUG;
                case TRACE -> System.Logger.Level.TRACE;
            };
        }

        private boolean isLoggable(System.Logger.Level level) {
            return FleetLoggerFinder.log().isLoggable(name, level);
        }

        @Override
        protected String getFullyQualifiedCallerName() {
            return null;
        }

        @Override
        protected void handleNormalizedLoggingCall(Level level, Marker marker, String pattern, Object[] arguments,
                Throwable cause) {
            FleetLoggerFinder.log().write(name, levelOf(level),
                    MessageFormatter.basicArrayFormat(pattern, arguments), cause);
        }

        @Override
        public boolean isTraceEnabled() {
            return isLoggable(System.Logger.Level.TRACE);
        }

        @Override
        public boolean isDebugEnabled() {
            return isLoggable(System.Logger.Level.DEBUG);
        }

        @Override
        public boolean isInfoEnabled() {
            return isLoggable(System.Logger.Level.INFO);
        }

        @Override
        public boolean isWarnEnabled() {
            return isLoggable(System.Logger.Level.WARNING);
        }

        @Override
        public boolean isErrorEnabled() {
            return isLoggable(System.Logger.Level.ERROR);
        }
    }
}
