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
 * A voter: agreement, ledger and desk, and the file that they rest on. All that one of them asks for is done once it has
 * returned ({@link SerialExecutor}), so that none is called from within a call.
 */
final class Voter {
    private static final int MOST_UNDECIDED = 512;
    /** The chain of results is compared after so many entries. */
    private static final int AUDIT_EVERY = 100;
    /** So old is what a node is told of its turn at the most, when it acts on it. */
    static final Duration TURN_VALID = Duration.ofSeconds(1);
    /** A voter that lags by more entries has not caught up. */
    private static final int CAUGHT_UP = 64;
    private static final Duration PARK = Duration.ofSeconds(1);

    /** What a voter sends, and whom it tells that it can't go on. */
    interface Environment {
        void send(String to, Message message);

        void answer(Ask ask, Ask.Answer answer);

        void tell(Ask.Answer answer);

        void halt(String why);

        /** Whether the node is thought to live and to serve clients. */
        boolean serves(String node);

        boolean lives(String node);

        Instant wall();

        /** The order of work as staff read it. */
        String work();

        Instant now();
    }

    private final FleetConfig config;
    private final FleetComponents parts;
    private final SerialExecutor turns;
    /** The latest version of entries that each other voter has said it understands. */
    private final Map<String, Integer> known = new TreeMap<>();
    private final Environment outside;
    private final StateFile file;
    private final RaftNode agreement;
    private final Ledger ledger;
    private final Desk desk;
    private final BudgetDesk budgets;
    /** Null where this node has no part in an order of work. */
    private final WorkDesk work;
    private int chain;
    private long audited;
    /** To which level this voter, as a leader, has asked to raise the ledger's. */
    private int raised;

    /** @throws IOException with one line, if the file can't be used */
    Voter(FleetConfig config, long seed, FleetComponents parts, StateFile file, SerialExecutor turns, Environment outside) throws IOException {
        this.config = config;
        this.parts = parts;
        this.turns = turns;
        this.outside = outside;
        this.file = file;
        try {
            VoterFileCodec.ReadFile read = VoterFileCodec.read(file.content(), config.name(), config.node());
            file.cut(read.length());
            chain = read.chain();
            ledger = parts.ledger(LedgerCodec.snapshot(read.saved().snapshot().data()));
            agreement = parts.agreement(new RaftNode.Settings(config.node(), config.timing().election(), config.timing().heartbeat(),
                    EnvelopeCodec.MAX_CONTENT_BYTES, MOST_UNDECIDED, seed), read.saved(), outside.now(), new RaftActions());
        } catch (MalformedException e) {
            throw new IOException("the state in " + config.directory() + " can't be used: " + e.getMessage(), e);
        }
        desk = parts.desk(new Desk.Settings(config.timing().drift(), config.timing().session(), PARK), ledger, new DeskActions());
        budgets = parts.budgetDesk(config.timing().drift(), ledger, new DeskActions());
        work = config.order() == null ? null : parts.workDesk(new WorkDesk.Settings(config.timing().drift(), TURN_VALID,
                config.timing().election().multipliedBy(4), new Work.Terms(config.order().mostOut(),
                config.order().mostOutOfHall()), bounds(config)), ledger, new DeskActions());
        budgets.budgets(BudgetMapping.defined(config.sharing()), name -> BudgetMapping.placesOf(config.sharing(), name),
                name -> BudgetMapping.terms(config.sharing(), name));
    }

    private static WorkDesk.Bounds bounds(FleetConfig config) {
        FleetConfig.Halts h = config.order().halts();
        FleetConfig.Places p = config.sharing().places();
        return new WorkDesk.Bounds(h.leastService(), h.dead(), h.mostRequests(), h.margin(),
                p == null ? null : new WorkDesk.Places(p.whole(), p.fixed(), p.nodes()), h.zone());
    }

    RaftNode agreement() {
        return agreement;
    }

    Ledger ledger() {
        return ledger;
    }

    void close() {
        file.close();
    }

    Instant due() {
        Instant a = agreement.due();
        return earlier(earlier(a, desk.due()), earlier(budgets.due(), work == null ? null : work.due()));
    }

