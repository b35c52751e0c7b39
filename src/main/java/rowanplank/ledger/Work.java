package rowanplank.ledger;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import rowanplank.ledger.Result.Kind;

/**
 * Which machines are to be worked on and which are out for it, as the log tells it. A function of the entries alone: it
 * knows no time, and who lives is no part of it.
 *
 * <p>A machine has one line at the most. What holds after every entry: lines beyond {@link State#ASKED} are never more
 * than {@code mostOut}, nor of one hall than {@code mostOutOfHall}, but where these were lowered meanwhile. A turn's fence is
 * the index of its entry; what a node says under another fence than its line's is not meant any more.
 *
 * <p>What staff ask is done once: of each number the answer is kept, the last {@value #MOST_ANSWERS} of them.
 *
 * <p>Bounds: {@value #MOST_NODES} nodes, as many lines, {@value #MOST_HISTORY} lines of history. An entry costs O(lines), the
 * plan O(lines log lines).
 */
public class Work {
    public static final int MOST_NODES = 2000;
    private static final int MOST_HISTORY = 100;
    private static final int MOST_ANSWERS = 500;
    private static final int MOST_HELD = 300;

    /** Where a line is in its life. */
    public enum State { ASKED, TURN, OUT, RETURNING }

    /** How a line has ended. */
    public enum How { BACK, CANCELLED, SKIPPED }

    /** Never more out at once. */
    public record Terms(int mostOut, int mostOutOfHall) { }

    /** Where a node stands. */
    public record Place(String node, String machine, String hall) { }

    /**
     * A machine that is to be worked on, or is.
     *
     * @param asked the index of the entry that asked for it
     * @param restart whether a new process of each of its nodes ends the work; else a person's word does
     * @param longestMs for how long it may be away before the order halts
     * @param fence of its turn; 0 before
     * @param said the nodes that have said what brings it on from this state, each with its process's number
     * @param cancelled whether it comes back since it was cancelled
     * @param window in which its turn may be given, by the leader's clock on the wall; null for any time
     */
    public record Line(String machine, State state, long asked, String by, String why, boolean first, boolean restart,
            long longestMs, long fence, Map<String, Long> said, boolean cancelled, Window window) {
        public Line {
            said = new TreeMap<>(said);
        }

        /** At any time. */
        public Line(String machine, State state, long asked, String by, String why, boolean first, boolean restart,
                long longestMs, long fence, Map<String, Long> said, boolean cancelled) {
            this(machine, state, asked, by, why, first, restart, longestMs, fence, said, cancelled, null);
        }

        Line at(State next, long turn, Map<String, Long> nodes) {
            return new Line(machine, next, asked, by, why, first, restart, longestMs, turn, nodes, cancelled, window);
        }

        Line comesBack() {
            return new Line(machine, State.RETURNING, asked, by, why, first, restart, longestMs, fence, new TreeMap<>(), true, window);
        }

        public boolean isAway() {
            return state != State.ASKED;
        }
    }

    /** A line that has ended. */
    public record Past(String machine, How how, long fence, long asked) { }

    /** What was answered to what staff asked. */
    public record Answered(long id, Result result) { }

    /** All of it, to be written down and taken up again. @param lastTurns of each hall: the fence of its last turn */
    public record Picture(Terms terms, String held, List<Place> places, List<Line> lines, List<Past> history,
            List<Answered> answers, Map<String, Long> lastTurns) {
        public Picture {
            places = List.copyOf(places);
            lines = List.copyOf(lines);
            history = List.copyOf(history);
            answers = List.copyOf(answers);
            lastTurns = new TreeMap<>(lastTurns);
        }

        public static Picture empty() {
            return new Picture(new Terms(1, 1), "", List.of(), List.of(), List.of(), List.of(), new TreeMap<>());
        }
    }

    private Terms terms = new Terms(1, 1);
    /** Why staff hold the order; empty where they don't. */
    private String held = "";
    private final Map<String, Place> places = new TreeMap<>();
    private final Map<String, Line> lines = new TreeMap<>();
    private final Deque<Past> history = new ArrayDeque<>();
    private final Deque<Answered> answers = new ArrayDeque<>();
    private final Map<String, Long> lastTurns = new TreeMap<>();

    public final void restore(Picture p) {
        terms = p.terms();
        held = p.held();
        places.clear();
        lines.clear();
        history.clear();
        answers.clear();
        lastTurns.clear();
        p.places().forEach(x -> places.put(x.node(), x));
        p.lines().forEach(l -> lines.put(l.machine(), l));
        history.addAll(p.history());
        answers.addAll(p.answers());
        lastTurns.putAll(p.lastTurns());
    }

    public Picture picture() {
        return new Picture(terms, held, new ArrayList<>(places.values()), new ArrayList<>(lines.values()),
                new ArrayList<>(history), new ArrayList<>(answers), lastTurns);
    }

