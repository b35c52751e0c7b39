package routerfleet.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import rowanplank.agreement.Message;
import rowanplank.agreement.PersistentState;
import routerfleet.config.ConfigOrder;
import routerfleet.config.Evacuations;
import routerfleet.log.Loggers;
import routerfleet.settings.HostPort;
import routerfleet.settings.LocalSettings;
import routerfleet.wire.LinkTiming;
import routerfleet.wire.PeerCodec;
import routerfleet.wire.PeerDialer;
import routerfleet.wire.PeerLink;
import routerfleet.wire.PeerMessage;
import routerfleet.wire.PeerNetwork;
import routerfleet.wire.Scheduler;
import routerfleet.wire.SessionRecord;

/**
 * All that a control node does, apart from the machine that it runs on: its replica of the configuration shard, its copy of
 * the session tables, its parts of tenants' limits, and the connections to other control nodes and to data nodes. Clock,
 * thread, network and disk are given, real ones ({@link ControlNode}) or simulated ones.
 *
 * <p>For one thread, that of the scheduler, but for {@link #load}.
 */
final class ControlService {
    private static final System.Logger LOG = Loggers.get("routerfleet.control");
    private static final long FRESHNESS_MS = 80;
    private static final long SECOND_MS = 1_000;
    private static final long RECONCILE_MS = 250;
    private static final long LEAVE_CHECK_MS = 50;
    /** Data nodes, servers and operators are let in once a leader is known, or after so long. */
    private static final long SETTLED_MS = 500;
    /** What only orders need is loaded once the node's start, and a recovery beside it, are over. */
    private static final long WARM_UP_AFTER_MS = 8_000;
    private static final double WARM_BEATS = 2.5;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final String CONFIG = "/rowanplank/config/";
    private static final String INSTANCES = "/rowanplank/instances/";
    private static final String EVACUATIONS = "/rowanplank/evacuations/";
    private static final String TALLIES = "/rowanplank/tallies/";

    private final LocalSettings settings;
    private final Scheduler scheduler;
    private final PeerNetwork network;
    private final PeerCodec codec;
    private final ReplicaStorage storage;
    private final RandomGenerator random;
    private final ControlServiceFactory parts;
    private final ControlPeers peers;
    private final DataNodeConnections dataNodes = new DataNodeConnections();
    private final QuotaGrantor quotas;
    private final SessionTable table;
    private final TallyService tallies;
    private PersistentState saved;
    private String replica;
    private ReplicaGroup replicas;
    private ReplicaPlanner planner;
    private FreshnessTracker freshness;
    private SessionService sessions;
    private DataNodeService dataPlane;
    private ConfigUpdateRouter orders;
    private EvacuationService evacuations;
    private SessionStorage hints;
    private List<SessionRecord> earlierSessions = List.of();
    private long warmUntilNanos;
    private Runnable whenSettled;
    private List<HostPort> seeds;

    /** @param settings with a folder on disk */
    ControlService(LocalSettings settings, Scheduler scheduler, PeerNetwork network, PeerCodec codec,
            ReplicaStorage storage, RandomGenerator random, ControlServiceFactory parts) {
        this.parts = parts;
        this.settings = settings;
        this.scheduler = scheduler;
        this.network = network;
        this.codec = codec;
        this.storage = storage;
        this.random = random;
        seeds = settings.seeds();
        peers = new ControlPeers(settings.ip(), settings.peerPort());
        quotas = new QuotaGrantor(settings.ip(), settings.bounds());
        table = new SessionTable(settings.heartbeatMs());
        tallies = new TallyService(settings, scheduler, peers, storage.tallyStorage(), parts.tallyBounds(),
                parts.tallyReach(settings, peers));
    }

