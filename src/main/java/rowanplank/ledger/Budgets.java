package rowanplank.ledger;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rowanplank.ledger.Result.Kind;

/**
 * Budgets as the log tells them: wholes, who takes part, and the parts, each with what it is and what it is to be. A
 * function of the entries alone; it knows no time, and who lives is no part of it. What holds after every entry, of each
 * budget:
 * <pre>
 *   whole in force = free + promised + being given back + set aside,   none of them negative
 *   promised         = sum over parts of min(amount, target)
 *   being given back = sum over parts of amount - target, where that is positive
 *   set aside        = nodes * fixed, which every node may use at any time
 * </pre>
 * A part grows only by what is free. It shrinks only by its holder's word ({@link Command.Give}), and goes only with its
 * holder's leaving or by the word of a leader that has waited ({@link BudgetDesk}). So what was promised stays covered.
 *
 * <p>A whole that was lowered is in force once enough has come back; one that was raised is in force at once.
 *
 * <p>Bounds: {@value #MOST} budgets, {@value #MOST_PARTS} parts. A command costs O(parts of the budgets that it names).
 */
public class Budgets {
    public static final int MOST = 1000;
    public static final int MOST_PARTS = 40_000;

    /**
     * A budget.
     *
     * @param asked the whole that was asked for last; divided is no more than that
     * @param inForce the whole that uses may come to now
     * @param fixed what is set aside for each of so many nodes
     */
    public record Whole(String name, boolean rate, Share asked, Share inForce, Share fixed, int nodes) {
        public Share setAside() {
            return fixed.times(nodes);
        }
    }

    /**
     * A process that may have parts.
     *
     * @param epoch the index of the entry by which it joined last
     * @param length how long its parts last without a renewal
     * @param lasting after how long a use is over that it has begun
     */
    public record Member(long session, long epoch, Duration length, Duration lasting) { }

    /** @param change the number of its last change: all changes of parts are numbered, whichever part they are of */
    public record Part(String budget, long session, Share amount, Share target, long change) { }

    /** What stands of a budget. */
    public record Figures(Share whole, Share free, Share promised, Share givingBack, Share setAside) { }

    /** All of it, to be written down and taken up again. */
    public record Picture(long changes, List<Whole> wholes, List<Member> members, List<Part> parts) {
        public Picture {
            wholes = List.copyOf(wholes);
            members = List.copyOf(members);
            parts = List.copyOf(parts);
        }

        public static Picture empty() {
            return new Picture(0, List.of(), List.of(), List.of());
        }
    }

    private final Map<String, Whole> wholes = new TreeMap<>();
    private final Map<Long, Member> members = new TreeMap<>();
    private final Map<String, TreeMap<Long, Part>> byBudget = new TreeMap<>();
    private final Map<Long, TreeMap<String, Part>> bySession = new TreeMap<>();
    private int count;
    private long changes;

    public final void restore(Picture picture) {
        wholes.clear();
        members.clear();
        byBudget.clear();
        bySession.clear();
        count = 0;
        picture.wholes().forEach(w -> wholes.put(w.name(), w));
        picture.members().forEach(m -> members.put(m.session(), m));
        picture.parts().forEach(this::put);
        changes = picture.changes();
    }

    public Picture picture() {
        List<Part> parts = new ArrayList<>();
        byBudget.values().forEach(b -> parts.addAll(b.values()));
        return new Picture(changes, new ArrayList<>(wholes.values()), new ArrayList<>(members.values()), parts);
    }

    /** The number of the last change of any part. */
    public long changes() {
        return changes;
    }

    public Collection<Whole> wholes() {
        return wholes.values();
    }

    /** Null where there is none. */
    public Whole whole(String name) {
        return wholes.get(name);
    }

    public Collection<Member> members() {
        return members.values();
    }

    /** Null where it has not joined. */
    public Member member(long session) {
        return members.get(session);
    }

    /** By session. */
    public Collection<Part> partsOf(String budget) {
        return byBudget.getOrDefault(budget, new TreeMap<>()).values();
    }

    /** By name. */
    public Collection<Part> partsOf(long session) {
        return bySession.getOrDefault(session, new TreeMap<>()).values();
    }

    public Part part(String budget, long session) {
        Part part = bySession.getOrDefault(session, new TreeMap<>()).get(budget);
        return part == null ? new Part(budget, session, Share.NONE, Share.NONE, 0) : part;
    }

    public Figures figures(Whole w) {
        Share promised = Share.NONE;
        Share back = Share.NONE;
        for (Part p : partsOf(w.name())) {
            promised = promised.plus(p.amount().least(p.target()));
            back = back.plus(p.amount().minus(p.amount().least(p.target())));
        }
        Share free = w.inForce().minus(w.setAside()).minus(promised).minus(back);
        return new Figures(w.inForce(), free, promised, back, w.setAside());
    }

    // ---- told

    protected Result define(long index, Command.Define c) {
        if (wholes.containsKey(c.name())) {
            return Result.of(Kind.SET, wholes.get(c.name()).asked().amount());
        }
        Whole w = new Whole(c.name(), c.rate(), c.whole(), c.whole(), c.fixed(), c.nodes());
        if (!c.whole().covers(w.setAside())) {
            return Result.of(Kind.TOO_SMALL);
        }
        if (wholes.size() >= MOST) {
            return Result.of(Kind.FULL);
        }
        wholes.put(c.name(), w);
        return Result.of(Kind.SET, index);
    }

