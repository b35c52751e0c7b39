package rowanplank.fleet;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import rowanplank.agreement.Entry;
import rowanplank.agreement.Message;
import rowanplank.agreement.RaftNode;
import rowanplank.agreement.Snapshot;
import rowanplank.agreement.Write;
import rowanplank.config.FleetConfig;
import rowanplank.fleet.wire.BinaryReader.MalformedException;
import rowanplank.fleet.wire.EnvelopeCodec;
import rowanplank.fleet.wire.LedgerCodec;
import rowanplank.fleet.wire.VoterFileCodec;
import rowanplank.ledger.Ask;
import rowanplank.ledger.BudgetDesk;
import rowanplank.ledger.Budgets;
import rowanplank.ledger.Command;
import rowanplank.ledger.Desk;
import rowanplank.ledger.Ledger;
import rowanplank.ledger.Result;
import rowanplank.ledger.Share;
import rowanplank.ledger.Work;
import rowanplank.ledger.WorkDesk;
import rowanplank.net.StateFile;

/**
 * A voter of the fleet: the Raft node, the ledger as its state machine, the leader's services on top of it, and the
 * state file. Everything that one of these requests is run after it has returned ({@link SerialExecutor}), so that
 * none is called from within a call.
 */
final class Voter {
    private static final int MAX_UNCOMMITTED = 512;
    /** After this many entries the leader proposes a check that all voters computed the same results. */
    private static final int AUDIT_INTERVAL_ENTRIES = 100;
    /** How old a leader's statement that it is a machine's turn may be when the node acts on it. */
    static final Duration TURN_VALIDITY = Duration.ofSeconds(1);
    /** A voter that lags by more entries does not count as caught up. */
    private static final int MAX_CAUGHT_UP_LAG = 64;
    /** How long a request for a held lease may wait at the leader. */
    private static final Duration PARK = Duration.ofSeconds(1);

    /** What a voter needs from the node that it runs in. */
    interface Environment {
        /** Sends a message to another voter. */
        void send(String to, Message message);

        /** Answers a request. */
        void answer(Ask ask, Ask.Answer answer);

        /** Sends a node an answer that does not follow a request of its own. */
        void deliver(Ask.Answer answer);

        /** Reports that this voter cannot go on, in one line. */
        void halt(String why);

        /** Whether a node is believed to be alive and to serve clients. */
        boolean serves(String node);

        /** Whether a node is believed to be alive. */
        boolean isAlive(String node);

        /** The time by the wall clock. */
        Instant wallClockNow();

        /** The state of the maintenance plan as JSON. */
        String workStatusText();

        /** The time by the monotonic clock. */
        Instant now();
    }

    private final FleetConfig config;
    private final FleetComponents components;
    private final SerialExecutor executor;
    /** The latest version of ledger entries that each other voter has said it understands. */
    private final Map<String, Integer> understoodVersions = new TreeMap<>();
    private final Environment environment;
    private final StateFile file;
    private final RaftNode raftNode;
    private final Ledger ledger;
    private final Desk desk;
    private final BudgetDesk budgets;
    /** Null if no maintenance plan is configured. */
    private final WorkDesk work;
    /** The checksum chain of the state file: that of the last record written. */
    private int chain;
    private long lastAuditIndex;
    /** The ledger version level that this voter has proposed as the leader. */
    private int proposedLevel;

