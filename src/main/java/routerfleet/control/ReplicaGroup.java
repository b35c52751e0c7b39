package routerfleet.control;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import rowanplank.agreement.RaftNode;
import rowanplank.agreement.Entry;
import rowanplank.agreement.VoterConfig;
import rowanplank.agreement.Message;
import rowanplank.agreement.PersistentState;
import rowanplank.agreement.Snapshot;
import rowanplank.agreement.Write;
import routerfleet.config.ConfigChange;
import routerfleet.config.ConfigFault;
import routerfleet.config.ConfigOrder;
import routerfleet.config.ConfigStore;
import routerfleet.config.EvacuationOrder;
import routerfleet.config.Evacuations;
import routerfleet.config.TenantConfig;
import routerfleet.log.Loggers;
import routerfleet.wire.PeerCodec;
import routerfleet.wire.PeerMessage.EvacuationOutcome;
import routerfleet.wire.Scheduler;

/**
 * This node's replica of the configuration shard: drives a {@link RaftNode}, applies committed entries to the
 * {@link ConfigStore}, accepts configuration updates while it is the leader, and provides read indexes for linearizable
 * reads. Confined to the scheduler's thread.
 */
final class ReplicaGroup {
    /** What a replica group needs from its node: sending messages, and callbacks on changes. */
    interface Environment {
        /** Sends a Raft message to the named replica; may drop it. */
        void send(String replica, Message message);

        /** The configuration has changed. */
        void configurationChanged(long generation);

        /** The set of evacuated zones has changed. */
        void evacuationsChanged(Evacuations evacuations);

        /** A leader that can serve requests for the group has become known: this replica or another one. */
        void leaderKnown();
    }

    private static final System.Logger LOG = Loggers.get("routerfleet.control.replica");
    /** A leader whose disk has not completed a write for this long transfers its leadership. */
    private static final long DISK_STALLED_MS = 1_000;
    private static final int COMPACT_AFTER_ENTRIES = 128;
    private static final long COMPACT_AFTER_BYTES = 1 << 20;
    /** A larger update is logged only as it was received, without its decoded form, to keep log entries bounded. */
    private static final int MAX_TYPED_BYTES = 1 << 20;

    private final Scheduler scheduler;
    private final PeerCodec codec;
    private final String self;
    /** With fewer voters, the tolerated loss of disks could leave no majority, so nothing is acknowledged. */
    private final int minVoters;
    private final ReplicaStorage storage;
    private final Environment environment;
    private final ConfigStore store;
    private final RaftNode raft;
    private final CommittedConfigMessages committed;
    private final DeferredTasks deferred = new DeferredTasks();
    private final ConfigUpdateQueue orders;
    private final PendingEvacuations evacuationOrders = new PendingEvacuations();
    private final LeadershipWaiters leadershipWaiters = new LeadershipWaiters();
    private final AppliedIndex appliedIndex = new AppliedIndex();
    private final RaftTimer timer;
    /** The leader last reported through {@link Environment#leaderKnown}; null while none is known. */
    private String reportedLeader;
    private long bytesSinceSnapshot;
    /** Set if a committed entry or snapshot can't be read; continuing without it would make the state diverge. */
    private boolean halted;

    /** @param saved the persistent state read from the disk of the replica named {@code self} */
    ReplicaGroup(Scheduler scheduler, PeerCodec codec, String self, PersistentState saved, ReplicaStorage storage,
            long seed, Environment environment, ControlServiceFactory factory) {
        this.scheduler = scheduler;
        timer = new RaftTimer(scheduler, this::onTime);
        minVoters = factory.minVoters();
        store = factory.configStore();
        orders = factory.orderQueue(new Leader(), store, scheduler);
        this.codec = codec;
        committed = new CommittedConfigMessages(codec, store);
        this.self = self;
        this.storage = storage;
        this.environment = environment;
        restore(saved.snapshot());
        raft = factory.raftNode(ReplicaTiming.settings(self, seed), saved, scheduler.now(), new RaftActions());
        timer.schedule(raft.due());
    }

    // ---- queries

    /** Whether this replica is the leader and knows all entries committed before its term. */
    boolean isLeader() {
        return !halted && raft.isEstablished();
    }

    /** The leader's replica name; null if none is known. */
    String leader() {
        return halted ? null : raft.leader();
    }

