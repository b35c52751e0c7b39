package rowanplank.lab.day;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import rowanplank.lab.day.Day.Clients;
import rowanplank.lab.day.Day.Discovery;
import rowanplank.lab.day.Day.Network;
import rowanplank.lab.day.Day.Nodes;
import rowanplank.lab.day.Day.RequestClass;
import rowanplank.lab.day.Day.Servers;
import rowanplank.lab.day.Fault.Kind;
import rowanplank.lab.world.World;

/**
 * Draws days from seeds: the same seed and number of nodes give the same day. All are variations of {@link PressDay}
 * with a few servers for each node.
 */
public final class DayDraw {
    private static final double SERVERS_A_NODE = 10 / 3.0;
    /** So often a place for one more fault is looked for. */
    private static final int MOST_TRIES = 20;

    /** Days with a name. */
    public enum Named {
        CALM("nothing goes wrong, a load of about 0.3"),
        OVERLOAD("more is asked than the servers can do, all day"),
        CRASHES("nodes and servers are killed and come back", Kind.NODE_KILLED, Kind.SERVER_KILLED),
        RESTARTS("planned restarts of nodes, drains of servers", Kind.NODE_RESTARTED, Kind.SERVER_DRAINED),
        DRAINS("operators drain nodes and take them back to work", Kind.NODE_DRAINED),
        CHURN("servers are replaced by new ones, all day", Kind.SERVER_REPLACED),
        ROUGH_SERVERS("servers slow, pausing, failing, answering what can't be read", Kind.SLOW, Kind.PAUSES,
                Kind.ERRORS, Kind.SPOILT, Kind.EXTRAS, Kind.REPORTS_LATE, Kind.REPORTS_BROKEN),
        RESETS("connections to servers break or fall silent", Kind.RESETS, Kind.SILENT, Kind.SERVER_VANISHED),
        DISCOVERY("discovery late, silent, half or malformed", Kind.DISCOVERY_STALE, Kind.DISCOVERY_OUTAGE,
                Kind.DISCOVERY_HALF, Kind.DISCOVERY_MALFORMED, Kind.SERVER_REPLACED, Kind.SERVER_DRAINED),
        RELOADS("new configurations, discovery moves", Kind.DISCOVERY_MOVED, Kind.NODE_RELOADED,
                Kind.SERVER_REPLACED),
        BAD_CLIENTS("clients that send what they must not, or nothing", Kind.BAD_CLIENTS, Kind.SILENT_CLIENTS),
        SPIKES("many times the requests for seconds, from one hall", Kind.SPIKE, Kind.SKEW),
        CUTS("halls cut off, slow and lossy ways between them", Kind.CUT, Kind.LOSS, Kind.DELAY),
        SHORT_NODES("nodes stand still, vanish or have little of their core", Kind.NODE_PAUSED, Kind.NODE_SHORT,
                Kind.NODE_VANISHED);

        private final String what;
        private final Set<Kind> kinds;

        Named(String what, Kind... kinds) {
            this.what = what;
            this.kinds = kinds.length == 0 ? EnumSet.noneOf(Kind.class) : EnumSet.of(kinds[0], kinds);
        }

        /** What such a day is like. */
        public String what() {
            return what;
        }
    }

    private final UniformRandomProvider random;
    private final int nodes;

    private DayDraw(String stream, long seed, int nodes) {
        random = new World(seed).random(stream);
        this.nodes = nodes;
    }

    /** A day on which anything may go wrong, several things at a time. */
    public static Day random(long seed, int nodes) {
        return new DayDraw("draw", seed, nodes).mixed(seed);
    }

    /** A day of one kind, with the usual figures. */
    public static Day named(Named kind, long seed, int nodes) {
        return new DayDraw("draw " + kind, seed, nodes).ofKind(kind, seed);
    }

