package rowanplank.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import rowanplank.ledger.Ask.Answer;
import rowanplank.ledger.Ask.Told;
import rowanplank.ledger.Result.Kind;

/**
 * The leader's side of budgets: takes what holders ask, divides by what they wish, and says when a holder's parts are
 * over. The ledger holds whatever it divides to the whole ({@link Budgets}); what rests on this class is the time.
 *
 * <p><b>The rule of time</b>, as for leases ({@link Desk}), with the longest life of a use on top. For parts of length L,
 * uses that last U at the most, and clocks at a rate within 1 - d and 1 + d of true time:
 * <pre>
 *   the holder may begin uses  until  asked + L                        by its own clock, asked being when it first asked to
 *                                                                      join, or asked for a renewal that was confirmed;
 *                                                                      never revived: it joins anew
 *   the leader waits           until  from + (L + U) (1 + d) / (1 - d) by its own clock, from being the latest of: a renewal
 *                                                                      came in, the joining was decided, it became leader
 * </pre>
 * Asked lies before from in true time. The holder's last use begins at most L / (1 - d) of true time after asked, and is
 * over at most U / (1 - d) later; in that time the leader's clock advances by at most (L + U) (1 + d) / (1 - d).
 *
 * <p>Bounds: {@value #MOST_WAITING} requests wait for a decision, as many for a round; an entry or an
 * answer has {@value #MOST_BYTES} bytes of parts at the most. A request costs O(log n), and O(parts of the asker); a division, ten times a second at the
 * most and only where something has changed, O(members) for each budget.
 */
public class BudgetDesk {
    private static final int MOST_WAITING = 4096;
    /** Bytes of parts in one entry or one answer, and of one part beside its name. */
    private static final int MOST_BYTES = 900;
    private static final int PART_BYTES = 40;
    private static final int MOST_LAPSED_AT_ONCE = 16;
    private static final Duration LOOK = Duration.ofMillis(10);
    private static final Duration DIVIDE = Duration.ofMillis(100);
    /** What was proposed and not heard of is proposed again after so long. */
    private static final Duration AGAIN = Duration.ofSeconds(1);
    /** A new leader knows of all wishes by then. */
    private static final Duration RETIRE = Duration.ofSeconds(10);
    /** A part of a rate within one part in so many of its fair one is left as it is. */
    private static final int SLACK = 16;

    /** What it asks of its owner; none of these calls back into it. */
    public interface Actions extends Pending.Actions {
        /** To a process that asked nothing just now. */
        void tell(Answer answer);
    }

    /** What is known of a member beside what the ledger knows; lost with the leadership. */
    private static final class Heard {
        Instant renewed;
        /** When the next of its wishes counts for less by itself, as it was at the last look. */
        Instant falls;
        final Wishes wishes = new Wishes();
    }

    private final double drift;
    private final Ledger ledger;
    private final Actions actions;
    private List<Command.Define> budgets = List.of();
    private Function<String, Command.Define> wished = name -> null;
    private Function<String, Division.Terms> terms = name -> Division.Terms.NONE;
    private boolean leads;
    private Instant since;
    private final Map<Long, Heard> heard = new TreeMap<>();
    private final Map<Long, Instant> joined = new TreeMap<>();
    private final Pending pending;
    /** Epochs that entries on their way end, and since when. */
    private final Map<Long, Instant> ending = new TreeMap<>();
    /** Entries of a division that were not applied yet. */
    private final TreeSet<Long> dividing = new TreeSet<>();
    private boolean changed;
    /** Changes up to this one were told of when they were made. */
    private long toldOf;
    private Instant nextLook;
    private Instant nextDivision;
    private Instant defined;

    /** @param drift how far any clock's rate is from true time at the most */
    public BudgetDesk(double drift, Ledger ledger, Actions actions) {
        this.drift = drift;
        this.ledger = ledger;
        this.actions = actions;
        pending = new Pending(MOST_WAITING, actions);
    }

    /**
     * Those that the operator's file names: entered in the ledger where it does not know them.
     *
     * @param wished what a budget is to be that the file does not name and a member wishes for; null where there is none
     * @param terms how a budget is to be divided, by this voter while it leads
     */
    public void budgets(List<Command.Define> all, Function<String, Command.Define> wished,
            Function<String, Division.Terms> terms) {
        budgets = List.copyOf(all);
        this.wished = wished;
        this.terms = terms;
        changed = true;
        defined = null;
    }

