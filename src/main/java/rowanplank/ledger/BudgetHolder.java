package rowanplank.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rowanplank.ledger.Ask.Answer;
import rowanplank.ledger.Ask.Told;
import rowanplank.ledger.Result.Kind;

/**
 * A node's side of budgets: joins, renews all its parts at once, says what it would use of each, gives back what it is to
 * give back once its uses fit, and answers at every use whether it may begin. The rule of time is {@link BudgetDesk}'s;
 * this side's part of it is that the end is counted from the first asking, that it is looked at with every use, and that
 * what has ended is never revived.
 *
 * <p>What it is told of a part counts only under the present epoch and only if it is of a later change than what it knows,
 * however late and in whichever order it comes. While a giving back is under way the part is no more than what is left.
 *
 * <p><b>Rates.</b> A bucket: it begins empty and fills by
 * <pre>
 *   tokens = min(burst, tokens + rate * (1 - d) * elapsed)
 * </pre>
 * so that a clock that is fast by d fills it no faster than true time does; one use takes one token.
 *
 * <p>Bounds: the budgets of the file, {@value #MOST_AT_ONCE} givings back at once, {@value #MOST_RENEWALS} renewals that
 * were not answered. {@link #begin} and {@link #end} cost O(log budgets) and send nothing; all else O(budgets).
 */
public class BudgetHolder {
    private static final int MOST_RENEWALS = 8;
    private static final int MOST_AT_ONCE = Ledger.MOST_RESULTS / 2;
    /** Wishes that have changed are not told more often than this. */
    private static final Duration SPACING = Duration.ofMillis(50);
    private static final int PARTS_IN_LENGTH = 3;
    /** Bytes of wishes in one datagram, and of one wish beside its name. */
    private static final int MOST_WISHES = 1000;
    private static final int WISH_BYTES = 15;

    /**
     * @param incarnation tells this process's session of budgets from all others of the node's name
     * @param retry after so long without an answer it is asked again, of another voter
     * @param length how long parts last without a renewal
     * @param lasting after how long each use is over: its longest time, and what the node may stand still before it
     * @param drift how far any clock's rate is from true time at the most
     */
    public record Settings(String node, long incarnation, List<String> voters, Duration retry, Duration length,
            Duration lasting, double drift) {
        public Settings {
            voters = List.copyOf(voters);
        }
    }

    /** What it asks of its owner; none of these calls back into it. */
    public interface Actions {
        void ask(String voter, Ask ask);

        /** More may be begun of this than before. */
        void more(String budget);
    }

    /** What a node has of a budget, for a person to read. @param left how long it lasts without a renewal */
    public record Has(String budget, long epoch, Share amount, Share target, long open, long refused, Duration left) { }

    private static final class Part {
        final String name;
        final boolean rate;
        final Share fixed;
        /** Nothing of it is begun here any more. */
        boolean dropped;
        long wish;
        int weight = Division.NORMAL;
        /** What was said last of it, and with which renewal. */
        long wishTold = -1;
        long toldIn;
        long open;
        long refused;
        /** As it was after its change of that number. */
        Share amount = Share.NONE;
        Share target = Share.NONE;
        long change;
        /** A giving back under way: its number and what is left; 0 where there is none. */
        long giving;
        Share left;
        Instant askAgain;
        /** A rate's bucket, in thousandths of a use, as of a moment. */
        double tokens;
        Instant filled;

        Part(String name, boolean rate, Share fixed, Instant now) {
            this.name = name;
            this.rate = rate;
            this.fixed = fixed;
            filled = now;
        }

        /** What may be used of it while it lasts. */
        Share usable() {
            Share usable = amount.least(target);
            return giving == 0 ? usable : usable.least(left);
        }
    }

    private final Settings settings;
    private final Actions actions;
    private List<String> voters;
    private final Instant fixedFrom;
    private Duration lasting;
    private final Map<String, Part> parts = new TreeMap<>();
    private final TreeMap<Long, Instant> renewals = new TreeMap<>();
    private long session;
    private long opening;
    private long joining;
    private Instant joinAsked;
    private long epoch;
    private long known;
    /** Until when uses may begin under its parts; null where it has not joined. */
    private Instant end;
    private boolean leaving;
    private long leaveNumber;
    private long numbers;
    private Instant askAgain;
    private Instant renewAt;
    private Instant renewed;
    private int target;
    private Instant heard;
    private Instant turned;

