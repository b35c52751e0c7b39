package rowanplank.lab.site;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.PriorityQueue;
import rowanplank.lab.day.Day;

/**
 * What a page server's machine makes of the work that comes to it. No I/O: time comes only as an argument, in
 * nanoseconds, and never goes back; nothing here is chance. Jobs are called back within the call that moved time on
 * and must not call the model.
 *
 * <p><b>Sharing.</b> Jobs in work share the cores evenly (processor sharing; Kleinrock, Queueing Systems II, 4.4), and
 * none uses more than one core. With n in work, each goes on at
 * <pre>
 *   speed / slow * min(1, cores / n) * efficiency * warm * (1 - fullTax * min(1, connections / most connections))
 *   efficiency = min(1, max(crowdedFloor, 1 - crowdedLoss * (held / cores - crowdedFrom)))
 * </pre>
 * nanoseconds of work a nanosecond, and at 0 while it stands still. Held are the requests in work and those that wait.
 * All jobs in work have the same rate, so that one running sum of it, and for each job the sum at which it is done,
 * tell all that is to come.
 *
 * <p><b>Room.</b> {@code slotsPerCore * cores} requests are in work and {@code queuePerCore * cores} wait, both
 * rounded; more are turned away. They are begun in the order in which they came. Where expired work is dropped, a
 * request whose time is up when it comes, or when its turn comes, is not begun; else it is. What is in work is always
 * done to its end.
 *
 * <p><b>Side work</b>, of handshakes and probes, shares the cores like any job but takes no slot and is not held.
 *
 * <p><b>Cold start.</b> A share {@code warm} of the capacity is there, which grows from {@code coldFrom} to 1 in
 * {@value #STEPS} even steps; each is taken at the beginning of its part, so that the server is never behind the line.
 * By time, the line is even over {@code cold}. By work, it is even over the rules' longest time, and the work of
 * requests done may take it ahead of that: the work that warms it whole is such that a server that always has as much
 * as it can do is warm after {@code cold}. From c' = (1 - coldFrom) / W * capacity * c and c(cold) = 1:
 * <pre>
 *   W = (1 - coldFrom) * cores * speed * cold / ln(1 / coldFrom)
 * </pre>
 * The rules' share and time hold where a kind's own are worse.
 *
 * <p><b>Falling over.</b> A server that started cold and is not yet warm goes down, and stays down, once the work
 * offered to it in the last {@code fallTime}, with what it turns away, is more than
 * {@code fallMultiple * capacity * fallTime}. Its capacity is {@code cores * speed * warm}: no trouble that nodes can't
 * know of is counted against them. Side work does not count.
 *
 * <p>Costs: O(log n) an event for n jobs in work, which slots, connections and probes bound. What was offered is kept
 * while it counts: entries are at most the requests of one {@code fallTime}, and only of a cold server.
 */
public final class ServerModel {
    /** What {@link #nextChange} says if nothing is to come. */
    public static final long NEVER = Long.MAX_VALUE;
    static final int STEPS = 100;

    /** Guards against sums beyond the range of a long. */
    private static final double FAR = Long.MAX_VALUE / 4.0;

    /** Something that takes work. */
    public abstract static class Job {
        private final long work;
        private long until;
        private boolean request;
        private long number;
        private double end;

        /** @param work in nanoseconds of a core of speed 1 */
        protected Job(long work) {
            this.work = work;
        }

        public final long work() {
            return work;
        }

        private void copyTo(Job other) {
            other.until = until;
            other.request = request;
            other.number = number;
            other.end = end;
        }

        /** It is in work from now on. */
        protected void begun() { }

        /** Its work is done. */
        protected abstract void done();

        /** Its turn came and its time was up; it never began. */
        protected void expired() { }
    }

    /** What becomes of a request that comes. */
    public enum Arrival { BEGUN, WAITS, FULL, EXPIRED }

    /** Work offered at a time. */
    record Offer(long at, long work) { }

    private final Day.Kind kind;
    private final double speed;
    private final int slots;
    private final int room;
    private final int mostConnections;
    private final double fullTax;
    private final PriorityQueue<Job> inWork =
            new PriorityQueue<>(Comparator.<Job>comparingDouble(j -> j.end).thenComparingLong(j -> j.number));
    private final Deque<Job> waiting = new ArrayDeque<>();
    private long now;
    private long count;
    private int begun;
    private int connections;
    private double slow = 1;
    private long standsUntil;
    /** Of each job in work: nanoseconds of work a nanosecond. */
    private double rate;
    /** The sum of the rate; a job is done when it has grown by the job's work. Begins anew when nothing is in work. */
    private double sum;
    private double busy;

