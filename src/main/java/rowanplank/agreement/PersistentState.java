package rowanplank.agreement;

import java.util.List;

/**
 * What a voter has on disk when it starts.
 *
 * @param vote whom it voted for in this term; null for nobody
 * @param entries those behind the snapshot, in order and without gaps
 */
public record PersistentState(long term, String vote, Snapshot snapshot, List<Entry> entries) {
    public PersistentState {
        entries = List.copyOf(entries);
    }

    public static PersistentState initial(List<String> voters) {
        return new PersistentState(0, null, Snapshot.initial(voters), List.of());
    }
}
