package rowanplank.lab.load;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import rowanplank.lab.client.Arrival;
import rowanplank.lab.client.Arrivals;
import rowanplank.lab.client.Clients;
import rowanplank.lab.client.Front;
import rowanplank.lab.client.Lives;
import rowanplank.lab.client.Target;
import rowanplank.lab.client.Witness;
import rowanplank.lab.day.Day;
import rowanplank.lab.day.Day.RequestClass;
import rowanplank.lab.load.LoadPlan.LoadClass;
import rowanplank.lab.world.World;
import rowanplank.net.Loop;

/**
 * One thread's part of a load: even parts of rate and connections, on its loop. A sum of Poisson processes is one, so
 * all of them together are as the plan says; they draw their bursts from the same source, and swing together.
 */
final class LoadThread {
    /** Numbers of the threads' requests lie so far apart. */
    private static final long NUMBERS = 1L << 32;
    /** A target that is not there is noticed, left alone and looked for again in so long. */
    private static final Duration NOTICE = Duration.ofMillis(200);
    /** The rate grows in so many steps. */
    private static final int STEPS = 20;

    private final LoadPlan plan;
    private final int index;
    private final Loop loop;
    private final Instant beginning;
    private final LoadMeter meter;
    private final Front front;
    private final Clients clients;
    private long from;
    private volatile boolean stopped;

    /** @param run of which its ids tell */
    LoadThread(LoadPlan plan, int index, Loop loop, Instant beginning, String run) {
        this.plan = plan;
        this.index = index;
        this.loop = loop;
        this.beginning = beginning;
        meter = new LoadMeter(plan);
        List<RequestClass> classes = plan.classes().stream().map(LoadThread::requestClass).toList();
        List<Target> targets = new ArrayList<>();
        plan.targets().forEach(t -> targets.add(new Target(targets.size(), 0, t)));
        int parts = plan.threads() * targets.size();
        Day.Clients habits = new Day.Clients(plan.rate() / plan.threads(), plan.burst(), plan.burstLength(), 0,
                plan.patience(), plan.heeds(), part(plan.connections(), parts), plan.askOnce(), NOTICE, NOTICE,
                plan.keeps(), false);
        Front.Manner manner = new Front.Manner(plan.check().isEmpty() ? null : plan.check(), plan.oldestFirst(),
                plan.ahead() == 0 ? 0 : part(plan.ahead(), parts), plan.opening(), false);
        Witness witness = new Witness(loop.clock(), beginning, meter);
        World chance = new World(plan.seed());
        front = new Front(loop, witness, targets, habits, classes, new LoadWording(plan.classes(), run), new Lives(),
                chance.random("notices " + index), Duration.ZERO, manner);
        Arrivals arrivals = new Arrivals(habits, classes, 1, plan.wholeLength(),
                name -> chance.random(name.equals("arrivals.swings") ? name : name + " " + index));
        ramp(arrivals);
        clients = new Clients(loop, witness, numbered(arrivals), List.of(front), this::late);
    }

    private static int part(int whole, int parts) {
        return (whole + parts - 1) / parts;
    }

    private static RequestClass requestClass(LoadClass c) {
        return new RequestClass(c.name(), c.share(), Duration.ZERO, 0, c.deadline(), c.deadline(), 1, 0, "once");
    }

    private void ramp(Arrivals arrivals) {
        long step = plan.warmUp().toNanos() / 2 / STEPS;
        for (int i = 0; i < STEPS && step > 0; i++) {
            arrivals.setRateFactor(i * step, (i + 1) * step, (i + 0.5) / STEPS);
        }
    }

    private Iterator<Arrival> numbered(Iterator<Arrival> arrivals) {
        return new Iterator<>() {
            @Override
            public boolean hasNext() {
                return !stopped && arrivals.hasNext();
            }

            @Override
            public Arrival next() {
                return arrivals.next().moved(0, index * NUMBERS);
            }
        };
    }

    private void late(long nanos) {
        meter.late(now() - nanos, nanos);
    }

    private long now() {
        return Duration.between(beginning, loop.clock().now()).toNanos();
    }

    LoadMeter meter() {
        return meter;
    }

    /** Looks for its targets and opens what is to be open ahead. */
    void prepare() {
        clients.prepare();
    }

    boolean isPrepared() {
        return front.isPrepared();
    }

    /** Arrivals come from then on, nanoseconds since the beginning. */
    void begin(long when) {
        from = when + plan.warmUp().toNanos();
        meter.count(from, from + plan.length().toNanos());
        clients.begin(when);
    }

    /** Nobody comes any more; may be called from any thread. */
    void stop() {
        stopped = true;
    }

    boolean atRest() {
        return clients.atRest();
    }

    int connections() {
        return front.connections();
    }

    int failedOpenings() {
        return front.failedOpenings();
    }

    void close() {
        clients.close();
    }
}
