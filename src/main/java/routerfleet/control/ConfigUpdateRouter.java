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
 * Forwards operators' configuration updates to the leading replica, at this or another node, and returns the results. An
 * update without a definite result in time is answered with status 503, and the operator is to send it again; it may or
 * may not take effect.
 */
final class ConfigUpdateRouter {
    private static final long UPDATE_TIMEOUT_MS = 900;
    private static final long LEADER_RETRY_MS = 40;
    private static final int OK = 200;
    private static final int INVALID = 400;
    private static final int CONFLICT = 412;
    private static final int TOO_LARGE = 413;
    private static final int UNAVAILABLE = 503;
    /** In a {@link PeerMessage.OrderReply}: the outcome is not known. */
    private static final int UNKNOWN = 0;

    private final Scheduler scheduler;
    private final String replica;
    private final ReplicaGroup group;
    private final ControlPeers peers;
    private final Map<Long, Consumer<PeerMessage.OrderReply>> waiting = new HashMap<>();
    private long lastId;

    /**
     * @param replica the name of this node's replica
     * @param firstId drawn anew at each start of the process, so that a reply to an earlier process matches no update
     */
    ConfigUpdateRouter(Scheduler scheduler, String replica, ReplicaGroup group, ControlPeers peers, long firstId) {
        this.scheduler = scheduler;
        this.replica = replica;
        this.group = group;
        this.peers = peers;
        lastId = firstId;
    }

    /** Handles an operator's update. */
    void submit(ConfigOrder.Kind kind, ControlHttp.Request request, Consumer<ControlHttp.Response> onResponse) {
        long base;
        try {
            base = Long.parseLong(String.valueOf(request.baseVersion()).strip());
        } catch (NumberFormatException e) {
            onResponse.accept(ControlHttp.Response.error(INVALID, "Rowanplank-Base-Version is no number"));
            return;
        }
        ConfigOrder update = new ConfigOrder(kind, base, request.body());
        long id = ++lastId;
        waiting.put(id, reply -> onResponse.accept(response(reply)));
        route(id, update);
        scheduler.schedule(() -> receiveReply(new PeerMessage.OrderReply(id, UNKNOWN, "no clear answer in time")),
                UPDATE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Passes an update to the leader, and tries again later while there is none. */
    private void route(long id, ConfigOrder update) {
        if (!waiting.containsKey(id)) {
            return; // completed, or timed out
        }
        if (group.isLeader()) {
            group.submit(update, result -> receiveReply(reply(id, result)));
        } else if (group.leader() == null || group.leader().equals(replica)
                || !peers.send(ReplicaNames.ip(group.leader()), new PeerMessage.OrderRequest(id, update))) {
            scheduler.schedule(() -> route(id, update), LEADER_RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Handles an update that another node forwarded to this one as the leader. */
    void receiveForwarded(PeerLink link, PeerMessage.OrderRequest request) {
        group.submit(request.order(), result -> link.send(reply(request.id(), result)));
    }

    /** Completes an update with the leader's reply. */
    void receiveReply(PeerMessage.OrderReply reply) {
        Consumer<PeerMessage.OrderReply> callback = waiting.remove(reply.id());
        if (callback != null) {
            callback.accept(reply);
        }
    }

    private static PeerMessage.OrderReply reply(long id, ConfigUpdateQueue.Result result) {
        int status = switch (result.outcome()) {
            case ACCEPTED -> OK;
            case CONFLICT -> CONFLICT;
            case INVALID -> INVALID;
            case TOO_LARGE -> TOO_LARGE;
            case UNKNOWN -> UNKNOWN;
        };
        return new PeerMessage.OrderReply(id, status, result.message());
    }

    private static ControlHttp.Response response(PeerMessage.OrderReply reply) {
        return reply.status() == OK ? ControlHttp.Response.ok()
                : ControlHttp.Response.error(reply.status() == UNKNOWN ? UNAVAILABLE : reply.status(), reply.text());
    }
}
