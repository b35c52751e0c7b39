package rowanplank.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import rowanplank.ledger.Ask.Answer;
import rowanplank.ledger.Result.Kind;

/**
 * The leader's side of the order of work: tells nodes of their machines' lines, hands on what they and staff say, and gives
 * the next turn once nothing speaks against it. That never more are out than allowed is the ledger's ({@link Work}); what
 * speaks against a turn here is what this leader knows of those that live, which may be wrong and then only delays.
 *
 * <p><b>The rule of time.</b> A node begins to drain only within {@code valid} of its asking, by its own clock. So a turn
 * that staff skip is struck out only {@code valid (1 + d) / (1 - d)} after this leader last heard of the machine's nodes, or
 * became leader: by then none of them can begin to drain under it.
 *
 * <p>Bounds: {@value #MOST_WAITING} requests wait for a decision, as many for a round. A request costs O(log n) and, of staff,
 * O(lines); a look, ten times a second while something waits for its turn, O(nodes + lines).
 */
public class WorkDesk {
    private static final int MOST_WAITING = 1024;
    private static final Duration LOOK = Duration.ofMillis(100);
    /** What was proposed and not heard of is proposed again after so long. */
    private static final Duration AGAIN = Duration.ofSeconds(1);

    /**
     * @param valid for how long what a node is told of its line may be acted on
     * @param settle a new leader knows after so long who lives
     */
    public record Settings(double drift, Duration valid, Duration settle, Work.Terms terms) { }

    /** What it asks of its owner; none of these calls back into it. */
    public interface Actions {
        /** Whether all voters understand it: only then may it be written. */
        boolean isKnown(Command command);

        /** @return the entry's index; 0 where it can't be taken now */
        long propose(Command command);

        /** @return the round whose confirmation is told by {@link #onConfirmed}; 0 where this voter doesn't lead */
        long confirm();

        void answer(Ask ask, Answer answer);

        /** Whether the node is thought to live and to serve clients. */
        boolean serves(String node);

        /** Whether a majority of the voters is there and has caught up without these nodes. */
        boolean hasMajorityWithout(Set<String> nodes);
    }

    private record Confirming(long round, Ask ask) { }

    private record Skip(Ask ask, Ask.Staff what, Instant until) { }

    private final Settings settings;
    private final Ledger ledger;
    private final Actions actions;
    private boolean leads;
    private Instant since;
    private Instant nextLook;
    private Instant proposedAt;
    private final Map<Long, Ask> proposed = new TreeMap<>();
    private final Deque<Confirming> confirming = new ArrayDeque<>();
    private final Map<String, Instant> heard = new TreeMap<>();
    private final List<Skip> skips = new ArrayList<>();
    /** Since when each machine that is away has been so, as this leader saw it; by fence. */
    private final Map<Long, Instant> away = new TreeMap<>();

    public WorkDesk(Settings settings, Ledger ledger, Actions actions) {
        this.settings = settings;
        this.ledger = ledger;
        this.actions = actions;
    }

    public Instant due() {
        return leads ? nextLook : null;
    }

    public void onLeads(Instant now) {
        leads = true;
        since = now;
        nextLook = now;
        proposedAt = null;
    }

    public void onLeadsNoMore() {
        leads = false;
        proposed.clear();
        confirming.clear();
        heard.clear();
        skips.clear();
        away.clear();
    }

    // ---- asked

    /** Whether it is for this desk. */
    public static boolean isMeant(Ask.What what) {
        return what instanceof Ask.Poll || what instanceof Ask.Step || what instanceof Ask.Staff;
    }

    public void onAsk(Instant now, Ask ask) {
        if (ask.what() instanceof Ask.Poll p) {
            heard.put(ask.node(), now);
            Work.Place place = new Work.Place(ask.node(), p.machine(), p.hall());
            if (!place.equals(ledger.work().place(ask.node()))) {
                propose(ask, new Command.Announce(ask.node(), p.machine(), p.hall()));
            } else {
                confirm(ask);
            }
        } else if (ask.what() instanceof Ask.Step s) {
            propose(ask, new Command.Step(ask.node(), ask.incarnation(), s.fence(), s.from()));
        } else if (ask.what() instanceof Ask.Staff s) {
            staff(now, ask, s);
        }
    }

    private void staff(Instant now, Ask ask, Ask.Staff s) {
        Work.Line l = s.words().what() == Command.StaffWord.SKIP ? ledger.work().line(s.words().machines().get(0)) : null;
        if (l == null || l.state() != Work.State.TURN) {
            propose(ask, s.words());
            return;
        }
        Instant from = since;
        for (String node : ledger.work().nodesOf(l.machine())) {
            Instant last = heard.getOrDefault(node, since);
            from = last.isAfter(from) ? last : from;
        }
        heard.keySet().removeAll(ledger.work().nodesOf(l.machine())); // and they are told nothing of it until then
        if (skips.size() < MOST_WAITING && skips.stream().noneMatch(x -> x.what().words().id() == s.words().id())) {
            skips.add(new Skip(ask, s, from.plus(wait(settings.valid()))));
            nextLook = now;
        }
    }

    /** How long a leader waits for what another clock counts so long: see the rule of time. */
    protected Duration wait(Duration other) {
        return BudgetDesk.longest(other, settings.drift());
    }

    private boolean isBeingSkipped(String machine) {
        return skips.stream().anyMatch(x -> x.what().words().machines().contains(machine));
    }