    /**
     * Reads the disk. Before the service begins, on any thread.
     *
     * @param numbers draws the number that names the replica on an empty disk; none may come twice
     * @throws IOException if the disk can't be read, or refuses
     */
    void load(LongSupplier numbers) throws IOException {
        hints = storage.sessionHints(codec);
        earlierSessions = hints.read();
        loadReplica(numbers);
        tallies.load(ReplicaNames.incarnation(replica));
    }

    private void loadReplica(LongSupplier numbers) throws IOException {
        ReplicaStorage.StoredReplica opened = storage.open();
        if (opened != null) {
            replica = opened.replica();
            saved = opened.saved();
            storage.start(replica, null);
            return;
        }
        List<String> founders = settings.seeds().stream().map(seed -> ReplicaNames.initial(seed.host())).toList();
        if (settings.bootstrap() && founders.contains(ReplicaNames.initial(settings.ip()))) {
            replica = ReplicaNames.initial(settings.ip());
            saved = PersistentState.initial(founders);
            storage.storeInitial(replica, saved);
        } else {
            replica = parts.replacementReplicaName(settings.ip(), numbers.getAsLong());
            saved = PersistentState.initial(List.of());
            storage.start(replica, saved);
        }
    }

    /** Begins, with what was loaded. */
    void start() {
        replicas = new ReplicaGroup(scheduler, codec, replica, saved, storage, random.nextLong(),
                new GroupSurroundings(), parts);
        saved = null;
        planner = parts.planner(replica);
        freshness = parts.freshness(scheduler, replicas, peers, random.nextLong() >>> 2);
        orders = new ConfigUpdateRouter(scheduler, replica, replicas, peers, random.nextLong() >>> 2);
        evacuations = new EvacuationService(scheduler, settings.zones(), replicas, freshness, peers,
                random.nextLong() >>> 2);
        divideQuotas();
        warmUntilNanos = scheduler.nanoTime()
                + TimeUnit.MILLISECONDS.toNanos((long) (settings.heartbeatMs() * WARM_BEATS));
        dataPlane = new DataNodeService(scheduler, random.nextLong() | 1, table, dataNodes, peers, replicas, freshness,
                warmUntilNanos);
        takeEarlierSessions();
        sessions = new SessionService(scheduler, table, peers, this::promiseIsHeld,
                () -> dataNodes.countActive(scheduler.nanoTime()) > 0, dataPlane::scheduleFlush, hints::save);
        peers.start(new PeerDialer(scheduler, network, LinkTiming.CONTROL,
                address -> new OutgoingListener(address.host())));
        tallies.start();
        learnSeeds();
        scheduler.every(FRESHNESS_MS, freshness::tick);
        scheduler.every(RECONCILE_MS, this::reconcile);
        scheduler.every(SECOND_MS, sessions::tick);
        scheduler.every(SECOND_MS, this::keepSessions);
        scheduler.schedule(this::warmUp, WARM_UP_AFTER_MS, TimeUnit.MILLISECONDS);
    }

    /** Who may come to lead is to answer its first order as fast as later ones. */
    private void warmUp() {
        if (replicas.isVoter()) {
            replicas.orders().warmUp();
        }
    }

    private boolean promiseIsHeld(Set<String> holders) {
        return holders.size() > parts.requiredRemoteCopies()
                && peers.spanZones(holders, settings.zone(), settings.toleratedZones() + 1);
    }

    private void keepSessions() {
        if (scheduler.nanoTime() - warmUntilNanos >= 0) {
            earlierSessions = List.of();
            hints.saveIfChanged();
        }
    }

    /** Until the table has filled, servers that were ready before the start stay on disk. */
    private List<SessionRecord> sessionsToKeep() {
        List<SessionRecord> kept = table.recordsToSave();
        earlierSessions.stream().filter(s -> table.find(s.uid()) == null).forEach(kept::add);
        return kept;
    }