    /**
     * Whether this replica may serve reads for the group. A replica without a vote, or one that is only being added, leaves
     * reads to the others, so that operators don't take a node for recovered before the group counts its vote.
     */
    boolean answersReads() {
        VoterConfig membership = raft.voterConfig();
        return !halted && membership.voters().contains(self)
                && (!membership.isJoint() || membership.outgoing().contains(self));
    }

    /** The role and progress of this replica, in one line for logs and operators. */
    String describe() {
        return (halted ? "halted" : raft.role()) + " of term " + raft.term() + ", leader " + leader()
                + ", voters " + voters() + (isChangingMembers() ? " in place of " + raft.voterConfig().outgoing() : "")
                + ", entries " + appliedIndex.index() + "/" + raft.commitIndex() + "/" + raft.lastIndex() + ", "
                + storage.pendingWrites() + " writes wait";
    }

    /** Whether a membership change (joint consensus) is in progress. */
    boolean isChangingMembers() {
        return raft.voterConfig().isJoint();
    }

    /** Whether this replica was elected leader, even if it does not know yet which earlier entries are committed. */
    boolean isElected() {
        return raft.role() == RaftNode.Role.LEADER;
    }

    /** Whether this replica has a vote. */
    boolean isVoter() {
        return raft.voterConfig().includes(self);
    }

    /** Whether the group has enough voters for committed entries to survive the tolerated losses. */
    boolean hasEnoughVoters() {
        VoterConfig membership = raft.voterConfig();
        return membership.voters().size() >= minVoters
                && (!membership.isJoint() || membership.outgoing().size() >= minVoters);
    }

    /** Whether a replica without a vote has all committed entries; only known to the leader. */
    boolean isCaughtUp(String replica) {
        return raft.hasAllCommitted(replica);
    }

    List<String> voters() {
        return raft.voters();
    }

    /** IP addresses of the nodes of all voters. */
    List<String> replicaAddresses() {
        return voters().stream().map(ReplicaNames::ip).toList();
    }

    /** The tenants of the current configuration. */
    List<TenantConfig> tenants() {
        return store.configuration().tenants();
    }

    /** Whether the entry of the last membership change is committed. */
    boolean areVotersCommitted() {
        return raft.isVoterChangeCommitted();
    }

    long generation() {
        return store.generation();
    }

    /** The evacuated zones, as of the last applied entry. */
    Evacuations evacuations() {
        return store.evacuations();
    }

    /** The newest committed configuration, encoded for data nodes. */
    CommittedConfigMessages committed() {
        return committed;
    }

    // ---- events

    void onMessage(String from, Message message) {
        if (halted || storage.isFull()) {
            return; // dropped as if lost in transit; Raft sends what matters again
        }
        runStep("a message from " + from, () -> raft.onMessage(scheduler.now(), from, message));
    }

    /** Notes that a new connection to another replica's node has been opened. */
    void onReconnected(String ip) {
        for (String replica : raft.matchIndexes().keySet()) {
            if (ReplicaNames.ip(replica).equals(ip)) {
                raft.onReconnected(scheduler.now(), replica);
            }
        }
        runDeferred();
    }

    /** Sets the nodes connected in both directions, which matters until there has been a first leader. */
    void setReachable(Set<String> ips) {
        raft.setReachable(scheduler.now(), voters().stream().filter(v -> ips.contains(ReplicaNames.ip(v))).toList());
        runDeferred();
    }

    /** The queue of configuration updates that wait for a result here. */
    ConfigUpdateQueue orders() {
        return orders;
    }

    /** Submits a configuration update; its outcome is unclear if this replica is not a leader that can accept it. */
    void submit(ConfigOrder order, Consumer<ConfigUpdateQueue.Result> answer) {
        if (!isLeader() || orders.isFull() || storage.isFull()) {
            answer.accept(ConfigUpdateQueue.Result.unknown("no leader here that can take it"));
        } else if (!hasEnoughVoters()) {
            answer.accept(ConfigUpdateQueue.Result.unknown("fewer than " + minVoters + " replicas so far"));
        } else {
            orders.add(order, answer);
            runDeferred();
        }
    }

    /** Proposes to start or end the evacuation of a zone, as leader. */
    void submitEvacuation(EvacuationOrder order, Consumer<EvacuationOutcome> answer) {
        boolean canPropose = isLeader() && hasEnoughVoters() && !evacuationOrders.isFull() && !storage.isFull();
        evacuationOrders.register(canPropose ? raft.propose(scheduler.now(), codec.encode(order)) : 0, answer);
        runDeferred();
    }

