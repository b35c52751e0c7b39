package routerfleet.data;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.vavr.control.Either;
import routerfleet.config.RouteConfig;
import routerfleet.config.TenantConfig;

/**
 * A request that has passed routing and authentication, with its route, tenant, backend and deadline.
 *
 * @param id value of the {@code Rowanplank-Attempt-Id} header
 * @param key the client's API key; null if the route needs none
 * @param tenant the owner of the key; null if the route needs none
 * @param backend name of the service that the request is sent to
 * @param deadlineMs by when the response is due, on the monotonic clock in milliseconds
 */
record AdmittedRequest(String id, RouteConfig route, String key, TenantConfig tenant, String backend,
        PromptPrefix prefix, long deadlineMs) {
    private static final long DEFAULT_TARGET_LATENCY_MS = 500;

    /**
     * Routes and authenticates a request by this node's current configuration.
     *
     * @param receivedMs when its first byte was read, on the monotonic clock in milliseconds
     * @return the error response to send, or the admitted request
     */
    static Either<ErrorResponse, AdmittedRequest> admit(DataPlane plane, HttpRequest request, long receivedMs) {
        RoutingTable table = plane.table();
        HttpHeaders headers = request.headers();
        if (!plane.hasConfiguration()) {
            return Either.left(ErrorResponse.notReady());
        }
        RoutingTable.Route found = table.findRoute(headers.get(HttpHeaderNames.HOST), request.uri());
        if (found == null) {
            return Either.left(ErrorResponse.withoutRetry(404, "no route"));
        }
        String id = headers.get(ProxyHeaders.ATTEMPT_ID);
        if (id == null || id.isBlank()) {
            return Either.left(ErrorResponse.withoutRetry(400, "Rowanplank-Attempt-Id is missing"));
        }
        boolean needsKey = table.hasTenants() && !found.config().isPublic();
        if (needsKey && !plane.keysAreFresh()) {
            return Either.left(ErrorResponse.notReady());
        }
        String key = needsKey ? headers.get(ProxyHeaders.API_KEY) : null;
        TenantConfig tenant = key == null ? null : table.tenantForKey(key);
        if (needsKey && tenant == null) {
            return Either.left(ErrorResponse.withoutRetry(401, "no such key"));
        }
        return Either.right(new AdmittedRequest(id, found.config(), key, tenant, found.backend(plane.nextRandom()),
                PromptPrefix.parse(headers.get(ProxyHeaders.PROMPT_PREFIX)),
                receivedMs + allowedMs(headers.get(ProxyHeaders.DEADLINE), found.config().timeoutMs())));
    }

    private static long allowedMs(String header, long timeoutMs) {
        long requestedMs = timeoutMs;
        try {
            requestedMs = header == null ? timeoutMs : (long) Double.parseDouble(header.strip());
        } catch (NumberFormatException e) {
            // an invalid header is ignored
        }
        return Math.max(1, Math.min(requestedMs, timeoutMs));
    }

    /** The route's target latency for the first response, or the default, in milliseconds. */
    long targetLatencyMs() {
        return route.targetLatencyMs() > 0 ? route.targetLatencyMs() : DEFAULT_TARGET_LATENCY_MS;
    }

    /** The properties of the request that the choice of a server depends on. */
    PromptProfile promptProfile() {
        return new PromptProfile(route.name(), prefix, targetLatencyMs());
    }

    /** Whether the API key is still valid: the process may have been suspended since the key was checked. */
    boolean isKeyStillValid(DataPlane plane) {
        return tenant == null || plane.keysAreFresh() && plane.table().tenantForKey(key) != null;
    }
}
