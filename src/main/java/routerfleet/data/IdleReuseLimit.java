package routerfleet.data;

/**
 * For how long connections to a service's servers may rest before they are used again. Servers may forget idle
 * connections without a word, sooner than they say; a request that is sent on such a connection is reset, and may have
 * run. Once that is seen, connections that have rested long are no longer used for a while.
 */
final class IdleReuseLimit {
    /** After a shorter rest a reset has another cause. */
    private static final long MIN_IDLE_MS = 40;
    private static final long LIMIT_DURATION_MS = 20_000;

    private long limitMs = Long.MAX_VALUE;
    private long untilMs;

    /** The longest rest after which a connection may be used, in milliseconds. */
    long maxIdleMs(long nowMs) {
        return nowMs < untilMs ? limitMs : Long.MAX_VALUE;
    }

    /** A connection that had rested was gone when it was used. */
    void connectionLost(long idleMs, long nowMs) {
        if (idleMs < MIN_IDLE_MS) {
            return;
        }
        limitMs = Math.min(maxIdleMs(nowMs), idleMs / 2);
        untilMs = nowMs + LIMIT_DURATION_MS;
    }
}