    /** Null where nothing is due. */
    public Instant due() {
        if (!leads) {
            return null;
        }
        return changed && nextDivision.isBefore(nextLook) ? nextDivision : nextLook;
    }

    public void onLeads(Instant now) {
        leads = true;
        since = now;
        toldOf = ledger.budgets().changes();
        nextLook = now;
        nextDivision = now;
        defined = null;
        changed = true;
    }

    /** What was asked and not answered is left to be asked again, elsewhere. */
    public void onLeadsNoMore() {
        leads = false;
        heard.clear();
        joined.clear();
        pending.clear();
        ending.clear();
        dividing.clear();
    }

    // ---- asked

    /** Whether it is for this desk. */
    public static boolean isMeant(Ask.What what) {
        return what instanceof Ask.Join || what instanceof Ask.Parts || what instanceof Ask.Give || what instanceof Ask.Leave;
    }

    public void onAsk(Instant now, Ask ask) {
        if (ledger.session(ask.session()) == null) {
            pending.confirm(ask); // only who leads may say that there is none
            return;
        }
        Heard h = heard.computeIfAbsent(ask.session(), s -> new Heard());
        h.renewed = now;
        if (ask.what() instanceof Ask.Parts p) {
            wish(now, h, p.wishes());
            renew(ask);
        } else if (ask.what() instanceof Ask.Join j) {
            pending.propose(ask, new Command.Join(ask.session(), ask.floor(), ask.number(), j.length(), j.lasting()));
        } else if (ask.what() instanceof Ask.Give g) {
            pending.propose(ask, new Command.Give(ask.session(), ask.floor(), ask.number(), g.epoch(), g.budget(), g.most()));
        } else {
            pending.propose(ask, new Command.Leave(ask.session(), ask.floor(), ask.number()));
        }
    }

    /** Answered once a round has confirmed that no other voter leads: else that one may have taken the parts back. */
    protected void renew(Ask ask) {
        pending.confirm(ask);
    }

    private void wish(Instant now, Heard h, List<Ask.Wish> wishes) {
        for (Ask.Wish w : wishes) {
            changed |= h.wishes.tell(now, w.budget(), Math.max(0, w.amount()), w.weight(), terms.apply(w.budget()).hold());
            if (w.amount() > 0 && ledger.budgets().whole(w.budget()) == null && wished.apply(w.budget()) != null) {
                nextLook = earlier(nextLook, defined == null ? nextLook : defined.plus(DIVIDE));
            }
        }
        Instant falls = h.wishes.due(now);
        if (falls != null) {
            lookBy(falls);
        }
    }

    // ---- told

    public void onConfirmed(long round) {
        pending.onConfirmed(round, this::answerRenewal);
    }

    protected final void answerRenewal(Ask ask) {
        Budgets.Member m = ledger.budgets().member(ask.session());
        if (ledger.session(ask.session()) == null) {
            pending.answer(ask, Result.of(Kind.NO_SESSION));
        } else if (m == null || !(ask.what() instanceof Ask.Parts p) || m.epoch() != p.epoch()) {
            pending.answer(ask, Result.of(Kind.NOT_JOINED));
        } else {
            actions.answer(ask, told(ask.incarnation(), ask.number(), m, p.known()));
        }
    }

    /** What has changed since, the oldest first; if not all of it fits, the value says how far it goes. */
    private Answer told(long incarnation, long number, Budgets.Member m, long known) {
        List<Told> all = new ArrayList<>();
        for (Budgets.Part p : ledger.budgets().partsOf(m.session())) {
            if (p.change() > known) {
                all.add(new Told(p.budget(), m.epoch(), p.amount(), p.target(), p.change()));
            }
        }
        all.sort(Comparator.comparingLong(Told::change));
        int most = fitting(all.stream().map(Told::budget).toList());
        long upTo = most < all.size() ? all.get(most - 1).change() : ledger.budgets().changes();
        return new Answer(incarnation, number, Result.of(Kind.PARTS, upTo), all.subList(0, most));
    }

    /** How many of them one entry, or one answer, has room for; at least one. */
    private static int fitting(List<String> names) {
        int room = MOST_BYTES;
        for (int i = 0; i < names.size(); i++) {
            room -= names.get(i).length() + PART_BYTES;
            if (room < 0) {
                return Math.max(1, i);
            }
        }
        return names.size();
    }

