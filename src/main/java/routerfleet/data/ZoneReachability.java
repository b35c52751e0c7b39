package routerfleet.data;

/**
 * Tracks whether the servers of a zone can be reached from this node. A network partition cuts off all servers of a zone at
 * once; detecting that for each server separately would cost a connect timeout per server. If connects to servers of the
 * zone time out and none of its servers has responded since they began, the zone is avoided, and one request probes it in
 * each {@value #PROBE_INTERVAL_MS} ms.
 */
final class ZoneReachability {
    /** A single timeout may be caused by a server that has stopped. */
    private static final int MIN_TIMEOUTS = 2;
    static final long PROBE_INTERVAL_MS = 500;

    private long lastReachedMs = Long.MIN_VALUE;
    private int timeouts;
    private long avoidUntilMs;

    /** Records that a server of the zone has accepted a connection or sent bytes. */
    void reached(long nowMs) {
        lastReachedMs = nowMs;
        timeouts = 0;
    }

    /** Records a connect timeout. @param connectStartMs when the connect began, on the monotonic clock in milliseconds */
    void connectTimedOut(long connectStartMs, long nowMs) {
        if (lastReachedMs < connectStartMs && ++timeouts >= MIN_TIMEOUTS) {
            avoidUntilMs = nowMs + PROBE_INTERVAL_MS;
        }
    }

    /** Records that a request goes to the zone. If the zone is unreachable, it is the only probe for an interval. */
    void requestSent(long nowMs) {
        if (isUnreachable()) {
            avoidUntilMs = nowMs + PROBE_INTERVAL_MS;
        }
    }

    /** Whether the zone counts as unreachable; idle connections to it are then not reused. */
    boolean isUnreachable() {
        return timeouts >= MIN_TIMEOUTS;
    }

    /** Whether the zone is to be avoided now. */
    boolean isAvoided(long nowMs) {
        return isUnreachable() && nowMs < avoidUntilMs;
    }
}
