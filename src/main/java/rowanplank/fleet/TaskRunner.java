package rowanplank.fleet;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rowanplank.config.FleetConfig;
import rowanplank.ledger.LeaseHolder;
import rowanplank.ledger.Result;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.net.Loop;
import rowanplank.net.Programs;

/**
 * Runs the commands of tasks while this node holds their leases. A command is started only if it would end within the
 * lease, even if it needs its time limit and the node stalls for as long as it may; it is asked to stop, then killed,
 * when its time limit is over. Its environment has {@code FLEET_NODE}, {@code FLEET_TASK}, {@code FLEET_LEASE}, {@code
 * FLEET_FENCE}, the time limit in {@code FLEET_LONGEST_MS}, the wall clock time of its end in ms since 1970 in {@code
 * FLEET_END_MS}, and for a task that runs once per period the number of the period in {@code FLEET_PERIOD}. Such a run
 * is claimed in the ledger before it starts: it runs once or, if its node fails in between, not at all, and a failed
 * run is not repeated in that period.
 *
 * <p>At most one run of a task is active on this node; failures are logged, and the task is started again when it is
 * next due.
 */
final class TaskRunner {
    /** When to retry a claim that could not be requested. */
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(250);

    private final class Job {
        final FleetConfig.Task task;
        Instant nextStart;
        /**
         * For a task that runs once per period: the period whose run this node has claimed, and the last period whose
         * run is over.
         */
        long claimedPeriod = -1;
        long lastPeriodDone = -1;
        boolean claiming;
        /**
         * Whether the task is no longer configured but its last run has not ended. No task of the same name starts
         * before it has.
         */
        boolean removed;
        /** Whether the task waits for its lease to be granted again. */
        boolean paused;
        Programs.Running running;
        /** Run when the current run has ended; until then no run is started. Null if nobody waits for that. */
        Runnable whenOver;

        Job(FleetConfig.Task task) {
            this.task = task;
        }
    }

    private final String node;
    private final Loop loop;
    private final BoundedPrograms programs;
    private final RateLimitedLog log;
    private final FleetComponents components;
    private final LeaseHolder holder;
    private final Runnable changed;
    private final List<Job> jobs = new ArrayList<>();
    private long startCount;
    private long successCount;
    private Runnable whenFinished;

    /**
     * Creates a runner for the configured tasks.
     *
     * @param changed run when {@link #due} may have become earlier without a call from outside
     */
    TaskRunner(FleetConfig config, Loop loop, Programs programs, RateLimitedLog log, FleetComponents components,
            LeaseHolder holder, Runnable changed) {
        node = config.node();
        this.loop = loop;
        this.programs = new BoundedPrograms(loop, programs, log);
        this.log = log;
        this.components = components;
        this.holder = holder;
        this.changed = changed;
        config.tasks().forEach(t -> jobs.add(new Job(t)));
    }

    /** The number of runs started so far. */
    long startCount() {
        return startCount;
    }

    /** The number of runs that exited with status 0. */
    long ended() {
        return successCount;
    }

    /**
     * Starts no more runs, and asks running ones to stop.
     *
     * @param done run once nothing is running, possibly within this call
     */
    void finish(Runnable done) {
        whenFinished = done;
        jobs.stream().filter(j -> j.running != null).forEach(j -> j.running.stop());
        finishIfDone();
    }

    /** Does the same for the tasks of one lease, until the lease is granted again. */
    void finish(String lease, Runnable done) {
        List<Job> own = jobs.stream().filter(j -> j.task.lease().equals(lease)).toList();
        int[] remaining = {own.size()};
        for (Job j : own) {
            j.nextStart = null;
            j.paused = true;
            Runnable over = () -> {
                if (--remaining[0] == 0) {
                    done.run();
                }
            };
            if (j.running == null) {
                over.run();
            } else {
                j.whenOver = over;
                j.running.stop();
            }
        }
        if (own.isEmpty()) {
            done.run();
        }
    }

    private void finishIfDone() {
        if (whenFinished != null && jobs.stream().allMatch(j -> j.running == null)) {
            Runnable done = whenFinished;
            whenFinished = null;
            jobs.clear();
            done.run();
        }
    }

    /** When {@link #onTime} has to be called next; null if nothing is due. */
    Instant due() {
        if (whenFinished != null) {
            return null; // no run is started any more, even if one is overdue
        }
        Instant due = null;
        for (Job j : jobs) {
            if (j.running == null && holder.fence(j.task.lease()) != 0 && j.nextStart != null
                    && !isEnding(j.task.name())) {
                due = due == null || j.nextStart.isBefore(due) ? j.nextStart : due;
            }
        }
        return due;
    }

    /** Reports that this node now holds a lease. */
    void leaseGranted(Instant now, String lease) {
        for (Job j : jobs) {
            if (j.task.lease().equals(lease) && !j.removed) {
                j.nextStart = now;
                j.paused = false;
            }
        }
    }

    /** Reports that a lease has ended: runs that depend on it are killed. Normally they have ended before. */
    void leaseEnded(String lease) {
        for (Job j : jobs) {
            if (j.task.lease().equals(lease)) {
                j.nextStart = null;
                if (j.running != null) {
                    j.running.kill();
                }
            }
        }
    }

