package rowanplank.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import rowanplank.ledger.Result.Kind;

/**
 * The leader's side of leases: takes what is asked, has it decided or confirmed, answers, and says when a lease is over.
 *
 * <p><b>The rule of time.</b> No two clocks are compared, only how fast they run: each runs at a rate within 1 - d and
 * 1 + d of true time ({@code drift} d). For a lease of length L:
 * <pre>
 *   the holder may act       until  asked + L                       by its own clock, asked being when it
 *                                                                   first asked for the grant, or asked for a
 *                                                                   renewal that was confirmed; never revived
 *   the leader waits         until  from + L (1 + d) / (1 - d)      by its own clock, from being the latest of:
 *                                                                   a renewal came in, the grant was decided,
 *                                                                   it became leader
 * </pre>
 * Asked lies before from in true time: a request is sent before it comes in, and a renewal counts for the holder only
 * once a round that began after it came in was confirmed, so no later leader had been chosen before it. The holder's
 * clock takes at most L / (1 - d) of true time for L; in that time the leader's advances by at most L (1 + d) / (1 - d).
 * So the holder has stopped by the time the leader writes that the lease is over.
 *
 * <p>Bounds: {@value #MOST_WAITING} requests that wait for a lease, as many that wait for a decision or a round; more
 * are answered {@link Kind#FULL}. A request costs O(log n); the look at all leases is made when the first may be over,
 * every {@value #LOOK_MS} ms at the most.
 */
public class Desk {
    private static final int MOST_WAITING = 4096;
    private static final int MOST_EXPIRED_AT_ONCE = 16;
    private static final int LOOK_MS = 10;
    private static final Duration LOOK = Duration.ofMillis(LOOK_MS);

    /**
     * @param drift how far any clock's rate is from true time at the most
     * @param session a process that holds nothing and was silent for so long is forgotten
     * @param park how long a request for a held lease may wait here
     */
    public record Settings(double drift, Duration session, Duration park) { }

    /** What it asks of its owner; a round's confirmation is told by {@link #onConfirmed}. */
    public interface Actions extends Pending.Actions { }

    private record Waiting(Ask ask, String lease, Instant until) { }

    private final Settings settings;
    private final Ledger ledger;
    private final Actions actions;
    private boolean leads;
    private Instant since;
    private final Map<Long, Instant> renewed = new TreeMap<>();
    private final Map<String, Instant> granted = new TreeMap<>();
    private final Pending pending;
    private final Map<String, Deque<Waiting>> waiting = new TreeMap<>();
    private int waitingCount;
    /** Free leases whose first in line could not be written. */
    private final TreeSet<String> unserved = new TreeSet<>();
    /** Entries on their way that end these fences. */
    private final TreeSet<Long> ending = new TreeSet<>();
    private Instant nextLook;

    public Desk(Settings settings, Ledger ledger, Actions actions) {
        this.settings = settings;
        this.ledger = ledger;
        this.actions = actions;
        pending = new Pending(MOST_WAITING, actions);
    }

    /** Null where nothing is due. */
    public Instant due() {
        return leads ? nextLook : null;
    }

    public void onLeads(Instant now) {
        leads = true;
        since = now;
        nextLook = now;
    }

    /**
     * What was asked and not answered is left to be asked again, elsewhere: it is not known what comes of it. Whoever
     * waits here is told so at once, as far as it can be reached: it would wait for an answer that does not come.
     */
    public void onLeadsNoMore() {
        leads = false;
        Map<Long, Ask> left = new TreeMap<>();
        waiting.values().forEach(line -> line.forEach(w -> left.put(w.ask().incarnation(), w.ask())));
        pending.clear().forEach(ask -> left.put(ask.incarnation(), ask));
        left.values().forEach(ask -> pending.answer(ask, Result.of(Kind.NOT_LEADER)));
        renewed.clear();
        granted.clear();
        waiting.clear();
        waitingCount = 0;
        unserved.clear();
        ending.clear();
    }

    public boolean leads() {
        return leads;
    }

    /** A process was heard of elsewhere. */
    public void onHeard(Instant now, long session) {
        if (leads) {
            renewed.put(session, now);
        }
    }

    // ---- asked

