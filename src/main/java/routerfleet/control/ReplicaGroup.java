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
 * This node's replica of the configuration shard: drives {@link RaftNode}, applies what is committed to the
 * {@link ConfigStore}, takes orders while it leads, and knows up to when everything acknowledged is known here. For one
 * thread, the scheduler's.
 */
final class ReplicaGroup {
    /** What it needs of the node around it. */
    interface Environment {
        /** Sends to the replica of that name. */
        void send(String replica, Message message);

        /** The configuration has changed. */
        void configurationChanged(long generation);

        /** Other zones are evacuated. */
        void evacuationsChanged(Evacuations evacuations);

        /** There is a leader from now on that can answer for the group: this replica or another one. */
        void leaderKnown();
    }

    private static final System.Logger LOG = Loggers.get("routerfleet.control.replica");
    private static final Duration ELECTION = Duration.ofMillis(400);
    /** All machines may start at one time, and serve nothing until there is a leader. */
    private static final Duration FIRST_ELECTION = Duration.ofMillis(100);
    private static final Duration HEARTBEAT = Duration.ofMillis(100);
    private static final int MOST_MESSAGE_BYTES = 256 << 10;
    private static final int MOST_UNDECIDED = 512;
    /** A leader whose disk has not answered for so long hands its part on. */
    private static final long DISK_STALLED_MS = 1_000;
    private static final int COMPACT_AFTER_ENTRIES = 128;
    private static final long COMPACT_AFTER_BYTES = 1 << 20;
    /** A larger order stands in the log as it was sent, without its typed form, so that an entry stays in bounds. */
    private static final int MOST_TYPED_BYTES = 1 << 20;

    private final Scheduler scheduler;
    private final PeerCodec codec;
    private final String self;
    /** With fewer, so many disks could be lost at once that no majority is left: nothing is acknowledged. */
    private final int leastVoters;
    private final ReplicaStorage storage;
    private final Environment surroundings;
    private final ConfigStore store;
    private final RaftNode agreement;
    private final CommittedConfigMessages committed;
    private final DeferredTasks deferred = new DeferredTasks();
    private final ConfigUpdateQueue orders;
    private final PendingEvacuations evacuationOrders = new PendingEvacuations();
    private final LeadershipWaiters questions = new LeadershipWaiters();
    private final AppliedIndex applied = new AppliedIndex();
    private final RaftTimer timer;
    /** The leader that {@link Environment#leaderKnown} was last told of; null while there is none. */
    private String knownLeader;
    private long bytesSinceSnapshot;
    /** It can't read what was decided, and takes no part any more: going on without would be another state. */
    private boolean halted;

    /**
     * @param self the replica's name
     * @param saved what is on its disk
     */
    ReplicaGroup(Scheduler scheduler, PeerCodec codec, String self, PersistentState saved, ReplicaStorage storage, long seed,
            Environment surroundings, ControlServiceFactory parts) {
        this.scheduler = scheduler;
        timer = new RaftTimer(scheduler, this::onTime);
        leastVoters = parts.minVoters();
        store = parts.configStore();
        orders = parts.orderQueue(new Leader(), store, scheduler);
        this.codec = codec;
        committed = new CommittedConfigMessages(codec, store);
        this.self = self;
        this.storage = storage;
        this.surroundings = surroundings;
        restore(saved.snapshot());
        agreement = parts.raftNode(new RaftNode.Settings(self, ELECTION, FIRST_ELECTION, HEARTBEAT, MOST_MESSAGE_BYTES,
                MOST_UNDECIDED, RaftNode.Transport.CONNECTIONS, seed), saved, scheduler.now(), new AgreementActions());
        timer.schedule(agreement.due());
    }

    // ---- asked

    boolean isLeader() {
        return !halted && agreement.isEstablished();
    }

    /** The leader's replica name; null where none is known. */
    String leader() {
        return halted ? null : agreement.leader();
    }

