package routerfleet.data;

/**
 * Tracks until when a server counts as cold, on the monotonic clock in milliseconds. The remaining time that a heartbeat
 * reports is counted from its first receipt here, so network delay can only extend it.
 */
final class WarmupState {
    /** Added to reported times, since control nodes do not pass on reports that differ by less. */
    private static final long REPORT_MARGIN_MS = 150;
    /** A heartbeat received so soon after the server was assumed cold may have been sent before, and is no evidence. */
    private static final long HEARTBEAT_IN_FLIGHT_MS = 400;

    private long sequence = -1;
    private long receivedMs;
    private long coldByHeartbeatUntilMs;
    private long coldByResponseUntilMs;
    private long assumedColdSinceMs;
    private long assumedColdUntilMs;

    /**
     * Records a heartbeat that a control node reports.
     *
     * @param heartbeatSequence the heartbeat's sequence number
     * @param remainingMs for how long the server will be cold according to the heartbeat
     * @param fresh whether the control node has just received it; only then does it end the effect of {@link #assumeCold}
     * @return whether the server has become cold by this call
     */
    boolean heartbeatReported(long heartbeatSequence, long remainingMs, boolean fresh, long nowMs) {
        boolean wasCold = isCold(nowMs);
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
        return !wasCold && isCold(nowMs);
    }

    /** Records for how long the server will be cold according to one of its responses. */
    void responseReported(long remainingMs, long nowMs) {
        if (remainingMs > 0) {
            coldByResponseUntilMs = Math.max(coldByResponseUntilMs, nowMs + remainingMs + REPORT_MARGIN_MS);
        }
    }

    /** Assumes that the server may have become cold, until a later heartbeat is reported or for the given time. */
    void assumeCold(long durationMs, long nowMs) {
        assumedColdSinceMs = nowMs;
        assumedColdUntilMs = nowMs + durationMs;
    }

    /** Whether the server counts as cold now. */
    boolean isCold(long nowMs) {
        return nowMs < coldByHeartbeatUntilMs || nowMs < coldByResponseUntilMs || nowMs < assumedColdUntilMs;
    }
}
