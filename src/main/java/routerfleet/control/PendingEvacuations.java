package routerfleet.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import routerfleet.wire.PeerMessage.EvacuationOutcome;

/**
 * Who waits at a leader for orders about evacuations that are proposed, by the entries at which they stand. For the
 * replica's thread.
 *
 * <p>Bound: {@value #MOST_WAITING} orders.
 */
final class PendingEvacuations {
    private static final int MOST_WAITING = 256;

    private final Map<Long, Consumer<EvacuationOutcome>> waiting = new TreeMap<>();

    boolean isFull() {
        return waiting.size() >= MOST_WAITING;
    }

    /** Tells what becomes of the order at that entry, once it is decided; 0 for an order that could not be proposed. */
    void register(long index, Consumer<EvacuationOutcome> answer) {
        if (index == 0) {
            answer.accept(EvacuationOutcome.UNCLEAR);
        } else {
            waiting.put(index, answer);
        }
    }

    /** The order at that entry is decided. */
    void applied(long index, boolean taken) {
        Consumer<EvacuationOutcome> answer = waiting.remove(index);
        if (answer != null) {
            answer.accept(taken ? EvacuationOutcome.TAKEN : EvacuationOutcome.CONFLICT);
        }
    }

    /** Leadership is lost: what was proposed may or may not be decided yet. */
    void leadershipLost() {
        List<Consumer<EvacuationOutcome>> unclear = new ArrayList<>(waiting.values());
        waiting.clear();
        unclear.forEach(answer -> answer.accept(EvacuationOutcome.UNCLEAR));
    }
}
