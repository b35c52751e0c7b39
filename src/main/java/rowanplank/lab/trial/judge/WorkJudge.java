package rowanplank.lab.trial.judge;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import rowanplank.lab.trial.judge.Event.Kind;
import rowanplank.lab.trial.judge.WorkHistory.Life;
import rowanplank.lab.trial.judge.WorkHistory.State;
import rowanplank.lab.trial.judge.WorkHistory.Word;

/**
 * Judges the history of a trial of the order of work, and knows nothing else: no class of the program, no state but the
 * events.
 *
 * <table>
 * <caption>The rules, beside those of every fleet (see {@link LeaseJudge})</caption>
 * <tr><td>within-bound</td><td>in no state that a voter tells of are more machines away than allowed, in all and of a
 * hall</td></tr>
 * <tr><td>away-together</td><td>nor do nodes of more machines stand drained at one instant, each under a turn by its own
 * word</td></tr>
 * <tr><td>counts-dead</td><td>no turn is given while others that are away, and machines with a node that has been dead for
 * the stated time, come to the bound</td></tr>
 * <tr><td>voters-left</td><td>no turn is given with which no majority of the voters would be left, the dead counted
 * so</td></tr>
 * <tr><td>one-order</td><td>who has applied as much tells the same order</td></tr>
 * <tr><td>next-first</td><td>a turn is given to the first of those that wait whose hall is not full: those asked first,
 * then the hall whose last turn is longest ago, then who was asked first</td></tr>
 * <tr><td>forward</td><td>a line goes on from asked to turn, out and returning, under one fence, and ends once</td></tr>
 * <tr><td>under-a-turn</td><td>what a node says of its line was told by a voter, of its machine, under that fence</td></tr>
 * <tr><td>no-old-turn</td><td>no node begins to drain under a turn that was over for longer than a word may be old</td></tr>
 * <tr><td>back-by-word</td><td>a machine that is out returns only after staff's word that was not done before the turn, or
 * new processes of its nodes where these were asked for</td></tr>
 * <tr><td>empty-when-out</td><td>while a machine is out for sure, no try of its nodes is at a page server, and none of them
 * takes clients</td></tr>
 * <tr><td>once</td><td>what staff ask under one number is done once, and answered alike</td></tr>
 * <tr><td>none-forgotten</td><td>each machine of an asking that was taken is told of as asked for</td></tr>
 * <tr><td>none-lost</td><td>each request that was sent to a node is answered, once, but where the node was killed or stood
 * still shortly before, or the client's time was over first, as on a machine with too much to do</td></tr>
 * <tr><td>goes-on</td><td>within the given time after the last fault no line is left, but of machines without which no
 * majority of the voters would be; and all nodes that run take clients</td></tr>
 * </table>
 *
 * <p><b>Bounds.</b> What a node tells was so up to 600 ms before. <i>Out for sure</i> is a machine from when a voter first
 * told of it as out until somebody first said done, cancel or skip of it under a number that had no final answer by the
 * turn, or where a restart ends its work until the last of its nodes was started anew. <i>The stated time</i> of the dead is
 * what any leader needs to learn of it for sure, whoever it can reach: it asks each of n nodes in turn, so at the latest
 * after n periods of its own, and twice that where the node had only just come up under a new number, which others may
 * still tell of; {@link Terms#deadMicros} has it, and what a node stood still meanwhile comes on top. A turn's time is that
 * at which its leader last told of fewer entries; where that is not known, these two rules say nothing.
 *
 * <p>A node that stood still for longer than the allowance as it began to drain drains late; that is no breach and is counted
 * in {@link #lateActs}.
 */
public final class WorkJudge implements Judge {
    /** What a node says of itself. */
    public static final String SERVES = "serves";
    public static final String DRAINED = "drained";
    private static final int MOST_FINDINGS = 20;
    private static final int MOST_PAST = 100;
    /** A node's clients notice within this time that it is no more, or stood still. */
    private static final long NOTICED = 4_000_000;
    /** Not judged: on a machine with more to do than it can, a client's time is over before it is the node's turn. */
    private static final List<String> OUT_OF_TIME = List.of("sent_anew", "gave_up", "not_connected not up in time",
            "not_connected the request was not written in time");
    private static final long BEGINNING = 2_000_000;

    /** Where a node stands. */
    public record Place(String node, String machine, String hall) { }

    /**
     * What is known beforehand.
     *
     * @param allowanceMicros how long a node may stand still without harm
     * @param goesOnMicros how soon after the last fault all nodes must know who lives
     * @param restMicros how soon after the last fault all is done
     * @param deadMicros a leader knows after so long of each node that is dead
     */
    public record Terms(List<Place> places, int mostOut, int mostOutOfHall, long allowanceMicros, long goesOnMicros,
            long restMicros, long deadMicros) {
        public Terms {
            places = List.copyOf(places);
        }
    }

