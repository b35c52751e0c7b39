package routerfleet.control;

import java.util.ArrayDeque;
import java.util.Deque;
import routerfleet.log.Loggers;

/** What a replica's agreement has asked for within a call, carried out once the call has returned. For one thread. */
final class DeferredTasks {
    private static final System.Logger LOG = Loggers.get("routerfleet.control.replica");

    private final Deque<Runnable> tasks = new ArrayDeque<>();
    private boolean running;

    /** Runs a task once the current one is over. */
    void add(Runnable task) {
        tasks.add(task);
    }

    /** Runs all tasks, and those that come of them. @return whether it did; false within such a task */
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

    /** Guards the replica: what fails in one task must not keep it from all that follows. */
    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "a task of the replica failed", e);
        }
    }
}
