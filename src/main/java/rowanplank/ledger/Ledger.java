package rowanplank.ledger;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rowanplank.ledger.Result.Kind;

/**
 * Who holds which lease, as the log tells it: one deterministic state, a function of the entries alone. It knows no time:
 * that a lease is over is an entry like any other, written by a leader that has waited ({@link Desk}).
 *
 * <p>Fences: a grant's fence is the index of its entry, so that each is greater than all before it, of any lease.
 *
 * <p>Runs: of each task, the last period whose run was claimed. A period is a number that whoever asks has made from a
 * clock on the wall; that clock decides when a run is claimed, and never that it is claimed twice.
 *
 * <p>Bounds: {@value #MOST_SESSIONS} sessions, {@value #MOST_LEASES} leases, {@value #MOST_RESULTS} results kept for a
 * session, {@value #MOST_CLAIMS} names of tasks, which are never forgotten; beyond them requests are answered {@link Kind#FULL}. A command costs O(log n), the end of a session O(leases).
 */
public class Ledger {
    public static final int MOST_SESSIONS = 2000;
    public static final int MOST_LEASES = 10_000;
    public static final int MOST_RESULTS = 64;
    public static final int MOST_CLAIMS = 1000;
    /** So many of the last entries can be audited. */
    private static final int CHAINS = 256;

    /** A lease that is held. */
    public record Lease(String name, long session, long fence, Duration length) { }

    /** A process that may hold leases. */
    public record Session(long id, String node, long incarnation, long floor, Map<Long, Result> results) {
        public Session {
            results = new TreeMap<>(results);
        }
    }

    /** The last run of a task that was claimed. @param fence under which it was */
    public record Run(String task, long period, long fence) { }

    /** All of it, to be written down and taken up again. */
    public record Picture(long applied, long chain, long lastFence, int level, List<Session> sessions,
            List<Lease> leases, List<Run> runs, Budgets.Picture budgets, Work.Picture work) {
        public Picture {
            sessions = List.copyOf(sessions);
            leases = List.copyOf(leases);
            runs = List.copyOf(runs);
        }

        /** One without an order of work. */
        public Picture(long applied, long chain, long lastFence, int level, List<Session> sessions, List<Lease> leases,
                List<Run> runs, Budgets.Picture budgets) {
            this(applied, chain, lastFence, level, sessions, leases, runs, budgets, Work.Picture.empty());
        }

        /** One with leases alone. */
        public Picture(long applied, long chain, long lastFence, int level, List<Session> sessions, List<Lease> leases,
                List<Run> runs) {
            this(applied, chain, lastFence, level, sessions, leases, runs, Budgets.Picture.empty(), Work.Picture.empty());
        }

        public static Picture empty() {
            return new Picture(0, 0, 0, 1, List.of(), List.of(), List.of(), Budgets.Picture.empty(), Work.Picture.empty());
        }
    }

    /** This ledger is not what the leader's is: it must not be used any more. */
    public static final class DivergedException extends RuntimeException {
        private static final long serialVersionUID = 1;

        DivergedException(long index) {
            super("the ledger differs from the leader's after entry " + index);
        }
    }

    private final Map<Long, Session> sessions = new TreeMap<>();
    private final Map<String, Long> sessionByProcess = new TreeMap<>();
    private final Map<String, Lease> leases = new TreeMap<>();
    private final Map<String, Run> runs = new TreeMap<>();
    private final Budgets budgets;
    private final Work work;
    private int level;
    private final long[] chains = new long[CHAINS];
    private final long[] chained = new long[CHAINS];
    private long applied;
    private long chain;
    private long lastFence;

    public Ledger(Picture picture) {
        this(picture, new Budgets(), new Work());
    }

    /** @param budgets to be filled from the picture, and this ledger's from then on; the work as well */
    public Ledger(Picture picture, Budgets budgets, Work work) {
        this.budgets = budgets;
        this.work = work;
        restore(picture);
    }

    public final void restore(Picture picture) {
        sessions.clear();
        sessionByProcess.clear();
        leases.clear();
        runs.clear();
        for (Session s : picture.sessions()) {
            enter(s);
        }
        for (Lease l : picture.leases()) {
            leases.put(l.name(), l);
        }
        picture.runs().forEach(r -> runs.put(r.task(), r));
        budgets.restore(picture.budgets());
        work.restore(picture.work());
        applied = picture.applied();
        chain = picture.chain();
        lastFence = picture.lastFence();
        level = picture.level();
        remember();
    }

