package routerfleet.data;

/**
 * Whether servers of a zone can be reached from this node. A partition takes all of a zone's servers at once; to find it
 * out for each server alone would cost a connect timeout each. Where connects there time out and nothing in the zone has
 * answered since they began, the zone is left alone, and one request tries it in each {@value #PAUSE_MS} ms.
 */
final class ZoneReach {
    /** One time-out may be a server that is gone. */
    private static final int LEAST_TIMEOUTS = 2;
    static final long PAUSE_MS = 500;

    private long reachedMs = Long.MIN_VALUE;
    private int timeouts;
    private long avoidUntilMs;

    /** A server there has taken a connection or has answered. */
    void reached(long nowMs) {
        reachedMs = nowMs;
        timeouts = 0;
    }

    /** A connect to a server there has had no answer. @param sinceMs when it began, on the steady clock */
    void timedOut(long sinceMs, long nowMs) {
        if (reachedMs < sinceMs && ++timeouts >= LEAST_TIMEOUTS) {
            avoidUntilMs = nowMs + PAUSE_MS;
        }
    }

    /** A request goes there: after a pause it is the only one to try. */
    void sent(long nowMs) {
        if (isLost()) {
            avoidUntilMs = nowMs + PAUSE_MS;
        }
    }

    /** Whether the zone counts as out of reach: connections from before are not to be relied on. */
    boolean isLost() {
        return timeouts >= LEAST_TIMEOUTS;
    }

    /** Whether the zone is left alone now. */
    boolean isAvoided(long nowMs) {
        return isLost() && nowMs < avoidUntilMs;
    }
}