    /** Starts the runs that are due. */
    void onTime(Instant now) {
        for (Job j : whenFinished != null ? List.<Job>of() : jobs) {
            if (j.running == null && j.nextStart != null && !now.isBefore(j.nextStart) && !isEnding(j.task.name())) {
                long fence = holder.fence(j.task.lease());
                if (j.task.once() && !mayRunNow(now, j)) {
                    continue;
                }
                if (fence != 0 && components.mayBegin(holder, now, j.task.lease(),
                        j.task.longest().plus(j.task.allowance()))) {
                    begin(now, j, fence);
                } else {
                    j.nextStart = now.plus(j.task.longest().dividedBy(4)); // the lease may have been renewed by then
                }
            }
        }
    }

    private boolean isEnding(String task) {
        return jobs.stream().anyMatch(j -> j.removed && j.task.name().equals(task));
    }

    private static long period(FleetConfig.Task t, Instant now) {
        return Math.floorDiv(now.toEpochMilli(), t.every().toMillis());
    }

    private static Instant startOfPeriod(FleetConfig.Task t, long period) {
        return Instant.ofEpochMilli(period * t.every().toMillis());
    }

    /**
     * Whether this node has claimed the run of the current period. If that is not known yet, requests the claim;
     * {@link #periodClaimed} gets the result.
     */
    private boolean mayRunNow(Instant now, Job j) {
        long period = period(j.task, now);
        if (j.claimedPeriod == period && j.lastPeriodDone < period) {
            return true;
        }
        if (j.lastPeriodDone >= period) {
            j.nextStart = startOfPeriod(j.task, j.lastPeriodDone + 1);
        } else {
            j.claiming = j.claiming || holder.claim(now, j.task.lease(), j.task.name(), j.task.every(), period);
            j.nextStart = j.claiming ? null : now.plus(RETRY_INTERVAL);
        }
        return false;
    }

    /**
     * Handles the result of a claim.
     *
     * @param result null if the outcome is not known. The run may then be claimed for this node, but is skipped
     */
    void periodClaimed(Instant now, String task, long period, Result result) {
        for (Job j : jobs) {
            if (j.task.name().equals(task) && j.claiming && !j.removed) {
                j.claiming = false;
                j.nextStart = j.paused || holder.fence(j.task.lease()) == 0 ? null : now;
                Result.Kind kind = result == null ? null : result.kind();
                if (kind == Result.Kind.CLAIMED) {
                    j.claimedPeriod = period;
                } else if (kind == Result.Kind.DONE) {
                    j.lastPeriodDone = Math.max(j.lastPeriodDone, result.value());
                } else {
                    log.warn("task " + task + ": the run of period " + period + " could not be claimed"
                            + (kind == null ? "" : " (" + kind + ")"));
                    j.nextStart = j.nextStart == null ? null : now.plus(RETRY_INTERVAL);
                }
            }
        }
    }

    /** Replaces the tasks: unchanged ones go on, and runs of removed ones are asked to stop. */
    void replace(Instant now, List<FleetConfig.Task> tasks) {
        for (Job j : List.copyOf(jobs)) {
            if (!j.removed && !tasks.contains(j.task)) {
                j.removed = j.running != null;
                j.nextStart = null;
                if (j.removed) {
                    j.running.stop();
                } else {
                    jobs.remove(j);
                }
            }
        }
        for (FleetConfig.Task t : tasks) {
            if (jobs.stream().noneMatch(j -> !j.removed && j.task.equals(t))) {
                Job j = new Job(t);
                j.nextStart = holder.fence(t.lease()) == 0 ? null : now;
                jobs.add(j);
            }
        }
    }

    private void begin(Instant now, Job j, long fence) {
        FleetConfig.Task t = j.task;
        j.nextStart = now.plus(t.every());
        if (t.once()) {
            j.lastPeriodDone = j.claimedPeriod;
            j.nextStart = startOfPeriod(t, j.lastPeriodDone + 1);
        }
        Map<String, String> environment = new TreeMap<>();
        environment.put("FLEET_NODE", node);
        environment.put("FLEET_TASK", t.name());
        environment.put("FLEET_LEASE", t.lease());
        environment.put("FLEET_FENCE", Long.toString(fence));
        if (t.once()) {
            environment.put("FLEET_PERIOD", Long.toString(j.claimedPeriod));
        }
        environment.put("FLEET_LONGEST_MS", Long.toString(t.longest().toMillis()));
        environment.put("FLEET_END_MS", Long.toString(loop.wall().now().plus(t.longest()).toEpochMilli()));
        try {
            startCount++;
            j.running = programs.start("task " + t.name(), t.command(), environment, t.longest(),
                    status -> ended(j, status));
        } catch (IOException e) {
            log.warn("task " + t.name() + " can't be started: " + e.getMessage());
            j.nextStart = now.plus(t.longest());
        }
    }

    private void ended(Job j, int status) {
        j.running = null;
        if (j.removed) {
            jobs.remove(j);
        }
        if (j.whenOver != null) {
            Runnable over = j.whenOver;
            j.whenOver = null;
            over.run();
        }
        successCount += status == 0 ? 1 : 0;
        finishIfDone();
        changed.run();
    }
}
