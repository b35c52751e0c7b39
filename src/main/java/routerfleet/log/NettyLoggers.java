package routerfleet.log;

import io.netty.util.internal.logging.AbstractInternalLogger;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import org.slf4j.helpers.MessageFormatter;

/**
 * Takes what Netty logs into the process's own log. Netty would look for a logging library by itself, which costs each
 * start some milliseconds of processor time.
 */
final class NettyLoggers extends InternalLoggerFactory {
    @Override
    protected InternalLogger newInstance(String name) {
        return new NettyLogger(name);
    }

    /** One of Netty's loggers. */
    private static final class NettyLogger extends AbstractInternalLogger {
        private static final long serialVersionUID = 1;

        NettyLogger(String name) {
            super(name);
        }

        private boolean isLoggable(System.Logger.Level level) {
            return FleetLoggerFinder.log().isLoggable(name(), level);
        }

        private void write(System.Logger.Level level, String message, Throwable cause) {
            FleetLoggerFinder.log().write(name(), level, message, cause);
        }

        /** @param arguments for the pattern's places, and maybe a cause behind them */
        private void format(System.Logger.Level level, String pattern, Object... arguments) {
            if (isLoggable(level)) {
                write(level, MessageFormatter.basicArrayFormat(pattern, arguments),
                        MessageFormatter.getThrowableCandidate(arguments));
            }
        }

        @Override
        public boolean isTraceEnabled() {
            return isLoggable(System.Logger.Level.TRACE);
        }

        @Override
        public void trace(String message) {
            write(System.Logger.Level.TRACE, message, null);
        }

        @Override
        public void trace(String message, Throwable cause) {
            write(System.Logger.Level.TRACE, message, cause);
        }

        @Override
        public void trace(String pattern, Object argument) {
            format(System.Logger.Level.TRACE, pattern, argument);
        }

        @Override
        public void trace(String pattern, Object first, Object second) {
            format(System.Logger.Level.TRACE, pattern, first, second);
        }

        @Override
        public void trace(String pattern, Object... arguments) {
            format(System.Logger.Level.TRACE, pattern, arguments);
        }

        @Override
        public boolean isDebugEnabled() {
            return isLoggable(System.Logger.Level.DEBUG);
        }

        @Override
        public void debug(String message) {
            write(System.Logger.Level.DEBUG, message, null);
        }

        @Override
        public void debug(String message, Throwable cause) {
            write(System.Logger.Level.DEBUG, message, cause);
        }

        @Override
        public void debug(String pattern, Object argument) {
            format(System.Logger.Level.DEBUG, pattern, argument);
        }

        @Override
        public void debug(String pattern, Object first, Object second) {
            format(System.Logger.Level.DEBUG, pattern, first, second);
        }

        @Override
        public void debug(String pattern, Object... arguments) {
            format(System.Logger.Level.DEBUG, pattern, arguments);
        }

        @Override
        public boolean isInfoEnabled() {
            return isLoggable(System.Logger.Level.INFO);
        }

        @Override
        public void info(String message) {
            write(System.Logger.Level.INFO, message, null);
        }

        @Override
        public void info(String message, Throwable cause) {
            write(System.Logger.Level.INFO, message, cause);
        }

        @Override
        public void info(String pattern, Object argument) {
            format(System.Logger.Level.INFO, pattern, argument);
        }

        @Override
        public void info(String pattern, Object first, Object second) {
            format(System.Logger.Level.INFO, pattern, first, second);
        }

        @Override
        public void info(String pattern, Object... arguments) {
            format(System.Logger.Level.INFO, pattern, arguments);
        }

        @Override
        public boolean isWarnEnabled() {
            return isLoggable(System.Logger.Level.WARNING);
        }

        @Override
        public void warn(String message) {
            write(System.Logger.Level.WARNING, message, null);
        }

        @Override
        public void warn(String message, Throwable cause) {
            write(System.Logger.Level.WARNING, message, cause);
        }

        @Override
        public void warn(String pattern, Object argument) {
            format(System.Logger.Level.WARNING, pattern, argument);
        }

        @Override
        public void warn(String pattern, Object first, Object second) {
            format(System.Logger.Level.WARNING, pattern, first, second);
        }

        @Override
        public void warn(String pattern, Object... arguments) {
            format(System.Logger.Level.WARNING, pattern, arguments);
        }

        @Override
        public boolean isErrorEnabled() {
            return isLoggable(System.Logger.Level.ERROR);
        }

        @Override
        public void error(String message) {
            write(System.Logger.Level.ERROR, message, null);
        }

        @Override
        public void error(String message, Throwable cause) {
            write(System.Logger.Level.ERROR, message, cause);
        }

        @Override
        public void error(String pattern, Object argument) {
            format(System.Logger.Level.ERROR, pattern, argument);
        }

        @Override
        public void error(String pattern, Object first, Object second) {
            format(System.Logger.Level.ERROR, pattern, first, second);
        }

        @Override
        public void error(String pattern, Object... arguments) {
            format(System.Logger.Level.ERROR, pattern, arguments);
        }
    }
}