    /** What has ended stays so; what was ready is a hint for data nodes. */
    private void takeEarlierSessions() {
        List<SessionRecord> ready = new ArrayList<>();
        for (SessionRecord session : earlierSessions) {
            if (session.phase() == SessionRecord.Phase.READY) {
                ready.add(session);
            } else {
                table.merge(session, scheduler.nanoTime());
            }
        }
        dataPlane.setEarlierSessions(codec.encode(new PeerMessage.Sessions(0, ready)));
        earlierSessions = ready;
        hints.setSource(this::sessionsToKeep);
    }

    /** Listens for other control nodes. @throws IOException if the address is taken */
    PeerNetwork.Listener listenToPeers() throws IOException {
        return network.listen(new HostPort(settings.ip(), settings.peerPort()), LinkTiming.DATA, IncomingListener::new);
    }

    /** Listens for data nodes. @throws IOException if the address is taken */
    PeerNetwork.Listener listenToDataNodes() throws IOException {
        return network.listen(new HostPort(settings.ip(), settings.dataPort()), LinkTiming.DATA, IncomingListener::new);
    }

    /**
     * Runs a task once there is a leader, or after {@value #SETTLED_MS} ms without: what comes from data nodes and servers
     * would only keep a node that has just started from electing one. Once, after the service has begun.
     */
    void runOnceLeaderKnown(Runnable task) {
        whenSettled = task;
        scheduler.schedule(this::settled, SETTLED_MS, TimeUnit.MILLISECONDS);
        if (replicas.leader() != null) {
            settled();
        }
    }

    private void settled() {
        Runnable task = whenSettled;
        whenSettled = null;
        if (task != null) {
            task.run();
        }
    }

    /** The name of this node's replica; known once loaded. */
    String replica() {
        return replica;
    }

    /** The replica group as this node knows it. */
    ReplicaGroup group() {
        return replicas;
    }

    private void learnSeeds() {
        seeds.forEach(seed -> peers.add(seed.host(), scheduler.nanoTime()));
        replicas.voters().forEach(voter -> peers.add(ReplicaNames.ip(voter), scheduler.nanoTime()));
    }

    /** Takes new seeds. */
    void updateSeeds(List<HostPort> changed) {
        seeds = changed;
        learnSeeds();
    }