    private final List<Event> history;
    private final Terms terms;
    private final WorkHistory told;
    private final List<Finding> findings = new ArrayList<>();
    private int lateActs;

    public WorkJudge(List<Event> history, Terms terms) {
        this.terms = terms;
        int over = 0;
        while (over < history.size() && history.get(over).kind() != Kind.OVER) {
            over++;
        }
        this.history = List.copyOf(history.subList(0, Math.min(history.size(), over + 1))); // what ends the nodes is no fault
        told = new WorkHistory(this.history, terms.places());
    }

    @Override
    public List<Finding> judge() {
        oneOrder();
        forward();
        for (State s : told.states.values()) {
            withinBounds(s);
        }
        for (Life l : told.lives.values()) {
            turn(l);
            out(l);
        }
        WorkNodes nodes = new WorkNodes(told, terms, findings::add);
        nodes.judge();
        lateActs = nodes.lateActs();
        staff();
        requests();
        atTheEnd();
        new FleetRules(history, terms.goesOnMicros(), findings::add).judge();
        return findings.subList(0, Math.min(MOST_FINDINGS, findings.size()));
    }

    @Override
    public int lateActs() {
        return lateActs;
    }

    private void found(String rule, String what, Event... shown) {
        findings.add(Finding.of(rule, what, shown));
    }

    // ---- what the ledger tells

    private void oneOrder() {
        Map<Long, Event> firsts = new TreeMap<>();
        for (Event e : history) {
            if (e.kind() == Kind.WORK && !e.text().isEmpty()) {
                Event first = firsts.putIfAbsent(e.other(), e);
                if (first != null && !ToldWork.parse(first.text()).isAlike(ToldWork.parse(e.text()))) {
                    found("one-order", "two orders of work after entry " + e.other(), first, e);
                }
            }
        }
    }

    private void withinBounds(State s) {
        Map<String, Integer> ofHall = new TreeMap<>();
        int away = 0;
        for (ToldWork.Line l : s.work().lines()) {
            if (l.isAway()) {
                away++;
                ofHall.merge(told.hallOf(l.machine()), 1, Integer::sum);
            }
        }
        if (away > terms.mostOut()) {
            found("within-bound", away + " machines are out, and " + terms.mostOut() + " may be", s.first());
        }
        for (Map.Entry<String, Integer> e : ofHall.entrySet()) {
            if (e.getValue() > terms.mostOutOfHall()) {
                found("within-bound", e.getValue() + " machines of hall " + e.getKey() + " are out, and "
                        + terms.mostOutOfHall() + " may be", s.first());
            }
        }
    }

    private static int rank(String state) {
        return List.of("asked", "turn", "out", "returning").indexOf(state);
    }

    private void forward() {
        Map<String, State> last = new TreeMap<>();
        TreeSet<String> ended = new TreeSet<>();
        for (State s : told.states.values()) {
            for (ToldWork.Line l : s.work().lines()) {
                State before = last.put(l.key(), s);
                ToldWork.Line was = before == null ? null : before.work().line(l.machine());
                if (was != null && (rank(l.state()) < rank(was.state()) || was.fence() != 0 && was.fence() != l.fence())
                        || ended.contains(l.key()) || l.fence() > s.applied() || l.isAway() != l.fence() > 0) {
                    found("forward", l.machine() + " went back, or came again", before == null ? null : before.first(), s.first());
                }
            }
            TreeSet<String> here = new TreeSet<>();
            for (ToldWork.Past p : s.work().past()) {
                if (!here.add(p.key())) {
                    found("forward", p.machine() + " ended twice", s.first());
                }
            }
            ended.addAll(here);
        }
    }

    // ---- turns

    /** The first state that has it; null where it was over by then. */
    private State stateOf(Life l) {
        Map.Entry<Long, State> e = told.states.ceilingEntry(l.fence);
        ToldWork.Line line = e == null ? null : e.getValue().work().line(l.machine);
        return line == null || line.fence() != l.fence ? null : e.getValue();
    }

