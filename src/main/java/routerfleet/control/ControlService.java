package routerfleet.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import rowanplank.agreement.Message;
import rowanplank.agreement.PersistentState;
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
 * The services of a control node, independent of the machine it runs on: its replica of the configuration shard, its
 * session table, its shares of tenants' limits, its tallies, and the connections to control nodes and data nodes. Clock,
 * thread, network and disk are passed in, real ones ({@link ControlNode}) or simulated ones.
 *
 * <p>To be used on the scheduler's thread only, except for {@link #load}.
 */
final class ControlService {
    private static final System.Logger LOG = Loggers.get("routerfleet.control");
    private static final long FRESHNESS_INTERVAL_MS = 80;
    private static final long SESSION_INTERVAL_MS = 1_000;
    private static final long RECONCILE_INTERVAL_MS = 250;
    /** While the group is too small to acknowledge anything. */
    private static final long GROW_INTERVAL_MS = 50;
    private static final long LEAVE_POLL_MS = 50;
    /** Data nodes, servers and operators are admitted once a leader is known, or after this time at the latest. */
    private static final long MAX_LEADER_WAIT_MS = 500;
    /** What only unusual updates need is loaded this late, and step by step, so that heartbeats go on between the steps. */
    private static final long WARMUP_DELAY_MS = 8_000;
    private static final long WARMUP_STEP_MS = 1_500;
    private static final double WARMUP_HEARTBEATS = 2.5;

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
    private final SessionTable sessionTable;
    private final TallyService tallies;
    private PersistentState saved;
    private String replica;
    private ReplicaGroup replicas;
    private ReplicaPlanner planner;
    private FreshnessTracker freshness;
    private SessionService sessions;
    private DataNodeService dataNodeService;
    private ConfigUpdateRouter configUpdates;
    private EvacuationService evacuations;
    private HttpResources resources;
    private SessionStorage sessionStorage;
    private List<SessionRecord> earlierSessions = List.of();
    private long sessionWarmupEndNanos;
    private Runnable startupTask;
    private List<HostPort> seeds;