    public BudgetHolder(Settings settings, Instant now, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        voters = settings.voters();
        lasting = settings.lasting();
        fixedFrom = now.plus(fixedAfter());
        heard = now;
        turned = now;
        askAgain = now;
        renewAt = now;
        renewed = now;
    }

    /** What an earlier process of this node had begun under its fixed part is over by then. */
    protected Duration fixedAfter() {
        return BudgetDesk.longest(settings.lasting(), settings.drift());
    }

    // ---- used

    /**
     * Begins a use, if it may begin now; a count's is to be ended by {@link #end}.
     *
     * @return the epoch under which it begins, 0 where it has not joined; -1 where it may not begin
     */
    public long begin(Instant now, String budget) {
        Part p = parts.get(budget);
        if (p == null || p.dropped || leaving) {
            return -1;
        }
        if (p.rate) {
            fill(now, p);
            if (!isUse(p.tokens)) {
                p.refused++;
                return -1;
            }
            p.tokens -= Share.USE;
        } else if (p.open >= limit(now, p)) {
            p.refused++;
            return -1;
        }
        p.open += p.rate ? 0 : 1;
        return lasts(now) ? epoch : 0;
    }

    /** A count's use is over. @return whether {@link #onTime} is to be called, since something may be given back now */
    public boolean end(String budget) {
        Part p = parts.get(budget);
        if (p == null || p.open == 0) {
            return false;
        }
        p.open--;
        return !p.target.covers(p.amount);
    }

    /** So many uses of a count may be open here now; -1 where it is not among the budgets. */
    public long limit(Instant now, String budget) {
        Part p = parts.get(budget);
        return p == null || p.dropped || leaving ? -1 : limit(now, p);
    }

    /** When a use of a rate may begin, if nothing changes; null where it never may. */
    public Instant ready(Instant now, String budget) {
        Part p = parts.get(budget);
        if (p == null || !p.rate || leaving) {
            return null;
        }
        fill(now, p);
        double missing = Share.USE - p.tokens;
        double rate = rate(now, p);
        if (missing <= 0) {
            return now;
        }
        return rate <= 0 || burst(now, p) < Share.USE ? null : now.plusNanos((long) (missing / rate * 1e9) + 1);
    }

    private boolean lasts(Instant now) {
        return end != null && now.isBefore(end);
    }

    private long limit(Instant now, Part p) {
        return (lasts(now) ? p.usable().amount() : 0) + fixed(now, p).amount();
    }

    private Share fixed(Instant now, Part p) {
        return now.isBefore(fixedFrom) ? Share.NONE : p.fixed;
    }

    private double rate(Instant now, Part p) {
        return ((lasts(now) ? p.usable().amount() : 0) + fixed(now, p).amount()) * (1 - settings.drift());
    }

    private long burst(Instant now, Part p) {
        return burst(p.name, (lasts(now) ? p.usable().burst() : 0) + fixed(now, p).burst());
    }

    /** What a bucket holds at the most. @param own what this node's parts of the burst come to */
    protected long burst(String budget, long own) {
        return own;
    }

    /** What is in a bucket once it is larger: what was in it. */
    protected double grown(double tokens, long burst) {
        return tokens;
    }

    /** Whether a use may take its token. */
    protected boolean isUse(double tokens) {
        return tokens >= Share.USE;
    }

    /** Up to a moment, in steps at which what it holds changes. */
    private void fill(Instant now, Part p) {
        if (end != null && p.filled.isBefore(end) && !now.isBefore(end)) {
            fillAt(p, p.filled, end);
        }
        if (p.filled.isBefore(fixedFrom) && !now.isBefore(fixedFrom)) {
            fillAt(p, p.filled, fixedFrom);
        }
        fillAt(p, p.filled, now);
        p.tokens = Math.min(p.tokens, burst(now, p));
    }

    /** At what it held from then on. */
    private void fillAt(Part p, Instant from, Instant to) {
        if (to.isAfter(from)) {
            double seconds = Duration.between(from, to).toNanos() / 1e9;
            p.tokens = Math.min(burst(from, p), p.tokens + rate(from, p) * seconds);
            p.filled = to;
        }
    }