    private void turn(Life l) {
        State s = stateOf(l);
        if (s == null) {
            return;
        }
        nextFirst(l, s);
        long at = told.writtenAfter(l.fence);
        long known = at - terms.deadMicros() - told.stalled(at - terms.deadMicros(), at);
        if (at < 0) {
            return;
        }
        Set<String> dead = told.dead(known, l.turn.at());
        Set<String> away = new TreeSet<>();
        Set<String> awayOfHall = new TreeSet<>();
        Set<String> gone = new TreeSet<>(dead);
        for (Map.Entry<String, List<String>> m : told.nodesOf.entrySet()) {
            ToldWork.Line line = s.work().line(m.getKey());
            boolean isAway = line != null && line.isAway() && line.fence() <= l.fence;
            if (isAway) {
                gone.addAll(m.getValue());
            }
            if (!m.getKey().equals(l.machine) && (isAway || m.getValue().stream().anyMatch(dead::contains))) {
                away.add(m.getKey());
                if (told.hallOf(m.getKey()).equals(told.hallOf(l.machine))) {
                    awayOfHall.add(m.getKey());
                }
            }
        }
        if (away.size() >= terms.mostOut() || awayOfHall.size() >= terms.mostOutOfHall()) {
            found("counts-dead", l.machine + " had a turn while these were away or dead: " + away, s.first(), l.turn);
        }
        Map.Entry<Long, State> before = told.states.lowerEntry(l.fence);
        if (tooFew(s.work().voters(), gone) && (before == null || tooFew(before.getValue().work().voters(), gone))) {
            found("voters-left", l.machine + " had a turn, and too few voters are left without " + gone, s.first(), l.turn);
        }
    }

    private static boolean tooFew(List<String> voters, Set<String> gone) {
        return 2 * voters.stream().filter(v -> !gone.contains(v)).count() <= voters.size();
    }

    private void nextFirst(Life l, State s) {
        Map.Entry<Long, State> before = told.states.lowerEntry(l.fence);
        if (before == null || s.work().past().size() >= MOST_PAST) {
            return;
        }
        Map<String, Long> lastTurns = new TreeMap<>();
        Map<String, Integer> away = new TreeMap<>();
        Set<String> endedBefore = new TreeSet<>();
        before.getValue().work().past().forEach(p -> endedBefore.add(p.key()));
        for (ToldWork.Past p : s.work().past()) {
            if (p.fence() > 0 && p.fence() < l.fence) {
                lastTurns.merge(told.hallOf(p.machine()), p.fence(), Math::max);
                if (!endedBefore.contains(p.key())) {
                    away.merge(told.hallOf(p.machine()), 1, Integer::sum); // it may have ended after the turn
                }
            }
        }
        for (ToldWork.Line x : s.work().lines()) {
            if (x.isAway() && x.fence() < l.fence) {
                lastTurns.merge(told.hallOf(x.machine()), x.fence(), Math::max);
                away.merge(told.hallOf(x.machine()), 1, Integer::sum);
            }
        }
        Comparator<ToldWork.Line> order = Comparator.comparing((ToldWork.Line x) -> !x.first())
                .thenComparing(x -> lastTurns.getOrDefault(told.hallOf(x.machine()), 0L))
                .thenComparing(ToldWork.Line::asked).thenComparing(ToldWork.Line::machine);
        ToldWork.Line mine = s.work().line(l.machine);
        for (ToldWork.Line x : s.work().lines()) {
            boolean waited = (!x.isAway() || x.fence() > l.fence) && x.asked() < l.fence;
            if (waited && order.compare(x, mine) < 0
                    && away.getOrDefault(told.hallOf(x.machine()), 0) < s.work().mostOutOfHall()) {
                found("next-first", l.machine + " had its turn before " + x.machine(), before.getValue().first(), s.first());
            }
        }
    }

    // ---- out

    private void out(Life l) {
        Event mayReturn = told.mayReturn(l);
        Event returned = l.returning != null ? l.returning : l.past;
        if (returned != null && (mayReturn == null || mayReturn.at() > returned.at())) {
            found("back-by-word", l.machine + " returned from its turn " + l.fence + " though nobody had said so", l.turn, l.out,
                    returned, mayReturn);
        }
        if (l.out == null) {
            return;
        }
        long until = mayReturn == null ? Long.MAX_VALUE : mayReturn.at();
        Map<String, Event> open = new TreeMap<>();
        for (Event e : history) {
            if (e.at() >= until) {
                break;
            }
            if (!told.machineOf(e.node()).equals(l.machine)) {
                continue;
            }
            String key = e.name() + " " + e.node() + " " + e.other();
            if (e.kind() == Kind.BEGIN) {
                open.put(key, e);
                if (e.at() > l.out.at()) {
                    found("empty-when-out", "a try began at " + e.node() + ", which is out", l.out, e);
                }
            } else if (e.kind() == Kind.END) {
                Event begin = open.remove(key);
                if (begin != null && begin.at() < l.out.at() && e.at() > l.out.at()) {
                    found("empty-when-out", "a try was open at " + e.node() + " as it was out", begin, l.out, e);
                }
            } else if (e.kind() == Kind.OWN && e.text().equals(SERVES) && e.at() > l.out.at() + WorkHistory.TOLD_LATE) {
                found("empty-when-out", e.node() + " takes clients, and is out", l.out, e);
            }
        }
    }

