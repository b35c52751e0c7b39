package rowanplank.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * Runs events one at a time and in order: an event submitted while another one runs is queued until that one returns.
 * So none of the components is called from within a call.
 */
final class SerialExecutor {
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private final Runnable afterAll;
    private final Consumer<Throwable> failed;
    private boolean running;

    /**
     * Creates an executor without events.
     *
     * @param afterAll run each time the queue becomes empty
     * @param failed receives what an event threw; events that were queued then are dropped
     */
    SerialExecutor(Runnable afterAll, Consumer<Throwable> failed) {
        this.afterAll = afterAll;
        this.failed = failed;
    }

    /** Runs an event now, or after the events that are running or queued. */
    void run(Runnable event) {
        waiting.add(event);
        if (running) {
            return;
        }
        running = true;
        try {
            for (Runnable next; (next = waiting.poll()) != null;) {
                next.run();
            }
        } catch (RuntimeException | Error e) { // errors too: a class may fail to load if the jar was replaced
            waiting.clear();
            failed.accept(e);
        } finally {
            running = false;
        }
        afterAll.run();
    }

    /** Queues an event behind the one that is running. */
    void runLater(Runnable event) {
        run(event);
    }
}
