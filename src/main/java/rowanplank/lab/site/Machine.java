package rowanplank.lab.site;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import rowanplank.net.Loop;

/** Drives a {@link ServerModel} by a loop's time: one timer for its next change, and what follows from each change. */
final class Machine {
    private final ServerModel model;
    private final Loop loop;
    private final Teller teller;
    /** What follows from the model's last step; it must not be called back within it. */
    private final Deque<Runnable> due = new ArrayDeque<>();
    private Loop.Timer change;
    private long changeAt = ServerModel.NEVER;
    private Runnable whenEmpty;
    private boolean over;

    Machine(ServerModel model, Loop loop, Teller teller) {
        this.model = model;
        this.loop = loop;
        this.teller = teller;
    }

    /** As of its last change. */
    ServerModel model() {
        return model;
    }

    /** The model as it is now. */
    ServerModel modelNow() {
        model.advance(teller.now());
        return model;
    }

    void slow(double times) {
        model.slow(teller.now(), times);
        settle();
    }

    void standStill(long until) {
        model.standStill(teller.now(), until);
        settle();
    }

    void connections(int open) {
        model.connections(teller.now(), open);
        settle();
    }

    /** Work beside the requests. */
    void beside(long work, Runnable then) {
        model.side(teller.now(), new ServerModel.Job(work) {
            @Override
            protected void done() {
                afterwards(then);
            }
        });
        settle();
    }

    /** Runs the task once the model's step is over. */
    void afterwards(Runnable task) {
        due.add(task);
    }

    /** Runs the task, later, once no request is in work or waits. */
    void whenEmpty(Runnable task) {
        whenEmpty = task;
        settle();
    }

    void end() {
        over = true;
        due.clear();
        cancelChange();
    }

    /** Does what follows from the model's last step, and sets the timer for its next. */
    void settle() {
        for (Runnable task; (task = due.poll()) != null;) {
            task.run();
        }
        if (over) {
            return;
        }
        long next = model.nextChange();
        if (next != changeAt) {
            cancelChange();
            changeAt = next;
            change = next == ServerModel.NEVER ? null
                    : loop.schedule(Duration.ofNanos(next - teller.now()), this::modelChanges);
        }
        if (whenEmpty != null && model.begun() + model.waiting() == 0) {
            loop.execute(whenEmpty);
            whenEmpty = null;
        }
    }

    private void modelChanges() {
        changeAt = ServerModel.NEVER;
        model.advance(teller.now());
        settle();
    }

    private void cancelChange() {
        if (change != null) {
            change.cancel();
        }
    }
}
