package routerfleet.control;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import rowanplank.agreement.Agreement;
import rowanplank.agreement.Entry;
import rowanplank.agreement.Message;
import rowanplank.agreement.Saved;
import rowanplank.agreement.Snapshot;
import rowanplank.agreement.Write;
import routerfleet.config.ConfigFault;
import routerfleet.config.ConfigOrder;
import routerfleet.config.ConfigStore;
import routerfleet.config.TenantConfig;
import routerfleet.wire.PeerCodec;
import routerfleet.wire.PeerMessage;
import routerfleet.wire.SteadyClock;

/**
 * This node's replica of the configuration shard: drives {@link Agreement}, applies what is committed to the
 * {@link ConfigStore}, takes orders while it leads, and knows up to when everything acknowledged is known here.
 *
 * <p>An order is refused only by a leader that has had its leadership confirmed after the order came, so that no replaced
 * leader refuses what another one has acknowledged. For one event loop.
 */
final class ReplicaGroup {
    /** Answers an order: acknowledged, refused, or not known what becomes of it. */
    enum Outcome { TAKEN, CONFLICT, INVALID, UNCLEAR }

    /** An order's outcome and, for a refusal, the reason in one line. */
    record Answer(Outcome outcome, String text) { }

    /** What it needs of the node around it. */
    interface Surroundings {
        /** Sends to the replica of that name. */
        void send(String replica, Message message);

        /** The configuration has changed. */
        void configurationChanged(long generation, byte[] document);
    }

    private static final System.Logger LOG = System.getLogger("routerfleet.control.replica");
    private static final Duration ELECTION = Duration.ofMillis(400);
    /** All machines may start at one time, and serve nothing until there is a leader. */
    private static final Duration FIRST_ELECTION = Duration.ofMillis(100);
    private static final Duration HEARTBEAT = Duration.ofMillis(100);
    private static final int MOST_MESSAGE_BYTES = 256 << 10;
    private static final int MOST_UNDECIDED = 512;
    private static final int MOST_ORDERS_WAITING = 64;
    private static final int COMPACT_AFTER_ENTRIES = 128;
    private static final long COMPACT_AFTER_BYTES = 1 << 20;

    private record PendingOrder(ConfigOrder order, Consumer<Answer> answer) { }

    private record RoundWaiter(long round, Runnable confirmed, Runnable lost) { }

    private final EventLoop loop;
    private final PeerCodec codec;
    private final String self;
    private final ReplicaStorage storage;
    private final Surroundings surroundings;
    private final ConfigStore store = new ConfigStore();
    private final Agreement agreement;
    private PeerMessage.CommittedConfig committed;
    /** What the agreement has asked for within a call, carried out once the call has returned. */
    private final Deque<Runnable> deferred = new ArrayDeque<>();
    private final Deque<PendingOrder> orders = new ArrayDeque<>();
    private PendingOrder current;
    private long currentIndex;
    private final List<RoundWaiter> rounds = new ArrayList<>();
    private final TreeMap<Long, List<Runnable>> applyWaiters = new TreeMap<>();
    private long bytesSinceSnapshot;
    private long applied;
    private boolean draining;
    private Instant timerAt;

    ReplicaGroup(EventLoop loop, PeerCodec codec, String self, Saved saved, ReplicaStorage storage, long seed,
            Surroundings surroundings) {
        this.loop = loop;
        this.codec = codec;
        this.self = self;
        this.storage = storage;
        this.surroundings = surroundings;
        restore(saved.snapshot());
        agreement = new Agreement(new Agreement.Settings(self, ELECTION, FIRST_ELECTION, HEARTBEAT, MOST_MESSAGE_BYTES,
                MOST_UNDECIDED, seed), saved, SteadyClock.now(), new AgreementActions());
        schedule();
    }

    // ---- asked

    boolean leads() {
        return agreement.isEstablished();
    }