    /** Runs one of the callbacks: once a majority has confirmed that this replica still leads, or if it does not lead. */
    void confirmLeadership(Runnable confirmed, Runnable lost) {
        awaitRound(isLeader() ? raft.confirmLeadership(scheduler.now()) : 0, confirmed, lost);
        runDeferred();
    }

    private void awaitRound(long round, Runnable confirmed, Runnable lost) {
        if (round == 0) {
            lost.run();
        } else {
            leadershipWaiters.awaitRound(round, confirmed, lost);
        }
    }

    /** Passes on the read index: the entry that covers everything acknowledged before this call; negative if unknown. */
    void readIndex(LongConsumer answer) {
        boolean mayAnswer = !isElected() || isLeader() || halted;
        if (mayAnswer || !leadershipWaiters.defer(() -> readIndex(answer))) {
            awaitRound(isLeader() ? raft.confirmLeadershipWithHeartbeat() : 0, () -> answer.accept(raft.commitIndex()),
                    () -> answer.accept(-1));
        }
    }

    /** Runs a task once the entry is applied here. */
    void whenApplied(long index, Runnable task) {
        appliedIndex.whenApplied(index, task);
    }

    /** Sets the replicas without a vote that receive the log; as leader. */
    void setLearners(List<String> names) {
        raft.setLearners(scheduler.now(), names);
        runDeferred();
    }

    /** Replaces the voters by another set in one joint consensus step; as leader. */
    void changeVoters(List<String> changed) {
        if (raft.proposeJointChange(changed) != 0) {
            LOG.log(System.Logger.Level.INFO, "replicas from now on: " + changed);
        }
        runDeferred();
    }

    /** Called regularly: transfers leadership if the leader's disk does not respond. */
    void handOverIfDiskStalled() {
        if (isLeader() && storage.stalledMs() > DISK_STALLED_MS && raft.voters().size() > 1) {
            LOG.log(System.Logger.Level.WARNING, "the disk has not answered for " + storage.stalledMs()
                    + " ms: another replica is to lead");
            transferLeadership();
        }
    }

    /** Transfers leadership to another replica, before this one stops. */
    void transferLeadership() {
        raft.transferLeadership(scheduler.now());
        runDeferred();
    }

    /** What the update queue needs from this replica. */
    private final class Leader implements ConfigUpdateQueue.Leader {
        @Override
        public void confirmLeadership(Runnable confirmed, Runnable lost) {
            ReplicaGroup.this.confirmLeadership(confirmed, lost);
        }

        @Override
        public long propose(ConfigChange change) {
            boolean large = change.order().body().length > MAX_TYPED_BYTES;
            long index = raft.propose(scheduler.now(), codec.encode(large ? change.order() : change));
            runDeferred();
            return index;
        }

        @Override
        public void defer(Runnable task) {
            deferred.add(task);
        }
    }

    // ---- driving the Raft node

    /** Runs the actions that the Raft node has requested, and sets its timer. */
    private void runDeferred() {
        if (deferred.runAll()) {
            compact();
            timer.schedule(raft.due());
            notifyLeaderKnown();
        }
    }

    private void notifyLeaderKnown() {
        String before = reportedLeader;
        reportedLeader = isElected() && !isLeader() ? null : leader();
        if (reportedLeader != null && !reportedLeader.equals(before)) {
            environment.leaderKnown();
        }
    }

    /** Runs one step of the Raft node. A failure means a violated invariant, so the replica halts. */
    private void runStep(String what, Runnable runStep) {
        try {
            runStep.run();
        } catch (RuntimeException e) {
            halt("what follows from " + what, e);
        }
        runDeferred();
    }

    private void compact() {
        boolean due = raft.committedSinceSnapshot() > COMPACT_AFTER_ENTRIES || bytesSinceSnapshot > COMPACT_AFTER_BYTES;
        if (!due || halted || storage.isFull()) {
            return;
        }
        byte[] state = codec.encode(store.snapshot());
        if (state.length > RaftNode.MAX_SNAPSHOT_BYTES) {
            LOG.log(System.Logger.Level.ERROR, "a state of " + state.length + " bytes exceeds the snapshot size limit");
            bytesSinceSnapshot = 0;
            return;
        }
        bytesSinceSnapshot = 0;
        raft.compact(state);
    }

