package rowanplank.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/** Runs one event after the other: what an event brings about runs once it is over, in the order of its being asked. */
final class SerialExecutor {
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private final Runnable afterAll;
    private final Consumer<Throwable> failed;
    private boolean running;

    /**
     * @param afterAll run each time when nothing waits any more
     * @param failed told what was never to happen; what waited is dropped
     */
    SerialExecutor(Runnable afterAll, Consumer<Throwable> failed) {
        this.afterAll = afterAll;
        this.failed = failed;
    }

    /** Runs it now, or after the event that runs now. */
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
        } catch (RuntimeException | Error e) { // also a class that is not there any more, as its file was replaced
            waiting.clear();
            failed.accept(e);
        } finally {
            running = false;
        }
        afterAll.run();
    }

    /** Runs it after the event that runs now. */
    void runLater(Runnable event) {
        run(event);
    }
}
