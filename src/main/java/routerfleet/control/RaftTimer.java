package routerfleet.control;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import routerfleet.wire.Scheduler;

/**
 * Runs a replica's Raft timer task when it is due. Of several scheduled times the earliest wins. Not thread-safe.
 */
final class RaftTimer {
    private final Scheduler scheduler;
    private final Runnable task;
    /** When the task is due; null while nothing is scheduled. */
    private Instant wakeAt;

    RaftTimer(Scheduler scheduler, Runnable task) {
        this.scheduler = scheduler;
        this.task = task;
    }

    /** Schedules the task unless an earlier or equal time is scheduled already. @param due null to schedule nothing */
    void schedule(Instant due) {
        if (due == null || wakeAt != null && !wakeAt.isAfter(due)) {
            return;
        }
        wakeAt = due;
        long delay = Math.max(0, Duration.between(scheduler.now(), due).toNanos());
        scheduler.schedule(() -> wake(due), delay, TimeUnit.NANOSECONDS);
    }

    private void wake(Instant due) {
        if (due.equals(wakeAt)) {
            wakeAt = null;
            task.run();
        }
    }
}
