package routerfleet.data;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.vavr.control.Either;
import routerfleet.config.RouteConfig;
import routerfleet.config.TenantConfig;

/**
 * What the configuration says of one request: its route, service and tenant, and how long it may take.
 *
 * @param key of the client; null where the route needs none
 * @param tenant that holds the key; null where the route needs none
 * @param backend the service that gets it
 * @param deadlineMs until when it has to be answered, on the steady clock
 */
record AdmittedRequest(String id, RouteConfig route, String key, TenantConfig tenant, String backend,
        PromptPrefix prefix, long deadlineMs) {
    private static final long DEFAULT_TARGET_LATENCY_MS = 500;

    /**
     * Reads a request against the configuration that is in force here.
     *
     * @param receivedMs when its first byte was read, on the steady clock
     * @return why it is not taken, or what is known of it
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
        boolean keyed = table.hasTenants() && !found.config().isPublic();
        if (keyed && !plane.keysAreFresh()) {
            return Either.left(ErrorResponse.notReady());
        }
        String key = keyed ? headers.get(ProxyHeaders.API_KEY) : null;
        TenantConfig tenant = key == null ? null : table.tenantForKey(key);
        if (keyed && tenant == null) {
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
            // as if the client had said nothing
        }
        return Math.max(1, Math.min(requestedMs, timeoutMs));
    }

    /** The time within which an answer earns its full worth, in milliseconds. */
    long targetLatencyMs() {
        return route.targetLatencyMs() > 0 ? route.targetLatencyMs() : DEFAULT_TARGET_LATENCY_MS;
    }

    /** What the choice of a server is made by. */
    PromptProfile promptProfile() {
        return new PromptProfile(route.name(), prefix, targetLatencyMs());
    }

    /** Whether the key still holds: the process may have stood still since it was checked. */
    boolean isKeyStillValid(DataPlane plane) {
        return tenant == null || plane.keysAreFresh() && plane.table().tenantForKey(key) != null;
    }
}
