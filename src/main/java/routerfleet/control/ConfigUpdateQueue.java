package routerfleet.control;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import routerfleet.config.ConfigChange;
import routerfleet.config.ConfigDocument;
import routerfleet.config.ConfigFault;
import routerfleet.config.ConfigOrder;
import routerfleet.config.ConfigStore;

/**
 * The orders that wait at a leader, one at a time: its leadership is confirmed after the order has come, the order is
 * examined against the state that holds then, and only then is it refused or proposed. Since an examination takes time,
 * leadership is confirmed once more before an order is found invalid. So no replaced leader refuses what another one has
 * acknowledged.
 *
 * <p>Bound: {@value #MOST_WAITING} orders.
 */
final class ConfigUpdateQueue {
    private static final int MOST_WAITING = 64;

    /** Answers an order: acknowledged, refused, or not known what becomes of it. */
    enum Outcome { ACCEPTED, CONFLICT, INVALID, TOO_LARGE, UNKNOWN }

    /** An order's outcome and, for a refusal, the reason in one line. */
    record Result(Outcome outcome, String message) {
        static Result unknown(String why) {
            return new Result(Outcome.UNKNOWN, why);
        }
    }

    /** The replica that leads. */
    interface Leader {
        /** Has a majority confirm that it still leads. */
        void confirmLeadership(Runnable confirmed, Runnable lost);

        /** @return the index at which the change will stand once it is decided; 0 where it can't be proposed now */
        long propose(ConfigChange change);

        /** Runs a task once the current one is over. */
        void defer(Runnable task);
    }

    private record Pending(ConfigOrder order, Consumer<Result> answer) { }

    private final Leader leader;
    private final ConfigStore store;
    private final ConfigUpdateValidator examiner;
    private final Deque<Pending> waiting = new ArrayDeque<>();
    private Pending current;
    private long currentIndex;

    /** @param store the state that decided orders have led to */
    ConfigUpdateQueue(Leader leader, ConfigStore store, ConfigUpdateValidator examiner) {
        this.leader = leader;
        this.store = store;
        this.examiner = examiner;
    }

    /** Prepares for the first order. */
    void warmUp() {
        examiner.warmUp();
    }

    /**
     * The whole of the current configuration as JSON.
     *
     * @param document told at once or later, as it stands at this call
     * @param failed run instead where it can't be put together, or too many wait for it
     */
    void mergedDocument(Consumer<byte[]> document, Runnable failed) {
        ConfigDocument current = store.current().document();
        examiner.merge(current, bytes -> {
            store.merged(current, bytes);
            document.accept(bytes);
        }, failed);
    }

    boolean isFull() {
        return waiting.size() >= MOST_WAITING;
    }

    /** Takes an order in; it is answered later. */
    void add(ConfigOrder order, Consumer<Result> answer) {
        waiting.add(new Pending(order, answer));
        next();
    }

    private void next() {
        if (current != null || waiting.isEmpty()) {
            return;
        }
        current = waiting.poll();
        Pending pending = current;
        confirmed(pending, () -> decide(pending));
    }

    private void confirmed(Pending pending, Runnable next) {
        leader.confirmLeadership(next, () -> finish(pending, Result.unknown("leadership lost")));
    }

    private void decide(Pending pending) {
        if (pending != current) {
            return;
        }
        Long taken = store.outcome(pending.order());
        if (taken != null) {
            finish(pending, answer(Either.right(taken)));
            return;
        }
        ConfigFault conflict = store.conflict(pending.order());
        if (conflict != null) {
            finish(pending, answer(Either.left(conflict)));
            return;
        }
        long generation = store.generation();
        examiner.validate(pending.order(), store.current(), result -> examined(pending, generation, result));
    }

    private void examined(Pending pending, long generation, Either<ConfigFault, ConfigChange> result) {
        if (pending != current) {
            return;
        }
        if (store.generation() != generation) {
            confirmed(pending, () -> decide(pending));
        } else if (result.isLeft()) {
            confirmed(pending, () -> refuse(pending, generation, result.getLeft()));
        } else {
            propose(pending, result.get());
        }
    }

    private void refuse(Pending pending, long generation, ConfigFault fault) {
        if (pending == current && store.generation() != generation) {
            decide(pending);
        } else {
            finish(pending, answer(Either.left(fault)));
        }
    }

    private void propose(Pending pending, ConfigChange change) {
        currentIndex = leader.propose(change);
        if (currentIndex == 0) {
            finish(pending, Result.unknown("can't be proposed now"));
        }
    }

    /** An order is decided, and this came of it. @param index where it stands */
    void applied(long index, Either<ConfigFault, Long> result) {
        if (current != null && index == currentIndex) {
            Pending pending = current;
            leader.defer(() -> finish(pending, answer(result)));
        }
    }

    private void finish(Pending pending, Result answer) {
        if (pending != current) {
            return; // answered when leadership was lost
        }
        current = null;
        currentIndex = 0;
        leader.defer(this::next);
        pending.answer().accept(answer);
    }

    /** Leadership is lost: what was proposed may or may not be decided yet. */
    void leadershipLost() {
        List<Pending> unclear = new ArrayList<>(waiting);
        waiting.clear();
        if (current != null) {
            unclear.add(0, current);
            current = null;
            currentIndex = 0;
        }
        unclear.forEach(pending -> pending.answer().accept(Result.unknown("leadership lost")));
    }

    private static Result answer(Either<ConfigFault, Long> result) {
        return result.fold(
                fault -> new Result(outcome(fault.kind()), fault.toString()),
                generation -> new Result(Outcome.ACCEPTED, Long.toString(generation)));
    }

    private static Outcome outcome(ConfigFault.Kind kind) {
        return switch (kind) {
            case CONFLICT -> Outcome.CONFLICT;
            case INVALID -> Outcome.INVALID;
            case TOO_LARGE -> Outcome.TOO_LARGE;
        };
    }
}
