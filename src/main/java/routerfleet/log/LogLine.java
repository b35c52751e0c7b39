package routerfleet.log;

import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneOffset;

/** The text of one event. Made without formatters of the platform, whose first use would cost each start some 30 ms. */
final class LogLine {
    private static final int NANOS_IN_MS = 1_000_000;

    private LogLine() { }

    /** Level, logger and message; the cause, if any, behind it. */
    static String event(System.Logger.Level level, String logger, String message, Throwable cause) {
        String event = level + " " + logger + ": " + message;
        return cause == null ? event : event + ": " + cause;
    }

    /** What is told, behind the time (UTC, ISO 8601 with milliseconds). */
    static String at(Instant time, String told) {
        StringBuilder line = new StringBuilder();
        appendTime(line, time);
        return line.append(' ').append(told).toString();
    }

    private static void appendTime(StringBuilder line, Instant time) {
        LocalDateTime utc = LocalDateTime.ofEpochSecond(time.getEpochSecond(), time.getNano(), ZoneOffset.UTC);
        line.append(utc.toLocalDate()).append('T');
        appendNumber(line, utc.getHour(), 2);
        line.append(':');
        appendNumber(line, utc.getMinute(), 2);
        line.append(':');
        appendNumber(line, utc.getSecond(), 2);
        line.append('.');
        appendNumber(line, utc.getNano() / NANOS_IN_MS, 3);
        line.append('Z');
    }

    private static void appendNumber(StringBuilder line, int number, int digits) {
        String text = Integer.toString(number);
        for (int i = text.length(); i < digits; i++) {
            line.append('0');
        }
        line.append(text);
    }
}
