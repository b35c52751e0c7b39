package rowanplank.agreement;

import java.time.Duration;
import java.time.Instant;

/** What a leader knows of another voter, and what it sends next. */
final class PeerProgress {
    final String name;
    /** Up to here its log is known to be alike, and on its disk. */
    long match;
    /** What it is sent next. */
    long next;
    /** The latest of the leader's rounds that it has answered. */
    long round;
    /** The round of its last refusal: an older one that comes late says nothing. */
    long refusedRound;
    /** How many messages with entries are on their way. */
    int underWay;
    /** The snapshot that is on its way to it; null where none is. */
    Snapshot sending;
    /** How much of it is there. */
    int have;
    /** When its last piece was sent; null where the next one is to be sent at once. */
    Instant pieceSent;
    Instant heard;
    /** Whether its log is known to be alike up to {@link #match}; until then it is sent the same again. */
    private boolean probed;
    private long matchBefore;
    /** Since when it has made no progress. */
    private Instant waitingSince;
    /** It may have less than it had told of: the round of the leader's when it first seemed so; 0 where nothing says so. */
    private long doubtedRound;
    /** It has said that it has less than it had told of before: its state is an older copy. */
    boolean regressed;

    PeerProgress(String name, long next, Instant now) {
        this.name = name;
        this.next = next;
        heard = now;
    }

    void sent(int entries) {
        if (probed && entries > 0) {
            next += entries;
            underWay++;
        }
    }

    void alikeTo(long index) {
        doubtedRound = 0;
        match = Math.max(match, index);
        next = Math.max(next, match + 1);
        probed = true;
        underWay = Math.max(0, underWay - 1);
        if (sending != null && index >= sending.index()) {
            sending = null;
        }
    }

    /**
     * What it may have alike is also little where only the end of its log differs and the message before that end was
     * lost. So a first refusal raises a doubt; from then on it is sent what stands right behind {@link #match}, and who
     * refuses that, in a later round than any message before, has lost what it had.
     *
     * @param now the leader's round
     * @return whether it is to be sent something else at once; guards against answers to answers without end
     */
    boolean refused(long mayBeAlike, long itsRound, long now) {
        if (mayBeAlike < match) {
            regressed |= doubtedRound > 0 && itsRound > doubtedRound;
            doubtedRound = doubtedRound > 0 ? doubtedRound : now;
        }
        long before = next;
        next = Math.max(match, mayBeAlike) + 1;
        refusedRound = itsRound;
        underWay = 0;
        probed = false;
        return next != before;
    }

    /** Whether what it says counts towards a majority. */
    boolean counts() {
        return !regressed && doubtedRound == 0;
    }

    /**
     * Whether it is to be sent entries, and not only a heartbeat.
     *
     * @param window how many such messages may be under way
     * @param onlyProbed not before it is known from where on the log is not alike
     */
    boolean mayBeSentEntries(int window, boolean onlyProbed) {
        return underWay < window && (probed || !onlyProbed);
    }

    /** Once a heartbeat: what was sent and brought no progress for so long is taken for lost. */
    void sendAgain(Instant now, Duration patience) {
        if (waitingSince == null || match != matchBefore) {
            waitingSince = now;
        }
        boolean lost = match == matchBefore && !now.isBefore(waitingSince.plus(patience));
        if (probed && lost) {
            next = match + 1;
            underWay = 0;
            waitingSince = now;
        }
        matchBefore = match;
    }
}