    public Terms terms() {
        return terms;
    }

    public String held() {
        return held;
    }

    public Collection<Place> places() {
        return places.values();
    }

    /** By machine. */
    public Collection<Line> lines() {
        return lines.values();
    }

    /** Null where there is none. */
    public Line line(String machine) {
        return lines.get(machine);
    }

    public Collection<Past> history() {
        return history;
    }

    /** Null where the node has not said where it stands. */
    public Place place(String node) {
        return places.get(node);
    }

    /** Whether a node is known, or can be. */
    public boolean hasRoomFor(String node) {
        return places.containsKey(node) || places.size() < MOST_NODES;
    }

    /** The nodes of a machine. */
    public Set<String> nodesOf(String machine) {
        Set<String> nodes = new TreeSet<>();
        places.values().stream().filter(p -> p.machine().equals(machine)).forEach(p -> nodes.add(p.node()));
        return nodes;
    }

    /** Empty where nothing is known of the machine. */
    public String hallOf(String machine) {
        return places.values().stream().filter(p -> p.machine().equals(machine)).map(Place::hall).findFirst().orElse("");
    }

    /** The machines that wait, in the order in which they would have their turns if nothing else were asked. */
    public List<String> plan() {
        return plan(List.of(), false);
    }

    /** The same if these were asked for now. @param first before others */
    public List<String> plan(Collection<String> more, boolean asFirst) {
        List<Line> waiting = new ArrayList<>(lines.values().stream().filter(l -> !l.isAway()).toList());
        more.stream().filter(m -> !lines.containsKey(m)).forEach(m -> waiting.add(new Line(m, State.ASKED, Long.MAX_VALUE, "", "",
                asFirst, false, 0, 0, new TreeMap<>(), false)));
        Map<String, Long> turns = new TreeMap<>(lastTurns);
        long next = Long.MAX_VALUE / 2;
        List<String> plan = new ArrayList<>();
        while (!waiting.isEmpty()) {
            Line first = waiting.stream().min(Comparator.comparing((Line l) -> !l.first())
                    .thenComparing(l -> turns.getOrDefault(hallOf(l.machine()), 0L)).thenComparing(Line::asked)
                    .thenComparing(Line::machine)).orElseThrow();
            turns.put(hallOf(first.machine()), ++next);
            waiting.remove(first);
            plan.add(first.machine());
        }
        return plan;
    }

    /** How many are away, of all, or of one hall. @param hall null for all */
    public long away(String hall) {
        return lines.values().stream().filter(l -> l.isAway() && (hall == null || hallOf(l.machine()).equals(hall))).count();
    }

    // ---- told

    protected Result announce(Command.Announce c) {
        if (!hasRoomFor(c.node())) {
            return Result.of(Kind.FULL);
        }
        places.put(c.node(), new Place(c.node(), c.machine(), c.hall()));
        return Result.of(Kind.SET, places.size());
    }

    protected Result terms(Command.WorkTerms c) {
        terms = new Terms(c.mostOut(), c.mostOutOfHall());
        return Result.of(Kind.SET, terms.mostOut());
    }

    /** A leader gives a turn; what it did not know, or another has meanwhile, is held here. */
    protected Result turn(long index, Command.Turn c) {
        Line l = lines.get(c.machine());
        String hall = hallOf(c.machine());
        if (l == null || l.isAway() || !held.isEmpty() || !plan().get(0).equals(c.machine()) && !isFirstPossible(c.machine())) {
            return Result.of(Kind.NOT_HELD);
        }
        if (isFull(hall)) {
            return Result.of(Kind.FULL);
        }
        lines.put(c.machine(), l.at(State.TURN, index, new TreeMap<>()));
        lastTurns.put(hall, index);
        return Result.of(Kind.GRANTED, index);
    }

    /** Whether no more of a hall may go. */
    protected boolean isFull(String hall) {
        return away(null) >= terms.mostOut() || away(hall) >= terms.mostOutOfHall();
    }

    /** Whether all that would come before it wait for their own hall, or for a time of the day, which no ledger knows. */
    private boolean isFirstPossible(String machine) {
        for (String other : plan()) {
            if (other.equals(machine)) {
                return true;
            }
            if (away(hallOf(other)) < terms.mostOutOfHall() && lines.get(other).window() == null) {
                return false;
            }
        }
        return false;
    }

