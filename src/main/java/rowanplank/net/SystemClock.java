package rowanplank.net;

import java.time.Instant;

/**
 * The machine's clock. It is anchored to the system's clock once and runs on the monotonic one from there, so that a
 * step of the system's clock moves no deadline.
 */
public final class SystemClock implements Clock {
    private final Instant anchor = Instant.now();
    private final long anchorNanos = System.nanoTime();

    @Override
    public Instant now() {
        return anchor.plusNanos(System.nanoTime() - anchorNanos);
    }
}