    // ---- staff

    private void staff() {
        Map<Long, Event> answers = new TreeMap<>();
        for (Event e : history) {
            if (e.kind() == Kind.STAFF_TOLD && !e.text().equals("unknown")) {
                Event first = answers.putIfAbsent(e.number(), e);
                if (first != null && !first.text().equals(e.text())) {
                    found("once", "two answers to number " + e.number(), first, e);
                }
            }
        }
        Map<String, State> asked = new TreeMap<>();
        Map<String, Long> indexes = new TreeMap<>();
        for (State s : told.states.values()) {
            for (ToldWork.Line l : s.work().lines()) {
                Long before = indexes.putIfAbsent(l.machine() + " " + l.why(), l.asked());
                if (before != null && before != l.asked()) {
                    found("once", l.machine() + " was asked for twice under one number", asked.get(l.machine() + " " + l.why()).first(),
                            s.first());
                }
                asked.putIfAbsent(l.machine() + " " + l.why(), s);
            }
        }
        told.words.values().forEach(this::forgotten);
    }

    private void forgotten(Word w) {
        if (!w.first.text().startsWith("ask") || w.answer == null || !w.answer.text().equals("done")) {
            return;
        }
        for (String m : w.first.name().split(",")) {
            boolean shown = told.states.values().stream().anyMatch(s -> s.first().at() >= w.first.at()
                    && (s.work().line(m) != null || s.work().past().stream().anyMatch(p -> p.machine().equals(m))));
            boolean shownLater = history.stream().anyMatch(e -> e.kind() == Kind.WORK && e.at() > w.answer.at() + NOTICED);
            if (!shown && shownLater) {
                found("none-forgotten", m + " was asked for and is not told of", w.first, w.answer);
            }
        }
    }

    // ---- requests

    /** Whether it is no wonder that the node did not answer. */
    private boolean isExcused(Event e) {
        return history.stream().anyMatch(x -> x.node().equals(e.node()) && x.at() <= e.at() + WorkHistory.TOLD_LATE
                && (x.kind() == Kind.KILLED && x.at() >= e.at() - NOTICED
                || x.kind() == Kind.ENDED && x.at() >= e.at() - NOTICED || x.kind() == Kind.STARTED && x.at() >= e.at() - NOTICED
                || x.kind() == Kind.STALLED && x.at() + x.number() >= e.at() - NOTICED));
    }

    private void requests() {
        long from = history.stream().filter(e -> e.kind() == Kind.STAFF).mapToLong(e -> e.at() + BEGINNING).findFirst()
                .orElse(Long.MAX_VALUE);
        Map<Long, Event> answered = new TreeMap<>();
        for (Event e : history) {
            if (e.kind() == Kind.ANSWER) {
                Event first = answered.putIfAbsent(e.other(), e);
                if (first != null) {
                    found("none-lost", "request " + e.other() + " was answered twice", first, e);
                }
            } else if (e.kind() == Kind.UNANSWERED && e.at() > from && !e.node().isEmpty() && !OUT_OF_TIME.contains(e.text())
                    && !isExcused(e)) {
                found("none-lost", "request " + e.other() + " to " + e.node() + " had no answer", e);
            }
        }
    }

    // ---- the end

    private boolean canGo(String machine, ToldWork work) {
        long left = work.voters().stream().filter(v -> !told.machineOf(v).equals(machine)).count();
        return 2 * left > work.voters().size();
    }

    private void atTheEnd() {
        Event quiet = history.stream().filter(e -> e.kind() == Kind.QUIET).findFirst().orElse(null);
        Event over = history.get(history.size() - 1);
        if (quiet == null || over.kind() != Kind.OVER || told.states.isEmpty()) {
            return; // it was not played to its end, which is no verdict on the nodes
        }
        State last = told.states.lastEntry().getValue();
        for (ToldWork.Line l : last.work().lines()) {
            if (over.at() >= quiet.at() + terms.restMicros() && canGo(l.machine(), last.work())) {
                found("goes-on", l.machine() + " is " + l.state() + " still", quiet, last.first(), over);
            }
        }
        Map<String, Event> own = new TreeMap<>();
        history.stream().filter(e -> e.kind() == Kind.OWN).forEach(e -> own.put(e.node(), e));
        for (Event e : own.values()) {
            boolean started = history.stream().anyMatch(x -> x.kind() == Kind.STARTED && x.node().equals(e.node())
                    && x.at() > over.at() - NOTICED);
            if (over.at() >= quiet.at() + terms.goesOnMicros() && !started && last.work().line(told.machineOf(e.node())) == null
                    && !e.text().equals(SERVES)) {
                found("goes-on", e.node() + " takes no clients", quiet, e, over);
            }
        }
    }
}
