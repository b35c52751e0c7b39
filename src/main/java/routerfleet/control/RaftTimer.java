package routerfleet.control;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import routerfleet.wire.Scheduler;

/** Wakes a replica's agreement when it is due; the earliest of the times that it was set to counts. For one thread. */
final class RaftTimer {
    private final Scheduler scheduler;
    private final Runnable task;
    /** When it is to wake; null where it is not set. */
    private Instant at;

    RaftTimer(Scheduler scheduler, Runnable task) {
        this.scheduler = scheduler;
        this.task = task;
    }

    /** @param due null for never */
    void schedule(Instant due) {
        if (due == null || at != null && !at.isAfter(due)) {
            return;
        }
        at = due;
        long delay = Math.max(0, Duration.between(scheduler.now(), due).toNanos());
        scheduler.schedule(() -> wake(due), delay, TimeUnit.NANOSECONDS);
    }

    private void wake(Instant due) {
        if (due.equals(at)) {
            at = null;
            task.run();
        }
    }
}
