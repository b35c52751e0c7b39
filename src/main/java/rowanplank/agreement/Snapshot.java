package rowanplank.agreement;

import java.util.List;

/**
 * The state of the state machine after the entry at {@code index}; it replaces all entries up to there.
 *
 * @param index the last entry that it covers
 * @param term the term of that entry
 * @param voters the voters after that entry
 * @param data the serialized state, opaque to Raft; must not be modified
 */
public record Snapshot(long index, long term, List<String> voters, byte[] data) {
    public Snapshot {
        voters = List.copyOf(voters);
    }

    /** The empty snapshot before the first entry. */
    public static Snapshot initial(List<String> voters) {
        return new Snapshot(0, 0, voters, new byte[0]);
    }
}
