package rowanplank.lab.run;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import rowanplank.config.FleetConfig;
import rowanplank.lab.check.Break;
import rowanplank.lab.check.Rules;
import rowanplank.lab.check.Verdict;
import rowanplank.lab.client.Arrivals;
import rowanplank.lab.client.BadClients;
import rowanplank.lab.client.Clients;
import rowanplank.lab.client.Front;
import rowanplank.lab.client.Lives;
import rowanplank.lab.client.Target;
import rowanplank.lab.client.Witness;
import rowanplank.lab.day.Day;
import rowanplank.lab.day.DayFile;
import rowanplank.lab.day.Fault;
import rowanplank.lab.net.Process;
import rowanplank.lab.net.SimMachine;
import rowanplank.lab.net.SimNetwork;
import rowanplank.lab.net.SimProcess;
import rowanplank.lab.run.DayResult.How;
import rowanplank.lab.site.Bodies;
import rowanplank.lab.site.Works;
import rowanplank.lab.trace.Digest;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Event.Kind;
import rowanplank.lab.trace.Trace;
import rowanplank.lab.world.World;
import rowanplank.net.Clock;

/**
 * Plays days: whole nodes and the site round them, in virtual time, on the calling thread. Several can be played at a
 * time on several threads; they share nothing.
 *
 * <p>A day begins with all servers, agents, nodes and clients at once. It ends once the last client is done, the
 * faults are over and every node runs that is to run; then clients leave, and after the time in which idle connections
 * are closed each node is asked what it still holds (NODE_HELD). If it does not come to that within
 * {@link #MOST_REST}, or goes on and on in one instant, it is broken off: DAY_ENDED with value 1.
 *
 * <p>Costs: see docs/lab.md. Holds no more than the parts of the site say, and one event at a time.
 */
public final class DayRun implements DayPlayer {
    /** After the last arrival: beyond all deadlines, restarts and what is sent again to a machine that was silent. */
    static final Duration MOST_REST = Duration.ofSeconds(120);
    /** On sockets time limits are 50 ms longer, and an answer takes its way. */
    private static final Duration LAST_WORD = Duration.ofMillis(60);
    private static final Duration LOOK = Duration.ofMillis(50);
    /**
     * So long after the last client has gone a node holds nothing more than at its start: what a machine that was silent
     * never heard the end of looks like a client's idle connection, which a node keeps for 120 s.
     */
    private static final Duration LAST_SWEEPS = Duration.ofSeconds(125);
    private static final long MOST_IN_AN_INSTANT = 3_000_000;
    private static final int STEPS_BETWEEN_LOOKS = 4096;

    /**
     * How days are played.
     *
     * @param sharing what the nodes share as a fleet; null where they are none
     * @param also sees all events as well; null for none
     * @param stopped whether to break off
     * @param clock tells how long it took
     */
    public record Manner(NodeFactory nodes, FleetConfig.Sharing sharing, Trace also, BooleanSupplier stopped, Clock clock) {
        public static Manner usual(Clock clock) {
            return new Manner(NodeFactory.USUAL, null, null, () -> false, clock);
        }

        public Manner withNodes(NodeFactory other) {
            return new Manner(other, sharing, also, stopped, clock);
        }

        /** With nodes that are a fleet. */
        public Manner withSharing(FleetConfig.Sharing shared) {
            return new Manner(nodes, shared, also, stopped, clock);
        }

        public Manner withTrace(Trace trace) {
            return new Manner(nodes, sharing, trace, stopped, clock);
        }

        public Manner withStop(BooleanSupplier stop) {
            return new Manner(nodes, sharing, also, stop, clock);
        }
    }

    private final Manner manner;

    public DayRun(Manner manner) {
        this.manner = manner;
    }

    @Override
    public DayResult play(Day day) {
        return new Play(day).run();
    }

    /** One play of one day. */
    private final class Play {
        private final Day day;
        private final World world;
        private final Digest digest = new Digest();
        private final ServiceMeter meter;
        private final Rules rules;
        private final Stage stage;
        private final List<NodeHost> nodes = new ArrayList<>();
        private ServerPark park;
        private Timeline timeline;
        private Clients clients;
        private BadClients badClients;
        private How how;

        Play(Day day) {
            this.day = day;
            world = new World(day.seed());
            meter = new ServiceMeter(day);
            rules = new Rules(day);
            Trace trace = manner.also == null ? this::tell : e -> {
                tell(e);
                manner.also.tell(e);
            };
            stage = new Stage(day, world, new SimNetwork(world, day.network(), day.halls().size()), new SiteMap(day),
                    trace);
        }

        private void tell(Event e) {
            digest.tell(e);
            meter.tell(e);
            rules.tell(e);
        }

        DayResult run() {
            Instant began = manner.clock.now();
            String failure = null;
            try {
                build();
                play();
            } catch (IOException | RuntimeException e) {
                how = How.FAILED;
                failure = "the laboratory failed: " + trace(e);
            }
            Verdict verdict = rules.verdict();
            TreeMap<String, Long> broken = new TreeMap<>();
            verdict.broken().forEach((rule, count) -> broken.put(rule.name(), count));
            List<String> breaks = new ArrayList<>();
            verdict.breaks().forEach(b -> breaks.add(text(b)));
            if (failure != null) {
                broken.put("LABORATORY", 1L);
                breaks.add(failure);
            }
            return new DayResult(day, how, digest.toString(), digest.events(), meter.service(), broken, breaks,
                    Duration.ofNanos(world.nanos()), Duration.between(began, manner.clock.now()));
        }

