package rowanplank.agreement;

import java.util.List;

/**
 * The state that a voter keeps on disk and loads when it starts.
 *
 * @param term the current term
 * @param vote the candidate voted for in this term; null if none
 * @param snapshot the latest snapshot
 * @param entries the entries after the snapshot, in order and without gaps
 */
public record PersistentState(long term, String vote, Snapshot snapshot, List<Entry> entries) {
    public PersistentState {
        entries = List.copyOf(entries);
    }

    /** The state of a new group with these voters. */
    public static PersistentState initial(List<String> voters) {
        return new PersistentState(0, null, Snapshot.initial(voters), List.of());
    }
}
