package routerfleet.control;

import java.util.ArrayDeque;
import java.util.Deque;
import routerfleet.log.Loggers;

/**
 * Queue of the actions that a replica's Raft node requests during a call; they are run after the call has returned. Not
 * thread-safe.
 */
final class DeferredTasks {
    private static final System.Logger LOG = Loggers.get("routerfleet.control.replica");

    private final Deque<Runnable> tasks = new ArrayDeque<>();
    private boolean running;

    /** Adds a task that is run after the current one. */
    void add(Runnable task) {
        tasks.add(task);
    }

    /** Runs all queued tasks and the ones they add. @return false, without effect, if called from within such a task */
    boolean runAll() {
        if (running) {
            return false;
        }
        running = true;
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            run(task);
        }
        running = false;
        return true;
    }

    /** Catches and logs failures, so that a failing task does not prevent the following ones from running. */
    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "a task of the replica failed", e);
        }
    }
}