    // ---- told by its owner

    /** These are used here from now on; what was and is not named any more is not, and is given back. @param all by name */
    public void budgets(Instant now, Map<String, Command.Define> all, Duration longestUse) {
        parts.values().forEach(p -> p.dropped = !all.containsKey(p.name));
        parts.values().stream().filter(p -> p.dropped).forEach(p -> p.target = Share.NONE);
        known = parts.keySet().containsAll(all.keySet()) ? known : 0; // of new ones nothing was heard yet
        all.forEach((name, d) -> parts.computeIfAbsent(name, n -> new Part(n, d.rate(), d.fixed(), now)));
        if (longestUse.compareTo(lasting) > 0) { // what is begun from now on lasts longer than was said
            lasting = longestUse;
            lapse(now);
        }
        onTime(now);
    }

    /**
     * So much of it would be used here: of a count at once, of a rate thousandths of a use a second. To be followed by
     * {@link #onTime}, once for all.
     */
    public void wish(String budget, long amount) {
        wish(budget, amount, Division.NORMAL);
    }

    /** @param weight the mean worth of what it is for, in thousandths; it counts where the whole is short */
    public void wish(String budget, long amount, int weight) {
        Part p = parts.get(budget);
        if (p != null && (p.wish != amount || p.weight != weight)) {
            p.wishTold = p.weight != weight ? -1 : p.wishTold;
            p.wish = amount;
            p.weight = weight;
            Instant soon = renewed.plus(SPACING);
            renewAt = soon.isBefore(renewAt) ? soon : renewAt;
        }
    }

    /** Whom to ask from now on. */
    public void voters(List<String> names) {
        voters = List.copyOf(names);
        target %= voters.size();
    }

    /** Begins nothing more, and gives all back once what was begun is over. */
    public void leave(Instant now) {
        leaving = true;
        onTime(now);
    }

    /** Nothing is under way or held, after {@link #leave}. */
    public boolean isIdle() {
        return parts.isEmpty() || leaving && session == 0;
    }

    public List<Has> has(Instant now) {
        List<Has> has = new ArrayList<>();
        for (Part p : parts.values()) {
            has.add(new Has(p.name, lasts(now) ? epoch : 0, lasts(now) ? p.amount : Share.NONE,
                    lasts(now) ? p.usable() : Share.NONE, p.open, p.refused,
                    lasts(now) ? Duration.between(now, end) : Duration.ZERO));
        }
        return has;
    }

    // ---- answers

    public void onAnswer(Instant now, Answer answer) {
        if (answer.incarnation() != settings.incarnation()) {
            return;
        }
        Result r = answer.result();
        if (r.kind() == Kind.NOT_LEADER) {
            turn(now, voters.indexOf(r.node()));
            return;
        }
        heard = now;
        lapseIfOver(now);
        if (answer.number() == 0) {
            take(now, answer.parts());
        } else if (answer.number() == opening) {
            opening = 0;
            if (r.kind() == Kind.OPENED) {
                session = r.value();
                askAgain = now;
            }
        } else if (answer.number() == leaveNumber) {
            session = 0;
        } else if (answer.number() == joining) {
            joined(now, r);
        } else if (renewals.containsKey(answer.number())) {
            renewed(now, answer);
        } else {
            parts.values().stream().filter(p -> p.giving == answer.number()).forEach(p -> given(now, p, r));
        }
        onTime(now);
    }

    private void joined(Instant now, Result r) {
        joining = 0;
        askAgain = now;
        if (r.kind() == Kind.NO_SESSION) {
            session = 0;
        } else if (r.kind() != Kind.JOINED) {
            askAgain = now.plus(settings.retry()); // there is no room, or not all voters know of budgets yet
        } else {
            Instant until = endOf(joinAsked, now, null);
            if (until.isAfter(now)) { // else it was long in coming: once more
                epoch = r.value();
                end = until;
                known = 0;
                renewAt = now;
                parts.values().forEach(p -> p.wishTold = -1);
            }
        }
    }

