package routerfleet;

import static org.hamcrest.MatcherAssert.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import routerfleet.demo.LoopbackFleet;
import routerfleet.demo.LoopbackHttp;

/** A client of a fleet's first data node, with the key of the tenant of {@link routerfleet.demo.Configurations}. */
final class FleetClient {
    private static final int WARM_UP_REQUESTS = 10;
    private static final int MAX_TRIES = 400;
    private static final long MAX_WAIT_S = 20;
    private static final byte[] BODY = "x".getBytes(StandardCharsets.US_ASCII);

    private final LoopbackFleet fleet;
    private final long deadlineMs;

    /** @param deadlineMs of each request, in milliseconds */
    FleetClient(LoopbackFleet fleet, long deadlineMs) {
        this.fleet = fleet;
        this.deadlineMs = deadlineMs;
    }

    /** Sends a request on a connection of its own. @throws IOException if no head of a response comes */
    LoopbackHttp.Answer request(String id, String path) throws IOException {
        return request(id, path, Map.of());
    }

    /** Sends a request with further headers. @throws IOException if no head of a response comes */
    LoopbackHttp.Answer request(String id, String path, Map<String, String> furtherHeaders) throws IOException {
        Map<String, String> headers = new HashMap<>(furtherHeaders);
        headers.putAll(Map.of("Host", "fleet.example", "Api-Key", "k1", "Rowanplank-Attempt-Id", id,
                "Rowanplank-Deadline-Ms", Long.toString(deadlineMs)));
        return LoopbackHttp.call(fleet.frontend(0), "POST", path, headers, BODY);
    }

    /** Sends requests until the servers are known and ten were served, each of which adds to the retry budget. */
    void warmUp(String path) throws IOException {
        for (int i = 0, served = 0; served < WARM_UP_REQUESTS; i++) {
            served += request("warm-" + i, path).status() == 200 ? 1 : 0;
            assertThat("requests are served", i < MAX_TRIES);
        }
    }

    /** Sends requests until the status of the response is another one. */
    void awaitOtherThan(int status, String path) throws IOException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_WAIT_S);
        for (int i = 0; request("other-" + i, path).status() == status; i++) {
            assertThat("the response changes", System.nanoTime() - endNanos < 0);
        }
    }
}
