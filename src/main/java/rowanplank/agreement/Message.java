package rowanplank.agreement;

import java.util.List;

/** What voters tell each other. Any of them may be lost, late, doubled or out of order. */
public sealed interface Message {
    /** The sender's term; of a vote asked for beforehand ({@code pre}), the term that it would begin. */
    long term();

    /**
     * @param pre whether it only asks whether it would get the vote; changes nothing at either side
     * @param handover whether the leader itself has asked for this election
     */
    record VoteRequest(long term, boolean pre, boolean handover, long lastIndex, long lastTerm) implements Message { }

    record VoteResponse(long term, boolean pre, boolean granted) implements Message { }

    /**
     * @param previous the entry before the first one of this message, and its term
     * @param commit up to where the leader knows the log to be decided
     * @param round comes back with the reply: who answers it has known of no higher term until then
     */
    record AppendRequest(long term, long previous, long previousTerm, long commit, long round, List<Entry> entries)
            implements Message { }

    /** @param match with {@code ok}, up to where the logs are alike; else, up to where they may be */
    record AppendResponse(long term, long round, boolean ok, long match) implements Message { }

    /** A part of a snapshot. @param whole how long all of it is */
    record SnapshotChunk(long term, long round, long index, long indexTerm, List<String> voters, int whole, int offset,
            byte[] bytes) implements Message { }

    /** @param index of the snapshot. @param have how much of it has come so far, without gaps */
    record SnapshotChunkResponse(long term, long round, long index, int have) implements Message { }

    /** The leader asks a voter that has all of its log to stand at once. */
    record TimeoutNow(long term) implements Message { }
}