    /**
     * Creates a voter from its state file.
     *
     * @throws IOException with a one-line message if the file cannot be used
     */
    Voter(FleetConfig config, long seed, FleetComponents components, StateFile file, SerialExecutor executor,
            Environment environment) throws IOException {
        this.config = config;
        this.components = components;
        this.executor = executor;
        this.environment = environment;
        this.file = file;
        try {
            VoterFileCodec.FileContent read = VoterFileCodec.read(file.content(), config.name(), config.node());
            file.cut(read.length());
            chain = read.chain();
            ledger = components.ledger(LedgerCodec.snapshot(read.saved().snapshot().data()));
            raftNode = components.raftNode(new RaftNode.Settings(config.node(), config.timing().election(),
                    config.timing().heartbeat(), EnvelopeCodec.MAX_CONTENT_BYTES, MAX_UNCOMMITTED, seed), read.saved(),
                    environment.now(), new RaftActions());
        } catch (MalformedException e) {
            throw new IOException("the state in " + config.directory() + " can't be used: " + e.getMessage(), e);
        }
        desk = components.desk(new Desk.Settings(config.timing().drift(), config.timing().session(), PARK), ledger,
                new DeskActions());
        budgets = components.budgetDesk(config.timing().drift(), ledger, new DeskActions());
        work = config.order() == null ? null
                : components.workDesk(new WorkDesk.Settings(config.timing().drift(), TURN_VALIDITY,
                        config.timing().election().multipliedBy(4), new Work.Terms(config.order().mostOut(),
                        config.order().mostOutOfHall()), bounds(config)), ledger, new DeskActions());
        budgets.budgets(BudgetMapping.definitions(config.sharing()),
                name -> BudgetMapping.slotDefinition(config.sharing(), name),
                name -> BudgetMapping.terms(config.sharing(), name));
    }

    private static WorkDesk.Bounds bounds(FleetConfig config) {
        FleetConfig.Halts h = config.order().halts();
        FleetConfig.Places p = config.sharing().places();
        return new WorkDesk.Bounds(h.leastService(), h.dead(), h.mostRequests(), h.margin(),
                p == null ? null : new WorkDesk.Places(p.whole(), p.fixed(), p.nodes()), h.zone());
    }

    RaftNode raftNode() {
        return raftNode;
    }

    Ledger ledger() {
        return ledger;
    }

    void close() {
        file.close();
    }

    Instant due() {
        Instant a = raftNode.due();
        return earlier(earlier(a, desk.due()), earlier(budgets.due(), work == null ? null : work.due()));
    }

    private static Instant earlier(Instant a, Instant b) {
        return a == null || b != null && b.isBefore(a) ? b : a;
    }

    void onTime(Instant now) {
        executor.run(() -> raftNode.onTime(now));
        executor.run(() -> desk.onTime(now));
        executor.run(() -> budgets.onTime(now));
        if (work != null) {
            executor.run(() -> work.onTime(now));
        }
    }

    void onMessage(Instant now, String from, Message message) {
        executor.run(() -> raftNode.onMessage(now, from, message));
    }

    /** Records which version another voter's process understands. */
    void onUnderstoodVersion(String name, int understoodVersion) {
        if (!Integer.valueOf(understoodVersion).equals(understoodVersions.put(name, understoodVersion))) {
            executor.run(this::proposeLevel);
        }
    }

    /**
     * Proposes to raise the ledger's version level once all voters understand a later version. From then on its
     * entries may be written, and the level never goes back.
     */
    private void proposeLevel() {
        int common = components.understoodVersion();
        for (String v : raftNode.voters()) {
            common = v.equals(config.node()) ? common
                    : Math.min(common, understoodVersions.getOrDefault(v, LedgerCodec.FIRST_VERSION));
        }
        if (desk.leads() && common > Math.max(proposedLevel, ledger.level())
                && raftNode.propose(environment.now(), LedgerCodec.command(new Command.Raise(common))) > 0) {
            proposedLevel = common;
        }
    }

    /**
     * Adds or removes a voter.
     *
     * @return whether the change was accepted, which requires that this voter is the leader, that it changes
     *     something, and that the previous change is committed
     */
    boolean changeVoters(Instant now, String name, boolean add) {
        List<String> voters = new ArrayList<>(raftNode.voters());
        if (add ? voters.contains(name) : !voters.contains(name)) {
            return false;
        }
        if (add) {
            voters.add(name);
        } else {
            voters.remove(name);
        }
        boolean[] taken = new boolean[1];
        executor.run(() -> taken[0] = raftNode.proposeVoterChange(now, voters) > 0);
        return taken[0];
    }

