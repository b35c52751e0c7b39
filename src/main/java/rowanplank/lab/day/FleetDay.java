package rowanplank.lab.day;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;
import rowanplank.lab.day.DayDraw.Named;
import rowanplank.lab.world.World;

/**
 * Days on which much breaks at once, to hold ways of sharing page servers against each other: usual days (see
 * {@link DayDraw.Named#CALM}) with one great fault at 15 s. Hardly anything is asked in the first 4 s, in which nodes meet.
 */
public enum FleetDay {
    CALM("nothing goes wrong"),
    KILLED("seven in ten nodes are killed at once, and are back after 8 s"),
    HALL("all nodes and servers of a hall are killed, and are back after 8 s, the servers cold"),
    REPLACED("six in ten servers are replaced by cold ones within 3 s"),
    BURST("two and a half times the requests for 8 s, all from one hall"),
    RETRIES("three in ten answers of all servers can't be read, for 8 s");

    private static final Duration MEETING = Duration.ofSeconds(4);
    private static final double HARDLY_ANY = 0.02;
    private static final Duration AT = Duration.ofSeconds(15);
    private static final Duration LENGTH = Duration.ofSeconds(8);
    private static final int REPLACED_WITHIN_MS = 3000;
    private static final double NODES_KILLED = 0.7;
    private static final double SERVERS_REPLACED = 0.6;
    private static final double SPOILT = 0.3;
    private static final double TIMES = 2.5;

    private final String what;

    FleetDay(String what) {
        this.what = what;
    }

    /** What such a day is like. */
    public String what() {
        return what;
    }

    /** @param load so many times the usual day's rate of requests */
    public Day draw(long seed, int nodes, double load) {
        Day calm = DayDraw.named(Named.CALM, seed, nodes);
        Day day = DayEdit.withName(DayEdit.withRate(calm, load * calm.clients().rate()),
                "fleet-" + name().toLowerCase(java.util.Locale.ROOT));
        List<Fault> faults = new ArrayList<>(List.of(new Fault(Fault.Kind.SPIKE, Duration.ZERO, MEETING, Fault.ALL, HARDLY_ANY)));
        faults.addAll(faults(day, new World(seed).random("fleet day")));
        return DayEdit.withFaults(day, faults);
    }

    private List<Fault> faults(Day day, UniformRandomProvider random) {
        int nodes = day.nodes().count();
        int servers = day.servers().count();
        int halls = day.halls().size();
        int hall = random.nextInt(halls);
        return switch (this) {
            case CALM -> List.of();
            case KILLED -> all(Fault.Kind.NODE_KILLED, some(nodes, NODES_KILLED, random));
            case HALL -> {
                List<Fault> both = all(Fault.Kind.NODE_KILLED, of(nodes, i -> i % halls == hall));
                both.addAll(all(Fault.Kind.SERVER_KILLED, of(servers, i -> i % halls == hall)));
                yield both;
            }
            case REPLACED -> some(servers, SERVERS_REPLACED, random).stream().map(s -> new Fault(Fault.Kind.SERVER_REPLACED,
                    AT.plusMillis(random.nextInt(REPLACED_WITHIN_MS)), Duration.ZERO, s, 0)).toList();
            case BURST -> List.of(new Fault(Fault.Kind.SPIKE, AT, LENGTH, Fault.ALL, TIMES),
                    new Fault(Fault.Kind.SKEW, AT, LENGTH, Fault.ALL, 1));
            case RETRIES -> List.of(new Fault(Fault.Kind.SPOILT, AT, LENGTH, Fault.ALL, SPOILT));
        };
    }

    private static List<Fault> all(Fault.Kind kind, List<Integer> targets) {
        List<Fault> faults = new ArrayList<>();
        targets.forEach(t -> faults.add(new Fault(kind, AT, LENGTH, t, 0)));
        return faults;
    }

    private static List<Integer> of(int count, IntPredicate which) {
        return IntStream.range(0, count).filter(which).boxed().toList();
    }

    private static List<Integer> some(int count, double share, UniformRandomProvider random) {
        List<Integer> all = new ArrayList<>(of(count, i -> true));
        ListSampler.shuffle(random, all);
        List<Integer> some = all.subList(0, (int) (share * count));
        Collections.sort(some);
        return some;
    }
}