    public void onAsk(Instant now, Ask ask) {
        if (ask.what() instanceof Ask.Open) {
            pending.propose(ask, new Command.Open(ask.node(), ask.incarnation()));
            return;
        }
        if (ask.what() instanceof Ask.Read r) {
            read(ask, r);
            return;
        }
        if (ledger.session(ask.session()) == null) {
            pending.confirm(ask); // only who leads may say that there is none
            return;
        }
        renewed.put(ask.session(), now); // whatever it asks, it lives
        if (ask.what() instanceof Ask.Renew) {
            pending.confirm(ask);
        } else if (ask.what() instanceof Ask.Release r) {
            leaveLine(r.lease(), ask.session());
            pending.propose(ask, new Command.Release(ask.session(), ask.floor(), ask.number(), r.lease(), r.fence()));
        } else if (ask.what() instanceof Ask.Acquire a) {
            acquire(now, ask, a);
        } else if (ask.what() instanceof Ask.Claim c) {
            claim(now, ask, c);
        }
    }

    /** Guards against a clock far ahead: a run claimed for a period of next year would end all runs until then. */
    private void claim(Instant now, Ask ask, Ask.Claim c) {
        long period = Math.floorDiv(now.toEpochMilli(), Math.max(1, c.every().toMillis()));
        if (c.period() > period + 1) {
            pending.answer(ask, Result.of(Kind.AHEAD));
        } else {
            pending.propose(ask, new Command.Claim(ask.session(), ask.floor(), ask.number(), c.lease(), c.fence(), c.task(),
                    c.period()));
        }
    }

    /** Answered once a round has confirmed that no other voter leads: else it might be long out of date. */
    protected void read(Ask ask, Ask.Read what) {
        pending.confirm(ask);
    }

    private void acquire(Instant now, Ask ask, Ask.Acquire a) {
        Ledger.Lease held = ledger.lease(a.lease());
        if (held == null || held.session() == ask.session()) {
            pending.propose(ask, new Command.Acquire(ask.session(), ask.floor(), ask.number(), a.lease(), a.length()));
            return;
        }
        if (waitingCount >= MOST_WAITING) {
            pending.answer(ask, Result.of(Kind.FULL));
            return;
        }
        leaveLine(a.lease(), ask.session());
        Deque<Waiting> line = waiting.computeIfAbsent(a.lease(), l -> new ArrayDeque<>());
        line.add(new Waiting(ask, a.lease(), now.plus(settings.park())));
        waitingCount++;
        lookBy(now.plus(settings.park()));
        pending.answer(ask, Result.of(Kind.PARKED));
    }

    private void leaveLine(String lease, long session) {
        Deque<Waiting> line = waiting.get(lease);
        if (line != null && line.removeIf(w -> w.ask().session() == session)) {
            waitingCount--;
        }
    }

    // ---- told

    public void onConfirmed(long round) {
        pending.onConfirmed(round, ask -> {
            if (ask.what() instanceof Ask.Read r) {
                answerRead(ask, r);
            } else {
                pending.answer(ask, Result.of(ledger.session(ask.session()) == null ? Kind.NO_SESSION : Kind.RENEWED));
            }
        });
    }

    protected final void answerRead(Ask ask, Ask.Read what) {
        pending.answer(ask, holder(what.lease()));
    }

    private Result holder(String name) {
        Ledger.Lease lease = ledger.lease(name);
        return lease == null ? Result.of(Kind.FREE, ledger.lastFence())
                : new Result(Kind.HELD, lease.fence(), ledger.session(lease.session()).node());
    }

    /** An entry was handed to the ledger, at whichever voter; to be told at all of them. */
    public void onApplied(Instant now, long index, Command command, Result result) {
        if (!leads) {
            return;
        }
        if (command instanceof Command.Acquire a && result.kind() == Kind.GRANTED) {
            granted.put(a.lease(), now);
            lookBy(now.plus(wait(a.length())));
        }
        if (command instanceof Command.Open && result.kind() == Kind.OPENED) {
            renewed.put(result.value(), now); // guards one that is new from the end of those that were silent
        }
        Ask ask = pending.onApplied(index);
        if (ask != null) {
            pending.answer(ask, result);
        }
        if (command instanceof Command.Expire e) {
            e.holdings().forEach(h -> ending.remove(h.fence()));
        }
        if (command instanceof Command.Expire || command instanceof Command.Release || command instanceof Command.Close) {
            serveWaiting(now);
        }
    }

