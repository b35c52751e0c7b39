package routerfleet.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import routerfleet.wire.PeerMessage.EvacuationOutcome;

/**
 * The callers that wait at a leader for the outcome of proposed evacuation commands, by log index. For the replica's
 * thread.
 *
 * <p>Limit: {@value #MAX_WAITING} callers.
 */
final class PendingEvacuations {
    private static final int MAX_WAITING = 256;

    private final Map<Long, Consumer<EvacuationOutcome>> callbacks = new TreeMap<>();

    /** Whether no more callers can be registered. */
    boolean isFull() {
        return callbacks.size() >= MAX_WAITING;
    }

    /** Registers a caller for the outcome of the command at a log index; 0 stands for one that could not be proposed. */
    void register(long index, Consumer<EvacuationOutcome> callback) {
        if (index == 0) {
            callback.accept(EvacuationOutcome.UNCLEAR);
        } else {
            callbacks.put(index, callback);
        }
    }

    /** Reports that the command at a log index is applied. @param taken whether it has changed the state */
    void applied(long index, boolean taken) {
        Consumer<EvacuationOutcome> callback = callbacks.remove(index);
        if (callback != null) {
            callback.accept(taken ? EvacuationOutcome.TAKEN : EvacuationOutcome.CONFLICT);
        }
    }

    /**
     * Reports an unknown outcome to all callers: what was proposed before leadership was lost may or may not be
     * committed.
     */
    void leadershipLost() {
        List<Consumer<EvacuationOutcome>> abandoned = new ArrayList<>(callbacks.values());
        callbacks.clear();
        abandoned.forEach(callback -> callback.accept(EvacuationOutcome.UNCLEAR));
    }
}
