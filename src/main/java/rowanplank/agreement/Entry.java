package rowanplank.agreement;

import java.util.List;

/**
 * One entry of the log.
 *
 * @param index its place, from 1
 * @param term the term of the leader that wrote it first
 * @param membership who votes from this entry on; null where the entry changes nothing about that
 * @param payload what the state machine is told; empty for the entry that opens a term; not to be changed
 */
public record Entry(long index, long term, VoterConfig membership, byte[] payload) {
    private static final byte[] EMPTY = {};
    /** What an entry takes beside its payload, about, where messages and logs are filled up to a bound. */
    static final int OVERHEAD = 24;
    private static final int BYTES_PER_NAME = 32;

    public static Entry command(long index, long term, byte[] payload) {
        return new Entry(index, term, null, payload);
    }

    public static Entry noOp(long index, long term) {
        return new Entry(index, term, null, EMPTY);
    }

    public static Entry voterChange(long index, long term, List<String> voters) {
        return configChange(index, term, VoterConfig.of(voters));
    }

    public static Entry configChange(long index, long term, VoterConfig membership) {
        return new Entry(index, term, membership, EMPTY);
    }

    int bytes() {
        return OVERHEAD + payload.length + (membership == null ? 0 : BYTES_PER_NAME * membership.allVoters().size());
    }
}