    private Day ofKind(Named kind, long seed) {
        Day usual = PressDay.DAY;
        int servers = (int) Math.ceil(nodes * SERVERS_A_NODE);
        double load = kind == Named.OVERLOAD ? between(1, 1.3) : between(0.25, 0.45);
        Servers s = servers(usual.servers(), servers);
        Day day = new Day(kind.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'), seed, usual.length(),
                usual.halls(), usual.network(), nodes(usual.nodes(), usual.nodes().sockets(), usual.nodes().cores(),
                        usual.nodes().taskCost()), usual.classes(), usual.rules(), usual.prices(), s, usual.discovery(),
                rate(usual.clients(), rateFor(load, s, usual.classes())), List.of());
        return kind.kinds.isEmpty() ? day : withFaults(day, kind.kinds, 3 + random.nextInt(4) + nodes / 2);
    }

    private Day mixed(long seed) {
        Day usual = PressDay.DAY;
        int halls = 1 + random.nextInt(3);
        int count = Math.max(2, (int) Math.round(nodes * between(2.5, 4.5)));
        Servers servers = servers(usual.servers(), count);
        List<RequestClass> classes = classes();
        int sockets = (int) between(256, 1024);
        Clients clients = rate(clients(sockets), rateFor(between(0.2, 0.9), servers, classes));
        Day day = new Day("random-" + seed, seed, Duration.ofSeconds((long) between(12, 30)),
                usual.halls().subList(0, halls), network(),
                nodes(usual.nodes(), sockets, between(0.4, 1), micros(between(5, 40))), classes, usual.rules(),
                usual.prices(), servers, new Discovery(millis(between(200, 3000)), millis(between(5, 500)),
                        millis(between(0, 500))), clients, List.of());
        int faults = 1 + random.nextInt(8) + nodes / 4;
        return withFaults(day, EnumSet.allOf(Kind.class), chance(0.25) ? 3 * faults : faults);
    }

    private Network network() {
        double same = between(50, 400);
        double least = between(300, 2000);
        return new Network(micros(same), micros(same * between(1, 5)), micros(between(200, 1500)), between(0, 0.5),
                chance(0.7) ? 0 : between(0.0001, 0.01), micros(least), micros(least * between(1, 30)));
    }

    private Nodes nodes(Nodes usual, int sockets, double cores, Duration taskCost) {
        return new Nodes(nodes, sockets, cores, taskCost, usual.tries(), usual.peers(), usual.probes(),
                usual.longestRetryAfter());
    }

    private List<RequestClass> classes() {
        double pace = between(0.4, 1.6);
        List<RequestClass> classes = new ArrayList<>();
        for (RequestClass c : PressDay.DAY.classes()) {
            classes.add(paced(c, c.name(), c.share(), pace, "repeatable"));
        }
        if (chance(0.3)) {
            RequestClass first = PressDay.DAY.classes().get(0);
            classes.add(paced(first, "comment", between(0.05, 0.3), pace, chance(0.7) ? "once" : "by_key"));
        }
        return classes;
    }

    private static RequestClass paced(RequestClass c, String name, double share, double pace, String effect) {
        return new RequestClass(name, share, scaled(c.work(), pace), c.spread(), scaled(c.aim(), pace),
                scaled(c.deadline(), pace), c.worth(), c.lateWorth(), effect);
    }

    private Servers servers(Servers usual, int count) {
        return new Servers(count, usual.kinds(), usual.report(), usual.connections(), usual.probeWork(),
                usual.tryNoise(), usual.bodyBytes(), chance(0.5) ? "work" : "time", usual.restartAfter());
    }

    private Clients clients(int sockets) {
        Clients usual = PressDay.DAY.clients();
        return new Clients(usual.rate(), between(0, 0.7), millis(between(500, 5000)), between(0, 0.5),
                between(0.5, 1), between(0, 1), sockets / 3, chance(0.7) ? 0 : between(0, 0.1),
                millis(between(500, 1500)), millis(between(1500, 3000)), chance(0.6) ? 1 : between(0.5, 1),
                chance(0.3));
    }

