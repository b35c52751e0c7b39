package routerfleet.control;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** The thread that writes to a replica's disk, and waits for it: a real one, or virtual time in a simulation. */
interface DiskWriter {
    /** Runs a task after those before it. */
    void execute(Runnable task);

    /** Runs a task after a delay. */
    void executeAfter(long delayMs, Runnable task);

    /** A steady clock in milliseconds. */
    long monotonicMs();

    /** Ends it; what has not begun is not run. */
    void close();

    /** A real thread. */
    final class SingleThread implements DiskWriter {
        private final ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(1, task -> {
            java.lang.Thread thread = new java.lang.Thread(task, "replica-storage");
            thread.setDaemon(true);
            return thread;
        });

        SingleThread() {
            executor.setRejectedExecutionHandler(new ThreadPoolExecutor.DiscardPolicy());
            executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        }

        @Override
        public void execute(Runnable task) {
            executor.execute(task);
        }

        @Override
        public void executeAfter(long delayMs, Runnable task) {
            executor.schedule(task, delayMs, TimeUnit.MILLISECONDS);
        }

        @Override
        public long monotonicMs() {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        }

        @Override
        public void close() {
            executor.shutdownNow();
        }
    }
}
