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
 * Runs commands while their leases are held. A command begins only where it would end within the lease, with all that it
 * may take and all that the node may stand still meanwhile; it is asked to end, then ended, when its longest time is
 * over. It finds its lease, fence and longest time in its environment: {@code FLEET_NODE}, {@code FLEET_TASK},
 * {@code FLEET_LEASE}, {@code FLEET_FENCE}, {@code FLEET_LONGEST_MS}, its end by the machine's clock on the wall, in ms
 * since 1970, {@code FLEET_END_MS}, and where it is to run once in a period that period's number, {@code FLEET_PERIOD}. Such
 * a run is claimed in the ledger before it begins: it runs once or, where its node dies in between, not at all, and one that
 * fails is not run again in that period.
 *
 * <p>At most one run of a task at a time on this node; what fails is logged and begun again in its time.
 */
final class TaskRunner {
    /** What could not be asked for is asked for again after so long. */
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(250);

    private final class Job {
        final FleetConfig.Task task;
        Instant nextStart;
        /** Of a task that runs once in a period: the one whose run is this node's, and the last one that is over. */
        long claimedPeriod = -1;
        long lastPeriodDone = -1;
        boolean claiming;
        /** It stands in the file no more, and its last run is still ending: nothing of its name begins before that. */
        boolean removed;
        /** Nothing begins until the lease is granted anew. */
        boolean paused;
        Programs.Running running;
        /** Run once nothing of it runs any more; until then nothing is begun. */
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

    /** @param changed run when {@link #due} may have come nearer by itself */
    TaskRunner(FleetConfig config, Loop loop, Programs programs, RateLimitedLog log, FleetComponents parts, LeaseHolder holder,
            Runnable changed) {
        node = config.node();
        this.loop = loop;
        this.programs = new BoundedPrograms(loop, programs, log);
        this.log = log;
        this.components = parts;
        this.holder = holder;
        this.changed = changed;
        config.tasks().forEach(t -> jobs.add(new Job(t)));
    }

    /** How many runs were begun so far. */
    long startCount() {
        return startCount;
    }

    /** How many runs ended by themselves and well. */
    long ended() {
        return successCount;
    }

    /** Begins nothing more, and asks what runs to end. @param done run once nothing runs, maybe within this call */
    void finish(Runnable done) {
        whenFinished = done;
        jobs.stream().filter(j -> j.running != null).forEach(j -> j.running.stop());
        finishIfDone();
    }

    /** The same of one lease's tasks, until the lease is granted again. */
    void finish(String lease, Runnable done) {
        List<Job> own = jobs.stream().filter(j -> j.task.lease().equals(lease)).toList();
        int[] left = {own.size()};
        for (Job j : own) {
            j.nextStart = null;
            j.paused = true;
            Runnable over = () -> {
                if (--left[0] == 0) {
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

    /** When {@link #onTime} is to be called next; null where nothing is due. */
    Instant due() {
        if (whenFinished != null) {
            return null; // nothing begins any more, however long ago it was due
        }
        Instant due = null;
        for (Job j : jobs) {
            if (j.running == null && holder.fence(j.task.lease()) != 0 && j.nextStart != null && !isEnding(j.task.name())) {
                due = due == null || j.nextStart.isBefore(due) ? j.nextStart : due;
            }
        }
        return due;
    }

    /** The lease is this node's from now on. */
    void leaseGranted(Instant now, String lease) {
        for (Job j : jobs) {
            if (j.task.lease().equals(lease) && !j.removed) {
                j.nextStart = now;
                j.paused = false;
            }
        }
    }

    /** It is not any more: what runs is ended now, it had ended already were all as it should be. */
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
                    j.nextStart = now.plus(j.task.longest().dividedBy(4)); // after a renewal
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

    /** Whether this period's run is this node's; if it is not known yet, it is asked for, and {@link #periodClaimed} follows. */
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

    /** @param result null where it is not known what came of it: then the run may be this node's, and is left out */
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

    /** Other tasks from now on: those that stay go on, those that go are asked to end. */
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
            j.running = programs.start("task " + t.name(), t.command(), environment, t.longest(), status -> ended(j, status));
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