    private static Clients rate(Clients c, double rate) {
        return new Clients(rate, c.burst(), c.burstLength(), c.skew(), c.patience(), c.heeds(), c.connections(),
                c.askOnce(), c.leastNotice(), c.mostNotice(), c.keeps(), c.marksRetries());
    }

    /** How many requests a second make this load: work asked for over work that the servers could do. */
    private static double rateFor(double load, Servers servers, List<RequestClass> classes) {
        double shares = servers.kinds().stream().mapToDouble(Day.Kind::share).sum();
        double cores = servers.count()
                * servers.kinds().stream().mapToDouble(k -> k.share() * k.cores() * k.speed()).sum() / shares;
        double asked = classes.stream().mapToDouble(RequestClass::share).sum();
        double work = classes.stream().mapToDouble(c -> c.share() * c.work().toNanos() / 1e9).sum() / asked;
        return load * cores / work;
    }

    /** The day with as many faults of these kinds as find a place. */
    private Day withFaults(Day day, Set<Kind> kinds, int count) {
        List<Kind> choice = List.copyOf(kinds);
        List<Fault> faults = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Kind kind = choice.get(random.nextInt(choice.size()));
            for (int tries = 0; tries < MOST_TRIES; tries++) {
                Fault fault = fault(kind, day);
                if (DayEdit.fits(fault, faults, day)) {
                    faults.add(fault);
                    break;
                }
            }
        }
        return DayEdit.withFaults(day, faults);
    }

    private Fault fault(Kind kind, Day day) {
        double end = day.length().toNanos() / 1e6;
        long at = (long) (between(0.02, 0.85) * end);
        long length = FaultReader.isInstant(kind) ? 0 : (long) Math.min(end - at, between(300, 8000));
        return new Fault(kind, Duration.ofMillis(at), Duration.ofMillis(length), target(kind, day), size(kind));
    }

    private int target(Kind kind, Day day) {
        int halls = day.halls().size();
        return switch (kind.at()) {
            case SERVER -> !FaultReader.takesAway(kind) && chance(0.1) ? Fault.ALL
                    : random.nextInt(day.servers().count());
            case NODE -> !FaultReader.takesAway(kind) && chance(0.1) ? Fault.ALL : random.nextInt(nodes);
            case DISCOVERY -> chance(0.5) ? Fault.ALL : random.nextInt(nodes);
            case PAIR_OF_HALLS -> random.nextInt(halls * halls);
            case HALL, CLIENTS -> Fault.ALL;
        };
    }

    private double size(Kind kind) {
        return switch (kind) {
            case SLOW -> between(1.5, 10);
            case PAUSES -> between(20, 600);
            case ERRORS, SPOILT, EXTRAS -> between(0.01, 0.4);
            case RESETS, SILENT -> between(0.01, 0.2);
            case REPORTS_LATE -> between(200, 5000);
            case REPORTS_BROKEN, DISCOVERY_HALF, DISCOVERY_MALFORMED -> between(0.1, 1);
            case DISCOVERY_STALE -> between(500, 8000);
            case SERVER_REPLACED, NODE_RELOADED -> random.nextInt(2);
            case NODE_SHORT -> between(0.1, 0.7);
            case LOSS -> between(0.01, 0.3);
            case DELAY -> between(2, 200);
            case SPIKE -> between(1.5, 4);
            case SKEW -> between(0, 1);
            case BAD_CLIENTS -> nodes * between(1, 10);
            case SILENT_CLIENTS -> nodes * between(2, 30);
            default -> 0;
        };
    }

    private boolean chance(double share) {
        return random.nextDouble() < share;
    }

    private double between(double least, double most) {
        return least + random.nextDouble() * (most - least);
    }

    private static Duration scaled(Duration span, double factor) {
        return micros(span.toNanos() / 1e3 * factor);
    }

    private static Duration micros(double count) {
        return Duration.ofNanos(1000 * (long) count);
    }

    private static Duration millis(double count) {
        return Duration.ofMillis((long) count);
    }
}