    private final long started;
    private final boolean warmsByWork;
    private final double coldFrom;
    private final double evenly;
    private final double workToWarm;
    private final double fallMultiple;
    private final long fallTime;
    private final Deque<Offer> offers = new ArrayDeque<>();
    private long offered;
    /** How many steps of warmth are reached. */
    private int step;
    private double worked;

    /**
     * @param speed this server's own
     * @param warmsByWork whether work warms it, not time
     * @param cold whether it starts cold now
     */
    public ServerModel(Day.Kind kind, double speed, Day.Connections connections, Day.Rules rules, boolean warmsByWork,
            boolean cold, long now) {
        this.kind = kind;
        this.speed = speed;
        this.now = now;
        this.warmsByWork = warmsByWork;
        slots = Math.max(1, (int) Math.round(kind.slotsPerCore() * kind.cores()));
        room = (int) Math.round(kind.queuePerCore() * kind.cores());
        mostConnections = mostConnections(kind, connections);
        fullTax = connections.fullTax();
        started = now;
        coldFrom = Math.max(1.0 / STEPS, Math.max(kind.coldFrom(), rules.coldFrom()));
        double own = Math.min(kind.cold().toNanos(), rules.cold().toNanos());
        evenly = warmsByWork ? rules.cold().toNanos() : own;
        workToWarm = (1 - coldFrom) * kind.cores() * speed * own / -StrictMath.log(coldFrom);
        fallMultiple = rules.fallMultiple();
        fallTime = rules.fallTime().toNanos();
        step = cold && coldFrom < 1 && evenly > 0 ? 1 : STEPS;
        changed();
    }

    /** One that goes on from this one's state by itself, and whose jobs tell nobody. */
    private ServerModel(ServerModel of) {
        kind = of.kind;
        speed = of.speed;
        slots = of.slots;
        room = of.room;
        mostConnections = of.mostConnections;
        fullTax = of.fullTax;
        now = of.now;
        count = of.count;
        begun = of.begun;
        connections = of.connections;
        slow = of.slow;
        standsUntil = of.standsUntil;
        rate = of.rate;
        sum = of.sum;
        started = of.started;
        warmsByWork = of.warmsByWork;
        coldFrom = of.coldFrom;
        evenly = of.evenly;
        workToWarm = of.workToWarm;
        fallMultiple = of.fallMultiple;
        fallTime = of.fallTime;
        offered = of.offered;
        step = of.step;
        worked = of.worked;
        offers.addAll(of.offers);
        of.inWork.forEach(j -> inWork.add(new Shadow(j)));
        of.waiting.forEach(j -> waiting.add(new Shadow(j)));
    }

    /** A job that is only thought of. */
    private static final class Shadow extends Job {
        private boolean isDone;

        Shadow(long work) {
            super(work);
        }

        Shadow(Job of) {
            super(of.work);
            of.copyTo(this);
        }

        @Override
        protected void done() {
            isDone = true;
        }
    }

    /**
     * When a request that comes then would be done if, after others that are on their way, nothing else came. O(n log
     * n) for n requests held.
     *
     * @param coming the others, in the order in which they come; what comes after it is left out
     * @return {@link #NEVER} if it would be turned away, or the server would fall over
     */
    long doneAt(long at, long work, Iterable<Offer> coming) {
        ServerModel ahead = new ServerModel(this);
        for (Offer o : coming) {
            if (o.at <= at && ahead.offer(o.at, o.work)) {
                return NEVER;
            }
            if (o.at <= at) {
                ahead.arrive(o.at, new Shadow(o.work), NEVER);
            }
        }
        Shadow request = new Shadow(work);
        if (ahead.offer(at, work) || ahead.arrive(at, request, NEVER) == Arrival.FULL) {
            return NEVER;
        }
        for (long next = 0; !request.isDone && next != NEVER;) {
            next = ahead.nextChange();
            ahead.advance(next);
        }
        return ahead.now;
    }

    /** Whether it would do less, all in all, if it held so many more. */
    boolean isCrowdedBy(int more) {
        return kind.crowdedLoss() > 0 && begun + waiting.size() + more > kind.crowdedFrom() * kind.cores();
    }

    /** How many connections a server of this kind holds. */
    static int mostConnections(Day.Kind kind, Day.Connections connections) {
        return connections.perCore() * kind.cores();
    }

    /** When something next happens if nothing else comes: {@link #advance} has to be called then. */
    public long nextChange() {
        return Math.min(Math.min(nextEnd(), nextStep()), standsUntil > now ? standsUntil : NEVER);
    }

    /** Moves time on; all that falls due up to then, and then itself, happens in its order. */
    public void advance(long to) {
        for (long next; (next = nextChange()) <= to;) {
            pass(next);
            if (nextStep() <= now) {
                warmUp();
            } else if (!inWork.isEmpty() && inWork.peek().end <= sum) {
                finishFirst();
            }
            changed();
        }
        pass(to);
    }

