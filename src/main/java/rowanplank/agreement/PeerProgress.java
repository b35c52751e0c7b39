package rowanplank.agreement;

import java.time.Duration;
import java.time.Instant;

/** What a leader knows about another voter or learner, and what to send to it next. */
final class PeerProgress {
    final String name;
    /** The last index up to which its log is on its disk and known to match. */
    long matchIndex;
    /** The index of the next entry to send. */
    long nextIndex;
    /** The latest of the leader's rounds that it has answered. */
    long lastRound;
    /** The round of its last rejection; rejections of earlier rounds are outdated. */
    long rejectedRound;
    /** The number of messages with entries that it has not answered yet. */
    int appendsInFlight;
    /** The snapshot being sent to it; null if there is none. */
    Snapshot snapshotInTransfer;
    /** How many bytes of that snapshot it has received. */
    int bytesReceived;
    /** When the last chunk was sent; null if the next one is to be sent at once. */
    Instant chunkSentAt;
    /** When its last message arrived. */
    Instant lastHeard;
    /**
     * Whether {@link #nextIndex} is known to follow the last matching entry; until then the same entries are sent
     * again.
     */
    private boolean probed;
    private long previousMatchIndex;
    /** Since when its {@link #matchIndex} has not changed. */
    private Instant stalledSince;
    /**
     * The leader's round in which it first seemed to have lost entries that it had acknowledged; 0 if there is no such
     * doubt.
     */
    private long doubtRound;
    /** Whether it has lost entries that it had acknowledged, because its state was replaced by an older copy. */
    boolean regressed;

    PeerProgress(String name, long next, Instant now) {
        this.name = name;
        this.nextIndex = next;
        lastHeard = now;
    }

    /** Entries were sent; the following ones are sent without waiting for the answer once probing is done. */
    void onAppendSent(int entries) {
        if (probed && entries > 0) {
            nextIndex += entries;
            appendsInFlight++;
        }
    }

    /** It has acknowledged that its log matches up to this index. */
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
     * It has rejected entries because its log differs before them. Its hint may be below {@link #matchIndex} although
     * nothing is lost: when the end of its log differs and the message before that end got lost. So the first such
     * rejection only raises a doubt, and from then on it is sent what follows {@link #matchIndex}. If it rejects that
     * too, in a later round than that of any message sent before, it has lost entries.
     *
     * @param hint the last index that may match
     * @param itsRound the round of the message that it rejected
     * @param currentRound the leader's current round
     * @return whether something else is to be sent at once; false prevents an endless exchange of equal messages
     */
    boolean onRejected(long hint, long itsRound, long currentRound) {
        if (hint < matchIndex) {
            regressed |= doubtRound > 0 && itsRound > doubtRound;
            doubtRound = doubtRound > 0 ? doubtRound : currentRound;
        }
        long before = nextIndex;
        nextIndex = Math.max(matchIndex, hint) + 1;
        rejectedRound = itsRound;
        appendsInFlight = 0;
        probed = false;
        return nextIndex != before;
    }

    /** Whether its answers count towards a majority. */
    boolean countsTowardsQuorum() {
        return !regressed && doubtRound == 0;
    }

    /**
     * Whether the next message may carry entries; otherwise it is only a heartbeat.
     *
     * @param window the limit of unanswered messages with entries
     * @param onlyProbed whether entries have to wait until the matching index is known
     */
    boolean maySendEntries(int window, boolean onlyProbed) {
        return appendsInFlight < window && (probed || !onlyProbed);
    }

    /**
     * Called once per heartbeat: messages that brought no progress within the delay are considered lost, and their
     * entries are sent again.
     */
    void resendIfStalled(Instant now, Duration resendDelay) {
        if (stalledSince == null || matchIndex != previousMatchIndex) {
            stalledSince = now;
        }
        boolean lost = matchIndex == previousMatchIndex && !now.isBefore(stalledSince.plus(resendDelay));
        if (probed && lost) {
            nextIndex = matchIndex + 1;
            appendsInFlight = 0;
            stalledSince = now;
        }
        previousMatchIndex = matchIndex;
    }
}
