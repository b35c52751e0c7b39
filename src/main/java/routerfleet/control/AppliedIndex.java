package routerfleet.control;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Up to which entry of the log the state machine is, and who waits for a later one. For the replica's thread.
 *
 * <p>Bound: {@value #MOST_WAITING} tasks that wait; further ones are not run, as if what they came from were lost.
 */
final class AppliedIndex {
    private static final int MOST_WAITING = 4_096;

    private final TreeMap<Long, List<Runnable>> waiters = new TreeMap<>();
    private int waiting;
    private long last;

    /** The index of the last entry that is applied. */
    long index() {
        return last;
    }

    /** The state machine is as that entry leaves it. Who waited for it hears of it by {@link #runApplied}. */
    void advanceTo(long index) {
        last = index;
    }

    /** Runs a task once that entry is applied. */
    void whenApplied(long index, Runnable task) {
        if (last >= index) {
            task.run();
        } else if (waiting < MOST_WAITING) {
            waiting++;
            waiters.computeIfAbsent(index, i -> new ArrayList<>()).add(task);
        }
    }

    /** Runs the tasks whose entries are applied. */
    void runApplied() {
        while (!waiters.isEmpty() && waiters.firstKey() <= last) {
            List<Runnable> reached = waiters.pollFirstEntry().getValue();
            waiting -= reached.size();
            reached.forEach(Runnable::run);
        }
    }

    /** Nothing more is applied here: who waits is not told. */
    void discardWaiters() {
        waiters.clear();
        waiting = 0;
    }
}
