package rowanplank.ledger;

import java.time.Duration;
import java.time.Instant;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
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
    /** Letters in a datagram. */
    private static final int PIECE = 900;
    /** Of fewer requests nothing is told. */
    private static final long LEAST_ASKED = 20;
    /** What a node has said of its service is not counted for longer. */
    private static final Duration FRESH = Duration.ofSeconds(3);
    private static final Duration LOOK = Duration.ofMillis(100);
    /** What was proposed and not heard of is proposed again after so long. */
    private static final Duration AGAIN = Duration.ofSeconds(1);

    /**
     * @param valid for how long what a node is told of its line may be acted on
     * @param settle a new leader knows after so long who lives
     */
    public record Settings(double drift, Duration valid, Duration settle, Work.Terms terms, Bounds bounds) {
        /** Halts by nothing but what is out. */
        public Settings(double drift, Duration valid, Duration settle, Work.Terms terms) {
            this(drift, valid, settle, terms, Bounds.NONE);
        }
    }

    /**
     * What halts the order by itself.
     *
     * @param leastService the part of requests that is served by those at work, below which no turn is given, and below which
     *     in comparison with them a machine has come back badly; 0 for never
     * @param dead whether one that is dead and not out halts it
     * @param mostOpen requests at once that a node can bear; 0 where that is not said
     * @param margin of the load that is kept free at those at work, as a part of it
     * @param places at each page server; null where they are not shared
     * @param zone of windows
     */
    public record Bounds(double leastService, boolean dead, long mostOpen, double margin, Places places, ZoneId zone) {
        public static final Bounds NONE = new Bounds(0, false, 0, 0, null, ZoneOffset.UTC);
    }

    /** Of each page server so many places; of these some set aside for each of so many nodes, which no other can use. */
    public record Places(long whole, long fixed, long nodes) { }

    /** What it asks of its owner; none of these calls back into it. */
    public interface Actions extends Pending.Actions {
        /** Whether the node is thought to live and to serve clients. */
        boolean serves(String node);

        /** The order of work as staff read it: letters of ASCII. */
        String text();

        /** Whether the node is thought to live. */
        boolean lives(String node);

        /** The clock on the wall, which may be set back. */
        Instant wall();

        /** Whether a majority of the voters is there and has caught up without these nodes. */
        boolean hasMajorityWithout(Set<String> nodes);
    }

    private record Heard(Ask.Service service, Instant at) { }

    private record Skip(Ask ask, Ask.Staff what, Instant until) { }

    private final Settings settings;
    private final Ledger ledger;
    private final Actions actions;
    private boolean leads;
    private Instant since;
    private Instant nextLook;
    private Instant proposedAt;
    private final Pending pending;
    private final Map<String, Instant> heard = new TreeMap<>();
    private final List<Skip> skips = new ArrayList<>();
    private final Map<String, Heard> services = new TreeMap<>();
    /** Turns whose machine has come back badly, and for which the order is halted already. */
    private final Set<Long> judged = new TreeSet<>();
    /** What speaks against the next turn, as of the last look. */
    private String standing = "";
    /** What was told in pieces last. */
    private String text = "";
    /** Since when each machine that is away has been so, as this leader saw it; by fence. */
    private final Map<Long, Instant> away = new TreeMap<>();

    public WorkDesk(Settings settings, Ledger ledger, Actions actions) {
        this.settings = settings;
        this.ledger = ledger;
        this.actions = actions;
        pending = new Pending(MOST_WAITING, actions);
    }

    /** What speaks against the next turn, as this leader saw it last; empty where nothing does. */
    public String standing() {
        return standing;
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
        pending.clear();
        heard.clear();
        skips.clear();
        services.clear();
        judged.clear();
        standing = "";
        text = "";
        away.clear();
    }

    // ---- asked

    /** Whether it is for this desk. */
    public static boolean isMeant(Ask.What what) {
        return what instanceof Ask.Poll || what instanceof Ask.Step || what instanceof Ask.Staff
                || what instanceof Ask.Look;
    }

    public void onAsk(Instant now, Ask ask) {
        if (ask.what() instanceof Ask.Poll p) {
            heard(now, ask.node(), p.service());
            Command.Announce said = new Command.Announce(ask.node(), p.machine(), p.hall());
            Work.Place place = new Work.Place(ask.node(), p.machine(), p.hall());
            if (place.equals(ledger.work().place(ask.node())) || hasNoPart(said) != null) {
                pending.confirm(ask);
            } else {
                pending.propose(ask, said);
            }
        } else if (ask.what() instanceof Ask.Step s) {
            if (isJudged(now, ask.node(), s)) {
                pending.propose(ask, new Command.Step(ask.node(), ask.incarnation(), s.fence(), s.from()));
            }
        } else if (ask.what() instanceof Ask.Staff s) {
            staff(now, ask, s);
        } else if (ask.what() instanceof Ask.Look) {
            pending.confirm(ask);
        }
    }

    private void heard(Instant now, String node, Ask.Service service) {
        if (ledger.work().hasRoomFor(node)) {
            heard.put(node, now);
            if (service != null) {
                services.put(node, new Heard(service, now));
            }
        }
    }

    /** Of a machine that came back and serves badly a halt stands in the log before its end, so that no turn slips in between. */
    private boolean isJudged(Instant now, String node, Ask.Step s) {
        Work.Place p = ledger.work().place(node);
        Work.Line l = p == null ? null : ledger.work().line(p.machine());
        String bad = s.from() == Work.State.RETURNING && l != null && l.fence() == s.fence()
                && l.state() == Work.State.RETURNING && !judged.contains(s.fence()) ? servesBadly(now, p) : null;
        if (bad == null || !actions.isKnown(new Command.Halt(bad))) {
            return true;
        }
        boolean halted = actions.propose(new Command.Halt(bad)) > 0;
        if (halted) {
            judged.add(s.fence());
        }
        return halted;
    }

    /** @return null where it does not, or has not been asked often enough to tell */
    protected String servesBadly(Instant now, Work.Place p) {
        Heard own = services.get(p.node());
        Ask.Service rest = atWork(now, p.machine());
        if (own == null || own.service().answered() < LEAST_ASKED || settings.bounds().leastService() == 0
                || own.service().part() >= settings.bounds().leastService() * rest.part()) {
            return null;
        }
        return p.node() + " came back and serves badly: " + own.service().served() + " of " + own.service().answered()
                + " requests, and the others " + rest.served() + " of " + rest.answered() + "; look at it, then fleet work go";
    }

    /** How all that are at work have served lately, but for one machine. */
    private Ask.Service atWork(Instant now, String without) {
        Ask.Service sum = Ask.Service.NONE;
        for (Work.Place p : ledger.work().places()) {
            Heard h = services.get(p.node());
            if (!p.machine().equals(without) && !isAway(p.machine()) && h != null && now.isBefore(h.at().plus(FRESH))) {
                sum = sum.plus(h.service());
            }
        }
        return sum;
    }

    private boolean isAway(String machine) {
        Work.Line l = ledger.work().line(machine);
        return l != null && l.isAway();
    }

    private void staff(Instant now, Ask ask, Ask.Staff s) {
        Command.StaffWord word = s.words().what();
        boolean ends = word == Command.StaffWord.SKIP || word == Command.StaffWord.FORGET;
        if (word == Command.StaffWord.FORGET
                && ledger.work().nodesOf(s.words().machines().get(0)).stream().anyMatch(actions::lives)) {
            pending.answer(ask, Result.of(Kind.HELD));
            return;
        }
        Work.Line l = ends ? ledger.work().line(s.words().machines().get(0)) : null;
        if (l == null || l.state() != Work.State.TURN) {
            pending.propose(ask, s.words());
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

    // ---- told

    public void onConfirmed(long round) {
        pending.onConfirmed(round, ask -> {
            if (ask.what() instanceof Ask.Look l) {
                look(ask, l.from());
            } else {
                tellLine(ask);
            }
        });
    }

    private void tellLine(Ask ask) {
        Work.Place place = ledger.work().place(ask.node());
        Kind none = ask.what() instanceof Ask.Poll p ? hasNoPart(new Command.Announce(ask.node(), p.machine(), p.hall())) : null;
        if (none != null) {
            pending.answer(ask, Result.of(none));
        } else if (place != null && !isBeingSkipped(place.machine())) {
            actions.answer(ask, new Answer(ask.incarnation(), ask.number(), new Result(Kind.SET, 0, standing),
                    ledger.work().line(place.machine())));
        }
    }

    /** All pieces are of the text that the first one is of; whoever gets pieces of two begins anew. */
    private void look(Ask ask, int from) {
        if (from == 0 || text.isEmpty()) {
            text = actions.text();
        }
        int begin = Math.min(from, text.length());
        int end = Math.min(text.length(), begin + PIECE);
        pending.answer(ask, new Result(Kind.SET, Ask.Look.stamp(text), text.substring(begin, end)));
    }

    /** Why a node has no part in the order; null where it has one. Told by a confirmed leader only: it sends nodes back. */
    private Kind hasNoPart(Command.Announce c) {
        return !actions.isKnown(c) ? Kind.TOO_NEW : ledger.work().hasRoomFor(c.node()) ? null : Kind.FULL;
    }

    /** An entry was handed to the ledger, at whichever voter; to be told at all of them. */
    public void onApplied(Instant now, long index, Command command, Result result) {
        if (!leads) {
            return;
        }
        Ask ask = pending.onApplied(index);
        if (ask != null && command instanceof Command.Staff) {
            pending.answer(ask, result);
        } // what nodes said they see with their next asking
        if (command instanceof Command.Turn) {
            proposedAt = null;
        }
        if (command instanceof Command.Turn || command instanceof Command.Step || command instanceof Command.Staff
                || command instanceof Command.WorkTerms || command instanceof Command.Announce
                || command instanceof Command.Halt) {
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
                pending.propose(s.ask(), s.what().words());
            }
        }
        seeAway(now);
        standing = standing(now);
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
        judged.retainAll(there);
        services.keySet().removeIf(n -> ledger.work().place(n) == null);
    }

    private String standing(Instant now) {
        List<String> plan = ledger.work().plan();
        if (plan.isEmpty()) {
            return "";
        }
        String all = halted(now);
        for (String machine : all == null ? plan : List.<String>of()) {
            if (!waitsForItsHall(machine) && isInWindow(machine)) {
                String one = againstIt(now, machine);
                return one == null ? "" : one;
            }
        }
        return all == null ? "the time of none that waits has come" : all;
    }

    private boolean waitsForItsHall(String machine) {
        return ledger.work().away(ledger.work().hallOf(machine)) >= ledger.work().terms().mostOutOfHall();
    }

    /** Whether its turn may be given at this time of the day. */
    protected boolean isInWindow(String machine) {
        Work.Line l = ledger.work().line(machine);
        Window w = l == null ? null : l.window();
        return w == null || w.contains(LocalTime.ofInstant(actions.wall(), settings.bounds().zone()));
    }

    /**
     * Why each machine that waits does so, in the order of the plan; at any voter, by what it knows.
     *
     * @param plan of the ledger, or what it would be if more were asked
     * @param told what speaks against the next turn, as the leader says; empty where nothing does
     */
    public Map<String, String> waits(List<String> plan, String told) {
        Map<String, String> why = new LinkedHashMap<>();
        String before = null;
        for (String machine : plan) {
            if (waitsForItsHall(machine) && ledger.work().away(null) < ledger.work().terms().mostOut()) {
                String hall = ledger.work().hallOf(machine);
                why.put(machine, "as many as may be are out" + (hall.isEmpty() ? "" : " in " + hall));
            } else if (!isInWindow(machine)) {
                why.put(machine, "its time is " + ledger.work().line(machine).window() + " " + settings.bounds().zone());
            } else {
                why.put(machine, before != null ? "after " + before : told.isEmpty() ? "is the next" : told);
                before = machine;
            }
        }
        return why;
    }

    private void giveTurn(Instant now) {
        if (proposedAt != null && now.isBefore(proposedAt.plus(AGAIN)) || halted(now) != null) {
            return;
        }
        for (String machine : ledger.work().plan()) {
            if (waitsForItsHall(machine) || !isInWindow(machine)) {
                continue; // the next one may go
            }
            if (againstIt(now, machine) == null && actions.propose(new Command.Turn(machine)) > 0) {
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
                return l.machine() + " is away for longer than it was asked for: say done, cancel or skip";
            }
        }
        String unwell = unwell(now);
        return unwell != null ? unwell : work.away(null) >= work.terms().mostOut() ? "as many as may be are out" : null;
    }

    /** A machine that is dead and should not be, or service below what is borne; null where all is well. */
    private String unwell(Instant now) {
        for (Work.Place p : settings.bounds().dead() ? ledger.work().places() : List.<Work.Place>of()) {
            Work.Line l = ledger.work().line(p.machine());
            if ((l == null || l.state() != Work.State.OUT) && isDead(p.node())) {
                return p.node() + " is dead: start it, or say forget where it is gone for good";
            }
        }
        Ask.Service all = atWork(now, null);
        return all.answered() < LEAST_ASKED || all.part() >= settings.bounds().leastService() ? null
                : String.format(Locale.ROOT, "those at work have served %.1f %% of %d requests, and %.1f %% is the least",
                        100 * all.part(), all.answered(), 100 * settings.bounds().leastService());
    }

    /** Whether those left at work bear what all do now, with the margin; null where nothing is known that speaks against it. */
    private String overload(Instant now, String machine) {
        Ask.Service all = atWork(now, null);
        long left = ledger.work().places().stream().filter(p -> !p.machine().equals(machine) && !isAway(p.machine())
                && !isMissing(p.node())).count();
        double open = all.open() * (1 + settings.bounds().margin());
        if (left == 0) {
            return "nobody else serves: take " + machine + " out by hand";
        } else if (settings.bounds().mostOpen() > 0 && open > settings.bounds().mostOpen() * left) {
            return String.format(Locale.ROOT, "the load is too much for the rest: %d requests at once, and %d nodes bear %d"
                    + " with the margin", all.open(), left, (long) (settings.bounds().mostOpen() * left / (1 + settings.bounds().margin())));
        }
        Places places = settings.bounds().places();
        long had = places == null ? 0 : all.servers() * (places.whole() - places.fixed() * Math.max(0, places.nodes() - left));
        return places == null || all.used() * (1 + settings.bounds().margin()) <= had ? null
                : "the load is too much for the rest: " + all.used() + " places at page servers in use of " + had;
    }

    /** Why this machine may not go now; null where nothing speaks against it. */
    public String againstIt(Instant now, String machine) {
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
        return actions.hasMajorityWithout(nodes) ? overload(now, machine)
                : "without " + machine + " too few voters would be left";
    }

    protected boolean isDead(String node) {
        return !actions.lives(node);
    }

    /** Counts as out though it has no turn. */
    protected boolean isMissing(String node) {
        return !actions.serves(node);
    }
}
