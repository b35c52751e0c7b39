package routerfleet.data;

/**
 * What a data node does when, between SIGTERM and the moment in which the platform kills the process. Times are on the
 * monotonic clock in milliseconds.
 *
 * @param startMs when the process received SIGTERM
 * @param graceMs the platform's grace period
 */
record ShutdownSchedule(long startMs, long graceMs) {
    /** How long the ingress may take to notice that a node is not ready: two probes, one second apart, and a margin. */
    private static final long READINESS_PROPAGATION_MS = 3_200;
    /**
     * For how long requests are accepted whose deadline lies behind the end of the process. Clients may still be sent here
     * for 3 s; the rest allows for the time that a signal and a request take to be noticed on a busy machine.
     */
    private static final long ACCEPT_ANY_MS = 2_000;
    /** The part of the grace period that is left for the last responses, and for a signal that was noticed late. */
    private static final double END_MARGIN_FRACTION = 1.0 / 8;
    /** How long before the last responses the requests that have not been sent to a server are refused. */
    private static final long REFUSE_UNSENT_MS = 500;

    /** Whether a request may be sent to a server: it is answered in time, or clients can't know yet of the shutdown. */
    boolean accepts(long deadlineMs, long nowMs) {
        return nowMs - startMs < Math.min(ACCEPT_ANY_MS, graceMs / 4) || deadlineMs <= lastResponsesMs();
    }

    /** Whether idle connections are closed, and new ones no longer accepted. */
    boolean closesIdleConnections(long nowMs) {
        return nowMs - startMs >= Math.min(READINESS_PROPAGATION_MS, graceMs / 2);
    }

    /** Whether requests that no server has received are refused. */
    boolean refusesUnsent(long nowMs) {
        return nowMs >= lastResponsesMs() - REFUSE_UNSENT_MS;
    }

    /** Whether all requests are responded to that still have no response. */
    boolean endsOpenRequests(long nowMs) {
        return nowMs >= lastResponsesMs();
    }

    /** Whether the process ends even if connections are open. */
    boolean isOver(long nowMs) {
        return nowMs >= startMs + graceMs - marginMs() / 4;
    }

    private long lastResponsesMs() {
        return startMs + graceMs - marginMs();
    }

    private long marginMs() {
        return (long) (graceMs * END_MARGIN_FRACTION);
    }
}
