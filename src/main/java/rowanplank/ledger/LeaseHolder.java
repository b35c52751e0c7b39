package rowanplank.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rowanplank.ledger.Ask.Answer;
import rowanplank.ledger.Result.Kind;

/**
 * A node's side of leases: asks for those that it is to hold, renews them all at once, and knows at every moment until
 * when it may act. The rule of time is {@link Desk}'s; this side's part of it is that an end is counted from the first
 * asking, and that what has ended is never revived, whatever answer comes later.
 *
 * <p>Bounds: {@value #MOST_WANTED} leases; a few claims of runs at once; so many requests at once as it wants leases, and {@value #MOST_RENEWALS}
 * renewals that were not answered. {@link #mayAct} costs O(log wanted), all else O(wanted).
 */
public class LeaseHolder {
    public static final int MOST_WANTED = 1024;
    private static final int MOST_RENEWALS = 8;
    /** Voters that know of no leader are asked again soon so often: an election is over by then, or takes long. */
    private static final int MOST_QUICK = 8;
    /** A result is kept for so many requests of a session ({@link Ledger#MOST_RESULTS}), half of which is enough. */
    private static final int MOST_AT_ONCE = Ledger.MOST_RESULTS / 2;

    /**
     * @param incarnation tells this process from all others of the node's name
     * @param retry after so long without an answer it is asked again, of another voter
     * @param park how long a request for a held lease may wait at the leader
     * @param session how long the leader knows a process that holds nothing
     */
    public record Settings(String node, long incarnation, List<String> voters, Duration retry, Duration park,
            Duration session) {
        public Settings {
            voters = List.copyOf(voters);
        }
    }

    /** What it asks of its owner; none of these calls back into it. */
    public interface Actions {
        void ask(String voter, Ask ask);

        /** From now on the lease is held, under this fence. */
        void granted(String lease, long fence);

        /** It is held no more: given back, or its time is up. */
        void over(String lease, long fence);

        /**
         * What came of {@link #claim}.
         *
         * @param result null where it is not known any more, and may have been granted
         */
        void claimed(String task, long period, Result result);
    }

    private enum State { WANTED, HELD, RETURNING }

    private static final class Claiming {
        final Ask.Claim what;
        final Instant firstAsked;
        Instant askAgain;

        Claiming(Ask.Claim what, Instant now) {
            this.what = what;
            firstAsked = now;
            askAgain = now;
        }
    }

    private static final class Wanted {
        final String name;
        final Duration length;
        State state = State.WANTED;
        boolean leaving;
        /** Once it is given back it is wanted again, for so long; null where it is not. */
        Duration again;
        long fence;
        /**
         * Held: until when it may act. Asked for: until when it could, were it granted by now. The leader ends no grant
         * of this request before that: the request was sent earlier, and a renewal moves this on only while it is to
         * come, when the grant, if there is one, still stands.
         */
        Instant end;
        /** The request under way; 0 where there is none. */
        long number;
        Instant firstAsked;
        Instant askAgain;

        Wanted(String name, Duration length, Instant now) {
            this.name = name;
            this.length = length;
            askAgain = now;
        }
    }

    private final Settings settings;
    private final Actions actions;
    private List<String> voters;
    private final Map<String, Wanted> wanted = new TreeMap<>();
    /** By the request's number. */
    private final Map<Long, Claiming> claims = new TreeMap<>();
    /** Renewals that were asked for, and when. */
    private final TreeMap<Long, Instant> renewals = new TreeMap<>();
    private long session;
    private long opening;
    private Instant openAgain;
    private long numbers;
    private Instant renewAt;
    private int target;
    private Instant heard;
    /** Whether a leader has answered at all. */
    private boolean answered;
    private Instant turned;
    /** How often since it was heard somebody was asked again sooner than usual. */
    private int quick;

    public LeaseHolder(Settings settings, Instant now, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        voters = settings.voters();
        heard = now;
        turned = now;
        openAgain = now;
        renewAt = now;
    }

    // ---- asked

