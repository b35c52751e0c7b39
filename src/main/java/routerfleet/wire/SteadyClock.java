package routerfleet.wire;

import java.time.Duration;
import java.time.Instant;

/** The steady clock as points in time: not the time of day, and never set. */
public final class SteadyClock {
    private SteadyClock() { }

    /** Now, counted from an arbitrary point that is the same for the whole process. */
    public static Instant now() {
        return Instant.EPOCH.plusNanos(System.nanoTime());
    }

    /** Milliseconds on the steady clock. */
    public static long millis() {
        return Duration.ofNanos(System.nanoTime()).toMillis();
    }
}
