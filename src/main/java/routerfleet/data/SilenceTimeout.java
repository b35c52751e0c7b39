package routerfleet.data;

/** For how long a server may send nothing before an idempotent request is sent to another one as well. */
final class SilenceTimeout {
    /**
     * If a server with at least two requests in flight has sent nothing for so long, it may have failed. With a single
     * request in flight, silence mostly means that the server is processing a long prompt; a retry would only make another
     * server process it as well.
     */
    static final long SEVERAL_REQUESTS_MS = 900;
    /** Timeout of a single request, as a fraction of the route's timeout: leaves time for another server. */
    private static final double SINGLE_REQUEST_FRACTION = 1.0 / 3;

    private SilenceTimeout() { }

    /** Whether the server has been silent for too long. @param routeTimeoutMs timeout of the request's route */
    static boolean isReached(Server server, long routeTimeoutMs, long nowMs) {
        return server.silentWithTwoRequestsMs(nowMs) > SEVERAL_REQUESTS_MS || server.silentMs(nowMs)
                > Math.max(SEVERAL_REQUESTS_MS, SINGLE_REQUEST_FRACTION * routeTimeoutMs);
    }
}
