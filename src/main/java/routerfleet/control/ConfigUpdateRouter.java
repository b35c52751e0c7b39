package routerfleet.control;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import routerfleet.config.ConfigOrder;
import routerfleet.wire.PeerLink;
import routerfleet.wire.PeerMessage;
import routerfleet.wire.Scheduler;

/**
 * Brings operators' orders to the replica that leads, here or at another node, and its answers back. An order without a
 * clear answer in time is answered 503, after which the operator sends it again; what becomes of it is open.
 */
final class ConfigUpdateRouter {
    private static final long ORDER_TIMEOUT_MS = 900;
    private static final long LEADER_WAIT_MS = 40;
    private static final int OK = 200;
    private static final int INVALID = 400;
    private static final int CONFLICT = 412;
    private static final int TOO_LARGE = 413;
    private static final int UNAVAILABLE = 503;
    /** In a {@link PeerMessage.OrderReply}: it is not known what becomes of the order. */
    private static final int UNCLEAR = 0;

    private final Scheduler scheduler;
    private final String replica;
    private final ReplicaGroup group;
    private final ControlPeers peers;
    private final Map<Long, Consumer<PeerMessage.OrderReply>> waiting = new HashMap<>();
    private long lastId;

    /**
     * @param replica the name of this node's replica
     * @param firstId drawn anew in each life of the process, so that an answer to an earlier one fits no order
     */
    ConfigUpdateRouter(Scheduler scheduler, String replica, ReplicaGroup group, ControlPeers peers, long firstId) {
        this.scheduler = scheduler;
        this.replica = replica;
        this.group = group;
        this.peers = peers;
        lastId = firstId;
    }

    /** Takes an operator's order. */
    void submit(ConfigOrder.Kind kind, ControlHttp.Request request, Consumer<ControlHttp.Response> answer) {
        long base;
        try {
            base = Long.parseLong(String.valueOf(request.baseVersion()).strip());
        } catch (NumberFormatException e) {
            answer.accept(ControlHttp.Response.error(INVALID, "Rowanplank-Base-Version is no number"));
            return;
        }
        ConfigOrder order = new ConfigOrder(kind, base, request.body());
        long id = ++lastId;
        waiting.put(id, reply -> answer.accept(response(reply)));
        route(id, order);
        scheduler.schedule(() -> receiveReply(new PeerMessage.OrderReply(id, UNCLEAR, "no clear answer in time")),
                ORDER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Brings an order to the leader, as soon as there is one. */
    private void route(long id, ConfigOrder order) {
        if (!waiting.containsKey(id)) {
            return; // answered, or out of time
        }
        if (group.isLeader()) {
            group.submit(order, result -> receiveReply(reply(id, result)));
        } else if (group.leader() == null || group.leader().equals(replica)
                || !peers.send(ReplicaNames.ip(group.leader()), new PeerMessage.OrderRequest(id, order))) {
            scheduler.schedule(() -> route(id, order), LEADER_WAIT_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Another node has sent an order on, to this one as the leader. */
    void receiveForwarded(PeerLink link, PeerMessage.OrderRequest request) {
        group.submit(request.order(), result -> link.send(reply(request.id(), result)));
    }

    /** The leader has answered. */
    void receiveReply(PeerMessage.OrderReply reply) {
        Consumer<PeerMessage.OrderReply> asked = waiting.remove(reply.id());
        if (asked != null) {
            asked.accept(reply);
        }
    }

    private static PeerMessage.OrderReply reply(long id, ConfigUpdateQueue.Result answer) {
        int status = switch (answer.outcome()) {
            case ACCEPTED -> OK;
            case CONFLICT -> CONFLICT;
            case INVALID -> INVALID;
            case TOO_LARGE -> TOO_LARGE;
            case UNKNOWN -> UNCLEAR;
        };
        return new PeerMessage.OrderReply(id, status, answer.message());
    }

    private static ControlHttp.Response response(PeerMessage.OrderReply reply) {
        return reply.status() == OK ? ControlHttp.Response.ok()
                : ControlHttp.Response.error(reply.status() == UNCLEAR ? UNAVAILABLE : reply.status(), reply.text());
    }
}