    /** @param settings must name a directory on disk */
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
        sessionTable = new SessionTable(settings.heartbeatMs());
        tallies = new TallyService(settings, scheduler, peers, storage.tallyStorage(), parts.tallyBounds(),
                parts.tallyReach(settings, peers));
    }

    /**
     * Reads the persistent state. To be called before {@link #start}, on any thread.
     *
     * @param numbers draws the number that names a new replica on an empty disk; no number may come twice
     * @throws IOException if the disk can't be read, or rejects a write
     */
    void load(LongSupplier numbers) throws IOException {
        sessionStorage = storage.sessionHints(codec);
        earlierSessions = sessionStorage.read();
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

    /** Starts the service with the loaded state. */
    void start() {
        replicas = new ReplicaGroup(scheduler, codec, replica, saved, storage, random.nextLong(),
                new GroupEnvironment(), parts);
        saved = null;
        planner = parts.planner(replica);
        freshness = parts.freshness(scheduler, replicas, peers, random.nextLong() >>> 2);
        configUpdates = new ConfigUpdateRouter(scheduler, replica, replicas, peers, random.nextLong() >>> 2);
        evacuations = new EvacuationService(scheduler, settings.zones(), replicas, freshness, peers,
                random.nextLong() >>> 2);
        configureQuotas();
        sessionWarmupEndNanos = scheduler.nanoTime()
                + TimeUnit.MILLISECONDS.toNanos((long) (settings.heartbeatMs() * WARMUP_HEARTBEATS));
        dataNodeService = new DataNodeService(scheduler, random.nextLong() | 1, sessionTable, dataNodes, peers, replicas,
                freshness, sessionWarmupEndNanos);
        restoreEarlierSessions();
        sessions = new SessionService(scheduler, sessionTable, peers, this::isHeldByEnoughNodes,
                () -> dataNodes.countActive(scheduler.nanoTime()) > 0, dataNodeService::scheduleFlush,
                sessionStorage::save);
        resources = new HttpResources(replicas, freshness, configUpdates, evacuations, sessions, tallies);
        peers.start(new PeerDialer(scheduler, network, LinkTiming.CONTROL,
                address -> new OutgoingListener(address.host())));
        tallies.start();
        learnSeeds();
        scheduler.every(FRESHNESS_INTERVAL_MS, freshness::tick);
        scheduler.every(RECONCILE_INTERVAL_MS, this::reconcile);
        grow();
        scheduler.every(SESSION_INTERVAL_MS, sessions::tick);
        scheduler.every(SESSION_INTERVAL_MS, this::saveSessions);
        scheduler.schedule(() -> warmUp(replicas.orders().warmUpSteps().iterator()), WARMUP_DELAY_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Prepares a voter for a leader's work, once there is a configuration: until then the start is not over. */
    private void warmUp(Iterator<Runnable> steps) {
        if (replicas.isVoter() && replicas.generation() > 0 && steps.hasNext()) {
            steps.next().run();
        }
        if (steps.hasNext()) {
            scheduler.schedule(() -> warmUp(steps), WARMUP_STEP_MS, TimeUnit.MILLISECONDS);
        }
    }

    private boolean isHeldByEnoughNodes(Set<String> holders) {
        return holders.size() > parts.requiredRemoteCopies()
                && peers.spanZones(holders, settings.zone(), settings.toleratedZones() + 1);
    }

    private void saveSessions() {
        if (scheduler.nanoTime() - sessionWarmupEndNanos >= 0) {
            earlierSessions = List.of();
            sessionStorage.saveIfChanged();
        }
    }

    /** Until the table has filled, sessions that were ready before the start are saved again. */
    private List<SessionRecord> sessionsToSave() {
        List<SessionRecord> kept = sessionTable.recordsToSave();
        earlierSessions.stream().filter(s -> sessionTable.find(s.uid()) == null).forEach(kept::add);
        return kept;
    }

    /** Draining and ended sessions are merged, as these phases are final; ready ones are only hints for data nodes. */
    private void restoreEarlierSessions() {
        List<SessionRecord> ready = new ArrayList<>();
        for (SessionRecord session : earlierSessions) {
            if (session.phase() == SessionRecord.Phase.READY) {
                ready.add(session);
            } else {
                sessionTable.merge(session, scheduler.nanoTime());
            }
        }
        dataNodeService.setEarlierSessions(codec.encode(new PeerMessage.Sessions(0, ready)));
        earlierSessions = ready;
        sessionStorage.setSource(this::sessionsToSave);
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
     * Runs a task once a leader is known, or after {@value #MAX_LEADER_WAIT_MS} ms without one: admitting data nodes and
     * servers earlier would only delay an election at a node that has just started. To be called once, after
     * {@link #start}.
     */
    void runOnceLeaderKnown(Runnable task) {
        startupTask = task;
        scheduler.schedule(this::runStartupTask, MAX_LEADER_WAIT_MS, TimeUnit.MILLISECONDS);
        if (replicas.leader() != null) {
            runStartupTask();
        }
    }

    private void runStartupTask() {
        Runnable task = startupTask;
        startupTask = null;
        if (task != null) {
            task.run();
        }
    }

    /** Returns the name of this node's replica; null before {@link #load}. */
    String replica() {
        return replica;
    }

    /** Returns this node's member of the replica group. */
    ReplicaGroup group() {
        return replicas;
    }

    private void learnSeeds() {
        seeds.forEach(seed -> peers.add(seed.host(), scheduler.nanoTime()));
        replicas.voters().forEach(voter -> peers.add(ReplicaNames.ip(voter), scheduler.nanoTime()));
    }

    /** Replaces the seed addresses. */
    void updateSeeds(List<HostPort> changed) {
        seeds = changed;
        learnSeeds();
    }

    /**
     * Prepares to stop: transfers leadership, and waits until a control node without a vote has taken this node's seat,
     * so that the group is complete again before this node stops.
     *
     * @param done run once the node may stop
     * @param maxMs how long to wait at most, in milliseconds
     */
    void prepareToStop(Runnable done, long maxMs) {
        replicas.transferLeadership();
        leaveUntil(scheduler.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxMs), done);
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
        scheduler.schedule(() -> leaveUntil(endNanos, done), LEAVE_POLL_MS, TimeUnit.MILLISECONDS);
    }

    // ---- replica group and connections

    private void reconcile() {
        long now = scheduler.nanoTime();
        learnSeeds();
        configureQuotas();
        Set<String> kept = new TreeSet<>();
        seeds.forEach(seed -> kept.add(seed.host()));
        replicas.voters().forEach(voter -> kept.add(ReplicaNames.ip(voter)));
        peers.removeStale(kept, now);
        replicas.handOverIfDiskStalled();
        if (replicas.isLeader()) {
            reconcileReplicas();
        }
    }

    private void grow() {
        if (replicas.hasEnoughVoters()) {
            return;
        }
        if (replicas.isLeader()) {
            reconcileReplicas();
        }
        scheduler.schedule(this::grow, GROW_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void reconcileReplicas() {
        ReplicaPlanner.ClusterView presence =
                peers.clusterView(settings.zone(), scheduler.nanoTime(), replicas::isCaughtUp);
        replicas.setLearners(ReplicaPlanner.learners(replicas.voters(), presence));
        if (replicas.areVotersCommitted()) {
            List<String> wanted = planner.planMembers(replicas.voters(), presence);
            if (!wanted.equals(replicas.voters())) {
                replicas.changeVoters(wanted);
            }
        }
    }

    private void configureQuotas() {
        quotas.configure(replicas.tenants(), replicas.replicaAddresses(), scheduler.millis());
    }

    private PeerMessage.QuotaAnswer quotaAnswer(PeerMessage.QuotaAsk ask) {
        long ageMicros = freshness.ageMicros(scheduler.nanoTime());
        long ageMs = ageMicros < 0 ? -1 : TimeUnit.MICROSECONDS.toMillis(ageMicros);
        return quotas.answer(ask, ageMs, scheduler.millis());
    }

    // ---- the HTTP interface

    /** Handles a request of an operator or a model server. */
    void handle(ControlHttp.Request request, Consumer<ControlHttp.Response> onResponse) {
        resources.handle(request, onResponse);
    }

    // ---- messages

    private void received(PeerLink link, PeerMessage message) {
        if (message instanceof PeerMessage.Replication replication) {
            if (replication.to().equals(replica)) {
                replicas.onMessage(replication.from(), replication.message());
            }
        } else if (message instanceof PeerMessage.Poll poll) {
            dataNodeService.receivedPoll(link, poll);
        } else if (message instanceof PeerMessage.QuotaAsk ask) {
            link.send(quotaAnswer(ask));
        } else if (message instanceof PeerMessage.Sessions records) {
            sessions.received(link, records);
        } else if (message instanceof PeerMessage.SessionsDigest digest) {
            reconcileSessions(link, digest);
        } else if (message instanceof PeerMessage.ReadIndexRequest request) {
            freshness.answerReadIndex(link, request.id());
        } else if (message instanceof PeerMessage.ReadIndexReply reply) {
            freshness.onReadIndexReply(reply);
        } else if (message instanceof PeerMessage.OrderRequest request) {
            configUpdates.receiveForwarded(link, request);
        } else if (message instanceof PeerMessage.OrderReply reply) {
            configUpdates.receiveReply(reply);
        } else if (message instanceof PeerMessage.EvacuationRequest request) {
            evacuations.receiveForwarded(link, request);
        } else if (message instanceof PeerMessage.EvacuationReply reply) {
            evacuations.receiveReply(reply);
        } else if (message instanceof PeerMessage.ConfigRequest request) {
            dataNodeService.sendConfiguration(link, request.knownGeneration());
        } else if (message instanceof PeerMessage.DataHello hello) {
            dataNodeService.receivedHello(link, hello);
        } else if (message instanceof PeerMessage.Leaving) {
            peers.markLeaving(link);
        } else if (message instanceof PeerMessage.ControlHello hello) {
            link.timing(LinkTiming.CONTROL);
            peers.onHello(link, hello, scheduler.nanoTime());
            replicas.setReachable(peers.connectedBothWays());
            tallies.connectionsChanged();
        } else {
            receivedTallyMessage(link, message);
        }
    }

    private void receivedTallyMessage(PeerLink link, PeerMessage message) {
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

    private final class GroupEnvironment implements ReplicaGroup.Environment {
        @Override
        public void send(String to, Message message) {
            peers.send(ReplicaNames.ip(to), new PeerMessage.Replication(replica, to, message));
        }

        @Override
        public void configurationChanged(long generation) {
            configureQuotas();
            dataNodeService.scheduleFlush();
        }

        @Override
        public void evacuationsChanged(Evacuations changed) {
            evacuations.logChanges(changed);
            dataNodeService.scheduleFlush();
        }

        @Override
        public void leaderKnown() {
            scheduler.execute(() -> {
                runStartupTask();
                freshness.refresh();
            });
        }
    }

    /** A connection that this node opened to another control node. */
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
            link.send(new PeerMessage.Sessions(0, sessionTable.records()));
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

    /** A connection that another control node or a data node opened. */
    private final class IncomingListener implements PeerLink.Listener {
        @Override
        public void opened(PeerLink link) {
            // the other side introduces itself first
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
