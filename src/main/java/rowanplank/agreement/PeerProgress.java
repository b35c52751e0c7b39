package rowanplank.agreement;

import java.time.Duration;
import java.time.Instant;

/** What a leader knows of another voter, and what it sends next. */
final class PeerProgress {
    final String name;
    /** Up to here its log is known to be alike, and on its disk. */
    long matchIndex;
    /** What it is sent next. */
    long nextIndex;
    /** The latest of the leader's rounds that it has answered. */
    long lastRound;
    /** The round of its last refusal: an older one that comes late says nothing. */
    long rejectedRound;
    /** How many messages with entries are on their way. */
    int appendsInFlight;
    /** The snapshot that is on its way to it; null where none is. */
    Snapshot snapshotInTransfer;
    /** How much of it is there. */
    int bytesReceived;
    /** When its last piece was sent; null where the next one is to be sent at once. */
    Instant chunkSentAt;
    Instant lastHeard;
    /** Whether its log is known to be alike up to {@link #matchIndex}; until then it is sent the same again. */
    private boolean probed;
    private long previousMatchIndex;
    /** Since when it has made no progress. */
    private Instant stalledSince;
    /** It may have less than it had told of: the round of the leader's when it first seemed so; 0 where nothing says so. */
    private long doubtRound;
    /** It has said that it has less than it had told of before: its state is an older copy. */
    boolean regressed;

    PeerProgress(String name, long next, Instant now) {
        this.name = name;
        this.nextIndex = next;
        lastHeard = now;
    }

    void onAppendSent(int entries) {
        if (probed && entries > 0) {
            nextIndex += entries;
            appendsInFlight++;
        }
    }

    void onMatch(long index) {
        doubtRound = 0;
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        probed = true;
        appendsInFlight = Math.max(0, appendsInFlight - 1);
        if (snapshotInTransfer != null && index >= snapshotInTransfer.index()) {
            snapshotInTransfer = null;
        }
    }

    /**
     * What it may have alike is also little where only the end of its log differs and the message before that end was
     * lost. So a first refusal raises a doubt; from then on it is sent what stands right behind {@link #matchIndex}, and who
     * refuses that, in a later round than any message before, has lost what it had.
     *
     * @param now the leader's round
     * @return whether it is to be sent something else at once; guards against answers to answers without end
     */
    boolean onRejected(long mayBeAlike, long itsRound, long now) {
        if (mayBeAlike < matchIndex) {
            regressed |= doubtRound > 0 && itsRound > doubtRound;
            doubtRound = doubtRound > 0 ? doubtRound : now;
        }
        long before = nextIndex;
        nextIndex = Math.max(matchIndex, mayBeAlike) + 1;
        rejectedRound = itsRound;
        appendsInFlight = 0;
        probed = false;
        return nextIndex != before;
    }

    /** Whether what it says counts towards a majority. */
    boolean countsTowardsQuorum() {
        return !regressed && doubtRound == 0;
    }

    /**
     * Whether it is to be sent entries, and not only a heartbeat.
     *
     * @param window how many such messages may be under way
     * @param onlyProbed not before it is known from where on the log is not alike
     */
    boolean maySendEntries(int window, boolean onlyProbed) {
        return appendsInFlight < window && (probed || !onlyProbed);
    }

    /** Once a heartbeat: what was sent and brought no progress for so long is taken for lost. */
    void resendIfStalled(Instant now, Duration patience) {
        if (stalledSince == null || matchIndex != previousMatchIndex) {
            stalledSince = now;
        }
        boolean lost = matchIndex == previousMatchIndex && !now.isBefore(stalledSince.plus(patience));
        if (probed && lost) {
            nextIndex = matchIndex + 1;
            appendsInFlight = 0;
            stalledSince = now;
        }
        previousMatchIndex = matchIndex;
    }
}
