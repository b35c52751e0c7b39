package rowanplank.net;

import java.time.Duration;
import java.time.Instant;

/**
 * The node's clock: Unix time that never goes back. It is anchored to the system's clock once and runs on the
 * monotonic one from there, so that a step of the system's clock moves no deadline.
 */
public final class Clock {
    private final Instant anchor = Instant.now();
    private final long anchorNanos = System.nanoTime();

    public Instant now() {
        return anchor.plusNanos(System.nanoTime() - anchorNanos);
    }

    /** A span as the module's interface wants it. */
    public static double millis(Duration span) {
        return span.getSeconds() * 1e3 + span.getNano() / 1e6;
    }

    /** A moment as the module's interface wants it: Unix time in milliseconds. */
    public static double millis(Instant moment) {
        return moment.getEpochSecond() * 1e3 + moment.getNano() / 1e6;
    }

    /** A span in the module's milliseconds; what is no sensible number becomes zero. */
    public static Duration span(double millis) {
        return Duration.ofNanos((long) (Math.min(Math.max(0, millis), 1e9) * 1e6));
    }
}