    /**
     * Handles a request.
     *
     * @return whether it was accepted; if not, this voter is not the leader
     */
    boolean onAsk(Instant now, Ask ask) {
        if (!desk.leads()) {
            return false;
        }
        executor.run(() -> {
            if (WorkDesk.isMeant(ask.what())) {
                if (work != null) {
                    work.onAsk(now, ask);
                }
            } else if (BudgetDesk.isMeant(ask.what())) {
                desk.onHeard(now, ask.session());
                budgets.onAsk(now, ask);
            } else {
                desk.onAsk(now, ask);
            }
        });
        return true;
    }

    private void halt(String what) {
        environment.halt(what + "; this voter takes no part any more");
    }

    private final class RaftActions implements RaftNode.Actions {
        @Override
        public void send(String to, Message message) {
            environment.send(to, message);
        }

        @Override
        public void store(long number, Write write) {
            Runnable synced = () -> executor.run(() -> raftNode.onStored(environment.now(), number));
            if (write instanceof Write.FullState state) {
                VoterFileCodec.Encoded written = VoterFileCodec.replacement(config.name(), config.node(), state);
                chain = written.chain();
                file.replace(written.bytes(), synced);
            } else {
                VoterFileCodec.Encoded written = VoterFileCodec.write(chain, write);
                chain = written.chain();
                file.append(written.bytes(), synced);
            }
        }

        @Override
        public void committed(Entry entry) {
            executor.runLater(() -> apply(entry));
        }

        @Override
        public void restore(Snapshot snapshot) {
            executor.runLater(() -> {
                try {
                    ledger.restore(LedgerCodec.snapshot(snapshot.data()));
                } catch (MalformedException e) {
                    halt("the leader's snapshot can't be used: " + e.getMessage());
                }
            });
        }

        @Override
        public void becameLeader(long term) {
            proposedLevel = 0;
            executor.runLater(() -> desk.onLeads(environment.now()));
            executor.runLater(() -> budgets.onLeads(environment.now()));
            if (work != null) {
                executor.runLater(() -> work.onLeads(environment.now()));
            }
            executor.runLater(Voter.this::proposeLevel);
        }

        @Override
        public void lostLeadership() {
            executor.runLater(desk::onLeadsNoMore);
            executor.runLater(budgets::onLeadsNoMore);
            if (work != null) {
                executor.runLater(work::onLeadsNoMore);
            }
        }

        @Override
        public void roundConfirmed(long round) {
            executor.runLater(() -> desk.onConfirmed(round));
            executor.runLater(() -> budgets.onConfirmed(round));
            if (work != null) {
                executor.runLater(() -> work.onConfirmed(round));
            }
        }
    }

    private void apply(Entry entry) {
        if (entry.payload().length == 0) {
            ledger.skip(entry.index());
        } else {
            try {
                Command command = LedgerCodec.command(entry.payload(), components.understoodVersion());
                if (command instanceof Command.Raise r && r.level() > components.understoodVersion()) {
                    throw new MalformedException("all others know version " + r.level() + ", and this one "
                            + components.understoodVersion());
                }
                Result result = ledger.apply(entry.index(), command);
                desk.onApplied(environment.now(), entry.index(), command, result);
                budgets.onApplied(environment.now(), entry.index(), command, result);
                if (work != null) {
                    work.onApplied(environment.now(), entry.index(), command, result);
                    transferIfDraining(command, result);
                }
            } catch (MalformedException e) {
                halt("entry " + entry.index() + " can't be understood: " + e.getMessage());
                return;
            } catch (Ledger.DivergedException e) {
                halt(e.getMessage());
                return;
            }
        }
        if (ledger.applied() == raftNode.commitIndex()) {
            if (raftNode.committedSinceSnapshot() >= config.timing().snapshot()) {
                raftNode.compact(LedgerCodec.snapshot(ledger.picture()));
            }
            if (desk.leads() && ledger.applied() - lastAuditIndex >= AUDIT_INTERVAL_ENTRIES) {
                lastAuditIndex = ledger.applied();
                raftNode.propose(environment.now(),
                        LedgerCodec.command(new Command.Audit(ledger.applied(), ledger.chain())));
            }
        }
    }