    /** Whether an act that ends within this time would end while the lease is still this node's. */
    public boolean mayAct(Instant now, String lease, Duration forThatLong) {
        Wanted w = wanted.get(lease);
        return w != null && w.state == State.HELD && !now.plus(forThatLong).isAfter(w.end);
    }

    /** 0 where it is not held. */
    public long fence(String lease) {
        Wanted w = wanted.get(lease);
        return w == null || w.state != State.HELD ? 0 : w.fence;
    }

    /** Until when it may act; null where it is not held. */
    public Instant until(String lease) {
        Wanted w = wanted.get(lease);
        return w == null || w.state != State.HELD ? null : w.end;
    }

    /** Whom it asks now. */
    public String target() {
        return voters.get(target);
    }

    /** When a leader answered last, which may lead no more; null where none has. */
    public Instant answered() {
        return answered ? heard : null;
    }

    /** Whether it holds or gives back anything. */
    public boolean isIdle() {
        return wanted.isEmpty();
    }

    /** When {@link #onTime} is to be called next; null where nothing is due. */
    public Instant due() {
        if (wanted.isEmpty()) {
            return null;
        }
        if (session == 0) {
            return openAgain;
        }
        boolean room = underWay() < MOST_AT_ONCE;
        Instant due = renewAt;
        for (Claiming c : claims.values()) {
            due = earlier(due, c.askAgain);
        }
        for (Wanted w : wanted.values()) {
            if (w.state == State.HELD) {
                due = due.isBefore(w.end) ? due : w.end;
            } else if (w.number != 0 || room) { // else it waits for an answer to another one
                due = due.isBefore(w.askAgain) ? due : w.askAgain;
            }
        }
        return due;
    }

    // ---- told

    /** From now on this lease is to be held whenever it can be had. @throws IllegalStateException beyond the bound */
    public void want(Instant now, String lease, Duration length) {
        if (wanted.size() >= MOST_WANTED && !wanted.containsKey(lease)) {
            throw new IllegalStateException("more than " + MOST_WANTED + " leases");
        }
        Wanted before = wanted.putIfAbsent(lease, new Wanted(lease, length, now));
        if (before != null && before.leaving) {
            before.again = length;
        }
        onTime(now);
    }

    /** It is not to be held any more; nothing is to be done under it from now on. */
    public void leave(Instant now, String lease) {
        Wanted w = wanted.get(lease);
        if (w != null) {
            w.again = null;
        }
        if (w != null && !w.leaving) {
            w.leaving = true;
            if (w.state == State.HELD) {
                giveBack(now, w);
            } else if (w.state == State.WANTED && w.number == 0) {
                wanted.remove(lease);
            } else if (w.state == State.WANTED) { // it may have been granted by now, or wait there for its turn
                w.state = State.RETURNING;
                w.fence = 0;
                w.number = 0;
                w.askAgain = now;
            }
            onTime(now);
        }
    }

    /**
     * Asks for the one run of a task in a period, under a lease that is held; answered by {@link Actions#claimed}.
     *
     * @return whether it was asked: at most {@value #MOST_AT_ONCE} are under way at a time
     */
    public boolean claim(Instant now, String lease, String task, Duration every, long period) {
        if (fence(lease) == 0 || claims.size() >= MOST_AT_ONCE / 2) {
            return false;
        }
        claims.put(++numbers, new Claiming(new Ask.Claim(lease, fence(lease), task, every, period), now));
        onTime(now);
        return true;
    }

    /** Whom to ask from now on: those that vote, or may. */
    public void voters(List<String> names) {
        voters = List.copyOf(names);
        target %= voters.size();
    }

    /** All of them, as at an orderly stop. */
    public void leaveAll(Instant now) {
        new ArrayList<>(wanted.keySet()).forEach(lease -> leave(now, lease));
    }