    /**
     * Whether this replica may answer for the group: one that has no vote, or not yet for certain, leaves it to the
     * others, so that nobody takes a node for repaired that the group does not count on.
     */
    boolean answersReads() {
        VoterConfig membership = agreement.voterConfig();
        return !halted && membership.voters().contains(self)
                && (!membership.isJoint() || membership.outgoing().contains(self));
    }

    /** Its part in the group, in one line. */
    String describe() {
        return (halted ? "halted" : agreement.role()) + " of term " + agreement.term() + ", leader " + leader()
                + ", voters " + voters() + (isChangingMembers() ? " in place of " + agreement.voterConfig().outgoing() : "")
                + ", entries " + applied.index() + "/" + agreement.commitIndex() + "/" + agreement.lastIndex() + ", "
                + storage.pendingWrites() + " writes wait";
    }

    /** Whether a change of the members is under way. */
    boolean isChangingMembers() {
        return agreement.voterConfig().isJoint();
    }

    /** Whether it was elected, even if it does not know yet what was decided before. */
    boolean isElected() {
        return agreement.role() == RaftNode.Role.LEADER;
    }

    /** Whether this replica has a vote. */
    boolean isVoter() {
        return agreement.voterConfig().includes(self);
    }

    /** Whether the group is large enough that what it decides outlives the losses that are to be borne. */
    private boolean isLargeEnough() {
        VoterConfig membership = agreement.voterConfig();
        return membership.voters().size() >= leastVoters
                && (!membership.isJoint() || membership.outgoing().size() >= leastVoters);
    }

    /** Whether a replica without a vote holds all that is decided; as a leader. */
    boolean isCaughtUp(String replica) {
        return agreement.hasAllCommitted(replica);
    }

    List<String> voters() {
        return agreement.voters();
    }

    /** Addresses of the nodes of all replicas. */
    List<String> replicaAddresses() {
        return voters().stream().map(ReplicaNames::ip).toList();
    }

    /** The tenants of the current configuration. */
    List<TenantConfig> tenants() {
        return store.configuration().tenants();
    }

    boolean areVotersCommitted() {
        return agreement.isVoterChangeCommitted();
    }

    long generation() {
        return store.generation();
    }

    /** The evacuated zones, by what is known to be committed. */
    Evacuations evacuations() {
        return store.evacuations();
    }

    /** The newest configuration that is known to be committed, for data nodes. */
    CommittedConfigMessages committed() {
        return committed;
    }

    // ---- events

    void onMessage(String from, Message message) {
        if (halted || storage.isFull()) {
            return; // as if it were lost: what matters comes again
        }
        step("a message of " + from, () -> agreement.onMessage(scheduler.now(), from, message));
    }

    /** There is a new connection to another replica's node. */
    void onReconnected(String ip) {
        for (String replica : agreement.matchIndexes().keySet()) {
            if (ReplicaNames.ip(replica).equals(ip)) {
                agreement.onReconnected(scheduler.now(), replica);
            }
        }
        settle();
    }

    /** Tells which nodes can be reached, there and back: what matters before there was any leader. */
    void setReachable(Set<String> ips) {
        agreement.setReachable(scheduler.now(), voters().stream().filter(v -> ips.contains(ReplicaNames.ip(v))).toList());
        settle();
    }

    /** The orders that wait here. */
    ConfigUpdateQueue orders() {
        return orders;
    }

    /** Takes an order, as a leader. */
    void submit(ConfigOrder order, Consumer<ConfigUpdateQueue.Result> answer) {
        if (!isLeader() || orders.isFull() || storage.isFull()) {
            answer.accept(ConfigUpdateQueue.Result.unknown("no leader here that can take it"));
        } else if (!isLargeEnough()) {
            answer.accept(ConfigUpdateQueue.Result.unknown("fewer than " + leastVoters + " replicas so far"));
        } else {
            orders.add(order, answer);
            settle();
        }
    }

