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
 * Takes operators' calls about evacuations. The newest state is learnt first; an order that builds on that state goes
 * to the leader, and where another one was before it, all is done again. This goes on for {@value #CALL_MS} ms and only
 * while the caller waits, so that a call that was held up can't undo a later one. Where the zone is as wanted already
 * an order is decided all the same: it fences off earlier ones that are still under way.
 *
 * <p>Bound: {@value #MOST_CALLS} calls at one time.
 */
final class EvacuationService {
    private static final System.Logger LOG = Loggers.get("routerfleet.control");
    private static final int MOST_CALLS = 64;
    private static final long CALL_MS = 900;
    private static final long AGAIN_MS = 40;
    /** A leader that has not answered for so long may be gone. */
    private static final long UNANSWERED_MS = 300;
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
        private final Consumer<ControlHttp.Response> answer;
        /** Counts the orders that were made of it. */
        private int orders;

        Call(String zone, boolean start, ControlHttp.Request request, Consumer<ControlHttp.Response> answer) {
            this.zone = zone;
            this.start = start;
            this.request = request;
            this.answer = answer;
        }

        boolean callerWaits() {
            return request.callerConnected().getAsBoolean();
        }

        EvacuationOrder on(Evacuations current) {
            return new EvacuationOrder(current.revision(), zone, start);
        }
    }

    private final Scheduler scheduler;
    private final Set<String> zones;
    private final ReplicaGroup group;
    private final FreshnessTracker freshness;
    private final ControlPeers peers;
    private final Map<Long, Call> calls = new HashMap<>();
    private Evacuations known = Evacuations.NONE;
    private long lastId;

    /**
     * @param zones those of the deployment
     * @param firstId drawn anew in each life of the process, so that an answer to an earlier one fits no call
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

    /** Answers a call. @param path what follows the path of all evacuations */
    void handle(String path, ControlHttp.Request request, Consumer<ControlHttp.Response> answer) {
        String[] parts = path.split("/", -1);
        boolean post = request.method().equals("POST");
        if (request.method().equals("GET") && path.equals("get")) {
            freshness.whenFresh(() -> answer.accept(state()), () -> answer.accept(unavailable()));
        } else if (!post || parts.length != 2 || !parts[1].equals(START) && !parts[1].equals(STOP)) {
            answer.accept(ControlHttp.Response.error(NOT_FOUND, "no such resource: " + request.path()));
        } else if (!zones.contains(parts[0])) {
            answer.accept(ControlHttp.Response.error(NOT_FOUND, "no such zone: " + parts[0]));
        } else if (request.body().length > 0) {
            answer.accept(ControlHttp.Response.error(INVALID, "this call has no body, and "
                    + request.body().length + " bytes came"));
        } else {
            take(new Call(parts[0], parts[1].equals(START), request, answer));
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

    private void take(Call call) {
        if (calls.size() >= MOST_CALLS) {
            call.answer.accept(unavailable());
            return;
        }
        long id = ++lastId;
        calls.put(id, call);
        call.callerWaits(); // the first look only begins to read
        scheduler.schedule(() -> finish(id, unavailable()), CALL_MS, TimeUnit.MILLISECONDS);
        decide(id);
    }

    private void finish(long id, ControlHttp.Response response) {
        Call call = calls.remove(id);
        if (call != null) {
            call.answer.accept(response);
        }
    }

    private void decide(long id) {
        if (calls.containsKey(id)) {
            freshness.whenFresh(() -> order(id), () -> finish(id, unavailable()));
        }
    }

    /** The newest state is here. */
    private void order(long id) {
        Call call = calls.get(id);
        if (call == null) {
            return;
        }
        EvacuationOrder order = call.on(group.evacuations());
        if (group.isHalted() || !call.callerWaits()) {
            finish(id, unavailable());
        } else {
            call.orders++;
            send(id, order, call);
        }
    }

    private void send(long id, EvacuationOrder order, Call call) {
        if (group.isLeader()) {
            group.submitEvacuation(order, outcome -> receiveReply(new PeerMessage.EvacuationReply(id, outcome)));
        } else if (group.leader() == null
                || !peers.send(ReplicaNames.ip(group.leader()), new PeerMessage.EvacuationRequest(id, order))) {
            again(id);
            return;
        }
        int sent = call.orders;
        scheduler.schedule(() -> {
            if (call.orders == sent) {
                decide(id);
            }
        }, UNANSWERED_MS, TimeUnit.MILLISECONDS);
    }

    private void again(long id) {
        scheduler.schedule(() -> decide(id), AGAIN_MS, TimeUnit.MILLISECONDS);
    }

    /** Another node has sent an order on, to this one as the leader. */
    void receiveForwarded(PeerLink link, PeerMessage.EvacuationRequest request) {
        group.submitEvacuation(request.order(), outcome -> link.send(new PeerMessage.EvacuationReply(request.id(), outcome)));
    }

    /** The leader has answered. What is not taken is decided anew. */
    void receiveReply(PeerMessage.EvacuationReply reply) {
        if (reply.outcome() == EvacuationOutcome.TAKEN) {
            finish(reply.id(), ControlHttp.Response.ok());
        } else if (reply.outcome() == EvacuationOutcome.CONFLICT) {
            decide(reply.id());
        } else {
            again(reply.id());
        }
    }

    /** Other zones are evacuated. */
    void logChanges(Evacuations newest) {
        List<String> before = known.zones();
        known = newest;
        newest.zones().stream().filter(zone -> !before.contains(zone)).forEach(zone -> LOG.log(System.Logger.Level.INFO,
                "zone " + zone + " is evacuated, revision " + newest.revision()));
        before.stream().filter(zone -> !newest.includes(zone)).forEach(zone -> LOG.log(System.Logger.Level.INFO,
                "the evacuation of zone " + zone + " ends, revision " + newest.revision()));
    }
}
