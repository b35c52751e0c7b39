package rowanplank.lab.day;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import rowanplank.lab.day.Day.Clients;
import rowanplank.lab.day.Day.Nodes;
import rowanplank.lab.day.Day.RequestClass;
import rowanplank.lab.day.Day.Servers;

/**
 * A day with something else in it. Faults beyond its end are cut short or left out; those at a server or node that is
 * no more move to another one, if no other fault is in their way there.
 */
public final class DayEdit {
    private DayEdit() { }

    public static Day withFaults(Day d, List<Fault> faults) {
        return new Day(d.name(), d.seed(), d.length(), d.halls(), d.network(), d.nodes(), d.classes(), d.rules(),
                d.prices(), d.servers(), d.discovery(), d.clients(), faults);
    }

    public static Day withName(Day d, String name) {
        return new Day(name, d.seed(), d.length(), d.halls(), d.network(), d.nodes(), d.classes(), d.rules(),
                d.prices(), d.servers(), d.discovery(), d.clients(), d.faults());
    }

    public static Day withSeed(Day d, long seed) {
        return new Day(d.name(), seed, d.length(), d.halls(), d.network(), d.nodes(), d.classes(), d.rules(),
                d.prices(), d.servers(), d.discovery(), d.clients(), d.faults());
    }

    public static Day withLength(Day d, Duration length) {
        return fitted(new Day(d.name(), d.seed(), length, d.halls(), d.network(), d.nodes(), d.classes(), d.rules(),
                d.prices(), d.servers(), d.discovery(), d.clients(), d.faults()));
    }

    public static Day withNodes(Day d, int count) {
        Nodes n = d.nodes();
        Nodes nodes = new Nodes(count, n.sockets(), n.cores(), n.taskCost(), n.tries(), n.peers(), n.probes(),
                n.longestRetryAfter());
        return fitted(new Day(d.name(), d.seed(), d.length(), d.halls(), d.network(), nodes, d.classes(), d.rules(),
                d.prices(), d.servers(), d.discovery(), d.clients(), d.faults()));
    }

    public static Day withServers(Day d, int count) {
        Servers s = d.servers();
        Servers servers = new Servers(count, s.kinds(), s.report(), s.connections(), s.probeWork(),
                s.tryNoise(), s.bodyBytes(), s.warmBy(), s.restartAfter());
        return fitted(new Day(d.name(), d.seed(), d.length(), d.halls(), d.network(), d.nodes(), d.classes(), d.rules(),
                d.prices(), servers, d.discovery(), d.clients(), d.faults()));
    }

    public static Day withRate(Day d, double rate) {
        Clients c = d.clients();
        Clients clients = new Clients(rate, c.burst(), c.burstLength(), c.skew(), c.patience(), c.heeds(),
                c.connections(), c.askOnce(), c.leastNotice(), c.mostNotice(), c.keeps(), c.marksRetries());
        return new Day(d.name(), d.seed(), d.length(), d.halls(), d.network(), d.nodes(), d.classes(), d.rules(),
                d.prices(), d.servers(), d.discovery(), clients, d.faults());
    }

    /** @param classes at least one of them must have a share */
    public static Day withClasses(Day d, List<RequestClass> classes) {
        return new Day(d.name(), d.seed(), d.length(), d.halls(), d.network(), d.nodes(), classes, d.rules(),
                d.prices(), d.servers(), d.discovery(), d.clients(), d.faults());
    }

    /** With only the first halls; ways between others are left out. */
    public static Day withHalls(Day d, int count) {
        int before = d.halls().size();
        List<Fault> faults = new ArrayList<>();
        for (Fault f : d.faults()) {
            boolean pair = f.kind().at() == Fault.At.PAIR_OF_HALLS && f.target() != Fault.ALL;
            int from = f.target() / before;
            int to = f.target() % before;
            if (!pair) {
                faults.add(f);
            } else if (from < count && to < count) {
                faults.add(new Fault(f.kind(), f.at(), f.length(), from * count + to, f.size()));
            }
        }
        return new Day(d.name(), d.seed(), d.length(), d.halls().subList(0, count), d.network(), d.nodes(), d.classes(),
                d.rules(), d.prices(), d.servers(), d.discovery(), d.clients(), faults);
    }

    /** Whether the fault can be on that day beside these others. */
    public static boolean fits(Fault fault, List<Fault> others, Day d) {
        return others.stream().noneMatch(o -> FaultReader.clash(o, fault, d.servers().restartAfter()));
    }

    private static Day fitted(Day d) {
        List<Fault> faults = new ArrayList<>();
        for (Fault f : d.faults()) {
            int targets = switch (f.kind().at()) {
                case SERVER -> d.servers().count();
                case NODE, DISCOVERY -> d.nodes().count();
                default -> Integer.MAX_VALUE;
            };
            if (f.at().compareTo(d.length()) < 0) {
                Duration left = d.length().minus(f.at());
                Fault fitting = new Fault(f.kind(), f.at(), f.length().compareTo(left) < 0 ? f.length() : left,
                        f.target() % targets, f.size());
                if (fits(fitting, faults, d)) {
                    faults.add(fitting);
                }
            }
        }
        return withFaults(d, faults);
    }
}