    /** Proposes an order about an evacuation, as a leader. */
    void submitEvacuation(EvacuationOrder order, Consumer<EvacuationOutcome> answer) {
        boolean may = isLeader() && isLargeEnough() && !evacuationOrders.isFull() && !storage.isFull();
        evacuationOrders.register(may ? agreement.propose(scheduler.now(), codec.encode(order)) : 0, answer);
        settle();
    }

    /** Has a majority confirm that this replica still leads. */
    void confirmLeadership(Runnable confirmed, Runnable lost) {
        if (!isLeader()) {
            lost.run();
            return;
        }
        long round = agreement.confirmLeadership(scheduler.now());
        if (round == 0) {
            lost.run();
        } else {
            questions.awaitRound(round, confirmed, lost);
        }
        settle();
    }

    /** The entry up to which everything that was acknowledged before this call stands; negative where unknown. */
    void readIndex(LongConsumer answer) {
        boolean mayAnswer = !isElected() || isLeader() || halted;
        if (mayAnswer || !questions.defer(() -> readIndex(answer))) {
            confirmLeadership(() -> answer.accept(agreement.commitIndex()), () -> answer.accept(-1));
        }
    }

    /** Runs a task once that entry is applied here. */
    void whenApplied(long index, Runnable task) {
        applied.whenApplied(index, task);
    }

    /** Sends the log to replicas without a vote; as a leader. */
    void setLearners(List<String> names) {
        agreement.setLearners(scheduler.now(), names);
        settle();
    }

    /** Puts another group of replicas in place of the current one, in one step; as a leader. */
    void changeVoters(List<String> changed) {
        if (agreement.proposeJointChange(changed) != 0) {
            LOG.log(System.Logger.Level.INFO, "replicas from now on: " + changed);
        }
        settle();
    }

    /** Called regularly: a leader whose disk does not answer hands its part on. */
    void handOverIfDiskStalled() {
        if (isLeader() && storage.stalledMs() > DISK_STALLED_MS && agreement.voters().size() > 1) {
            LOG.log(System.Logger.Level.WARNING, "the disk has not answered for " + storage.stalledMs()
                    + " ms: another replica is to lead");
            transferLeadership();
        }
    }

    /** Asks another replica to lead, before this one stops. */
    void transferLeadership() {
        agreement.transferLeadership(scheduler.now());
        settle();
    }

    /** What waiting orders need of this replica. */
    private final class Leader implements ConfigUpdateQueue.Leader {
        @Override
        public void confirmLeadership(Runnable confirmed, Runnable lost) {
            ReplicaGroup.this.confirmLeadership(confirmed, lost);
        }

        @Override
        public long propose(ConfigChange change) {
            boolean large = change.order().body().length > MOST_TYPED_BYTES;
            long index = agreement.propose(scheduler.now(), codec.encode(large ? change.order() : change));
            settle();
            return index;
        }

        @Override
        public void defer(Runnable task) {
            deferred.add(task);
        }
    }

    // ---- the agreement's side

    /** Carries out what was asked for, and sets the timer. */
    private void settle() {
        if (!deferred.runAll()) {
            return;
        }
        compact();
        timer.schedule(agreement.due());
        tellLeader();
    }

    private void tellLeader() {
        String before = knownLeader;
        knownLeader = isElected() && !isLeader() ? null : leader();
        if (knownLeader != null && !knownLeader.equals(before)) {
            surroundings.leaderKnown();
        }
    }