        private void build() throws IOException {
            Works works = new Works(day.seed(), day.servers().tryNoise());
            park = new ServerPark(stage, works);
            TrueState truth = new TrueState(stage, park);
            Lives lives = new Lives();
            timeline = new Timeline(stage, stage.network()::link, nodes, park.hosts());
            timeline.enter();
            stage.tell(Kind.DAY_BEGAN, Event.NONE, day.seed(), Bodies.digest(DayFile.write(day).getBytes(
                    java.nio.charset.StandardCharsets.UTF_8)));
            park.begin();
            for (int i = 0; i < day.nodes().count(); i++) {
                nodes.add(new NodeHost(stage, i, park.roster(), manner,
                        (config, loop, log) -> manner.nodes.create(config, loop, log, truth), lives));
            }
            stage.network().watchDatagrams((from, to, bytes, receivers) -> stage.trace().tell(world.nanos(),
                    Kind.DATAGRAM, stage.nodeAt(new java.net.InetSocketAddress(from.address(), 0)), Event.NONE,
                    receivers, bytes, null));
            nodes.forEach(NodeHost::start);
            clients(works, lives);
        }

        private void clients(Works works, Lives lives) {
            List<Target> targets = new ArrayList<>();
            for (int i = 0; i < nodes.size(); i++) {
                targets.add(new Target(i, nodes.get(i).hall(), SiteMap.listen(i)));
            }
            Witness witness = new Witness(world.clock(), World.BEGINNING, stage.trace());
            List<Front> fronts = new ArrayList<>();
            List<SimProcess> loops = new ArrayList<>();
            for (int hall = 0; hall <= day.halls().size(); hall++) {
                SimMachine machine = stage.network().machine("clients " + hall, SimNetwork.CLIENTS,
                        SiteMap.clients(hall));
                loops.add(machine.boot(Process.unbounded("clients " + hall), NodeHost::rethrow));
            }
            boolean drains = day.faults().stream().anyMatch(f -> f.kind() == Fault.Kind.NODE_DRAINED);
            Front.Manner manner = drains ? Front.Manner.WATCHING : Front.Manner.USUAL;
            for (int hall = 0; hall < day.halls().size(); hall++) {
                fronts.add(new Front(loops.get(hall), witness, Target.of(hall, targets), day.clients(), day.classes(),
                        works, lives, world.random("front " + hall), day.rules().answerSlack().plus(LAST_WORD), manner));
            }
            Arrivals arrivals = new Arrivals(day.clients(), day.classes(), fronts.size(), day.length(), world::random);
            badClients = new BadClients(loops.get(fronts.size()), witness, targets, day.classes(), works,
                    BadClients.Measures.USUAL, world::random);
            for (Fault f : day.faults()) {
                long from = f.at().toNanos();
                long until = from + f.length().toNanos();
                switch (f.kind()) {
                    case SPIKE -> arrivals.setRateFactor(from, until, f.size());
                    case SKEW -> arrivals.setSkew(from, until, f.size());
                    case BAD_CLIENTS -> badClients.begin(f.at(), f.length(), f.size());
                    case SILENT_CLIENTS -> badClients.beginSilent(f.at(), f.length(), f.size());
                    default -> { }
                }
            }
            clients = new Clients(loops.get(0), witness, arrivals, fronts);
            clients.start();
        }

        private void play() {
            world.at(day.length().toNanos(), this::awaitRest);
            long instant = -1;
            long inInstant = 0;
            for (long steps = 0; how == null; steps++) {
                if (!world.step()) {
                    end(How.NEVER_ENDED);
                }
                inInstant = world.nanos() == instant ? inInstant + 1 : 0;
                instant = world.nanos();
                if (inInstant > MOST_IN_AN_INSTANT) {
                    end(How.NEVER_ENDED);
                }
                if (steps % STEPS_BETWEEN_LOOKS == 0 && how == null && manner.stopped.getAsBoolean()) {
                    how = How.INTERRUPTED;
                }
            }
        }

        private void awaitRest() {
            boolean rest = clients.atRest() && badClients.atRest() && timeline.isOver()
                    && nodes.stream().allMatch(n -> n.isRunning() && !n.isStopping());
            if (rest) {
                clients.close();
                Duration idle = day.servers().connections().idle();
                world.after(idle.compareTo(LAST_SWEEPS) > 0 ? idle : LAST_SWEEPS, this::lastLook);
            } else if (world.nanos() > day.length().plus(MOST_REST).toNanos()) {
                end(How.NEVER_ENDED);
            } else {
                world.after(LOOK, this::awaitRest);
            }
        }

        private void lastLook() {
            nodes.forEach(NodeHost::tellHeld);
            end(How.ENDED);
        }

        private void end(How ended) {
            how = ended;
            stage.tell(Kind.DAY_ENDED, Event.NONE, ended == How.ENDED ? 0 : 1, null);
        }
    }

    private static String text(Break b) {
        StringBuilder text = new StringBuilder(b.toString());
        b.before().forEach(e -> text.append(System.lineSeparator()).append("    ").append(e));
        return text.toString();
    }

    private static String trace(Throwable failure) {
        java.io.StringWriter text = new java.io.StringWriter();
        failure.printStackTrace(new java.io.PrintWriter(text));
        return text.toString();
    }
}