    private void giveBack(Instant now, Wanted w) {
        w.state = State.RETURNING;
        w.number = 0;
        w.askAgain = now;
        actions.over(w.name, w.fence);
    }

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
        answered = true;
        quick = 0;
        if (r.kind() == Kind.NO_SESSION) {
            sessionLost(now, answer.number());
        } else if (answer.number() == opening) {
            opened(now, r);
        } else if (renewals.containsKey(answer.number())) {
            renewed(now, answer.number(), r);
        } else if (claims.containsKey(answer.number())) {
            Claiming c = claims.remove(answer.number());
            actions.claimed(c.what.task(), c.what.period(), r);
        } else {
            for (Wanted w : new ArrayList<>(wanted.values())) {
                if (w.number == answer.number()) {
                    answered(now, w, r);
                }
            }
        }
        onTime(now);
    }

    private void opened(Instant now, Result r) {
        opening = 0;
        if (r.kind() == Kind.OPENED && session == 0) {
            session = r.value();
            renewAt = now;
            wanted.values().forEach(w -> w.askAgain = now);
        }
    }

    /** Only an answer to what was asked under the present session counts: an old one may be of one before it. */
    private void sessionLost(Instant now, long number) {
        boolean ours = renewals.containsKey(number) || claims.containsKey(number) || wanted.values().stream().anyMatch(w -> w.number == number);
        if (session == 0 || !ours) {
            return;
        }
        session = 0;
        openAgain = now;
        renewals.clear();
        List<Claiming> open = List.copyOf(claims.values());
        claims.clear();
        open.forEach(c -> actions.claimed(c.what.task(), c.what.period(), null));
        for (Wanted w : new ArrayList<>(wanted.values())) {
            w.number = 0;
            if (w.state == State.HELD) {
                end(now, w);
            } else if (w.leaving || w.state == State.RETURNING) {
                returned(now, w); // with the session, what it held is free
            }
        }
    }

    private void renewed(Instant now, long number, Result r) {
        if (r.kind() != Kind.RENEWED) {
            return;
        }
        Instant asked = renewals.get(number);
        renewals.headMap(number, true).clear();
        renewAt = asked.plus(period());
        for (Wanted w : wanted.values()) {
            if (w.end != null && w.end.isAfter(now)) { // what has ended is never revived
                w.end = endOf(asked, now, w.length, w.end);
            }
        }
    }

    /** A third of the shortest lease that is held or asked for. */
    private Duration period() {
        Duration period = settings.session().dividedBy(4);
        for (Wanted w : wanted.values()) {
            Duration third = w.length.dividedBy(3);
            period = w.end != null && third.compareTo(period) < 0 ? third : period;
        }
        return period;
    }

    /** Until when a holder may act that asked at one time and was answered at another: see the rule of time. */
    protected Instant endOf(Instant asked, Instant answered, Duration length, Instant before) {
        Instant end = asked.plus(length);
        return before == null || before.isBefore(end) ? end : before;
    }

    private void answered(Instant now, Wanted w, Result r) {
        switch (r.kind()) {
            case GRANTED -> granted(now, w, r.value());
            case PARKED -> w.askAgain = now.plus(settings.park()).plus(settings.retry());
            case RELEASED -> {
                if (w.state == State.RETURNING) {
                    returned(now, w);
                }
            }
            default -> { // held by another, or no room: again under a new number
                w.number = 0;
                w.end = null;
                w.askAgain = r.kind() == Kind.HELD ? now : now.plus(settings.retry());
            }
        }
    }

    private void granted(Instant now, Wanted w, long fence) {
        if (w.state != State.WANTED) {
            return;
        }
        w.number = 0;
        w.fence = fence;
        w.end = endOf(w.firstAsked, now, w.length, w.end);
        if (!w.end.isAfter(now)) { // it was long in coming: given back, so that it is free at once
            w.state = State.RETURNING;
            w.askAgain = now;
            return;
        }
        w.state = State.HELD;
        renewAt = earlier(renewAt, now.plus(w.length.dividedBy(8)));
        actions.granted(w.name, fence);
    }

    private void returned(Instant now, Wanted w) {
        wanted.remove(w.name);
        if (!w.leaving || w.again != null) {
            wanted.put(w.name, new Wanted(w.name, w.leaving ? w.again : w.length, now));
        }
    }

    private void end(Instant now, Wanted w) {
        long fence = w.fence;
        w.state = State.WANTED;
        w.fence = 0;
        w.end = null;
        w.number = 0;
        w.askAgain = now;
        actions.over(w.name, fence);
    }

    private static Instant earlier(Instant a, Instant b) {
        return a.isBefore(b) ? a : b;
    }

    // ---- time

    public void onTime(Instant now) {
        if (wanted.isEmpty()) {
            return;
        }
        turnIfSilent(now);
        for (Wanted w : new ArrayList<>(wanted.values())) {
            if (w.state == State.HELD && !w.end.isAfter(now)) {
                end(now, w);
            }
        }
        if (session == 0) {
            open(now);
            return;
        }
        if (!now.isBefore(renewAt)) {
            renew(now);
        }
        claims.forEach((number, c) -> {
            if (!now.isBefore(c.askAgain)) {
                c.askAgain = now.plus(settings.retry());
                ask(number, c.what);
            }
        });
        int underWay = underWay();
        for (Wanted w : wanted.values()) {
            if (w.state != State.HELD && !now.isBefore(w.askAgain) && (w.number != 0 || underWay < MOST_AT_ONCE)) {
                underWay += w.number == 0 ? 1 : 0;
                request(now, w);
            }
        }
    }

    private int underWay() {
        return (int) wanted.values().stream().filter(w -> w.number != 0).count();
    }

    private void open(Instant now) {
        if (!now.isBefore(openAgain)) {
            opening = opening == 0 ? ++numbers : opening;
            openAgain = now.plus(settings.retry());
            ask(opening, new Ask.Open());
        }
    }

    private void renew(Instant now) {
        renewals.put(++numbers, now);
        if (renewals.size() > MOST_RENEWALS) {
            renewals.pollFirstEntry();
        }
        renewAt = now.plus(settings.retry()); // once it is confirmed, later
        ask(numbers, new Ask.Renew());
    }

    private void request(Instant now, Wanted w) {
        if (w.number == 0) {
            w.number = ++numbers;
            w.firstAsked = now;
            w.end = w.state == State.WANTED ? endOf(now, now, w.length, null) : null;
        }
        w.askAgain = now.plus(settings.retry());
        ask(w.number, w.state == State.RETURNING ? new Ask.Release(w.name, w.fence) : new Ask.Acquire(w.name, w.length));
    }

    private void ask(long number, Ask.What what) {
        long floor = claims.isEmpty() ? number : Math.min(number, claims.keySet().iterator().next());
        for (Wanted w : wanted.values()) {
            floor = w.number != 0 ? Math.min(floor, w.number) : floor;
        }
        actions.ask(target(), new Ask(settings.node(), settings.incarnation(), session, floor, number, what));
    }

    // ---- whom to ask

    private void turnIfSilent(Instant now) {
        Instant last = heard.isAfter(turned) ? heard : turned;
        if (isWaiting() && !now.isBefore(last.plus(settings.retry().multipliedBy(2)))) {
            turn(now, -1);
        }
    }

    private boolean isWaiting() {
        return session == 0 || !renewals.isEmpty() && !renewals.firstEntry().getValue().isBefore(heard)
                || claims.values().stream().anyMatch(c -> !c.firstAsked.isBefore(heard))
                || wanted.values().stream().anyMatch(w -> w.number != 0 && !w.firstAsked.isBefore(heard));
    }

    /** To that voter, or to the next one; what is under way is asked there at once. */
    private void turn(Instant now, int to) {
        Instant soon = turned.plus(settings.retry().dividedBy(4));
        if (to == target) {
            return;
        } else if (to < 0 && now.isBefore(soon)) {
            if (quick < MOST_QUICK) {
                quick++;
                askAgainBy(soon);
            }
            return;
        }
        target = to >= 0 ? to : (target + 1) % voters.size();
        turned = now;
        askAgainBy(now);
    }

    private void askAgainBy(Instant time) {
        openAgain = earlier(openAgain, time);
        renewAt = renewals.isEmpty() ? renewAt : earlier(renewAt, time);
        wanted.values().forEach(w -> w.askAgain = w.number != 0 ? earlier(w.askAgain, time) : w.askAgain);
        claims.values().forEach(c -> c.askAgain = earlier(c.askAgain, time));
    }
}