    /** An entry was handed to the ledger, at whichever voter; to be told at all of them. */
    public void onApplied(Instant now, long index, Command command, Result result) {
        if (!leads) {
            return;
        }
        if (command instanceof Command.Join c && result.kind() == Kind.JOINED) {
            joined.put(c.session(), now);
            lookBy(now.plus(LOOK));
        }
        Ask ask = pending.onApplied(index);
        if (ask != null) {
            pending.answer(ask, result);
        }
        dividing.remove(index);
        if (command instanceof Command.Lapse c) {
            c.gone().forEach(g -> ending.remove(g.epoch()));
        }
        tellChanged();
        changed |= command instanceof Command.Define || command instanceof Command.Join || command instanceof Command.Leave
                || command instanceof Command.Lapse || command instanceof Command.Resize;
    }

    /** Those whose parts an entry has changed hear of it at once, and not only with their next renewal. */
    private void tellChanged() {
        long before = toldOf;
        toldOf = ledger.budgets().changes();
        for (Budgets.Member m : toldOf == before ? List.<Budgets.Member>of() : ledger.budgets().members()) {
            if (ledger.budgets().partsOf(m.session()).stream().anyMatch(p -> p.change() > before)) {
                actions.tell(told(ledger.session(m.session()).incarnation(), 0, m, before));
            }
        }
    }

    // ---- time

    /** How long a leader waits for what takes so long by another clock: see the rule of time. */
    protected Duration wait(Budgets.Member m) {
        return longest(m.length().plus(m.lasting()), drift);
    }

    /** The longest that one clock can show while another one advances by this. */
    public static Duration longest(Duration other, double drift) {
        return Duration.ofNanos((long) Math.ceil(other.toNanos() * ((1 + drift) / (1 - drift))) + 1);
    }

    /** From when a leader waits that does not know of any renewal. */
    protected Instant since() {
        return since;
    }

    private void lookBy(Instant time) {
        nextLook = time.isBefore(nextLook) ? time : nextLook;
    }

    public void onTime(Instant now) {
        if (!leads) {
            return;
        }
        if (!now.isBefore(nextLook)) {
            nextLook = now.plus(AGAIN);
            define(now);
            endParts(now);
            fallWishes(now);
            Instant soonest = now.plus(LOOK);
            nextLook = nextLook.isBefore(soonest) ? soonest : nextLook;
        }
        if (changed && !now.isBefore(nextDivision)) {
            nextDivision = now.plus(DIVIDE);
            if (dividing.isEmpty()) {
                changed = false;
                divide(now);
            }
        }
    }

    /** Of those that have fallen, what counts for less from now on. */
    private void fallWishes(Instant now) {
        for (Heard h : heard.values()) {
            Instant falls = h.wishes.due(now);
            changed |= h.falls != null && !now.isBefore(h.falls);
            h.falls = falls;
            if (falls != null) {
                lookBy(falls);
            }
        }
    }

    private void define(Instant now) {
        if (defined != null && now.isBefore(defined.plus(DIVIDE))) {
            return;
        }
        defined = now;
        Map<String, Command.Define> all = new TreeMap<>();
        Set<String> wanted = new TreeSet<>();
        heard.values().forEach(h -> h.wishes.wanted().forEach(name -> {
            if (wanted.add(name) && wished.apply(name) != null) {
                all.put(name, wished.apply(name));
            }
        }));
        budgets.forEach(d -> all.put(d.name(), d));
        for (Command.Define d : all.values()) {
            if (ledger.budgets().whole(d.name()) == null && actions.isKnown(d)) {
                actions.propose(d);
            }
        }
        if (!now.isBefore(since().plus(RETIRE))) {
            retire(all.keySet());
        }
    }

    /** What nobody wishes for or has any part of any more, and no file names. */
    private void retire(Set<String> needed) {
        List<String> names = new ArrayList<>();
        for (Budgets.Whole w : ledger.budgets().wholes()) {
            if (!needed.contains(w.name()) && wished.apply(w.name()) != null && ledger.budgets().partsOf(w.name()).isEmpty()) {
                names.add(w.name());
            }
        }
        if (!names.isEmpty()) {
            actions.propose(new Command.Retire(names.subList(0, fitting(names))));
        }
    }

    private static Instant earlier(Instant a, Instant b) {
        return b.isBefore(a) ? b : a;
    }

    private static Instant later(Instant a, Instant b) {
        return b != null && b.isAfter(a) ? b : a;
    }

