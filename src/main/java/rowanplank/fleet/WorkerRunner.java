package rowanplank.fleet;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rowanplank.config.FleetConfig;
import rowanplank.ledger.BudgetHolder;
import rowanplank.ledger.Share;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.net.Loop;
import rowanplank.net.Programs;

/**
 * Runs the commands of workers on every node of the fleet as far as their budgets allow: a count limits how many run
 * at once, a rate how many start per second. Their environment has {@code FLEET_NODE}, {@code FLEET_WORKER}, {@code
 * FLEET_BUDGET}, {@code FLEET_EPOCH} and {@code FLEET_LONGEST_MS}. A command is asked to stop, then killed, when its
 * time limit is over, which is the time that the holder of the share has announced; the end of a share does not stop
 * running commands.
 *
 * <p>A check costs O(copies of all workers).
 */
final class WorkerRunner {
    /** When to check again for a copy that may not start, unless a larger share is reported earlier. */
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(250);

    /** One of the copies of a worker that run at the same time. */
    private static final class Copy {
        final FleetConfig.Worker worker;
        Instant nextStart;
        Programs.Running running;
        boolean removed;

        Copy(FleetConfig.Worker worker, Instant now) {
            this.worker = worker;
            nextStart = now;
        }
    }

    private final String node;
    private final Loop loop;
    private final BoundedPrograms programs;
    private final RateLimitedLog log;
    private final FleetComponents components;
    private final BudgetHolder holder;
    private final Runnable changed;
    private final List<Copy> copies = new ArrayList<>();
    private Runnable whenFinished;
    private long startCount;

    /**
     * Creates a runner without workers; {@link #replace} sets them.
     *
     * @param changed run when {@link #due} may have become earlier without a call from outside
     */
    WorkerRunner(String node, Loop loop, Programs programs, RateLimitedLog log, FleetComponents components,
            BudgetHolder holder, Runnable changed) {
        this.node = node;
        this.loop = loop;
        this.programs = new BoundedPrograms(loop, programs, log);
        this.log = log;
        this.components = components;
        this.holder = holder;
        this.changed = changed;
    }

    /** The number of copies started so far. */
    long startCount() {
        return startCount;
    }

    /** The most that these workers would use of each budget. */
    static Map<String, Long> requestedShares(List<FleetConfig.Budget> budgets, List<FleetConfig.Worker> workers) {
        Map<String, Long> wishes = new TreeMap<>();
        budgets.forEach(b -> wishes.put(b.name(), 0L));
        for (FleetConfig.Worker w : workers) {
            boolean rate = budgets.stream().anyMatch(b -> b.rate() && b.name().equals(w.budget()));
            double each = rate ? Share.USE * 1e9 / Math.max(w.pause().toNanos(), 1_000_000) : 1;
            wishes.merge(w.budget(), (long) (w.copies() * each), Long::sum);
        }
        return wishes;
    }

    /** Replaces the workers: surplus copies are asked to stop. */
    void replace(Instant now, List<FleetConfig.Worker> workers) {
        for (FleetConfig.Worker w : workers) {
            long there = copies.stream().filter(c -> !c.removed && c.worker.equals(w)).count();
            for (long n = there; n < w.copies(); n++) {
                copies.add(new Copy(w, now));
            }
        }
        for (Copy c : List.copyOf(copies)) {
            if (!c.removed && !workers.contains(c.worker)) {
                c.removed = true;
                if (c.running == null) {
                    copies.remove(c);
                } else {
                    c.running.stop();
                }
            }
        }
    }

    /**
     * Starts no more copies, and asks running ones to stop.
     *
     * @param done run once nothing is running, possibly within this call
     */
    void finish(Runnable done) {
        whenFinished = done;
        copies.stream().filter(c -> c.running != null).forEach(c -> c.running.stop());
        finishIfDone();
    }

    private void finishIfDone() {
        if (whenFinished != null && copies.stream().allMatch(c -> c.running == null)) {
            Runnable done = whenFinished;
            whenFinished = null;
            copies.clear();
            done.run();
        }
    }

    /** When {@link #onTime} has to be called next; null if nothing is due. */
    Instant due() {
        Instant due = null;
        for (Copy c : whenFinished != null ? List.<Copy>of() : copies) {
            if (c.running == null && !c.removed) {
                due = due == null || c.nextStart.isBefore(due) ? c.nextStart : due;
            }
        }
        return due;
    }

    /** Reports that the share of a budget has grown, so that more copies may start. */
    void onBudgetIncreased(Instant now, String budget) {
        copies.stream().filter(c -> c.running == null && c.worker.budget().equals(budget) && c.nextStart.isAfter(now)
                && c.nextStart.isBefore(now.plus(RETRY_INTERVAL))).forEach(c -> c.nextStart = now);
    }

    /** Starts the copies that are due. */
    void onTime(Instant now) {
        for (Copy c : whenFinished != null ? List.<Copy>of() : List.copyOf(copies)) {
            if (c.running == null && !c.removed && !now.isBefore(c.nextStart)) {
                begin(now, c);
            }
        }
    }

    private void begin(Instant now, Copy c) {
        FleetConfig.Worker w = c.worker;
        long epoch = components.beginUse(holder, now, w.budget());
        if (epoch < 0) {
            Instant ready = holder.ready(now, w.budget());
            Instant retryAt = now.plus(RETRY_INTERVAL);
            c.nextStart = ready != null && ready.isBefore(retryAt) ? ready : retryAt;
            return;
        }
        Map<String, String> environment = new TreeMap<>();
        environment.put("FLEET_NODE", node);
        environment.put("FLEET_WORKER", w.name());
        environment.put("FLEET_BUDGET", w.budget());
        environment.put("FLEET_EPOCH", Long.toString(epoch));
        environment.put("FLEET_LONGEST_MS", Long.toString(w.longest().toMillis()));
        try {
            startCount++;
            c.running = programs.start("worker " + w.name(), w.command(), environment, w.longest(), status -> ended(c));
        } catch (IOException e) {
            log.warn("worker " + w.name() + " can't be started: " + e.getMessage());
            holder.end(w.budget());
            c.nextStart = now.plus(w.longest());
        }
    }

    private void ended(Copy c) {
        Instant now = loop.clock().now();
        c.running = null;
        c.nextStart = now.plus(c.worker.pause());
        holder.end(c.worker.budget());
        if (c.removed) {
            copies.remove(c);
        }
        finishIfDone();
        changed.run();
    }
}
