package routerfleet.control;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Executes a replica's blocking disk operations one at a time: on a real thread, or in virtual time in a simulation. */
interface DiskWriter {
    /** Runs a task after the tasks submitted before it. */
    void execute(Runnable task);

    /** Runs a task after a delay. */
    void executeAfter(long delayMs, Runnable task);

    /** The current value of a monotonic clock, in milliseconds. */
    long monotonicMs();

    /** Stops the writer; tasks that have not started are discarded. */
    void close();

    /** Runs the tasks on a daemon thread of its own. */
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
