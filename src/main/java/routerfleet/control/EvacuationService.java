package routerfleet.control;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import routerfleet.config.EvacuationOrder;
import routerfleet.config.Evacuations;
import routerfleet.log.Loggers;
import routerfleet.wire.PeerLink;
import routerfleet.wire.PeerMessage;
import routerfleet.wire.PeerMessage.EvacuationOutcome;
import routerfleet.wire.Scheduler;

/**
 * Handles operators' calls that start, stop or read evacuations of zones. A call learns the newest state and sends a
 * command based on it to the leader; if another command was first, it starts over. It gives up after
 * {@value #CALL_TIMEOUT_MS} ms, or when its caller disconnects, so that a delayed call can't undo a later one. A command
 * is committed even if the zone already is in the wanted state: this invalidates earlier commands that are still on their
 * way.
 *
 * <p>Limit: {@value #MAX_CALLS} concurrent calls.
 */
final class EvacuationService {
    private static final System.Logger LOG = Loggers.get("routerfleet.control");
    private static final int MAX_CALLS = 64;
    private static final long CALL_TIMEOUT_MS = 900;
    private static final long RETRY_DELAY_MS = 40;
    /** A leader that has not replied within this time may have failed: the call is tried again. */
    private static final long REPLY_TIMEOUT_MS = 300;
    private static final int OK = 200;
    private static final int INVALID = 400;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;
    private static final String START = "start";
    private static final String STOP = "stop";

    /** A call of an operator. */
    private static final class Call {
        private final String zone;
        private final boolean start;
        private final ControlHttp.Request request;
        private final Consumer<ControlHttp.Response> onResponse;
        /** Number of commands that were sent for it. */
        private int attempts;

        Call(String zone, boolean start, ControlHttp.Request request, Consumer<ControlHttp.Response> onResponse) {
            this.zone = zone;
            this.start = start;
            this.request = request;
            this.onResponse = onResponse;
        }

        boolean callerConnected() {
            return request.callerConnected().getAsBoolean();
        }

        EvacuationOrder command(Evacuations current) {
            return new EvacuationOrder(current.revision(), zone, start);
        }
    }

    private final Scheduler scheduler;
    private final Set<String> zones;
    private final ReplicaGroup group;
    private final FreshnessTracker freshness;
    private final ControlPeers peers;
    private final Map<Long, Call> calls = new HashMap<>();
    private Evacuations lastLogged = Evacuations.NONE;
    private long lastId;

    /**
     * @param zones the zones of the deployment
     * @param firstId drawn anew at each start of the process, so that a reply to an earlier process matches no call
     */
    EvacuationService(Scheduler scheduler, Set<String> zones, ReplicaGroup group, FreshnessTracker freshness,
            ControlPeers peers, long firstId) {
        this.scheduler = scheduler;
        this.zones = zones;
        this.group = group;
        this.freshness = freshness;
        this.peers = peers;
        lastId = firstId;
        logChanges(group.evacuations());
    }

    /** Handles a call. @param path what follows the common path of evacuations */
    void handle(String path, ControlHttp.Request request, Consumer<ControlHttp.Response> onResponse) {
        String[] parts = path.split("/", -1);
        boolean post = request.method().equals("POST");
        if (request.method().equals("GET") && path.equals("get")) {
            freshness.whenFresh(() -> onResponse.accept(state()), () -> onResponse.accept(unavailable()));
        } else if (!post || parts.length != 2 || !parts[1].equals(START) && !parts[1].equals(STOP)) {
            onResponse.accept(ControlHttp.Response.error(NOT_FOUND, "no such resource: " + request.path()));
        } else if (!zones.contains(parts[0])) {
            onResponse.accept(ControlHttp.Response.error(NOT_FOUND, "no such zone: " + parts[0]));
        } else if (request.body().length > 0) {
            onResponse.accept(ControlHttp.Response.error(INVALID, "this call has no body, and "
                    + request.body().length + " bytes came"));
        } else {
            accept(new Call(parts[0], parts[1].equals(START), request, onResponse));
        }
    }

    private ControlHttp.Response state() {
        Evacuations current = group.evacuations();
        String names = current.zones().stream().map(zone -> "\"" + zone + "\"").collect(Collectors.joining(","));
        String text = "{\"revision\":" + current.revision() + ",\"zones\":[" + names + "]}";
        return group.answersReads() ? new ControlHttp.Response(OK, text.getBytes(StandardCharsets.UTF_8)) : unavailable();
    }

    private static ControlHttp.Response unavailable() {
        return ControlHttp.Response.error(UNAVAILABLE, "no clear answer in time");
    }

    private void accept(Call call) {
        if (calls.size() >= MAX_CALLS) {
            call.onResponse.accept(unavailable());
            return;
        }
        long id = ++lastId;
        calls.put(id, call);
        call.callerConnected(); // the first check only starts a read of the connection
        scheduler.schedule(() -> finish(id, unavailable()), CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        attempt(id);
    }

    private void finish(long id, ControlHttp.Response response) {
        Call call = calls.remove(id);
        if (call != null) {
            call.onResponse.accept(response);
        }
    }

    private void attempt(long id) {
        if (calls.containsKey(id)) {
            freshness.whenFresh(() -> propose(id), () -> finish(id, unavailable()));
        }
    }

    /** Sends a command based on the newest state, which is applied here. */
    private void propose(long id) {
        Call call = calls.get(id);
        if (call == null) {
            return;
        }
        EvacuationOrder command = call.command(group.evacuations());
        if (group.isHalted() || !call.callerConnected()) {
            finish(id, unavailable());
        } else {
            call.attempts++;
            send(id, command, call);
        }
    }

    private void send(long id, EvacuationOrder command, Call call) {
        if (group.isLeader()) {
            group.submitEvacuation(command, outcome -> receiveReply(new PeerMessage.EvacuationReply(id, outcome)));
        } else if (group.leader() == null
                || !peers.send(ReplicaNames.ip(group.leader()), new PeerMessage.EvacuationRequest(id, command))) {
            retryLater(id);
            return;
        }
        int sent = call.attempts;
        scheduler.schedule(() -> {
            if (call.attempts == sent) {
                attempt(id);
            }
        }, REPLY_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void retryLater(long id) {
        scheduler.schedule(() -> attempt(id), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    /** Handles a command that another node forwarded to this one as the leader. */
    void receiveForwarded(PeerLink link, PeerMessage.EvacuationRequest request) {
        group.submitEvacuation(request.order(),
                outcome -> link.send(new PeerMessage.EvacuationReply(request.id(), outcome)));
    }

    /** Handles the leader's reply: a call whose command was not accepted is tried again. */
    void receiveReply(PeerMessage.EvacuationReply reply) {
        if (reply.outcome() == EvacuationOutcome.TAKEN) {
            finish(reply.id(), ControlHttp.Response.ok());
        } else if (reply.outcome() == EvacuationOutcome.CONFLICT) {
            attempt(reply.id());
        } else {
            retryLater(reply.id());
        }
    }

    /** Logs which evacuations have started and ended. */
    void logChanges(Evacuations newest) {
        List<String> before = lastLogged.zones();
        lastLogged = newest;
        newest.zones().stream().filter(zone -> !before.contains(zone)).forEach(zone -> LOG.log(System.Logger.Level.INFO,
                "zone " + zone + " is evacuated, revision " + newest.revision()));
        before.stream().filter(zone -> !newest.includes(zone)).forEach(zone -> LOG.log(System.Logger.Level.INFO,
                "the evacuation of zone " + zone + " ends, revision " + newest.revision()));
    }
}
