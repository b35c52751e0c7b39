package routerfleet.wire;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import routerfleet.log.Loggers;

/**
 * The one thread on which a node's state changes, and its steady clock: an event loop ({@link EventLoopScheduler}), or
 * virtual time in a simulation.
 */
public interface Scheduler extends Executor {
    /** A task that has been planned. */
    interface Planned {
        /** Takes it back, if it has not begun. */
        void cancel();
    }

    /** The steady clock in nanoseconds, counted from an arbitrary point; never set, never the time of day. */
    long nanoTime();

    /** Runs a task once, after a delay. */
    Planned schedule(Runnable task, long delay, TimeUnit unit);

    /** The steady clock as a point in time. */
    default Instant now() {
        return Instant.EPOCH.plusNanos(nanoTime());
    }

    /** The steady clock in milliseconds. */
    default long millis() {
        return Duration.ofNanos(nanoTime()).toMillis();
    }

    /** Runs a task again and again, with a pause between runs; one that fails is told and goes on. */
    default void every(long periodMs, Runnable task) {
        schedule(() -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                Loggers.get("routerfleet.wire").log(System.Logger.Level.ERROR, "a regular task failed", e);
            }
            every(periodMs, task);
        }, periodMs, TimeUnit.MILLISECONDS);
    }
}
