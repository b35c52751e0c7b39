package rowanplank.ledger;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import rowanplank.ledger.Ask.Answer;
import rowanplank.ledger.Result.Kind;

/**
 * What a leader's desk was asked and can't answer yet: it waits for an entry to be decided, or for a round to confirm that
 * no other voter leads.
 *
 * <p>Bounded by its desk; what finds no room, or no leader, is not kept, and its asker asks again. A call costs O(log n).
 */
final class Pending {
    /** What every desk asks of its owner; none of these calls back into it. */
    interface Actions {
        /** Whether all voters understand it: only then may it be written. */
        boolean isKnown(Command command);

        /** @return the entry's index; 0 where it can't be taken now */
        long propose(Command command);

        /** @return the round whose confirmation is told later; 0 where this voter doesn't lead */
        long confirm();

        void answer(Ask ask, Answer answer);
    }

    private record Confirming(long round, Ask ask) { }

    private final int most;
    private final Actions actions;
    private final Map<Long, Ask> proposed = new TreeMap<>();
    private final Deque<Confirming> confirming = new ArrayDeque<>();

    /** @param most that wait for an entry, and as many for a round */
    Pending(int most, Actions actions) {
        this.most = most;
        this.actions = actions;
    }

    /** @return whether it was taken, or answered; else it is asked again */
    boolean propose(Ask ask, Command command) {
        if (!actions.isKnown(command)) {
            answer(ask, Result.of(Kind.TOO_NEW));
            return true;
        }
        long index = proposed.size() >= most ? 0 : actions.propose(command);
        if (index > 0) {
            proposed.put(index, ask);
        }
        return index > 0;
    }

    void confirm(Ask ask) {
        long round = confirming.size() >= most ? 0 : actions.confirm();
        if (round > 0) {
            confirming.add(new Confirming(round, ask));
        }
    }

    void answer(Ask ask, Result result) {
        actions.answer(ask, new Answer(ask.incarnation(), ask.number(), result));
    }

    /** An entry was handed to the ledger. @return who asked for it and waits; null if nobody */
    Ask onApplied(long index) {
        return proposed.remove(index);
    }

    /** @param confirmed told each that waited for this round, or for one before it, in the order of asking */
    void onConfirmed(long round, Consumer<Ask> confirmed) {
        while (!confirming.isEmpty() && confirming.peek().round() <= round) {
            confirmed.accept(confirming.poll().ask());
        }
    }

    /** @return what was not answered, and never will be here */
    List<Ask> clear() {
        List<Ask> left = new ArrayList<>(proposed.values());
        confirming.forEach(c -> left.add(c.ask()));
        proposed.clear();
        confirming.clear();
        return left;
    }
}
