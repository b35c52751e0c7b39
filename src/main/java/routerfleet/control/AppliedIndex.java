package routerfleet.control;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * The index of the last log entry applied to the state machine, and the tasks that wait for a later entry. Confined to the
 * replica's thread.
 *
 * <p>Bound: at most {@value #MAX_WAITING} waiting tasks; further ones are dropped without being run, as if the request
 * behind them had been lost.
 */
final class AppliedIndex {
    private static final int MAX_WAITING = 4_096;

    private final TreeMap<Long, List<Runnable>> waiters = new TreeMap<>();
    private int waiting;
    private long lastApplied;

    /** The index of the last applied entry. */
    long index() {
        return lastApplied;
    }

    /** Records that the state machine has applied the entry. Waiting tasks are run by {@link #runApplied}. */
    void advanceTo(long index) {
        lastApplied = index;
    }

    /** Runs a task as soon as the entry is applied; at once if it already is. */
    void whenApplied(long index, Runnable task) {
        if (lastApplied >= index) {
            task.run();
        } else if (waiting < MAX_WAITING) {
            waiting++;
            waiters.computeIfAbsent(index, i -> new ArrayList<>()).add(task);
        }
    }

    /** Runs the waiting tasks whose entries have been applied. */
    void runApplied() {
        while (!waiters.isEmpty() && waiters.firstKey() <= lastApplied) {
            List<Runnable> reached = waiters.pollFirstEntry().getValue();
            waiting -= reached.size();
            reached.forEach(Runnable::run);
        }
    }

    /** Drops all waiting tasks without running them, because no further entry will be applied. */
    void discardWaiters() {
        waiters.clear();
        waiting = 0;
    }
}