    /**
     * Prepares to stop: hands leadership on, and lets a control node that has no vote yet take this one's place, so that
     * the group is whole again before this node is gone.
     *
     * @param done run once it may stop
     * @param mostMs how long that may take
     */
    void prepareToStop(Runnable done, long mostMs) {
        replicas.transferLeadership();
        leaveUntil(scheduler.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mostMs), done);
    }

    private void leaveUntil(long endNanos, Runnable done) {
        boolean awaitsSuccessor = replicas.isVoter() && peers.hasLearner(replicas.voters());
        if (!awaitsSuccessor || scheduler.nanoTime() - endNanos >= 0) {
            done.run();
            return;
        }
        if (replicas.isLeader()) {
            replicas.transferLeadership();
        }
        peers.sendToAll(new PeerMessage.Leaving(replica));
        scheduler.schedule(() -> leaveUntil(endNanos, done), LEAVE_CHECK_MS, TimeUnit.MILLISECONDS);
    }

    // ---- wanted replicas and connections

    private void reconcile() {
        long now = scheduler.nanoTime();
        learnSeeds();
        divideQuotas();
        Set<String> kept = new TreeSet<>();
        seeds.forEach(seed -> kept.add(seed.host()));
        replicas.voters().forEach(voter -> kept.add(ReplicaNames.ip(voter)));
        peers.removeStale(kept, now);
        replicas.handOverIfDiskStalled();
        if (replicas.isLeader()) {
            reconcileReplicas(peers.clusterView(settings.zone(), now, replicas::isCaughtUp));
        }
    }

    private void reconcileReplicas(ReplicaPlanner.ClusterView presence) {
        replicas.setLearners(ReplicaPlanner.learners(replicas.voters(), presence));
        if (replicas.areVotersCommitted()) {
            List<String> wanted = planner.planMembers(replicas.voters(), presence);
            if (!wanted.equals(replicas.voters())) {
                replicas.changeVoters(wanted);
            }
        }
    }

    private void divideQuotas() {
        quotas.configure(replicas.tenants(), replicas.replicaAddresses(), scheduler.millis());
    }

    private PeerMessage.QuotaAnswer grant(PeerMessage.QuotaAsk ask) {
        long ageMicros = freshness.ageMicros(scheduler.nanoTime());
        long ageMs = ageMicros < 0 ? -1 : TimeUnit.MICROSECONDS.toMillis(ageMicros);
        return quotas.answer(ask, ageMs, scheduler.millis());
    }

    // ---- the HTTP interface

    /** Answers a request of the operator or of a model server. */
    void handle(ControlHttp.Request request, Consumer<ControlHttp.Response> answer) {
        String path = request.path();
        if (request.method().equals("GET") && path.equals(CONFIG + "get")) {
            freshness.whenFresh(() -> readBack(answer),
                    () -> answer.accept(ControlHttp.Response.error(UNAVAILABLE, "no majority of replicas answers")));
        } else if (request.method().equals("POST") && path.equals(CONFIG + "replace")) {
            orders.submit(ConfigOrder.Kind.REPLACE, request, answer);
        } else if (request.method().equals("POST") && path.equals(CONFIG + "patch")) {
            orders.submit(ConfigOrder.Kind.PATCH, request, answer);
        } else if (path.startsWith(EVACUATIONS)) {
            evacuations.handle(path.substring(EVACUATIONS.length()), request, answer);
        } else if (request.method().equals("POST") && path.startsWith(INSTANCES)) {
            instance(path.substring(INSTANCES.length()).split("/"), request, answer);
        } else if (path.startsWith(TALLIES)) {
            tallies.handle(path.substring(TALLIES.length()).split("/"), request, answer);
        } else {
            answer.accept(ControlHttp.Response.error(404, "no such resource: " + path));
        }
    }

    private void readBack(Consumer<ControlHttp.Response> answer) {
        if (replicas.answersReads()) {
            replicas.orders().mergedDocument(document -> answer.accept(new ControlHttp.Response(OK, document)),
                    () -> answer.accept(ControlHttp.Response.error(UNAVAILABLE, "the configuration can't be told now")));
        } else {
            answer.accept(ControlHttp.Response.error(UNAVAILABLE, "no member of the replica group"));
        }
    }

    private void instance(String[] parts, ControlHttp.Request request, Consumer<ControlHttp.Response> answer) {
        if (parts.length == 2 && parts[1].equals("heartbeat")) {
            sessions.heartbeat(parts[0], request.body(), answer);
        } else if (parts.length == 2 && parts[1].equals("deregister")) {
            sessions.deregister(parts[0], answer);
        } else {
            answer.accept(ControlHttp.Response.error(404, "no such resource: " + request.path()));
        }
    }

    // ---- messages

    private void received(PeerLink link, PeerMessage message) {
        if (message instanceof PeerMessage.Replication replication) {
            if (replication.to().equals(replica)) {
                replicas.onMessage(replication.from(), replication.message());
            }
        } else if (message instanceof PeerMessage.Poll poll) {
            dataPlane.receivedPoll(link, poll);
        } else if (message instanceof PeerMessage.QuotaAsk ask) {
            link.send(grant(ask));
        } else if (message instanceof PeerMessage.Sessions told) {
            sessions.received(link, told);
        } else if (message instanceof PeerMessage.SessionsDigest digest) {
            reconcileSessions(link, digest);
        } else if (message instanceof PeerMessage.ReadIndexRequest request) {
            freshness.answerReadIndex(link, request.id());
        } else if (message instanceof PeerMessage.ReadIndexReply reply) {
            freshness.onReadIndexReply(reply);
        } else if (message instanceof PeerMessage.OrderRequest request) {
            orders.receiveForwarded(link, request);
        } else if (message instanceof PeerMessage.OrderReply reply) {
            orders.receiveReply(reply);
        } else if (message instanceof PeerMessage.EvacuationRequest request) {
            evacuations.receiveForwarded(link, request);
        } else if (message instanceof PeerMessage.EvacuationReply reply) {
            evacuations.receiveReply(reply);
        } else if (message instanceof PeerMessage.ConfigRequest request) {
            dataPlane.sendConfiguration(link, request.knownGeneration());
        } else if (message instanceof PeerMessage.DataHello hello) {
            dataPlane.receivedHello(link, hello);
        } else if (message instanceof PeerMessage.Leaving) {
            peers.markLeaving(link);
        } else if (message instanceof PeerMessage.ControlHello hello) {
            link.timing(LinkTiming.CONTROL);
            peers.onHello(link, hello, scheduler.nanoTime());
            replicas.setReachable(peers.connectedBothWays());
            tallies.connectionsChanged();
        } else {
            receivedOfTallies(link, message);
        }
    }

    private void receivedOfTallies(PeerLink link, PeerMessage message) {
        if (message instanceof PeerMessage.TallyVector vector) {
            tallies.received(link, vector);
        } else if (message instanceof PeerMessage.TallyEntries entries) {
            tallies.received(link, entries);
        } else if (message instanceof PeerMessage.TallyHeld held) {
            tallies.received(held);
        } else if (message instanceof PeerMessage.TallyBases bases) {
            tallies.received(link, bases);
        }
    }

    private void reconcileSessions(PeerLink link, PeerMessage.SessionsDigest digest) {
        ControlPeers.Peer peer = peers.peerOf(link);
        if (peer != null) {
            sessions.reconcileWith(peer.ip(), digest.digest());
        }
    }

    private final class GroupSurroundings implements ReplicaGroup.Environment {
        @Override
        public void send(String to, Message message) {
            peers.send(ReplicaNames.ip(to), new PeerMessage.Replication(replica, to, message));
        }

        @Override
        public void configurationChanged(long generation) {
            divideQuotas();
            dataPlane.scheduleFlush();
        }

        @Override
        public void evacuationsChanged(Evacuations changed) {
            evacuations.logChanges(changed);
            dataPlane.scheduleFlush();
        }

        @Override
        public void leaderKnown() {
            scheduler.execute(() -> {
                settled();
                freshness.refresh();
            });
        }
    }

    /** A connection that this node has opened to another control node. */
    private final class OutgoingListener implements PeerLink.Listener {
        private final String ip;

        OutgoingListener(String ip) {
            this.ip = ip;
        }

        @Override
        public void opened(PeerLink link) {
            link.send(new PeerMessage.ControlHello(settings.nodeName(), settings.ip(), settings.zone(), replica,
                    peers.knownAddresses()));
            peers.outgoingOpened(ip, link);
            link.send(new PeerMessage.Sessions(0, table.records()));
            replicas.onReconnected(ip);
            replicas.setReachable(peers.connectedBothWays());
            tallies.connected(link);
        }

        @Override
        public void received(PeerLink link, PeerMessage message) {
            if (message instanceof PeerMessage.SessionsAck ack) {
                sessions.acknowledged(ack.id(), ip);
            } else {
                ControlService.this.received(link, message);
            }
        }

        @Override
        public void closed(PeerLink link) {
            peers.outgoingClosed(ip, link);
            tallies.connectionsChanged();
        }
    }

    /** A connection that another control node or a data node has opened. */
    private final class IncomingListener implements PeerLink.Listener {
        @Override
        public void opened(PeerLink link) {
            // it introduces itself first
        }

        @Override
        public void received(PeerLink link, PeerMessage message) {
            ControlService.this.received(link, message);
        }

        @Override
        public void closed(PeerLink link) {
            peers.incomingClosed(link, scheduler.nanoTime());
            tallies.connectionsChanged();
            dataNodes.close(link);
        }
    }
}