    public Picture picture() {
        return new Picture(applied, chain, lastFence, level, new ArrayList<>(sessions.values()),
                new ArrayList<>(leases.values()), new ArrayList<>(runs.values()), budgets.picture(), work.picture());
    }

    public long applied() {
        return applied;
    }

    /** Depends on all results so far: alike at two voters that have applied the same entries. */
    public long chain() {
        return chain;
    }

    public long lastFence() {
        return lastFence;
    }

    /** Up to which version entries may be written. */
    public int level() {
        return level;
    }

    /** Null where nobody holds it. */
    public Lease lease(String name) {
        return leases.get(name);
    }

    public Collection<Lease> leases() {
        return leases.values();
    }

    public Collection<Run> runs() {
        return runs.values();
    }

    public Budgets budgets() {
        return budgets;
    }

    public Work work() {
        return work;
    }

    /** Null where there is none. */
    public Session session(long id) {
        return sessions.get(id);
    }

    public Collection<Session> sessions() {
        return sessions.values();
    }

    /** Entries that tell the ledger nothing move it on as well. */
    public void skip(long index) {
        moveOn(index, Result.of(Kind.FREE));
    }

    /** @param index the entry's; each is the one behind the last */
    public Result apply(long index, Command command) {
        if (index != applied + 1) {
            throw new IllegalStateException("entry " + index + " behind " + applied);
        }
        Result result = perform(index, command);
        moveOn(index, result);
        return result;
    }

    private void moveOn(long index, Result result) {
        applied = index;
        chain = mix(mix(mix(chain, index), result.kind().ordinal()), result.value());
        remember();
    }

    private void remember() {
        int place = (int) (applied % CHAINS);
        chains[place] = chain;
        chained[place] = applied;
    }

