package routerfleet.control;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import routerfleet.config.ConfigFault;
import routerfleet.config.ConfigOrder;
import routerfleet.config.ConfigStore;

/**
 * The orders that wait at a leader, one at a time: its leadership is confirmed after the order has come, the order is
 * examined against the state that holds then, and only then is it refused or proposed. So no replaced leader refuses what
 * another one has acknowledged.
 *
 * <p>Bound: {@value #MOST_WAITING} orders.
 */
final class OrderQueue {
    private static final System.Logger LOG = System.getLogger("routerfleet.control.replica");
    private static final int MOST_WAITING = 64;

    /** Answers an order: acknowledged, refused, or not known what becomes of it. */
    enum Outcome { TAKEN, CONFLICT, INVALID, TOO_LARGE, UNCLEAR }

    /** An order's outcome and, for a refusal, the reason in one line. */
    record Answer(Outcome outcome, String text) {
        static Answer unclear(String why) {
            return new Answer(Outcome.UNCLEAR, why);
        }
    }

    /** The replica that leads. */
    interface Leader {
        /** Has a majority confirm that it still leads. */
        void confirmLeadership(Runnable confirmed, Runnable lost);

        /** @return the index at which the order will stand once it is decided; 0 where it can't be proposed now */
        long propose(ConfigOrder order);

        /** Runs a task once the current one is over. */
        void defer(Runnable task);
    }

    private record Pending(ConfigOrder order, Consumer<Answer> answer) { }

    private final Leader leader;
    private final ConfigStore store;
    private final Deque<Pending> waiting = new ArrayDeque<>();
    private Pending current;
    private long currentIndex;

    /** @param store the state that decided orders have led to */
    OrderQueue(Leader leader, ConfigStore store) {
        this.leader = leader;
        this.store = store;
    }

    boolean isFull() {
        return waiting.size() >= MOST_WAITING;
    }

    /** Takes an order in; it is answered later. */
    void add(ConfigOrder order, Consumer<Answer> answer) {
        waiting.add(new Pending(order, answer));
        next();
    }

    private void next() {
        if (current != null || waiting.isEmpty()) {
            return;
        }
        current = waiting.poll();
        Pending pending = current;
        leader.confirmLeadership(() -> decide(pending), () -> finish(pending, Answer.unclear("leadership lost")));
    }

    private void decide(Pending pending) {
        if (pending != current) {
            return;
        }
        Either<ConfigFault, Long> examined;
        try {
            examined = store.examine(pending.order());
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "an order can't be examined", e);
            finish(pending, new Answer(Outcome.INVALID, "can't be examined: " + e));
            return;
        }
        if (examined.isLeft() || store.hasTaken(pending.order())) {
            finish(pending, answer(examined));
            return;
        }
        currentIndex = leader.propose(pending.order());
        if (currentIndex == 0) {
            finish(pending, Answer.unclear("can't be proposed now"));
        }
    }

    /** An order is decided, and this came of it. @param index where it stands */
    void decided(long index, Either<ConfigFault, Long> result) {
        if (current != null && index == currentIndex) {
            Pending pending = current;
            leader.defer(() -> finish(pending, answer(result)));
        }
    }

    private void finish(Pending pending, Answer answer) {
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
        unclear.forEach(pending -> pending.answer().accept(Answer.unclear("leadership lost")));
    }

    private static Answer answer(Either<ConfigFault, Long> result) {
        return result.fold(
                fault -> new Answer(outcome(fault.kind()), fault.toString()),
                generation -> new Answer(Outcome.TAKEN, Long.toString(generation)));
    }

    private static Outcome outcome(ConfigFault.Kind kind) {
        return switch (kind) {
            case CONFLICT -> Outcome.CONFLICT;
            case INVALID -> Outcome.INVALID;
            case TOO_LARGE -> Outcome.TOO_LARGE;
        };
    }
}
