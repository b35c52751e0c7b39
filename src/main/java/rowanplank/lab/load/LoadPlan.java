package rowanplank.lab.load;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import rowanplank.lab.day.Day;

/**
 * What load is to be put on whom.
 *
 * @param rate requests a second, over all threads
 * @param length how long is counted, after the warm-up
 * @param warmUp before that; the rate grows evenly over its first half
 * @param threads each has its own loop, and an even part of rate and connections
 * @param connections at most, to all targets together
 * @param ahead how many of them are opened before the first request
 * @param opening how many are being opened at a time, by each thread to each target
 * @param oldestFirst whether a request takes the connection that rests for longest; else the newest
 * @param check what a target must answer with 200 before it is used; empty for none
 * @param ready how long targets may take to be used, and the connections to be opened ahead
 * @param burst how far the rate swings; burstLength, patience, heeds, keeps and askOnce as in {@link Day.Clients}
 * @param late the run is marked if more than 1 % of its requests were dealt with later than this after their time
 */
public record LoadPlan(List<InetSocketAddress> targets, double rate, Duration length, Duration warmUp, int threads,
        long seed, int connections, int ahead, int opening, boolean oldestFirst, String check, Duration ready,
        double burst, Duration burstLength, double patience, double heeds, double keeps, double askOnce, Duration late,
        List<LoadClass> classes) {
    /** The bound that has been tried. */
    public static final int MOST_CONNECTIONS = 10_000;

    public static final LoadPlan USUAL = new LoadPlan(List.of(), 100, Duration.ofSeconds(10), Duration.ofSeconds(2), 1,
            1, 100, 0, 32, false, "", Duration.ofSeconds(10), 0, Duration.ofSeconds(3), 1, 0, 1, 0, Duration.ofMillis(5),
            List.of(new LoadClass("page", 1, "GET", "/", "", Duration.ofSeconds(10))));

    /**
     * Requests of a kind.
     *
     * @param share of all; shares need not sum to one
     * @param path of a request; each {@code {n}} in it, and in the body, is the request's number
     * @param deadline after it the client gives up
     */
    public record LoadClass(String name, double share, String method, String path, String body, Duration deadline) { }

    public LoadPlan {
        targets = List.copyOf(targets);
        classes = List.copyOf(classes);
    }

    /** What a day's clients do, as far as it hangs on no target and no time. */
    public static LoadPlan of(Day day) {
        List<LoadClass> classes = new ArrayList<>();
        for (Day.RequestClass c : day.classes()) {
            boolean repeatable = c.effect().equals("repeatable");
            classes.add(new LoadClass(c.name(), c.share(), repeatable ? "GET" : "POST", "/" + c.name() + "/page?n={n}",
                    repeatable ? "" : "n={n}", c.deadline()));
        }
        Day.Clients c = day.clients();
        return new LoadPlan(List.of(), c.rate(), day.length(), USUAL.warmUp, 1, day.seed(),
                Math.min(MOST_CONNECTIONS, c.connections() * day.halls().size() * day.nodes().count()), 0,
                USUAL.opening, false, "/up", USUAL.ready, c.burst(), c.burstLength(), c.patience(), c.heeds(),
                c.keeps(), c.askOnce(), USUAL.late, classes);
    }

    /** From its first request to its last. */
    Duration wholeLength() {
        return warmUp.plus(length);
    }

    Duration longestDeadline() {
        return classes.stream().map(LoadClass::deadline).max(Duration::compareTo).orElseThrow();
    }
}