    /** The leader's replica name; null where none is known. */
    String leader() {
        return agreement.leader();
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

    boolean votersAreDecided() {
        return agreement.areVotersDecided();
    }

    long generation() {
        return store.generation();
    }

    byte[] document() {
        return store.document();
    }

    /** The newest configuration that is known to be committed, encoded once for all data nodes. */
    PeerMessage.CommittedConfig committed() {
        if (committed == null || committed.generation() != store.generation()) {
            committed = new PeerMessage.CommittedConfig(store.generation(), codec.encode(store.configuration()));
        }
        return committed;
    }

    // ---- events

    void received(String from, Message message) {
        agreement.onMessage(SteadyClock.now(), from, message);
        settle();
    }

    /** Takes an order, as a leader. */
    void order(ConfigOrder order, Consumer<Answer> answer) {
        if (!leads() || orders.size() >= MOST_ORDERS_WAITING) {
            answer.accept(new Answer(Outcome.UNCLEAR, "no leader here"));
            return;
        }
        orders.add(new PendingOrder(order, answer));
        nextOrder();
        settle();
    }

    /** Has a majority confirm that this replica still leads. */
    void confirmLeadership(Runnable confirmed, Runnable lost) {
        if (!leads()) {
            lost.run();
            return;
        }
        long round = agreement.confirm(SteadyClock.now());
        if (round == 0) {
            lost.run();
        } else {
            rounds.add(new RoundWaiter(round, confirmed, lost));
        }
        settle();
    }

    /** The entry up to which everything that was acknowledged before this call stands; negative where unknown. */
    void readIndex(LongConsumer answer) {
        confirmLeadership(() -> answer.accept(agreement.commitIndex()), () -> answer.accept(-1));
    }

    /** Runs a task once that entry is applied here. */
    void whenApplied(long index, Runnable task) {
        if (applied >= index) {
            task.run();
        } else {
            applyWaiters.computeIfAbsent(index, i -> new ArrayList<>()).add(task);
        }
    }

    void proposeVoters(List<String> changed) {
        if (agreement.proposeVoters(SteadyClock.now(), changed) != 0) {
            LOG.log(System.Logger.Level.INFO, "replicas from now on: " + changed);
        }
        settle();
    }

    /** Asks another replica to lead, before this one stops. */
    void handOver() {
        agreement.handOver(SteadyClock.now());
        settle();
    }

    // ---- orders, one at a time

    private void nextOrder() {
        if (current != null || orders.isEmpty()) {
            return;
        }
        current = orders.poll();
        PendingOrder pending = current;
        confirmLeadership(() -> decide(pending), () -> finish(pending, new Answer(Outcome.UNCLEAR, "leadership lost")));
    }

    private void decide(PendingOrder pending) {
        if (pending != current) {
            return;
        }
        Either<ConfigFault, Long> examined;
        try {
            examined = store.examine(pending.order());
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "an order can't be examined", e);
            finish(pending, new Answer(Outcome.INVALID, "can't be examined: " + e));
            return;
        }
        if (examined.isLeft() || store.hasTaken(pending.order())) {
            finish(pending, answer(examined));
            return;
        }
        currentIndex = agreement.propose(SteadyClock.now(), codec.encode(pending.order()));
        if (currentIndex == 0) {
            finish(pending, new Answer(Outcome.UNCLEAR, "can't be proposed now"));
        }
        settle();
    }

    private static Answer answer(Either<ConfigFault, Long> result) {
        return result.fold(
                fault -> new Answer(fault.kind() == ConfigFault.Kind.CONFLICT ? Outcome.CONFLICT : Outcome.INVALID,
                        fault.toString()),
                generation -> new Answer(Outcome.TAKEN, Long.toString(generation)));
    }

    private void finish(PendingOrder pending, Answer answer) {
        if (pending != current) {
            return; // answered when leadership was lost
        }
        current = null;
        currentIndex = 0;
        deferred.add(this::nextOrder);
        pending.answer().accept(answer);
        settle();
    }

    // ---- the agreement's side

    /** Carries out what was asked for, and sets the timer. */
    private void settle() {
        if (draining) {
            return;
        }
        draining = true;
        for (Runnable task = deferred.poll(); task != null; task = deferred.poll()) {
            run(task);
        }
        draining = false;
        compact();
        schedule();
    }