    private static Instant earlier(Instant a, Instant b) {
        return a == null || b != null && b.isBefore(a) ? b : a;
    }

    void onTime(Instant now) {
        turns.run(() -> agreement.onTime(now));
        turns.run(() -> desk.onTime(now));
        turns.run(() -> budgets.onTime(now));
        if (work != null) {
            turns.run(() -> work.onTime(now));
        }
    }

    void onMessage(Instant now, String from, Message message) {
        turns.run(() -> agreement.onMessage(now, from, message));
    }

    /** What another voter's process understands. */
    void heardOf(String name, int knows) {
        if (!Integer.valueOf(knows).equals(known.put(name, knows))) {
            turns.run(this::raise);
        }
    }

    /** Once all voters have said that they understand a later version, its entries may be written for good. */
    private void raise() {
        int all = parts.understoodVersion();
        for (String v : agreement.voters()) {
            all = v.equals(config.node()) ? all : Math.min(all, known.getOrDefault(v, LedgerCodec.FIRST_VERSION));
        }
        if (desk.leads() && all > Math.max(raised, ledger.level())
                && agreement.propose(outside.now(), LedgerCodec.command(new Command.Raise(all))) > 0) {
            raised = all;
        }
    }

    /** @return whether it was taken: this voter leads, it is a change, and the one before it is decided */
    boolean changeVoters(Instant now, String name, boolean add) {
        List<String> voters = new ArrayList<>(agreement.voters());
        if (add ? voters.contains(name) : !voters.contains(name)) {
            return false;
        }
        if (add) {
            voters.add(name);
        } else {
            voters.remove(name);
        }
        boolean[] taken = new boolean[1];
        turns.run(() -> taken[0] = agreement.proposeVoterChange(now, voters) > 0);
        return taken[0];
    }