    /** A node has done what its line's state asks of it, under this fence. */
    protected Result step(Command.Step c) {
        Place p = places.get(c.node());
        Line l = p == null ? null : lines.get(p.machine());
        if (l == null || !isMeant(l, c)) {
            return Result.of(Kind.STALE);
        }
        Map<String, Long> said = new TreeMap<>(l.said());
        said.put(c.node(), c.process());
        boolean all = said.keySet().containsAll(nodesOf(l.machine()));
        if (l.state() == State.OUT) { // another process than the one that went out
            said = new TreeMap<>(l.said());
            said.put(c.node(), -c.process());
            all = nodesOf(l.machine()).stream().allMatch(said::containsKey) && said.values().stream().allMatch(v -> v < 0);
        }
        if (!all) {
            lines.put(l.machine(), l.at(l.state(), l.fence(), said));
        } else if (l.state() == State.TURN) {
            lines.put(l.machine(), l.at(State.OUT, l.fence(), said));
        } else if (l.state() == State.OUT) {
            lines.put(l.machine(), l.at(State.RETURNING, l.fence(), new TreeMap<>()));
        } else {
            end(l, l.cancelled() ? How.CANCELLED : How.BACK);
        }
        return Result.of(Kind.RELEASED, l.fence());
    }

    /** Whether what a node says is of this turn and of this state. */
    protected boolean isMeant(Line l, Command.Step c) {
        if (l.fence() != c.fence() || l.state() != c.from() || l.state() == State.ASKED) {
            return false;
        }
        return l.state() != State.OUT || l.restart() && l.said().containsKey(c.node())
                && l.said().get(c.node()) != c.process();
    }

    private void end(Line l, How how) {
        lines.remove(l.machine());
        history.add(new Past(l.machine(), how, l.fence(), l.asked()));
        if (history.size() > MOST_HISTORY) {
            history.poll();
        }
    }

    /** What staff ask: done once for each number. */
    protected Result staff(long index, Command.Staff c) {
        Result before = answerOf(c.id());
        if (before != null) {
            return before;
        }
        Result result = perform(index, c);
        answers.add(new Answered(c.id(), result));
        if (answers.size() > MOST_ANSWERS) {
            answers.poll();
        }
        return result;
    }

    /** What was answered to this number; null where nothing was. */
    protected Result answerOf(long id) {
        return answers.stream().filter(a -> a.id() == id).map(Answered::result).findFirst().orElse(null);
    }

    private Result perform(long index, Command.Staff c) {
        return switch (c.what()) {
            case ASK -> ask(index, c);
            case HOLD, GO -> {
                held = c.what() == Command.StaffWord.GO ? "" : c.why().isEmpty() ? "held by staff" : c.why();
                yield Result.of(Kind.SET, index);
            }
            case FORGET -> forget(c.machines().get(0));
            default -> lines.containsKey(c.machines().get(0)) ? word(lines.get(c.machines().get(0)), c)
                    : Result.of(Kind.NOT_HELD);
        };
    }

    /** All of them, or none where one is not known. */
    private Result ask(long index, Command.Staff c) {
        for (String m : c.machines()) {
            if (nodesOf(m).isEmpty()) {
                return new Result(Kind.NOT_HELD, 0, m);
            }
        }
        for (String m : c.machines()) {
            lines.putIfAbsent(m, new Line(m, State.ASKED, index, c.by(), c.why(), c.first(), c.restart(), c.longestMs(), 0,
                    new TreeMap<>(), false, c.window()));
        }
        return Result.of(Kind.SET, index);
    }

    /** A machine that is gone for good is waited for no more, nor counted; one of its nodes that asks is known anew. */
    private Result forget(String machine) {
        Line l = lines.get(machine);
        if (l == null && nodesOf(machine).isEmpty()) {
            return Result.of(Kind.NOT_HELD);
        }
        if (l != null) {
            end(l, How.SKIPPED);
        }
        places.values().removeIf(p -> p.machine().equals(machine));
        return Result.of(Kind.SET, l == null ? 0 : l.fence());
    }

    /** The leader's own hold, which ends as staff's does; beside another both are told. */
    protected Result halt(long index, Command.Halt c) {
        String all = held.isEmpty() ? c.why() : held + "; " + c.why();
        held = all.substring(0, Math.min(MOST_HELD, all.length()));
        return Result.of(Kind.SET, index);
    }

    private Result word(Line l, Command.Staff c) {
        if (c.what() == Command.StaffWord.SKIP) {
            end(l, How.SKIPPED);
        } else if (c.what() == Command.StaffWord.DONE) {
            return done(l);
        } else if (!l.isAway()) {
            end(l, How.CANCELLED);
        } else { // it comes back in order: it may be draining, or out
            lines.put(l.machine(), l.comesBack());
        }
        return Result.of(Kind.SET, l.fence());
    }

    /** The work on a machine that is out is done. */
    protected Result done(Line l) {
        if (l.state() != State.OUT) {
            return Result.of(Kind.NOT_HELD);
        }
        lines.put(l.machine(), l.at(State.RETURNING, l.fence(), new TreeMap<>()));
        return Result.of(Kind.SET, l.fence());
    }
}
