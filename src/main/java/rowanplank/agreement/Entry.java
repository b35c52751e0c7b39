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
public record Entry(long index, long term, Membership membership, byte[] payload) {
    private static final byte[] NOTHING = {};
    /** What an entry takes beside its payload, about, where messages and logs are filled up to a bound. */
    static final int OVERHEAD = 24;
    private static final int BYTES_A_NAME = 32;

    public static Entry command(long index, long term, byte[] payload) {
        return new Entry(index, term, null, payload);
    }

    public static Entry opening(long index, long term) {
        return new Entry(index, term, null, NOTHING);
    }

    public static Entry voters(long index, long term, List<String> voters) {
        return changing(index, term, Membership.of(voters));
    }

    public static Entry changing(long index, long term, Membership membership) {
        return new Entry(index, term, membership, NOTHING);
    }

    int bytes() {
        return OVERHEAD + payload.length + (membership == null ? 0 : BYTES_A_NAME * membership.all().size());
    }
}
