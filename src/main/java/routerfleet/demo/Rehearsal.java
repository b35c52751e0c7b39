package routerfleet.demo;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;

/**
 * Runs a small fleet through its usual work once: a group that grows, orders, heartbeats, pages, streams, evacuations,
 * tallies. Shows on any machine, in one process, that an installation works; the build records the classes that it loads.
 */
public final class Rehearsal {
    private static final int REQUESTS = 40;
    private static final int EVENTS = 4;
    /** As many as the loss of two requires. The first ones found the group, which then grows. */
    private static final int CONTROL_NODES = 5;
    private static final int TOLERATED_LOSSES = 2;
    private static final int MOST_CALLS = 200;
    private static final long CALL_PAUSE_NANOS = 20_000_000;
    private static final int OK = 200;
    private static final int SERVER_ERROR = 500;
    private static final String CONFIGURATION = """
            {"generation":1,"routes":[
            {"name":"pages","host":"demo.example","path_prefix":"/pages/","type":"safe","timeout_ms":3000,
             "target_latency_ms":300,"priority":0,"backend":"web","max_attempts":2,"public":false},
            {"name":"drafts","host":"demo.example","path_prefix":"/drafts/","type":"streaming","timeout_ms":3000,
             "target_latency_ms":300,"priority":1,"traffic_split":[{"backend":"llm","weight":1}],"max_attempts":2,
             "public":false,"session_affinity":true,"stream_resume":true,"gap_aim_ms":300}],
            "backends":[{"name":"web","max_connections":90},
             {"name":"llm","max_connections":90,"runtime":{"capacity":16,"kv_capacity":1000,"stride":5}}],
            "limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,
             "idle_timeout_ms":15000},
            "tenants":[{"name":"one","api_keys":["key"],"priority":0,"unit":"token_count","uncached_tokens":10,
             "rate_per_s":100000,"burst":100000}]}""";

    /** Numbers as texts are taken, but read by other parts of the program than plain orders. */
    private static final String UNUSUAL_PATCH = """
            {"generation":3,"upsert":{"backends":[{"name":"web","max_connections":"90"}]}}""";

    private Rehearsal() { }

    /** @return how many requests were served */
    public static int run() throws IOException {
        Path folder = Files.createTempDirectory("rehearsal");
        int served = 0;
        try (LoopbackFleet fleet = new LoopbackFleet(folder, CONTROL_NODES - 1, TOLERATED_LOSSES);
                EmulatedServer web = new EmulatedServer("web-1", "web", fleet.seeds(), 0);
                EmulatedServer llm = new EmulatedServer("llm-1", "llm", fleet.seeds(), EVENTS)) {
            fleet.startControlByFile(CONTROL_NODES, folder.resolve("control.conf"));
            fleet.order("replace", 0, CONFIGURATION);
            fleet.order("patch", 1, "{\"generation\":2,\"delete\":{\"routes\":[\"none\"]}}");
            fleet.order("patch", 2, UNUSUAL_PATCH);
            int node = fleet.startDataByFile(folder.resolve("data.conf"));
            awaitServers(fleet, node);
            for (int i = 0; i < REQUESTS; i++) {
                served += request(fleet, node, i) == OK ? 1 : 0;
            }
            fleet.configuration(1);
            for (int i = 1; i <= CONTROL_NODES; i++) {
                callUntilClear(fleet, i, "evacuations/b/start", "");
                callUntilClear(fleet, i, "evacuations/b/stop", "");
                callUntilClear(fleet, i, "tallies/rehearsal/patch", "{\"uid\":\"add-" + i + "\",\"owner\":1}");
                fleet.call(i, "GET", "tallies/rehearsal/get", "");
            }
            served += restarted(fleet, folder);
            web.drain();
            llm.drain();
        }
        return served;
    }

    /** Waits until requests of both kinds are served: the servers may be known later than the configuration. */
    private static void awaitServers(LoopbackFleet fleet, int node) throws IOException {
        int served = 0;
        for (int i = 0; i < MOST_CALLS && served < 2; i++) {
            served = request(fleet, node, i) == OK ? served + 1 : 0;
            LockSupport.parkNanos(CALL_PAUSE_NANOS);
        }
    }

    private static void callUntilClear(LoopbackFleet fleet, int number, String path, String body) throws IOException {
        for (int i = 0; i < MOST_CALLS; i++) {
            if (fleet.call(number, "POST", path, body).status() < SERVER_ERROR) {
                return;
            }
        }
    }

    /** All machines are lost and come back: a restart loads other parts of the program than a first start. */
    private static int restarted(LoopbackFleet fleet, Path folder) throws IOException {
        for (int i = 1; i <= CONTROL_NODES; i++) {
            fleet.crashControl(i);
        }
        for (int i = 1; i <= CONTROL_NODES; i++) {
            fleet.startControl(i, false);
        }
        int node = fleet.startDataByFile(folder.resolve("data-after.conf"));
        return request(fleet, node, REQUESTS) == OK ? 1 : 0;
    }

    private static int request(LoopbackFleet fleet, int node, int number) throws IOException {
        Map<String, String> headers = Map.of("Host", "demo.example", "Rowanplank-Attempt-Id", "r" + number,
                "Rowanplank-Deadline-Ms", "2000", "Api-Key", "key", "Rowanplank-Token-Usage", "100,20",
                "Rowanplank-Prompt-Prefix", "5c1e07a2:8000,e4402b7d:20");
        return LoopbackHttp.call(fleet.frontend(node), "POST", number % 2 == 0 ? "/pages/1" : "/drafts/1", headers,
                "question".getBytes(StandardCharsets.UTF_8)).status();
    }
}