    private void endParts(Instant now) {
        heard.keySet().removeIf(s -> ledger.session(s) == null);
        joined.keySet().removeIf(s -> ledger.budgets().member(s) == null);
        List<Command.Gone> over = new ArrayList<>();
        for (Budgets.Member m : ledger.budgets().members()) {
            Heard h = heard.get(m.session());
            Instant from = later(later(since(), h == null ? null : h.renewed), joined.get(m.session()));
            Instant end = from.plus(wait(m));
            Instant asked = ending.get(m.epoch());
            if (end.isAfter(now)) {
                lookBy(end);
            } else if ((asked == null || !now.isBefore(asked.plus(AGAIN))) && over.size() < MOST_LAPSED_AT_ONCE) {
                over.add(new Command.Gone(m.session(), m.epoch()));
            } else {
                lookBy(now.plus(LOOK));
            }
        }
        if (!over.isEmpty()) {
            lookBy(now.plus(LOOK));
            if (actions.propose(new Command.Lapse(over)) > 0) {
                over.forEach(g -> ending.put(g.epoch(), now));
            }
        }
    }

    // ---- dividing

    /** Who has renewed lately: only to them parts are worth giving; what others have is not to be had anyway. */
    private boolean isHere(Instant now, Budgets.Member m) {
        Heard h = heard.get(m.session());
        return h != null && h.renewed.plus(m.length()).isAfter(now);
    }

    private void divide(Instant now) {
        List<Command.Target> lower = new ArrayList<>();
        List<Command.Target> raise = new ArrayList<>();
        Map<Long, Long> sums = new TreeMap<>();
        for (Budgets.Whole w : ledger.budgets().wholes()) {
            ledger.budgets().partsOf(w.name()).forEach(p -> sums.merge(p.session(), p.target().amount(), Long::sum));
        }
        for (Budgets.Whole w : ledger.budgets().wholes()) {
            divide(now, w, sums, lower, raise);
        }
        lower.addAll(raise);
        for (int i = 0, n; i < lower.size(); i += n) {
            List<Command.Target> rest = lower.subList(i, lower.size());
            n = fitting(rest.stream().map(Command.Target::budget).toList());
            Command.Divide entry = new Command.Divide(rest.subList(0, n));
            long index = actions.isKnown(entry) ? actions.propose(entry) : 0;
            if (index == 0) {
                changed = true; // the rest with the next division
                return;
            }
            dividing.add(index);
        }
    }

    /** @param sums what each session is to have of all budgets */
    private void divide(Instant now, Budgets.Whole w, Map<Long, Long> sums, List<Command.Target> lower,
            List<Command.Target> raise) {
        List<Budgets.Part> parts = new ArrayList<>();
        Share whole = w.asked().minus(w.setAside());
        for (Budgets.Member m : ledger.budgets().members()) {
            Budgets.Part p = ledger.budgets().part(w.name(), m.session());
            if (!isHere(now, m)) {
                whole = whole.minus(p.amount());
            } else if (heard.get(m.session()).wishes.knows(w.name()) || !p.target().equals(Share.NONE)) {
                parts.add(p);
            }
        }
        Division.Terms t = terms.apply(w.name());
        long divided = Math.max(0, whole.amount() - t.reserve());
        List<Division.Claim> claims = new ArrayList<>();
        for (Budgets.Part p : parts) {
            Wishes wishes = heard.get(p.session()).wishes;
            claims.add(new Division.Claim(wishes.counts(now, w.name()), wishes.weight(w.name()), place(p, sums)));
        }
        long[] targets = parts.stream().mapToLong(p -> p.target().amount()).toArray();
        long[] fair = Division.fair(divided, claims, t.floor());
        long[] next = Division.next(divided, targets, fair, w.rate() ? SLACK : 0);
        for (int i = 0; i < next.length; i++) { // what is given up for good would come back with each giving back
            next[i] = claims.get(i).wish() == 0 ? 0 : next[i];
        }
        long[] bursts = w.rate() ? Division.bursts(Math.max(0, whole.burst()), next) : new long[next.length];
        for (int i = 0; i < next.length; i++) {
            Budgets.Part p = parts.get(i);
            Share target = new Share(next[i], bursts[i]);
            sums.merge(p.session(), next[i] - p.target().amount(), Long::sum);
            if (!target.equals(p.target())) {
                (p.target().covers(target) ? lower : raise).add(new Command.Target(w.name(), p.session(), target));
            }
        }
    }

    /**
     * Where units are left that do not do for all: whoever has the fewest of all other budgets has the next. Who has it
     * keeps it unless another has at least one less: so it ends, and nobody is left with nothing for good.
     */
    private static long place(Budgets.Part p, Map<Long, Long> sums) {
        long others = sums.getOrDefault(p.session(), 0L) - p.target().amount();
        return 2 * others - p.target().amount();
    }
}
