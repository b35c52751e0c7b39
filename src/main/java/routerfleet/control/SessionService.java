package routerfleet.control;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import routerfleet.wire.PeerLink;
import routerfleet.wire.PeerMessage;
import routerfleet.wire.Scheduler;
import routerfleet.wire.SessionRecord;

/**
 * Receives heartbeats of model servers and replicates them to the other control nodes. That a server drains or has ended
 * is acknowledged only once enough control nodes in enough zones hold it on disk, so that at least one copy survives the
 * losses to be tolerated. That a server is ready is no promise: it is accepted on each side of a network partition, by
 * nodes that can pass it on to anyone. Session tables are reconciled by digests.
 */
final class SessionService {
    private static final long ACK_TIMEOUT_MS = 850;
    private static final int MAX_PENDING = 4_096;
    private static final int UNAVAILABLE = 503;
    private static final int BAD_REQUEST = 400;

    /** Decides which copies of a session suffice for an acknowledgement. */
    interface ReplicationPolicy {
        /** Whether what these control nodes (by address) hold on disk survives the losses to be tolerated. */
        boolean isSufficient(Set<String> holders);
    }

    /** An acknowledgement that waits until enough nodes, of which this may be one, hold the session on disk. */
    private static final class PendingAck {
        private final Consumer<ControlHttp.Response> onResponse;
        private final Set<String> holders = new TreeSet<>();

        PendingAck(Consumer<ControlHttp.Response> onResponse) {
            this.onResponse = onResponse;
        }
    }

    private final Scheduler scheduler;
    private final SessionTable table;
    private final ControlPeers peers;
    private final ReplicationPolicy replicationPolicy;
    private final BooleanSupplier dataNodesPresent;
    private final Runnable onChange;
    private final Consumer<Runnable> persist;
    private final Map<Long, PendingAck> pending = new HashMap<>();
    private long lastId;

    /**
     * @param replicationPolicy which control nodes have to hold a session
     * @param dataNodesPresent whether data nodes poll this node
     * @param onChange run when there is something new for data nodes
     * @param persist saves the table, and runs its argument once that is on disk
     */
    SessionService(Scheduler scheduler, SessionTable table, ControlPeers peers, ReplicationPolicy replicationPolicy,
            BooleanSupplier dataNodesPresent, Runnable onChange, Consumer<Runnable> persist) {
        this.persist = persist;
        this.scheduler = scheduler;
        this.table = table;
        this.peers = peers;
        this.replicationPolicy = replicationPolicy;
        this.dataNodesPresent = dataNodesPresent;
        this.onChange = onChange;
    }

    /** Handles a heartbeat of a server; responds 400 if it is malformed, and 503 if it can't be acknowledged. */
    void heartbeat(String uid, byte[] body, Consumer<ControlHttp.Response> onResponse) {
        Either<String, SessionRecord> read = HeartbeatJson.read(uid, body);
        if (read.isLeft()) {
            onResponse.accept(ControlHttp.Response.error(BAD_REQUEST, read.getLeft()));
        } else {
            apply(read.get(), onResponse);
        }
    }

    /** Handles a server's announcement that it ends. */
    void deregister(String uid, Consumer<ControlHttp.Response> onResponse) {
        SessionRecord known = table.find(uid);
        SessionRecord gone = known == null
                ? new SessionRecord(uid, "", "0.0.0.0:1", "", 0, SessionRecord.Phase.GONE, 0, 0)
                : known.notBefore(SessionRecord.Phase.GONE);
        apply(gone, onResponse);
    }

    private void apply(SessionRecord session, Consumer<ControlHttp.Response> onResponse) {
        merge(session);
        SessionRecord merged = table.find(session.uid());
        boolean connected = replicationPolicy.isSufficient(Set.copyOf(peers.connectedAddresses()));
        if (merged == null) {
            onResponse.accept(ControlHttp.Response.error(UNAVAILABLE, "too many sessions"));
        } else if (merged.phase() == SessionRecord.Phase.READY) {
            peers.sendToAll(new PeerMessage.Sessions(0, List.of(merged)));
            onResponse.accept(connected || dataNodesPresent.getAsBoolean() ? ControlHttp.Response.ok()
                    : ControlHttp.Response.error(UNAVAILABLE, "neither control nodes nor data nodes are connected"));
        } else if (connected) {
            replicate(merged, onResponse);
        } else {
            onResponse.accept(ControlHttp.Response.error(UNAVAILABLE, "too few control nodes are connected"));
        }
    }

    private void replicate(SessionRecord session, Consumer<ControlHttp.Response> onResponse) {
        if (pending.size() >= MAX_PENDING) {
            onResponse.accept(ControlHttp.Response.error(UNAVAILABLE, "too many promises wait"));
            return;
        }
        long id = ++lastId;
        pending.put(id, new PendingAck(onResponse));
        peers.sendToAll(new PeerMessage.Sessions(id, List.of(session)));
        persist.accept(() -> acknowledged(id, peers.selfIp()));
        scheduler.schedule(() -> {
            PendingAck late = pending.remove(id);
            if (late != null) {
                late.onResponse.accept(ControlHttp.Response.error(UNAVAILABLE, "not held by enough control nodes"));
            }
        }, ACK_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Merges sessions that another control node sent, and acknowledges them once they are on disk here. */
    void received(PeerLink link, PeerMessage.Sessions message) {
        message.sessions().forEach(this::merge);
        if (message.id() != 0 && message.sessions().stream().allMatch(this::tableCovers)) {
            persist.accept(() -> link.send(new PeerMessage.SessionsAck(message.id())));
        }
    }

    /** Whether the table holds a session in this or a later phase: a full table accepts no new ones. */
    private boolean tableCovers(SessionRecord session) {
        SessionRecord known = table.find(session.uid());
        return known != null && known.phase().compareTo(session.phase()) >= 0;
    }

    /**
     * Records that a control node holds a session on disk.
     *
     * @param id the id of the {@link PeerMessage.Sessions} that carried it
     * @param ip the address of that node, which may be this one
     */
    void acknowledged(long id, String ip) {
        PendingAck waiting = pending.get(id);
        if (waiting != null && waiting.holders.add(ip) && replicationPolicy.isSufficient(waiting.holders)) {
            pending.remove(id);
            waiting.onResponse.accept(ControlHttp.Response.ok());
        }
    }

    /** Compares another node's digest with this table's, and sends that node all sessions if they differ. */
    void reconcileWith(String ip, long digest) {
        if (digest != table.digest()) {
            peers.send(ip, new PeerMessage.Sessions(0, table.records()));
        }
    }

    /** Expires silent sessions, and sends this table's digest to the other control nodes. */
    void tick() {
        if (table.expire(scheduler.nanoTime())) {
            onChange.run();
        }
        peers.sendToAll(new PeerMessage.SessionsDigest(table.digest()));
    }

    private void merge(SessionRecord session) {
        if (table.merge(session, scheduler.nanoTime())) {
            onChange.run();
        }
    }
}
