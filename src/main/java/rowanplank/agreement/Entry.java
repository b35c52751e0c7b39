package rowanplank.agreement;

import java.util.List;

/**
 * A log entry.
 *
 * @param index its position, starting at 1
 * @param term the term of the leader that created it
 * @param membership the voter configuration from this entry on; null if the entry does not change it
 * @param payload the command for the state machine, empty for the no-op entry at the start of a term; must not be
 *     modified
 */
public record Entry(long index, long term, VoterConfig membership, byte[] payload) {
    private static final byte[] EMPTY = {};
    /** Approximate size in bytes of an entry besides its payload, used to limit messages and writes. */
    static final int OVERHEAD = 24;
    private static final int BYTES_PER_NAME = 32;

    /** An entry with a command for the state machine. */
    public static Entry command(long index, long term, byte[] payload) {
        return new Entry(index, term, null, payload);
    }

    /** The entry without a command that a leader appends at the start of its term. */
    public static Entry noOp(long index, long term) {
        return new Entry(index, term, null, EMPTY);
    }

    /** An entry that sets the voters. */
    public static Entry voterChange(long index, long term, List<String> voters) {
        return configChange(index, term, VoterConfig.of(voters));
    }

    /** An entry that sets the voter configuration, which may be a joint one. */
    public static Entry configChange(long index, long term, VoterConfig membership) {
        return new Entry(index, term, membership, EMPTY);
    }

    /** The approximate size in bytes. */
    int bytes() {
        return OVERHEAD + payload.length + (membership == null ? 0 : BYTES_PER_NAME * membership.allVoters().size());
    }
}
