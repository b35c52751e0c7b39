package routerfleet.data;

/**
 * Until when a server counts as cold, on the steady clock in milliseconds. What its newest heartbeat says counts from the
 * first receipt, which is later than its sending, so time on the way makes it longer only.
 */
final class WarmupState {
    /** Added to what a server says: control nodes do not repeat what differs by less. */
    private static final long REPORT_MARGIN_MS = 150;
    /** A heartbeat that may have been under way as the server became doubtful proves nothing. */
    private static final long HEARTBEAT_IN_FLIGHT_MS = 400;

    private long sequence = -1;
    private long receivedMs;
    private long coldByHeartbeatUntilMs;
    private long coldByResponseUntilMs;
    private long assumedColdSinceMs;
    private long assumedColdUntilMs;

    /**
     * A control node tells of a heartbeat.
     *
     * @param remainingMs for how long the server said that it would be cold
     * @param fresh whether it has just come to the control node: only such a one ends a doubt
     * @return whether the server counts as cold now and did not before
     */
    boolean heartbeatReported(long heartbeatSequence, long remainingMs, boolean fresh, long nowMs) {
        boolean before = isCold(nowMs);
        if (heartbeatSequence > sequence) {
            sequence = heartbeatSequence;
            receivedMs = nowMs;
            coldByHeartbeatUntilMs = 0;
            if (fresh) {
                coldByResponseUntilMs = 0;
            }
            if (fresh && nowMs - assumedColdSinceMs > HEARTBEAT_IN_FLIGHT_MS) {
                assumedColdUntilMs = 0;
            }
        }
        if (heartbeatSequence == sequence && remainingMs > 0) {
            coldByHeartbeatUntilMs = Math.max(coldByHeartbeatUntilMs, receivedMs + remainingMs + REPORT_MARGIN_MS);
        }
        return !before && isCold(nowMs);
    }

    /** An answer of the server itself says how long it is cold. */
    void responseReported(long remainingMs, long nowMs) {
        if (remainingMs > 0) {
            coldByResponseUntilMs = Math.max(coldByResponseUntilMs, nowMs + remainingMs + REPORT_MARGIN_MS);
        }
    }

    /** It may have turned cold: it counts as such until a later heartbeat is told, or for that long. */
    void assumeCold(long durationMs, long nowMs) {
        assumedColdSinceMs = nowMs;
        assumedColdUntilMs = nowMs + durationMs;
    }

    boolean isCold(long nowMs) {
        return nowMs < coldByHeartbeatUntilMs || nowMs < coldByResponseUntilMs || nowMs < assumedColdUntilMs;
    }
}