    private void propose(Ask ask, Command command) {
        if (!actions.isKnown(command)) {
            answer(ask, Result.of(Kind.TOO_NEW));
            return;
        }
        long index = proposed.size() >= MOST_WAITING ? 0 : actions.propose(command);
        if (index > 0) {
            proposed.put(index, ask);
        } // else it is asked again
    }

    private void confirm(Ask ask) {
        long round = confirming.size() >= MOST_WAITING ? 0 : actions.confirm();
        if (round > 0) {
            confirming.add(new Confirming(round, ask));
        }
    }

    private void answer(Ask ask, Result result) {
        actions.answer(ask, new Answer(ask.incarnation(), ask.number(), result));
    }

    // ---- told

    public void onConfirmed(long round) {
        while (!confirming.isEmpty() && confirming.peek().round() <= round) {
            Ask ask = confirming.poll().ask();
            Work.Place place = ledger.work().place(ask.node());
            if (place != null && !isBeingSkipped(place.machine())) {
                actions.answer(ask, new Answer(ask.incarnation(), ask.number(), Result.of(Kind.SET),
                        ledger.work().line(place.machine())));
            }
        }
    }

    /** An entry was handed to the ledger, at whichever voter; to be told at all of them. */
    public void onApplied(Instant now, long index, Command command, Result result) {
        if (!leads) {
            return;
        }
        Ask ask = proposed.remove(index);
        if (ask != null && command instanceof Command.Staff) {
            answer(ask, result);
        } // what nodes said they see with their next asking
        if (command instanceof Command.Turn) {
            proposedAt = null;
        }
        if (command instanceof Command.Turn || command instanceof Command.Step || command instanceof Command.Staff
                || command instanceof Command.WorkTerms || command instanceof Command.Announce) {
            nextLook = now;
        }
    }

    // ---- time

    public void onTime(Instant now) {
        if (!leads || now.isBefore(nextLook)) {
            return;
        }
        boolean waits = !ledger.work().lines().isEmpty() || !skips.isEmpty();
        nextLook = now.plus(waits ? LOOK : AGAIN);
        if (!ledger.work().places().isEmpty() && !ledger.work().terms().equals(settings.terms())) {
            Command terms = new Command.WorkTerms(settings.terms().mostOut(), settings.terms().mostOutOfHall());
            if (proposedAt == null || !now.isBefore(proposedAt.plus(AGAIN))) {
                proposedAt = actions.isKnown(terms) && actions.propose(terms) > 0 ? now : proposedAt;
            }
        }
        for (Skip s : List.copyOf(skips)) {
            if (!s.until().isAfter(now)) {
                skips.remove(s);
                propose(s.ask(), s.what().words());
            }
        }
        seeAway(now);
        giveTurn(now);
    }

    private void seeAway(Instant now) {
        Set<Long> there = new TreeSet<>();
        for (Work.Line l : ledger.work().lines()) {
            if (l.isAway()) {
                there.add(l.fence());
                away.putIfAbsent(l.fence(), now);
            }
        }
        away.keySet().retainAll(there);
    }

    private void giveTurn(Instant now) {
        if (proposedAt != null && now.isBefore(proposedAt.plus(AGAIN)) || halted(now) != null) {
            return;
        }
        for (String machine : ledger.work().plan()) {
            String hall = ledger.work().hallOf(machine);
            if (ledger.work().away(hall) >= ledger.work().terms().mostOutOfHall()) {
                continue; // the next one of another hall may go
            }
            if (againstIt(machine) == null && actions.propose(new Command.Turn(machine)) > 0) {
                proposedAt = now;
            }
            return;
        }
    }

    /** Why no turn is given at all; null where nothing speaks against one. */
    public String halted(Instant now) {
        Work work = ledger.work();
        if (!leads) {
            return "this node does not lead";
        } else if (!work.held().isEmpty()) {
            return work.held();
        } else if (now.isBefore(since.plus(settings.settle()))) {
            return "a new leader looks who is there";
        }
        for (Work.Line l : work.lines()) {
            Instant from = away.get(l.fence());
            if (l.isAway() && from != null && now.isAfter(from.plusMillis(l.longestMs()))) {
                return l.machine() + " is away for longer than it was asked for";
            }
        }
        return work.away(null) >= work.terms().mostOut() ? "as many as may be are out" : null;
    }

    /** Why this machine may not go now; null where nothing speaks against it. */
    public String againstIt(String machine) {
        Work work = ledger.work();
        Set<String> out = new TreeSet<>();
        Set<String> outOfHall = new TreeSet<>();
        Set<String> nodes = new TreeSet<>(work.nodesOf(machine));
        String missing = "";
        for (Work.Place p : work.places()) {
            Work.Line l = work.line(p.machine());
            boolean isAway = l != null && l.isAway();
            if (!p.machine().equals(machine) && (isAway || isMissing(p.node()))) {
                missing = isAway ? missing : p.node();
                nodes.add(p.node());
                out.add(p.machine());
                if (p.hall().equals(work.hallOf(machine))) {
                    outOfHall.add(p.machine());
                }
            }
        }
        if (out.size() >= work.terms().mostOut() || outOfHall.size() >= work.terms().mostOutOfHall()) {
            return missing.isEmpty() ? "as many as may be are out" : missing + " does not serve";
        }
        return actions.hasMajorityWithout(nodes) ? null : "too few voters would be left";
    }

    /** Counts as out though it has no turn. */
    protected boolean isMissing(String node) {
        return !actions.serves(node);
    }
}