    /** SplitMix64's finish (Steele, Lea and Flood, 2014), over both. */
    private static long mix(long a, long b) {
        long z = a * 31 + b + 0x9e3779b97f4a7c15L;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    private Result perform(long index, Command command) {
        if (command instanceof Command.Open c) {
            return open(index, c);
        } else if (command instanceof Command.Close c) {
            return close(c.session());
        } else if (command instanceof Command.Acquire c) {
            return once(c.session(), c.floor(), c.number(), () -> acquire(index, c));
        } else if (command instanceof Command.Release c) {
            return once(c.session(), c.floor(), c.number(), () -> release(c));
        } else if (command instanceof Command.Claim c) {
            return once(c.session(), c.floor(), c.number(), () -> claim(c));
        } else if (command instanceof Command.Raise c) {
            level = Math.max(level, c.level());
            return Result.of(Kind.RELEASED, level);
        } else if (command instanceof Command.Expire c) {
            c.holdings().forEach(h -> free(h.lease(), h.fence()));
            return Result.of(Kind.RELEASED);
        }
        return command instanceof Command.Audit c ? audit(c) : divide(index, command);
    }

    private Result divide(long index, Command command) {
        if (command instanceof Command.Define c) {
            return budgets.define(index, c);
        } else if (command instanceof Command.Resize c) {
            return budgets.resize(c);
        } else if (command instanceof Command.Join c) {
            return once(c.session(), c.floor(), c.number(), () -> budgets.join(index, c));
        } else if (command instanceof Command.Divide c) {
            return budgets.divide(c);
        } else if (command instanceof Command.Give c) {
            return once(c.session(), c.floor(), c.number(), () -> budgets.give(c));
        } else if (command instanceof Command.Leave c) {
            return once(c.session(), c.floor(), c.number(), () -> budgets.leave(c.session()));
        } else if (command instanceof Command.Lapse c) {
            return budgets.lapse(c);
        }
        return command instanceof Command.Retire c ? budgets.retire(c) : settle(index, command);
    }

    private Result settle(long index, Command command) {
        if (command instanceof Command.Announce c) {
            return work.announce(c);
        } else if (command instanceof Command.WorkTerms c) {
            return work.terms(c);
        } else if (command instanceof Command.Turn c) {
            return work.turn(index, c);
        } else if (command instanceof Command.Step c) {
            return work.step(c);
        } else if (command instanceof Command.Halt c) {
            return work.halt(index, c);
        }
        return work.staff(index, (Command.Staff) command);
    }

    private static String process(String node, long incarnation) {
        return node + "/" + incarnation;
    }

    private void enter(Session s) {
        sessions.put(s.id(), s);
        sessionByProcess.put(process(s.node(), s.incarnation()), s.id());
    }

    private Result open(long index, Command.Open c) {
        Long known = sessionByProcess.get(process(c.node(), c.incarnation()));
        if (known != null) {
            return Result.of(Kind.OPENED, known);
        }
        if (sessions.size() >= MOST_SESSIONS) {
            return Result.of(Kind.FULL);
        }
        enter(new Session(index, c.node(), c.incarnation(), 0, new TreeMap<>()));
        return Result.of(Kind.OPENED, index);
    }

    /** Guards a grant that was on its way when the leader took the session for dead: who holds something stays known. */
    private Result close(long id) {
        Session s = sessions.get(id);
        if (s == null) {
            return Result.of(Kind.NO_SESSION);
        }
        if (budgets.member(id) != null || leases.values().stream().anyMatch(l -> l.session() == id)) {
            return Result.of(Kind.HELD);
        }
        sessions.remove(id);
        sessionByProcess.remove(process(s.node(), s.incarnation()));
        return Result.of(Kind.RELEASED);
    }

    /** What a request does. */
    protected interface Doing {
        Result result();
    }

    /** A request that came twice, since its answer was lost, is answered from memory; one that is over is refused. */
    protected Result once(long session, long floor, long number, Doing doing) {
        Session s = sessions.get(session);
        if (s == null) {
            return Result.of(Kind.NO_SESSION);
        }
        if (number < s.floor()) {
            return Result.of(Kind.STALE);
        }
        Result known = s.results().get(number);
        if (known != null) {
            return known;
        }
        if (floor > s.floor()) {
            s.results().keySet().removeIf(n -> n < floor);
            s = new Session(s.id(), s.node(), s.incarnation(), floor, s.results());
            sessions.put(session, s);
        }
        if (s.results().size() >= MOST_RESULTS) {
            return Result.of(Kind.FULL);
        }
        Result result = doing.result();
        s.results().put(number, result);
        return result;
    }

    private Result acquire(long index, Command.Acquire c) {
        Lease held = leases.get(c.lease());
        if (held != null && held.session() != c.session()) {
            return Result.of(Kind.HELD, held.fence()); // without a name: it is kept with each such request
        }
        if (held == null && leases.size() >= MOST_LEASES) {
            return Result.of(Kind.FULL);
        }
        lastFence = fence(index);
        leases.put(c.lease(), new Lease(c.lease(), c.session(), lastFence, c.length()));
        return Result.of(Kind.GRANTED, lastFence);
    }

    private Result claim(Command.Claim c) {
        Lease held = leases.get(c.lease());
        if (held == null || held.session() != c.session() || held.fence() != c.fence()) {
            return Result.of(Kind.NOT_HELD);
        }
        Run last = runs.get(c.task());
        if (isDone(last, c.period())) {
            return Result.of(Kind.DONE, last.period());
        }
        if (last == null && runs.size() >= MOST_CLAIMS) {
            return Result.of(Kind.FULL);
        }
        runs.put(c.task(), new Run(c.task(), c.period(), c.fence()));
        return Result.of(Kind.CLAIMED, c.period());
    }

    /** Whether the run in a period was claimed before. @param last null where there was none */
    protected boolean isDone(Run last, long period) {
        return last != null && last.period() >= period;
    }

    /** What a grant's fence is: greater than any before it. */
    protected long fence(long index) {
        return index;
    }

    private Result release(Command.Release c) {
        Lease held = leases.get(c.lease());
        if (held != null && held.session() == c.session()) {
            free(c.lease(), c.fence() == 0 ? held.fence() : c.fence());
        }
        return Result.of(Kind.RELEASED);
    }

    private void free(String lease, long fence) {
        Lease held = leases.get(lease);
        if (held != null && held.fence() == fence) {
            leases.remove(lease);
        }
    }

    private Result audit(Command.Audit c) {
        int place = (int) (c.index() % CHAINS);
        if (chained[place] == c.index() && chains[place] != c.chain()) {
            throw new DivergedException(c.index());
        }
        return Result.of(Kind.FREE);
    }
}
