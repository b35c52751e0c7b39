package rowanplank.net;

import java.time.Duration;
import java.time.Instant;

/** A node's clock: Unix time that never goes back. */
public interface Clock {
    Instant now();

    /** A span as the module's interface wants it. */
    static double millis(Duration span) {
        return span.getSeconds() * 1e3 + span.getNano() / 1e6;
    }

    /** A moment as the module's interface wants it: Unix time in milliseconds. */
    static double millis(Instant moment) {
        return moment.getEpochSecond() * 1e3 + moment.getNano() / 1e6;
    }

    /** A span in the module's milliseconds; what is no sensible number becomes zero. */
    static Duration span(double millis) {
        return Duration.ofNanos((long) (Math.min(Math.max(0, millis), 1e9) * 1e6));
    }
}