    /**
     * Transfers leadership before draining when this node's own machine is taken out, so that the fleet need not wait
     * for an election.
     */
    private void transferIfDraining(Command command, Result result) {
        if (command instanceof Command.Turn t && result.kind() == Result.Kind.GRANTED && desk.leads()
                && ledger.work().nodesOf(t.machine()).contains(config.node())) {
            raftNode.transferLeadership(environment.now());
        }
    }

    /**
     * Why no machine can be taken out now.
     *
     * @param leaderStanding the leader's latest statement about it
     * @return the reason; empty if nothing prevents it
     */
    String standing(String leaderStanding) {
        if (work != null && desk.leads()) {
            return work.standing();
        }
        return raftNode.leader() != null ? leaderStanding : ledger.work().plan().isEmpty() ? ""
                : "no leader is known: no majority of the voters hears each other";
    }

    /**
     * Why each waiting machine has to wait, in the order of the plan, including more machines as if they were
     * requested now.
     */
    Map<String, String> waits(String leaderStanding, List<String> more, boolean first) {
        return work == null ? new TreeMap<>() : work.waits(ledger.work().plan(more, first), standing(leaderStanding));
    }

    /**
     * Changes the total of a budget.
     *
     * @return null if the change was accepted, otherwise why it was not
     */
    String resize(String name, Share total) {
        Budgets.Whole w = ledger.budgets().whole(name);
        if (w == null) {
            return "there is no budget of that name: " + name;
        } else if (!total.covers(w.setAside()) || w.rate() && total.burst() < w.setAside().burst() + Share.USE) {
            return "that is less than what is set aside, or too fast for its burst";
        }
        long[] index = new long[1];
        executor.run(() -> index[0] =
                raftNode.propose(environment.now(), LedgerCodec.command(new Command.Resize(name, total))));
        return index[0] > 0 ? null : "it can't be taken now: ask again";
    }

    private final class DeskActions implements Desk.Actions, BudgetDesk.Actions, WorkDesk.Actions {
        @Override
        public boolean isKnown(Command command) {
            return LedgerCodec.versionOf(command) <= ledger.level();
        }

        @Override
        public long propose(Command command) {
            return raftNode.propose(environment.now(), LedgerCodec.command(command));
        }

        @Override
        public long confirm() {
            return raftNode.confirmLeadership(environment.now());
        }

        @Override
        public void answer(Ask ask, Ask.Answer answer) {
            environment.answer(ask, answer);
        }

        @Override
        public void tell(Ask.Answer answer) {
            environment.deliver(answer);
        }

        @Override
        public boolean serves(String node) {
            return environment.serves(node);
        }

        @Override
        public boolean lives(String node) {
            return environment.isAlive(node);
        }

        @Override
        public Instant wall() {
            return environment.wallClockNow();
        }

        @Override
        public String text() {
            return environment.workStatusText();
        }

        @Override
        public boolean hasMajorityWithout(Set<String> nodes) {
            Map<String, Long> matches = raftNode.matchIndexes();
            long left = raftNode.voters().stream().filter(v -> !nodes.contains(v) && (v.equals(config.node())
                    || environment.isAlive(v) && matches.containsKey(v)
                    && raftNode.lastIndex() - matches.get(v) <= MAX_CAUGHT_UP_LAG)).count();
            return left * 2 > raftNode.voters().size();
        }
    }
}