    private void renewed(Instant now, Answer answer) {
        Result r = answer.result();
        if (r.kind() == Kind.NO_SESSION || r.kind() == Kind.NOT_JOINED) {
            session = r.kind() == Kind.NO_SESSION ? 0 : session;
            lapse(now);
        } else if (r.kind() == Kind.PARTS && end != null) {
            Instant asked = renewals.get(answer.number());
            renewals.headMap(answer.number(), true).clear();
            end = endOf(asked, now, end);
            take(now, answer.parts());
            known = Math.max(known, r.value());
            renewAt = asked.plus(settings.length().dividedBy(PARTS_IN_LENGTH));
        }
    }

    /** Until when uses may begin that rest on what was asked at one time and answered at another: see the rule of time. */
    protected Instant endOf(Instant asked, Instant answered, Instant before) {
        Instant until = asked.plus(settings.length());
        return before == null || before.isBefore(until) ? until : before;
    }

    private void take(Instant now, List<Told> told) {
        for (Told t : told) {
            if (end == null || t.epoch() != epoch) {
                continue;
            }
            Part p = parts.get(t.budget());
            if (p == null && !t.amount().equals(Share.NONE)) { // it was used here once: what there is has to be given back
                p = new Part(t.budget(), false, Share.NONE, now);
                p.dropped = true;
                parts.put(p.name, p);
            }
            if (p != null && isNews(t, p.change)) {
                fill(now, p);
                boolean more = !p.usable().covers(t.amount().least(t.target()));
                p.amount = t.amount();
                p.target = p.dropped ? Share.NONE : t.target();
                p.change = t.change();
                fill(now, p);
                if (more) {
                    p.tokens = grown(p.tokens, burst(now, p));
                    actions.more(p.name);
                }
            }
        }
    }

    /** Whether it is of a later change than what is known. */
    protected boolean isNews(Told told, long known) {
        return told.change() > known;
    }

    /**
     * What is told of earlier changes does not have the giving back in it. What is told of this very change does, and is still
     * to be heard: its target may be another one than what was known when the giving back was asked for.
     */
    private void given(Instant now, Part p, Result r) {
        if (r.kind() == Kind.GIVEN) {
            if (p.change < r.value()) { // else what is known of it has the giving back in it already
                p.amount = p.amount.least(p.left);
                p.change = r.value() - 1;
            }
            p.giving = 0;
        } else if (r.kind() == Kind.NO_SESSION || r.kind() == Kind.NOT_JOINED) {
            session = r.kind() == Kind.NO_SESSION ? 0 : session;
            lapse(now);
        } else {
            p.askAgain = now.plus(settings.retry());
        }
    }

    // ---- time

    private void lapseIfOver(Instant now) {
        if (end != null && !now.isBefore(end)) {
            lapse(now);
        }
    }

    /** Nothing is held any more; what comes of anything asked before is not heard any more. */
    private void lapse(Instant now) {
        parts.values().removeIf(p -> p.dropped && p.open == 0);
        parts.values().forEach(p -> {
            fill(now, p);
            p.amount = Share.NONE;
            p.target = Share.NONE;
            p.change = 0;
            p.giving = 0;
        });
        end = null;
        parts.values().forEach(p -> fill(now, p));
        epoch = 0;
        renewals.clear();
        joining = 0;
        askAgain = now;
    }

    /** When {@link #onTime} is to be called next; null where nothing is due. */
    public Instant due() {
        if (isIdle()) {
            return null;
        }
        if (end == null || leaving && isOver()) {
            return askAgain;
        }
        Instant due = earlier(end, renewAt);
        for (Part p : parts.values()) {
            due = p.giving != 0 ? earlier(due, p.askAgain) : due;
        }
        return due;
    }

    private boolean isOver() {
        return parts.values().stream().allMatch(p -> p.open == 0);
    }

    private static Instant earlier(Instant a, Instant b) {
        return a.isBefore(b) ? a : b;
    }

    public void onTime(Instant now) {
        if (isIdle()) {
            return;
        }
        lapseIfOver(now);
        turnIfSilent(now);
        if (leaving && isOver()) {
            leaveNow(now);
        } else if (session == 0) {
            open(now);
        } else if (end == null) {
            join(now);
        } else {
            giveBack(now);
            if (!now.isBefore(renewAt)) {
                renew(now);
            }
        }
    }

    private void open(Instant now) {
        if (!now.isBefore(askAgain)) {
            opening = opening == 0 ? ++numbers : opening;
            askAgain = now.plus(settings.retry());
            ask(opening, new Ask.Open());
        }
    }

