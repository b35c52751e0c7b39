package rowanplank.agreement;

import java.util.List;

/** A message between members of a Raft group. Messages may be lost, delayed, duplicated or reordered. */
public sealed interface Message {
    /** The sender's term; for a pre-vote ({@code pre}), the term that the election would start. */
    long term();

    /**
     * A candidate's request for a vote.
     *
     * @param pre whether this is a pre-vote, which changes no state on either side
     * @param handover whether the leader itself asked for this election
     * @param lastIndex the index of the last entry of the candidate's log
     * @param lastTerm the term of that entry
     */
    record VoteRequest(long term, boolean pre, boolean handover, long lastIndex, long lastTerm) implements Message { }

    /** The answer to a {@link VoteRequest}. */
    record VoteResponse(long term, boolean pre, boolean granted) implements Message { }

    /**
     * Entries of the leader's log, or just a heartbeat.
     *
     * @param previous the index of the entry before the first one of this message
     * @param previousTerm the term of that entry
     * @param commit the leader's commit index
     * @param round returned in the response. A member that answers had seen no higher term until then
     */
    record AppendRequest(long term, long previous, long previousTerm, long commit, long round, List<Entry> entries)
            implements Message { }

    /**
     * The answer to an {@link AppendRequest}, or to a completed snapshot.
     *
     * @param match if {@code ok}, the last matching index; otherwise the last index that may match
     */
    record AppendResponse(long term, long round, boolean ok, long match) implements Message { }

    /**
     * A chunk of a snapshot.
     *
     * @param index the last entry that the snapshot covers
     * @param indexTerm the term of that entry
     * @param whole the length of the whole snapshot in bytes
     * @param offset of this chunk in bytes
     */
    record SnapshotChunk(long term, long round, long index, long indexTerm, List<String> voters, int whole, int offset,
            byte[] bytes) implements Message { }

    /**
     * The answer to a {@link SnapshotChunk}.
     *
     * @param index the last entry that the snapshot covers
     * @param have the number of bytes received so far without gaps
     */
    record SnapshotChunkResponse(long term, long round, long index, int have) implements Message { }

    /** The leader asks a voter that has the whole log to start an election at once. */
    record TimeoutNow(long term) implements Message { }
}
