package routerfleet.data;

/**
 * Limits how long a connection to a service's servers may have been idle to be reused. Servers may drop idle connections
 * without closing them, and earlier than they announce. A request on such a connection is reset, and it is then unknown
 * whether it was executed. After such a reset, connections that have been idle for long are not reused for a while.
 */
final class IdleReuseLimit {
    /** A reset after a shorter idle time has another cause. */
    private static final long MIN_IDLE_MS = 40;
    private static final long LIMIT_DURATION_MS = 20_000;

    private long limitMs = Long.MAX_VALUE;
    private long untilMs;

    /** The longest idle time after which a connection may be reused, in milliseconds. */
    long maxIdleMs(long nowMs) {
        return nowMs < untilMs ? limitMs : Long.MAX_VALUE;
    }

    /** Records that a connection that had been idle was lost when it was reused. */
    void connectionLost(long idleMs, long nowMs) {
        if (idleMs < MIN_IDLE_MS) {
            return;
        }
        limitMs = Math.min(maxIdleMs(nowMs), idleMs / 2);
        untilMs = nowMs + LIMIT_DURATION_MS;
    }
}
