package routerfleet.data;

/**
 * Whether servers of a zone can be reached from this node. A partition takes all of a zone's servers at once; to find it
 * out for each server alone would cost a connect timeout each. Where connects there time out and nothing in the zone has
 * answered since they began, the zone is left alone, and one request tries it in each {@value #PROBE_INTERVAL_MS} ms.
 */
final class ZoneReachability {
    /** One time-out may be a server that is gone. */
    private static final int MIN_TIMEOUTS = 2;
    static final long PROBE_INTERVAL_MS = 500;

    private long lastReachedMs = Long.MIN_VALUE;
    private int timeouts;
    private long avoidUntilMs;

    /** A server there has taken a connection or has answered. */
    void reached(long nowMs) {
        lastReachedMs = nowMs;
        timeouts = 0;
    }

    /** A connect to a server there has had no answer. @param sinceMs when it began, on the steady clock */
    void connectTimedOut(long connectStartMs, long nowMs) {
        if (lastReachedMs < connectStartMs && ++timeouts >= MIN_TIMEOUTS) {
            avoidUntilMs = nowMs + PROBE_INTERVAL_MS;
        }
    }

    /** A request goes there: after a pause it is the only one to try. */
    void requestSent(long nowMs) {
        if (isUnreachable()) {
            avoidUntilMs = nowMs + PROBE_INTERVAL_MS;
        }
    }

    /** Whether the zone counts as out of reach: connections from before are not to be relied on. */
    boolean isUnreachable() {
        return timeouts >= MIN_TIMEOUTS;
    }

    /** Whether the zone is left alone now. */
    boolean isAvoided(long nowMs) {
        return isUnreachable() && nowMs < avoidUntilMs;
    }
}
