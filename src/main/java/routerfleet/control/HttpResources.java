package routerfleet.control;

import java.util.function.Consumer;
import routerfleet.config.ConfigOrder;

/** The resources of a control node's HTTP interface: passes each request to the service that handles it. */
final class HttpResources {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final String CONFIG_PATH = "/rowanplank/config/";
    private static final String INSTANCES_PATH = "/rowanplank/instances/";
    private static final String EVACUATIONS_PATH = "/rowanplank/evacuations/";
    private static final String TALLIES_PATH = "/rowanplank/tallies/";
    private static final int NOT_FOUND = 404;

    private final ReplicaGroup replicas;
    private final FreshnessTracker freshness;
    private final ConfigUpdateRouter configUpdates;
    private final EvacuationService evacuations;
    private final SessionService sessions;
    private final TallyService tallies;

    HttpResources(ReplicaGroup replicas, FreshnessTracker freshness, ConfigUpdateRouter configUpdates,
            EvacuationService evacuations, SessionService sessions, TallyService tallies) {
        this.replicas = replicas;
        this.freshness = freshness;
        this.configUpdates = configUpdates;
        this.evacuations = evacuations;
        this.sessions = sessions;
        this.tallies = tallies;
    }

    /** Handles a request of an operator or a model server. */
    void handle(ControlHttp.Request request, Consumer<ControlHttp.Response> onResponse) {
        String path = request.path();
        if (request.method().equals("GET") && path.equals(CONFIG_PATH + "get")) {
            freshness.whenFresh(() -> respondWithDocument(onResponse),
                    () -> onResponse.accept(ControlHttp.Response.error(UNAVAILABLE, "no majority of replicas answers")));
        } else if (request.method().equals("POST") && path.equals(CONFIG_PATH + "replace")) {
            configUpdates.submit(ConfigOrder.Kind.REPLACE, request, onResponse);
        } else if (request.method().equals("POST") && path.equals(CONFIG_PATH + "patch")) {
            configUpdates.submit(ConfigOrder.Kind.PATCH, request, onResponse);
        } else if (path.startsWith(EVACUATIONS_PATH)) {
            evacuations.handle(path.substring(EVACUATIONS_PATH.length()), request, onResponse);
        } else if (request.method().equals("POST") && path.startsWith(INSTANCES_PATH)) {
            handleInstance(path.substring(INSTANCES_PATH.length()).split("/"), request, onResponse);
        } else if (path.startsWith(TALLIES_PATH)) {
            tallies.handle(path.substring(TALLIES_PATH.length()).split("/"), request, onResponse);
        } else {
            onResponse.accept(ControlHttp.Response.error(NOT_FOUND, "no such resource: " + path));
        }
    }

    private void respondWithDocument(Consumer<ControlHttp.Response> callback) {
        if (replicas.answersReads()) {
            replicas.orders().mergedDocument(document -> callback.accept(new ControlHttp.Response(OK, document)),
                    () -> callback.accept(ControlHttp.Response.error(UNAVAILABLE, "the configuration can't be told now")));
        } else {
            callback.accept(ControlHttp.Response.error(UNAVAILABLE, "no member of the replica group"));
        }
    }

    private void handleInstance(String[] parts, ControlHttp.Request request, Consumer<ControlHttp.Response> onResponse) {
        if (parts.length == 2 && parts[1].equals("heartbeat")) {
            sessions.heartbeat(parts[0], request.body(), onResponse);
        } else if (parts.length == 2 && parts[1].equals("deregister")) {
            sessions.deregister(parts[0], onResponse);
        } else {
            onResponse.accept(ControlHttp.Response.error(NOT_FOUND, "no such resource: " + request.path()));
        }
    }
}