    private void join(Instant now) {
        if (!now.isBefore(askAgain)) {
            if (joining == 0) {
                joining = ++numbers;
                joinAsked = now;
            }
            askAgain = now.plus(settings.retry());
            ask(joining, new Ask.Join(settings.length(), lasting));
        }
    }

    private void leaveNow(Instant now) {
        if (session == 0 || now.isBefore(askAgain) && leaveNumber != 0) {
            return;
        }
        leaveNumber = leaveNumber == 0 ? ++numbers : leaveNumber;
        askAgain = now.plus(settings.retry());
        ask(leaveNumber, new Ask.Leave());
    }

    private void renew(Instant now) {
        renewals.put(++numbers, now);
        if (renewals.size() > MOST_RENEWALS) {
            renewals.pollFirstEntry();
        }
        renewed = now;
        renewAt = now.plus(settings.retry()); // once it is confirmed, later
        ask(numbers, new Ask.Parts(epoch, known, wishes()));
    }

    /** As many as fit one datagram: first those that have changed, then the others, each in its turn. */
    private List<Ask.Wish> wishes() {
        List<Part> order = new ArrayList<>(parts.values());
        order.sort(Comparator.comparing((Part p) -> p.wish == p.wishTold).thenComparing(p -> p.toldIn));
        List<Ask.Wish> wishes = new ArrayList<>();
        int room = MOST_WISHES;
        for (Part p : order) {
            room -= p.name.length() + WISH_BYTES;
            if (room >= 0) {
                p.toldIn = numbers;
                p.wishTold = p.wish;
                wishes.add(new Ask.Wish(p.name, leaving || p.dropped ? 0 : p.wish, p.weight));
            }
        }
        return wishes;
    }

    /** Says of each part above its target that no more than the target is used, where that is so. */
    private void giveBack(Instant now) {
        parts.values().removeIf(p -> p.dropped && p.open == 0 && p.giving == 0 && p.amount.equals(Share.NONE));
        int underWay = (int) parts.values().stream().filter(p -> p.giving != 0).count();
        for (Part p : parts.values()) {
            if (p.giving == 0 && underWay < MOST_AT_ONCE && !p.target.covers(p.amount) && fits(now, p)) {
                underWay++;
                fill(now, p);
                p.giving = ++numbers;
                p.left = p.amount.least(p.target);
                p.askAgain = now;
            }
            if (p.giving != 0 && !now.isBefore(p.askAgain)) {
                p.askAgain = now.plus(settings.retry());
                ask(p.giving, new Ask.Give(epoch, p.name, p.left));
            }
        }
    }

    /** Whether what is open fits what is left of the part. */
    protected boolean fits(long open, long left) {
        return open <= left;
    }

    private boolean fits(Instant now, Part p) {
        return p.rate || fits(p.open, p.usable().amount() + fixed(now, p).amount());
    }

    private void ask(long number, Ask.What what) {
        long floor = number;
        for (Part p : parts.values()) {
            floor = p.giving != 0 ? Math.min(floor, p.giving) : floor;
        }
        actions.ask(voters.get(target), new Ask(settings.node(), settings.incarnation(), session, floor, number, what));
    }

    // ---- whom to ask

    private void turnIfSilent(Instant now) {
        Instant last = heard.isAfter(turned) ? heard : turned;
        boolean waits = end == null || leaveNumber != 0;
        if (!waits && !renewals.isEmpty()) { // nobody is silent who was not asked
            Instant asked = renewals.firstEntry().getValue();
            waits = !asked.isBefore(heard);
            last = asked.isAfter(last) ? asked : last;
        }
        if (waits && !now.isBefore(last.plus(settings.retry().multipliedBy(2)))) {
            turn(now, -1);
        }
    }

    /** To that voter, or to the next one; what is under way is asked there at once. */
    private void turn(Instant now, int to) {
        if (to == target || now.isBefore(turned.plus(settings.retry().dividedBy(4))) && to < 0) {
            return;
        }
        target = to >= 0 ? to : (target + 1) % voters.size();
        turned = now;
        askAgain = now;
        renewAt = renewals.isEmpty() ? renewAt : now;
        parts.values().forEach(p -> p.askAgain = now);
    }
}