    private void onTime() {
        if (!halted) {
            runStep("time", () -> raft.onTime(scheduler.now()));
        }
    }

    private void restore(Snapshot snapshot) {
        appliedIndex.advanceTo(snapshot.index());
        if (snapshot.data().length == 0) {
            return;
        }
        try {
            store.restoreDecoded(codec.decodeStored(snapshot.data(), Object.class));
        } catch (PeerCodec.MalformedMessageException | RuntimeException e) {
            halt("the snapshot at entry " + snapshot.index(), e);
        }
    }

    /**
     * Stops this replica for good because committed data can't be read here: it was written by a later build, or a fault
     * corrupted it. The other replicas go on, and operators replace this build by one that can read the data.
     */
    private void halt(String what, Exception cause) {
        if (halted) {
            return;
        }
        halted = true;
        LOG.log(System.Logger.Level.ERROR, what + " can't be taken in: this replica takes no part any more", cause);
        deferred.add(this::leadershipLost);
        appliedIndex.discardWaiters();
    }

    /** Whether this replica has stopped for good because it could not read committed data. */
    boolean isHalted() {
        return halted;
    }

    private void apply(Entry entry) {
        if (halted) {
            return;
        }
        if (entry.payload().length > 0) {
            try {
                applyUpdate(entry, codec.decodeStored(entry.payload(), Object.class));
            } catch (PeerCodec.MalformedMessageException | RuntimeException e) {
                halt("entry " + entry.index(), e);
                return;
            }
        }
        appliedIndex.advanceTo(entry.index());
        deferred.add(appliedIndex::runApplied);
    }

    /** @param order an update validated by a leader, or one as it was received */
    private void applyUpdate(Entry entry, Object order) {
        bytesSinceSnapshot += entry.payload().length;
        if (order instanceof EvacuationOrder evacuation) {
            applyEvacuation(entry, evacuation);
            return;
        }
        long before = store.generation();
        Either<ConfigFault, Long> result = store.applyDecoded(order);
        orders.applied(entry.index(), result);
        if (store.generation() != before) {
            deferred.add(() -> environment.configurationChanged(store.generation()));
            deferred.add(() -> raft.confirmLeadership(scheduler.now())); // the round informs the followers at once
        }
    }

    private void applyEvacuation(Entry entry, EvacuationOrder order) {
        boolean accepted = store.apply(order);
        deferred.add(() -> evacuationOrders.applied(entry.index(), accepted));
        if (accepted) {
            deferred.add(() -> environment.evacuationsChanged(store.evacuations()));
            deferred.add(() -> raft.confirmLeadership(scheduler.now()));
        }
    }

    private void leadershipLost() {
        leadershipWaiters.leadershipLost();
        evacuationOrders.leadershipLost();
        orders.leadershipLost();
    }

    private final class RaftActions implements RaftNode.Actions {
        @Override
        public void send(String to, Message message) {
            deferred.add(() -> {
                if (!halted) {
                    environment.send(to, message);
                }
            });
        }

        @Override
        public void store(long number, Write write) {
            storage.store(write, () -> {
                if (!halted) {
                    orders.stored();
                    runStep("a write", () -> raft.onStored(scheduler.now(), number));
                }
            });
        }

        @Override
        public void committed(Entry entry) {
            apply(entry);
        }

        @Override
        public void restore(Snapshot snapshot) {
            ReplicaGroup.this.restore(snapshot);
            deferred.add(() -> environment.configurationChanged(store.generation()));
            deferred.add(() -> environment.evacuationsChanged(store.evacuations()));
            deferred.add(appliedIndex::runApplied);
        }

        @Override
        public void becameLeader(long term) {
            LOG.log(System.Logger.Level.INFO, self + " leads term " + term);
            deferred.add(leadershipWaiters::retryDeferred);
        }

        @Override
        public void lostLeadership() {
            LOG.log(System.Logger.Level.INFO, self + " leads no more");
            deferred.add(ReplicaGroup.this::leadershipLost);
        }

        @Override
        public void electionStarted(String silentLeader, Duration silence) {
            LOG.log(System.Logger.Level.INFO, "asks for votes: " + silentLeader + " silent for " + silence.toMillis()
                    + " ms");
        }

        @Override
        public void roundConfirmed(long round) {
            deferred.add(() -> leadershipWaiters.confirmed(round));
        }
    }
}