    /**
     * A request has come, whatever becomes of it.
     *
     * @return whether the server falls over with it: all that it held is lost, and nothing more is to be asked of it
     */
    public boolean offer(long at, long work) {
        advance(at);
        if (step == STEPS) {
            return false;
        }
        offers.add(new Offer(at, work));
        offered += work;
        while (offers.peek().at <= at - fallTime) {
            offered -= offers.poll().work;
        }
        return offered > fallMultiple * capacity() * fallTime;
    }

    /**
     * A request that was offered is to be done.
     *
     * @param until when its time is up; {@link #NEVER} if it has no limit
     */
    public Arrival arrive(long at, Job request, long until) {
        advance(at);
        request.request = true;
        request.until = until;
        if (isOver(request)) {
            return Arrival.EXPIRED;
        }
        if (begun < slots) {
            begin(request);
            changed();
            return Arrival.BEGUN;
        }
        if (waiting.size() < room) {
            waiting.add(request);
            changed();
            return Arrival.WAITS;
        }
        return Arrival.FULL;
    }

    /** Work beside the requests, begun at once. */
    public void side(long at, Job job) {
        advance(at);
        begin(job);
        changed();
    }

    /** So many connections are open from now on. */
    public void connections(long at, int open) {
        advance(at);
        connections = open;
        changed();
    }

    /** So many times slower it is from now on; 1 for none. */
    public void slow(long at, double times) {
        advance(at);
        slow = times;
        changed();
    }

    /** It stands still from now on, and at least until then. */
    public void standStill(long at, long until) {
        advance(at);
        standsUntil = Math.max(standsUntil, until);
        changed();
    }

    /** Whether it started cold and is not yet warm. */
    public boolean isCold() {
        return step < STEPS;
    }

    /** What it can do now, in cores of speed 1: without troubles, crowding and connections. */
    public double capacity() {
        return kind.cores() * speed * warm();
    }

    /** Requests in work. */
    public int begun() {
        return begun;
    }

    /** Requests that wait. */
    public int waiting() {
        return waiting.size();
    }

    /** The time that its cores had something to do until now, summed over them, in nanoseconds. */
    public double busy() {
        return busy;
    }

    private double warm() {
        return step == STEPS ? 1 : coldFrom + (1 - coldFrom) * step / STEPS;
    }

    private double efficiency() {
        double held = (begun + waiting.size()) / (double) kind.cores();
        double left = 1 - kind.crowdedLoss() * (held - kind.crowdedFrom());
        return Math.min(1, Math.max(kind.crowdedFloor(), left));
    }

    private void changed() {
        if (inWork.isEmpty()) {
            sum = 0;
        }
        double tax = mostConnections == 0 ? 0 : fullTax * Math.min(1, connections / (double) mostConnections);
        rate = inWork.isEmpty() || now < standsUntil ? 0 : speed / slow
                * Math.min(1, kind.cores() / (double) inWork.size()) * efficiency() * warm() * (1 - tax);
    }

    private void pass(long to) {
        long span = to - now;
        if (span > 0) {
            now = to;
            sum += rate * span;
            worked += rate * begun * span;
            busy += Math.min(kind.cores(), inWork.size()) * (double) span;
        }
    }

    private long nextEnd() {
        return inWork.isEmpty() ? NEVER : after(inWork.peek().end - sum, rate);
    }

    /** When the next step of warmth is reached. */
    private long nextStep() {
        if (step == STEPS) {
            return NEVER;
        }
        double part = step / (double) STEPS;
        long byTime = started + (long) Math.ceil(part * evenly);
        return warmsByWork ? Math.min(byTime, after(part * workToWarm - worked, rate * begun)) : byTime;
    }

    /** When so much work is done at this rate. */
    private long after(double work, double atRate) {
        return work <= 0 ? now : atRate <= 0 ? NEVER : now + (long) Math.min(FAR, Math.ceil(work / atRate));
    }

    private void warmUp() {
        step++;
        if (step == STEPS) {
            offers.clear();
        }
    }

    private void begin(Job job) {
        job.number = count++;
        job.end = sum + job.work;
        inWork.add(job);
        if (job.request) {
            begun++;
        }
        job.begun();
    }

    private void finishFirst() {
        Job job = inWork.poll();
        if (job.request) {
            begun--;
            beginWaiting();
        }
        job.done();
    }

    private void beginWaiting() {
        for (Job next; begun < slots && (next = waiting.poll()) != null;) {
            if (isOver(next)) {
                next.expired();
            } else {
                begin(next);
            }
        }
    }

    private boolean isOver(Job request) {
        return kind.dropsExpired() && now >= request.until;
    }
}
