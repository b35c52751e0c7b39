package rowanplank.lab.live;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import rowanplank.lab.client.Arrivals;
import rowanplank.lab.client.BadClients;
import rowanplank.lab.client.Clients;
import rowanplank.lab.client.Front;
import rowanplank.lab.client.Lives;
import rowanplank.lab.client.Target;
import rowanplank.lab.client.Witness;
import rowanplank.lab.day.Day;
import rowanplank.lab.day.DayEdit;
import rowanplank.lab.day.DayFile;
import rowanplank.lab.day.Fault;
import rowanplank.lab.run.ServiceMeter;
import rowanplank.lab.run.Timeline;
import rowanplank.lab.site.Bodies;
import rowanplank.lab.site.Works;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Event.Kind;
import rowanplank.lab.trace.Trace;
import rowanplank.lab.world.World;
import rowanplank.net.ChildProcesses;
import rowanplank.net.Clock;
import rowanplank.net.Ports;
import rowanplank.net.SelectorLoop;

/**
 * Plays a day in real time: its site and clients on one thread of this process, its nodes as processes of their own.
 * The day begins once all nodes are ready; then it is as in virtual time, but for what the machine makes of it, and for
 * faults that can't be played here.
 */
public final class LiveDay {
    /** As the platform has it: then clients come, whoever is ready. */
    private static final Duration READY_WITHIN = Duration.ofSeconds(30);
    /** After the last arrival, beyond all deadlines. */
    private static final Duration MOST_REST = Duration.ofSeconds(10);
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final Duration LOOK = Duration.ofMillis(20);
    /** An answer takes its way. */
    private static final Duration LAST_WORD = Duration.ofMillis(60);
    private static final long LOOK_MILLIS = 100;

    /** Who is told of it while it runs; called on a thread of its own. */
    public interface Listener {
        /** A line for people. */
        void says(String line);

        void second(LiveSecond second);
    }

    /**
     * What a day is played with.
     *
     * @param folder where the nodes' configurations and logs go
     * @param command starts a node; its environment tells it all
     * @param also sees all events as well
     */
    public record Manner(Path folder, List<String> command, Clock clock, Trace also) {
        public Manner {
            command = List.copyOf(command);
        }
    }

    private final Day day;
    private final Manner manner;
    private final Listener listener;
    private final ChildProcesses children = new ChildProcesses();
    private final CountDownLatch over = new CountDownLatch(1);
    private final ServiceMeter meter;
    private final LiveSeconds counts;
    private final List<LiveSecond> seconds = new ArrayList<>();
    private final List<LiveNode> nodes = new ArrayList<>();
    private final Lives lives = new Lives();
    private SelectorLoop loop;
    private LiveSite site;
    private Clients clients;
    private BadClients badClients;
    private Timeline timeline;
    private int ready;
    private int crashes;
    private long began;
    private String failure;
    private volatile boolean stopped;

    public LiveDay(Day day, Manner manner, Listener listener) {
        this.day = Unplayed.WITH_NODES.without(day);
        this.manner = manner;
        this.listener = listener;
        // Its seconds count from when the site began, which is before the day does.
        meter = new ServiceMeter(DayEdit.withLength(this.day, day.length().plus(READY_WITHIN).plus(SECOND)));
        counts = new LiveSeconds(this.day);
        String unplayed = Unplayed.WITH_NODES.line(day);
        if (unplayed != null) {
            listener.says(unplayed);
        }
    }

    /** Ends it soon; may be called from any thread. */
    public void stop() {
        stopped = true;
        over.countDown();
    }

    /** Ends all processes that it started, at once; may be called from any thread, and whatever else has happened. */
    public void endProcesses() {
        stop();
        children.close();
    }

    /** How many processes that it started have not ended. */
    public long processes() {
        return children.alive();
    }

    /** @throws IOException if the site can't be set up, or no node is ready in time */
    public LiveResult play() throws IOException, InterruptedException {
        LiveClock clock = new LiveClock(manner.clock());
        loop = new SelectorLoop(clock, e -> listener.says("unexpected failure: " + e));
        try {
            startLoop();
            loop.call(() -> {
                build(clock);
                return null;
            });
            over.await();
            if (failure != null) {
                throw new IOException(failure);
            }
            LiveResult result = loop.call(this::result);
            stopNodes();
            return result;
        } finally {
            children.close();
            stopLoop();
        }
    }

    private void startLoop() throws IOException {
        try {
            loop.start();
        } catch (Exception e) {
            throw new IOException("can't start the loop: " + e, e);
        }
    }

    private void stopLoop() throws IOException {
        try {
            loop.stop();
        } catch (Exception e) {
            throw new IOException("can't end the loop: " + e, e);
        }
    }

