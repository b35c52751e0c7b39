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
 * Takes heartbeats of model servers and replicates them to the other control nodes. That a server drains or is gone is
 * acknowledged only once so many control nodes hold it on disk, in so many zones, that the losses to be borne leave one
 * that does. That it is ready is no promise, and is taken on each side of a partition, by nodes that can tell anyone of it.
 * Tables are reconciled by digests.
 */
final class SessionService {
    private static final long ACK_TIMEOUT_MS = 850;
    private static final int MOST_PENDING = 4_096;
    private static final int UNAVAILABLE = 503;
    private static final int BAD_REQUEST = 400;

    /** Where a promise has to be held. */
    interface ReplicationPolicy {
        /** Whether a promise that these control nodes hold outlives the losses to be borne. */
        boolean isSufficient(Set<String> holders);
    }

    /** A record that waits to be on the disks of enough nodes, this one among them. */
    private static final class Pending {
        private final Consumer<ControlHttp.Response> answer;
        private final Set<String> holders = new TreeSet<>();

        Pending(Consumer<ControlHttp.Response> answer) {
            this.answer = answer;
        }
    }

    private final Scheduler scheduler;
    private final SessionTable table;
    private final ControlPeers peers;
    private final ReplicationPolicy copies;
    private final BooleanSupplier dataNodesPresent;
    private final Runnable changed;
    private final Consumer<Runnable> disk;
    private final Map<Long, Pending> pending = new HashMap<>();
    private long lastId;

    /**
     * @param copies how many control nodes have to hold a promise, and where
     * @param dataNodesPresent whether data nodes ask this node
     * @param changed run when data nodes have to hear of something
     * @param disk keeps the table on disk, and runs what it is given once it is there
     */
    SessionService(Scheduler scheduler, SessionTable table, ControlPeers peers, ReplicationPolicy copies,
            BooleanSupplier dataNodesPresent, Runnable changed, Consumer<Runnable> disk) {
        this.disk = disk;
        this.scheduler = scheduler;
        this.table = table;
        this.peers = peers;
        this.copies = copies;
        this.dataNodesPresent = dataNodesPresent;
        this.changed = changed;
    }

    /** A server's heartbeat. */
    void heartbeat(String uid, byte[] body, Consumer<ControlHttp.Response> answer) {
        Either<String, SessionRecord> read = HeartbeatJson.read(uid, body);
        if (read.isLeft()) {
            answer.accept(ControlHttp.Response.error(BAD_REQUEST, read.getLeft()));
        } else {
            take(read.get(), answer);
        }
    }

    /** A server says that it ends. */
    void deregister(String uid, Consumer<ControlHttp.Response> answer) {
        SessionRecord known = table.find(uid);
        SessionRecord gone = known == null
                ? new SessionRecord(uid, "", "0.0.0.0:1", "", 0, SessionRecord.Phase.GONE, 0, 0)
                : known.notBefore(SessionRecord.Phase.GONE);
        take(gone, answer);
    }

    private void take(SessionRecord session, Consumer<ControlHttp.Response> answer) {
        merge(session);
        SessionRecord merged = table.find(session.uid());
        boolean connected = copies.isSufficient(Set.copyOf(peers.connectedAddresses()));
        if (merged == null) {
            answer.accept(ControlHttp.Response.error(UNAVAILABLE, "too many sessions"));
        } else if (merged.phase() == SessionRecord.Phase.READY) {
            peers.sendToAll(new PeerMessage.Sessions(0, List.of(merged)));
            answer.accept(connected || dataNodesPresent.getAsBoolean() ? ControlHttp.Response.ok()
                    : ControlHttp.Response.error(UNAVAILABLE, "neither control nodes nor data nodes are connected"));
        } else if (connected) {
            replicate(merged, answer);
        } else {
            answer.accept(ControlHttp.Response.error(UNAVAILABLE, "too few control nodes are connected"));
        }
    }

    private void replicate(SessionRecord session, Consumer<ControlHttp.Response> answer) {
        if (pending.size() >= MOST_PENDING) {
            answer.accept(ControlHttp.Response.error(UNAVAILABLE, "too many promises wait"));
            return;
        }
        long id = ++lastId;
        pending.put(id, new Pending(answer));
        peers.sendToAll(new PeerMessage.Sessions(id, List.of(session)));
        disk.accept(() -> acknowledged(id, peers.selfIp()));
        scheduler.schedule(() -> {
            Pending late = pending.remove(id);
            if (late != null) {
                late.answer.accept(ControlHttp.Response.error(UNAVAILABLE, "not held by enough control nodes"));
            }
        }, ACK_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Records that another control node has sent on a connection of its own. */
    void received(PeerLink link, PeerMessage.Sessions message) {
        message.sessions().forEach(this::merge);
        if (message.id() != 0 && message.sessions().stream().allMatch(this::isHeld)) {
            disk.accept(() -> link.send(new PeerMessage.SessionsAck(message.id())));
        }
    }

    /** Whether the table tells the same of a server, or more: a full one takes no others in. */
    private boolean isHeld(SessionRecord session) {
        SessionRecord known = table.find(session.uid());
        return known != null && known.phase().compareTo(session.phase()) >= 0;
    }

    /** @param ip the control node that has it on disk, which may be this one */
    void acknowledged(long id, String ip) {
        Pending waiting = pending.get(id);
        if (waiting != null && waiting.holders.add(ip) && copies.isSufficient(waiting.holders)) {
            pending.remove(id);
            waiting.answer.accept(ControlHttp.Response.ok());
        }
    }

    /** Another node's digest: where it differs, that node gets all records. */
    void reconcileWith(String ip, long digest) {
        if (digest != table.digest()) {
            peers.send(ip, new PeerMessage.Sessions(0, table.records()));
        }
    }

    /** Looks for silent sessions, and tells the others this table's digest. */
    void tick() {
        if (table.expire(scheduler.nanoTime())) {
            changed.run();
        }
        peers.sendToAll(new PeerMessage.SessionsDigest(table.digest()));
    }

    private void merge(SessionRecord session) {
        if (table.merge(session, scheduler.nanoTime())) {
            changed.run();
        }
    }
}