    /** @return whether it was taken; if not, this voter does not lead */
    boolean onAsk(Instant now, Ask ask) {
        if (!desk.leads()) {
            return false;
        }
        turns.run(() -> {
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

    private void halted(String what) {
        outside.halt(what + "; this voter takes no part any more");
    }

    private final class RaftActions implements RaftNode.Actions {
        @Override
        public void send(String to, Message message) {
            outside.send(to, message);
        }

        @Override
        public void store(long number, Write write) {
            Runnable synced = () -> turns.run(() -> agreement.onStored(outside.now(), number));
            if (write instanceof Write.FullState whole) {
                VoterFileCodec.Encoded written = VoterFileCodec.replacement(config.name(), config.node(), whole);
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
            turns.runLater(() -> apply(entry));
        }

        @Override
        public void restore(Snapshot snapshot) {
            turns.runLater(() -> {
                try {
                    ledger.restore(LedgerCodec.snapshot(snapshot.data()));
                } catch (MalformedException e) {
                    halted("the leader's snapshot can't be used: " + e.getMessage());
                }
            });
        }

        @Override
        public void becameLeader(long term) {
            raised = 0;
            turns.runLater(() -> desk.onLeads(outside.now()));
            turns.runLater(() -> budgets.onLeads(outside.now()));
            if (work != null) {
                turns.runLater(() -> work.onLeads(outside.now()));
            }
            turns.runLater(Voter.this::raise);
        }

        @Override
        public void lostLeadership() {
            turns.runLater(desk::onLeadsNoMore);
            turns.runLater(budgets::onLeadsNoMore);
            if (work != null) {
                turns.runLater(work::onLeadsNoMore);
            }
        }

        @Override
        public void roundConfirmed(long round) {
            turns.runLater(() -> desk.onConfirmed(round));
            turns.runLater(() -> budgets.onConfirmed(round));
            if (work != null) {
                turns.runLater(() -> work.onConfirmed(round));
            }
        }
    }

    private void apply(Entry entry) {
        if (entry.payload().length == 0) {
            ledger.skip(entry.index());
        } else {
            try {
                Command command = LedgerCodec.command(entry.payload(), parts.understoodVersion());
                if (command instanceof Command.Raise r && r.level() > parts.understoodVersion()) {
                    throw new MalformedException("all others know version " + r.level() + ", and this one "
                            + parts.understoodVersion());
                }
                Result result = ledger.apply(entry.index(), command);
                desk.onApplied(outside.now(), entry.index(), command, result);
                budgets.onApplied(outside.now(), entry.index(), command, result);
                if (work != null) {
                    work.onApplied(outside.now(), entry.index(), command, result);
                    handOn(command, result);
                }
            } catch (MalformedException e) {
                halted("entry " + entry.index() + " can't be understood: " + e.getMessage());
                return;
            } catch (Ledger.DivergedException e) {
                halted(e.getMessage());
                return;
            }
        }
        if (ledger.applied() == agreement.commitIndex()) {
            if (agreement.committedSinceSnapshot() >= config.timing().snapshot()) {
                agreement.compact(LedgerCodec.snapshot(ledger.picture()));
            }
            if (desk.leads() && ledger.applied() - audited >= AUDIT_EVERY) {
                audited = ledger.applied();
                agreement.propose(outside.now(),
                        LedgerCodec.command(new Command.Audit(ledger.applied(), ledger.chain())));
            }
        }
    }

    /** Guards a fleet without a leader for a while: one whose machine goes out hands on before it drains. */
    private void handOn(Command command, Result result) {
        if (command instanceof Command.Turn t && result.kind() == Result.Kind.GRANTED && desk.leads()
                && ledger.work().nodesOf(t.machine()).contains(config.node())) {
            agreement.transferLeadership(outside.now());
        }
    }

    /**
     * What speaks against the next turn.
     *
     * @param told what the leader has said of it last
     */
    String standing(String told) {
        if (work != null && desk.leads()) {
            return work.standing();
        }
        return agreement.leader() != null ? told : ledger.work().plan().isEmpty() ? ""
                : "no leader is known: no majority of the voters hears each other";
    }

    /** Why each machine that waits does so, in the order of the plan; and each of others, if they were asked for now. */
    Map<String, String> waits(String told, List<String> more, boolean first) {
        return work == null ? new TreeMap<>() : work.waits(ledger.work().plan(more, first), standing(told));
    }

    /** @return null where it was taken; else why not */
    String resize(String name, Share whole) {
        Budgets.Whole w = ledger.budgets().whole(name);
        if (w == null) {
            return "there is no budget of that name: " + name;
        } else if (!whole.covers(w.setAside()) || w.rate() && whole.burst() < w.setAside().burst() + Share.USE) {
            return "that is less than what is set aside, or too fast for its burst";
        }
        long[] index = new long[1];
        turns.run(() -> index[0] = agreement.propose(outside.now(), LedgerCodec.command(new Command.Resize(name, whole))));
        return index[0] > 0 ? null : "it can't be taken now: ask again";
    }

    private final class DeskActions implements Desk.Actions, BudgetDesk.Actions, WorkDesk.Actions {
        @Override
        public boolean isKnown(Command command) {
            return LedgerCodec.versionOf(command) <= ledger.level();
        }

        @Override
        public long propose(Command command) {
            return agreement.propose(outside.now(), LedgerCodec.command(command));
        }

        @Override
        public long confirm() {
            return agreement.confirmLeadership(outside.now());
        }

        @Override
        public void answer(Ask ask, Ask.Answer answer) {
            outside.answer(ask, answer);
        }

        @Override
        public void tell(Ask.Answer answer) {
            outside.tell(answer);
        }

        @Override
        public boolean serves(String node) {
            return outside.serves(node);
        }

        @Override
        public boolean lives(String node) {
            return outside.lives(node);
        }

        @Override
        public Instant wall() {
            return outside.wall();
        }

        @Override
        public String text() {
            return outside.work();
        }

        @Override
        public boolean hasMajorityWithout(Set<String> nodes) {
            Map<String, Long> matches = agreement.matchIndexes();
            long left = agreement.voters().stream().filter(v -> !nodes.contains(v) && (v.equals(config.node())
                    || outside.lives(v) && matches.containsKey(v) && agreement.lastIndex() - matches.get(v) <= CAUGHT_UP)).count();
            return left * 2 > agreement.voters().size();
        }
    }
}