    /** Lets them end by themselves, for as long as the platform would. */
    private void stopNodes() throws IOException, InterruptedException {
        loop.call(() -> {
            site.end();
            nodes.forEach(LiveNode::stop);
            return null;
        });
        CountDownLatch never = new CountDownLatch(1);
        while (!stopped && loop.call(() -> nodes.stream().anyMatch(LiveNode::isRunning))) {
            never.await(LOOK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    // ---- all that follows is on the loop's thread

    private void tell(Event e) {
        meter.tell(e);
        counts.tell(e);
        manner.also.tell(e);
        if (e.kind() == Kind.NODE_READY) {
            ready++;
        } else if (e.kind() == Kind.NODE_LOGGED) {
            listener.says("node " + e.node() + " " + e.text());
        }
    }

    private void build(LiveClock clock) throws IOException {
        Works works = new Works(day.seed(), day.servers().tryNoise());
        site = new LiveSite(day, works, loop, clock, Ports.free(), this::tell);
        List<Target> targets = new ArrayList<>();
        for (int i = 0; i < day.nodes().count(); i++) {
            int number = i;
            nodes.add(new LiveNode(site, i, lives, manner.folder, manner.command, children, () -> crashed(number)));
            targets.add(new Target(i, site.ground().hall(i), site.listen(i)));
        }
        listener.says("the site is up, " + nodes.size() + " nodes start");
        nodes.forEach(LiveNode::start);
        clients(works, targets);
        clients.prepare();
        awaitNodes();
    }

    private void crashed(int node) {
        if (stopped) {
            return; // it was ended with this process
        }
        crashes++;
        listener.says("node n" + node + " ended by itself; its log is " + manner.folder.resolve("n" + node + ".log"));
    }

    private void clients(Works works, List<Target> targets) {
        Witness witness = new Witness(loop.clock(), World.BEGINNING, this::tell);
        List<Front> fronts = new ArrayList<>();
        for (int hall = 0; hall < day.halls().size(); hall++) {
            fronts.add(new Front(loop, witness, Target.of(hall, targets), day.clients(), day.classes(), works, lives,
                    site.ground().random("front " + hall), day.rules().answerSlack().plus(LAST_WORD)));
        }
        Arrivals arrivals = new Arrivals(day.clients(), day.classes(), fronts.size(), day.length(),
                site.ground()::random);
        for (Fault f : day.faults()) {
            long from = f.at().toNanos();
            long until = from + f.length().toNanos();
            switch (f.kind()) {
                case SPIKE -> arrivals.setRateFactor(from, until, f.size());
                case SKEW -> arrivals.setSkew(from, until, f.size());
                default -> { }
            }
        }
        clients = new Clients(loop, witness, arrivals, fronts,
                late -> site.lateness().recordValue(Math.max(0, late) / 1000));
        badClients = new BadClients(loop, witness, targets, day.classes(), works, BadClients.Measures.USUAL,
                site.ground()::random);
    }

    private void awaitNodes() {
        boolean late = site.ground().nanos() > READY_WITHIN.toNanos();
        if (ready == nodes.size() || late && ready > 0) {
            begin();
        } else if (late || nodes.stream().noneMatch(LiveNode::isRunning)) {
            failure = "no node was ready; their logs are in " + manner.folder;
            over.countDown();
        } else {
            loop.schedule(LOOK, this::awaitNodes);
        }
    }

    private void begin() {
        began = site.ground().nanos();
        site.ground().tell(Kind.DAY_BEGAN, Event.NONE, day.seed(),
                Bodies.digest(DayFile.write(day).getBytes(StandardCharsets.UTF_8)));
        listener.says(String.format("%d nodes ready after %.1f s", ready, began / 1e9));
        timeline = site.faults(nodes);
        for (Fault f : day.faults()) {
            Duration at = Duration.ofNanos(began).plus(f.at());
            switch (f.kind()) {
                case BAD_CLIENTS -> badClients.begin(at, f.length(), f.size());
                case SILENT_CLIENTS -> badClients.beginSilent(at, f.length(), f.size());
                default -> { }
            }
        }
        clients.begin(began);
        second();
        site.ground().at(began + day.length().toNanos(), this::awaitRest);
    }

    private void second() {
        site.ground().at(began + (seconds.size() + 1) * SECOND.toNanos(), () -> {
            LiveSecond second = counts.next();
            seconds.add(second);
            listener.second(second);
            if (seconds.size() < day.length().toSeconds()) {
                second();
            }
        });
    }

    private void awaitRest() {
        boolean rest = clients.atRest() && badClients.atRest() && timeline.isOver();
        if (rest || site.ground().nanos() > began + day.length().plus(MOST_REST).toNanos()) {
            site.ground().tell(Kind.DAY_ENDED, Event.NONE, rest ? 0 : 1, null);
            over.countDown();
        } else {
            loop.schedule(LOOK, this::awaitRest);
        }
    }

    private LiveResult result() {
        clients.close();
        badClients.close();
        Histogram late = site.lateness();
        return new LiveResult(day, stopped, Duration.ofNanos(began), meter.service(), seconds, crashes,
                Duration.ofNanos(1000 * late.getValueAtPercentile(99)), Duration.ofNanos(1000 * late.getMaxValue()));
    }
}
