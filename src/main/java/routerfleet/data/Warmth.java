package routerfleet.data;

/**
 * Until when a server counts as cold, on the steady clock in milliseconds. What its newest heartbeat says counts from the
 * first receipt, which is later than its sending, so time on the way makes it longer only.
 */
final class Warmth {
    /** Added to what a server says: control nodes do not repeat what differs by less. */
    private static final long MARGIN_MS = 150;
    /** A heartbeat that may have been under way as the server became doubtful proves nothing. */
    private static final long IN_FLIGHT_MS = 400;

    private long sequence = -1;
    private long receivedMs;
    private long toldUntilMs;
    private long answeredUntilMs;
    private long doubtfulSinceMs;
    private long doubtfulUntilMs;

    /**
     * A control node tells of a heartbeat.
     *
     * @param leftMs for how long the server said that it would be cold
     * @param fresh whether it has just come to the control node: only such a one ends a doubt
     * @return whether the server counts as cold now and did not before
     */
    boolean told(long heartbeat, long leftMs, boolean fresh, long nowMs) {
        boolean before = isCold(nowMs);
        if (heartbeat > sequence) {
            sequence = heartbeat;
            receivedMs = nowMs;
            toldUntilMs = 0;
            if (fresh) {
                answeredUntilMs = 0;
            }
            if (fresh && nowMs - doubtfulSinceMs > IN_FLIGHT_MS) {
                doubtfulUntilMs = 0;
            }
        }
        if (heartbeat == sequence && leftMs > 0) {
            toldUntilMs = Math.max(toldUntilMs, receivedMs + leftMs + MARGIN_MS);
        }
        return !before && isCold(nowMs);
    }

    /** An answer of the server itself says how long it is cold. */
    void answered(long leftMs, long nowMs) {
        if (leftMs > 0) {
            answeredUntilMs = Math.max(answeredUntilMs, nowMs + leftMs + MARGIN_MS);
        }
    }

    /** It may have turned cold: it counts as such until a later heartbeat is told, or for that long. */
    void doubt(long forMs, long nowMs) {
        doubtfulSinceMs = nowMs;
        doubtfulUntilMs = nowMs + forMs;
    }

    boolean isCold(long nowMs) {
        return nowMs < toldUntilMs || nowMs < answeredUntilMs || nowMs < doubtfulUntilMs;
    }
}