    /** The agreement takes a step. One that fails has found what must not be, and it must not go on from there. */
    private void step(String what, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            halt("what follows from " + what, e);
        }
        settle();
    }

    private void compact() {
        boolean due = agreement.committedSinceSnapshot() > COMPACT_AFTER_ENTRIES || bytesSinceSnapshot > COMPACT_AFTER_BYTES;
        if (!due || halted || storage.isFull()) {
            return;
        }
        byte[] state = codec.encode(store.snapshot());
        if (state.length > RaftNode.MAX_SNAPSHOT_BYTES) {
            LOG.log(System.Logger.Level.ERROR, "a state of " + state.length + " bytes is larger than a snapshot may be");
            bytesSinceSnapshot = 0;
            return;
        }
        bytesSinceSnapshot = 0;
        agreement.compact(state);
    }

    private void onTime() {
        if (!halted) {
            step("time", () -> agreement.onTime(scheduler.now()));
        }
    }

    private void restore(Snapshot snapshot) {
        applied.advanceTo(snapshot.index());
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
     * What was decided can't be read here: written by a later build, or by a fault. This replica must not go on without it,
     * and has nothing to say any more; the others go on, and operators put in its place a build that can read it.
     */
    private void halt(String what, Exception cause) {
        if (halted) {
            return;
        }
        halted = true;
        LOG.log(System.Logger.Level.ERROR, what + " can't be taken in: this replica takes no part any more", cause);
        deferred.add(this::leadershipLost);
        applied.discardWaiters();
    }

    /** Whether it has stopped for good, since it can't read what was decided. */
    boolean isHalted() {
        return halted;
    }

    private void apply(Entry entry) {
        if (halted) {
            return;
        }
        if (entry.payload().length > 0) {
            try {
                applyOrder(entry, codec.decodeStored(entry.payload(), Object.class));
            } catch (PeerCodec.MalformedMessageException | RuntimeException e) {
                halt("entry " + entry.index(), e);
                return;
            }
        }
        applied.advanceTo(entry.index());
        deferred.add(applied::runApplied);
    }

    /** @param order examined by a leader, or as it was sent */
    private void applyOrder(Entry entry, Object order) {
        bytesSinceSnapshot += entry.payload().length;
        if (order instanceof EvacuationOrder evacuation) {
            applyEvacuation(entry, evacuation);
            return;
        }
        long before = store.generation();
        Either<ConfigFault, Long> result = store.applyDecoded(order);
        orders.applied(entry.index(), result);
        if (store.generation() != before) {
            deferred.add(() -> surroundings.configurationChanged(store.generation()));
            deferred.add(() -> agreement.confirmLeadership(scheduler.now())); // its round tells the others at once
        }
    }

    private void applyEvacuation(Entry entry, EvacuationOrder order) {
        boolean taken = store.apply(order);
        deferred.add(() -> evacuationOrders.applied(entry.index(), taken));
        if (taken) {
            deferred.add(() -> surroundings.evacuationsChanged(store.evacuations()));
            deferred.add(() -> agreement.confirmLeadership(scheduler.now()));
        }
    }

    private void leadershipLost() {
        questions.leadershipLost();
        evacuationOrders.leadershipLost();
        orders.leadershipLost();
    }

    private final class AgreementActions implements RaftNode.Actions {
        @Override
        public void send(String to, Message message) {
            deferred.add(() -> {
                if (!halted) {
                    surroundings.send(to, message);
                }
            });
        }

        @Override
        public void store(long number, Write write) {
            storage.store(write, () -> {
                if (!halted) {
                    step("a write", () -> agreement.onStored(scheduler.now(), number));
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
            deferred.add(() -> surroundings.configurationChanged(store.generation()));
            deferred.add(() -> surroundings.evacuationsChanged(store.evacuations()));
            deferred.add(applied::runApplied);
        }

        @Override
        public void becameLeader(long term) {
            LOG.log(System.Logger.Level.INFO, self + " leads term " + term);
            deferred.add(questions::retryDeferred);
        }

        @Override
        public void lostLeadership() {
            LOG.log(System.Logger.Level.INFO, self + " leads no more");
            deferred.add(ReplicaGroup.this::leadershipLost);
        }

        @Override
        public void roundConfirmed(long round) {
            deferred.add(() -> questions.confirmed(round));
        }
    }
}
