package rowanplank.agreement;

import java.util.List;

/**
 * The state machine after the entry at {@code index}, in place of all entries up to there.
 *
 * @param term that entry's term
 * @param voters who votes after that entry
 * @param data the state machine's own; not to be changed
 */
public record Snapshot(long index, long term, List<String> voters, byte[] data) {
    public Snapshot {
        voters = List.copyOf(voters);
    }

    /** Before the first entry. */
    public static Snapshot initial(List<String> voters) {
        return new Snapshot(0, 0, voters, new byte[0]);
    }
}