    protected Result resize(Command.Resize c) {
        Whole w = wholes.get(c.name());
        if (w == null || !c.whole().covers(w.setAside())) {
            return Result.of(Kind.TOO_SMALL);
        }
        wholes.put(w.name(), new Whole(w.name(), w.rate(), c.whole(), w.inForce(), w.fixed(), w.nodes()));
        settle(w.name());
        return Result.of(Kind.SET, wholes.get(w.name()).inForce().amount());
    }

    /** Once more under a new epoch; uses that it began before may last as long as it said then. */
    protected Result join(long index, Command.Join c) {
        Member before = members.get(c.session());
        Duration lasting = before != null && before.lasting().compareTo(c.lasting()) > 0 ? before.lasting() : c.lasting();
        members.put(c.session(), new Member(c.session(), index, c.length(), lasting));
        return Result.of(Kind.JOINED, index);
    }

    protected Result divide(Command.Divide c) {
        for (Command.Target t : c.targets()) {
            if (wholes.containsKey(t.budget()) && members.containsKey(t.session())) {
                Part p = part(t.budget(), t.session());
                if (p.change() > 0 || count < MOST_PARTS) {
                    change(p, kept(p.amount(), t.target()), t.target());
                }
            }
        }
        long promised = 0;
        for (String budget : c.targets().stream().map(Command.Target::budget).distinct().toList()) {
            settle(budget);
            promised += wholes.containsKey(budget) ? figures(wholes.get(budget)).promised().amount() : 0;
        }
        return Result.of(Kind.SET, promised);
    }

    /** The holder uses no more than this any more; what it said under an older epoch is not meant any more. */
    protected Result give(Command.Give c) {
        Member m = members.get(c.session());
        if (m == null || m.epoch() != c.epoch()) {
            return Result.of(Kind.NOT_JOINED);
        }
        Part p = part(c.budget(), c.session());
        long change = change(p, p.amount().least(c.most()), p.target());
        settle(c.budget());
        return Result.of(Kind.GIVEN, change);
    }

    protected Result leave(long session) {
        remove(session);
        return Result.of(Kind.RELEASED);
    }

    protected Result lapse(Command.Lapse c) {
        for (Command.Gone g : c.gone()) {
            Member m = members.get(g.session());
            if (m != null && m.epoch() == g.epoch()) {
                remove(g.session());
            }
        }
        return Result.of(Kind.RELEASED, members.size());
    }

    protected Result retire(Command.Retire c) {
        for (String name : c.names()) {
            if (partsOf(name).isEmpty()) {
                wholes.remove(name);
            }
        }
        return Result.of(Kind.RELEASED, wholes.size());
    }

    private void remove(long session) {
        members.remove(session);
        for (Part p : new ArrayList<>(partsOf(session))) {
            change(p, Share.NONE, Share.NONE);
            settle(p.budget());
        }
    }

    /** @return its number */
    private long change(Part p, Share amount, Share target) {
        put(new Part(p.budget(), p.session(), amount, target, ++changes));
        return changes;
    }

    private void put(Part p) {
        TreeMap<Long, Part> ofBudget = byBudget.computeIfAbsent(p.budget(), b -> new TreeMap<>());
        TreeMap<String, Part> ofSession = bySession.computeIfAbsent(p.session(), s -> new TreeMap<>());
        count -= ofBudget.remove(p.session()) == null ? 0 : 1;
        ofSession.remove(p.budget());
        if (!p.amount().equals(Share.NONE) || !p.target().equals(Share.NONE)) {
            ofBudget.put(p.session(), p);
            ofSession.put(p.budget(), p);
            count++;
        }
        if (ofSession.isEmpty()) {
            bySession.remove(p.session());
        }
        if (ofBudget.isEmpty()) {
            byBudget.remove(p.budget());
        }
    }

    /** What is free goes to the parts below their targets, in the order of sessions. */
    private void settle(String budget) {
        Whole w = wholes.get(budget);
        if (w == null) {
            return;
        }
        Share out = w.setAside();
        for (Part p : partsOf(budget)) {
            out = out.plus(out(p));
        }
        Share inForce = inForce(w, out);
        wholes.put(budget, new Whole(w.name(), w.rate(), w.asked(), inForce, w.fixed(), w.nodes()));
        Share free = free(inForce, out);
        for (Part p : new ArrayList<>(partsOf(budget))) {
            Share more = p.target().minus(p.amount()).most(Share.NONE).least(free);
            if (!more.equals(Share.NONE)) {
                change(p, p.amount().plus(more), p.target());
                free = free.minus(more);
            }
        }
    }

    /** What is left of a part that is to be another: all of it, until its holder says that it uses less. */
    protected Share kept(Share amount, Share target) {
        return amount;
    }

    /** What nobody else may have: also what is being given back. */
    protected Share out(Part p) {
        return p.amount();
    }

    /** The least whole that covers what is out and is not below what was asked for. @param out promised or set aside */
    protected Share inForce(Whole w, Share out) {
        return w.asked().most(out);
    }

    /** @param out promised or set aside */
    protected Share free(Share inForce, Share out) {
        return inForce.minus(out).most(Share.NONE);
    }
}