    /** Guards the replica: what fails in one task must not keep it from all that follows. */
    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "a task of the replica failed", e);
        }
    }

    private void compact() {
        if (agreement.decidedBehindSnapshot() > COMPACT_AFTER_ENTRIES || bytesSinceSnapshot > COMPACT_AFTER_BYTES) {
            bytesSinceSnapshot = 0;
            agreement.compact(codec.encode(store.state()));
        }
    }

    private void schedule() {
        Instant due = agreement.due();
        if (due == null || timerAt != null && !timerAt.isAfter(due)) {
            return;
        }
        timerAt = due;
        long delay = Math.max(0, Duration.between(SteadyClock.now(), due).toNanos());
        loop.schedule(() -> timer(due), delay, TimeUnit.NANOSECONDS);
    }

    private void timer(Instant at) {
        if (!at.equals(timerAt)) {
            return;
        }
        timerAt = null;
        agreement.onTime(SteadyClock.now());
        settle();
    }

    private void restore(Snapshot snapshot) {
        applied = snapshot.index();
        if (snapshot.data().length == 0) {
            return;
        }
        try {
            store.restore(codec.decode(snapshot.data(), ConfigStore.State.class));
        } catch (PeerCodec.MalformedMessageException e) {
            throw new IllegalStateException("a snapshot that was synced can't be read", e);
        }
    }

    private void apply(Entry entry) {
        applied = entry.index();
        if (entry.payload().length > 0) {
            bytesSinceSnapshot += entry.payload().length;
            try {
                long before = store.generation();
                Either<ConfigFault, Long> result = store.apply(codec.decode(entry.payload(), ConfigOrder.class));
                if (entry.index() == currentIndex && current != null) {
                    PendingOrder pending = current;
                    deferred.add(() -> finish(pending, answer(result)));
                }
                if (store.generation() != before) {
                    deferred.add(() -> surroundings.configurationChanged(store.generation(), store.document()));
                    deferred.add(() -> agreement.confirm(SteadyClock.now())); // its round tells the others at once
                }
            } catch (PeerCodec.MalformedMessageException e) {
                throw new IllegalStateException("a committed entry can't be read", e);
            }
        }
        deferred.add(this::wakeApplyWaiters);
    }

    private void wakeApplyWaiters() {
        while (!applyWaiters.isEmpty() && applyWaiters.firstKey() <= applied) {
            applyWaiters.pollFirstEntry().getValue().forEach(Runnable::run);
        }
    }

    private void confirmedUpTo(long round) {
        List<RoundWaiter> ready = new ArrayList<>();
        for (Iterator<RoundWaiter> i = rounds.iterator(); i.hasNext();) {
            RoundWaiter waiter = i.next();
            if (waiter.round() <= round) {
                i.remove();
                ready.add(waiter);
            }
        }
        ready.forEach(waiter -> waiter.confirmed().run());
    }

    private void leadershipLost() {
        List<RoundWaiter> waiting = new ArrayList<>(rounds);
        rounds.clear();
        List<PendingOrder> unclear = new ArrayList<>(orders);
        orders.clear();
        if (current != null) {
            unclear.add(0, current);
            current = null;
            currentIndex = 0;
        }
        waiting.forEach(waiter -> waiter.lost().run());
        unclear.forEach(pending -> pending.answer().accept(new Answer(Outcome.UNCLEAR, "leadership lost")));
    }

    private final class AgreementActions implements Agreement.Actions {
        @Override
        public void send(String to, Message message) {
            deferred.add(() -> surroundings.send(to, message));
        }

        @Override
        public void store(long number, Write write) {
            storage.store(write, () -> {
                agreement.onStored(SteadyClock.now(), number);
                settle();
            });
        }

        @Override
        public void committed(Entry entry) {
            apply(entry);
        }

        @Override
        public void restore(Snapshot snapshot) {
            ReplicaGroup.this.restore(snapshot);
            deferred.add(() -> surroundings.configurationChanged(store.generation(), store.document()));
            deferred.add(ReplicaGroup.this::wakeApplyWaiters);
        }

        @Override
        public void leads(long term) {
            LOG.log(System.Logger.Level.INFO, self + " leads term " + term);
        }

        @Override
        public void leadsNoMore() {
            LOG.log(System.Logger.Level.INFO, self + " leads no more");
            deferred.add(ReplicaGroup.this::leadershipLost);
        }

        @Override
        public void confirmed(long round) {
            deferred.add(() -> confirmedUpTo(round));
        }
    }
}