    private void serveWaiting(Instant now) {
        for (String lease : List.copyOf(waiting.keySet())) {
            serve(now, lease);
        }
        waiting.values().removeIf(Deque::isEmpty);
    }

    /** Whoever has waited longest for a lease that is free now; where it can't be written now, soon, in its place. */
    private void serve(Instant now, String lease) {
        Deque<Waiting> line = waiting.get(lease);
        if (line == null || line.isEmpty() || ledger.lease(lease) != null) {
            return;
        }
        Ask ask = line.peek().ask();
        Ask.Acquire a = (Ask.Acquire) ask.what();
        if (pending.propose(ask, new Command.Acquire(ask.session(), ask.floor(), ask.number(), a.lease(), a.length()))) {
            line.poll();
            waitingCount--;
        } else {
            unserved.add(lease);
            lookBy(now);
        }
    }

    private void serveUnserved(Instant now) {
        List<String> again = List.copyOf(unserved);
        unserved.clear();
        again.forEach(lease -> serve(now, lease));
    }

    // ---- time

    /** How long a leader waits for a lease of this length: see the rule of time. */
    protected Duration wait(Duration length) {
        return Duration.ofNanos((long) Math.ceil(
                length.toNanos() * ((1 + settings.drift()) / (1 - settings.drift()))) + 1);
    }

    /** From when a leader waits that does not know of any renewal. */
    protected Instant since() {
        return since;
    }

    private void lookBy(Instant time) {
        nextLook = time.isBefore(nextLook) ? time : nextLook;
    }

    public void onTime(Instant now) {
        if (!leads || now.isBefore(nextLook)) {
            return;
        }
        nextLook = now.plus(settings.session());
        endLeases(now);
        endSessions(now);
        serveUnserved(now);
        endWaiting(now);
        Instant soonest = now.plus(LOOK);
        nextLook = nextLook.isBefore(soonest) ? soonest : nextLook;
    }

    private static Instant later(Instant a, Instant b) {
        return b != null && b.isAfter(a) ? b : a;
    }

    private void endLeases(Instant now) {
        List<Command.Holding> over = new ArrayList<>();
        granted.keySet().removeIf(name -> ledger.lease(name) == null);
        for (Ledger.Lease l : ledger.leases()) {
            Instant from = later(later(since(), renewed.get(l.session())), granted.get(l.name()));
            Instant end = from.plus(wait(l.length()));
            if (end.isAfter(now)) {
                lookBy(end);
            } else if (!ending.contains(l.fence()) && over.size() < MOST_EXPIRED_AT_ONCE) {
                over.add(new Command.Holding(l.name(), l.fence()));
            } else {
                lookBy(now);
            }
        }
        if (!over.isEmpty()) {
            lookBy(now);
            if (actions.propose(new Command.Expire(over)) > 0) {
                over.forEach(h -> ending.add(h.fence()));
            }
        }
    }

    private void endSessions(Instant now) {
        renewed.keySet().removeIf(id -> ledger.session(id) == null);
        TreeSet<Long> holding = new TreeSet<>();
        ledger.leases().forEach(l -> holding.add(l.session()));
        ledger.budgets().members().forEach(m -> holding.add(m.session()));
        for (Ledger.Session s : ledger.sessions()) {
            Instant end = later(since(), renewed.get(s.id())).plus(wait(settings.session()));
            if (end.isAfter(now)) {
                lookBy(end);
            } else if (!holding.contains(s.id())) {
                actions.propose(new Command.Close(s.id()));
                renewed.put(s.id(), now); // one entry is enough; where it is lost, another one follows later
                return;
            }
        }
    }

    private void endWaiting(Instant now) {
        for (Deque<Waiting> line : waiting.values()) {
            while (!line.isEmpty() && !line.peek().until().isAfter(now)) {
                Waiting w = line.poll();
                waitingCount--;
                Ledger.Lease held = ledger.lease(w.lease());
                pending.answer(w.ask(), Result.of(Kind.HELD, held == null ? 0 : held.fence()));
            }
            if (!line.isEmpty()) {
                lookBy(line.peek().until());
            }
        }
        waiting.values().removeIf(Deque::isEmpty);
    }
}
