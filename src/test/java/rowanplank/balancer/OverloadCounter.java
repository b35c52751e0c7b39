package rowanplank.balancer;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Checks rule 4 for one start of a page server, as the rule states it and independently of the module. The server is
 * overloaded when it gets more than N + 2 sqrt(N) + 2 requests of mean work within the window, where N =
 * fall_multiple x its present capacity x the window. The rule is broken if over two thirds of these came from nodes
 * that had been told of the start. The capacity is the lowest that the settings allow at the server's age.
 */
final class OverloadCounter {
    private static final double MAX_INFORMED_SHARE = 2.0 / 3;

    /**
     * The parameters from the settings, and the capacity of the warm server in requests of mean work per millisecond.
     */
    record ServerTerms(double initialCapacity, double warmupMs, double overloadMultiple, double windowMs,
            double warmRate) { }

    private record Arrival(double at, double work, boolean informed) { }

    private final ServerTerms terms;
    private final double startedAt;
    private final Deque<Arrival> arrivals = new ArrayDeque<>();
    private double totalWork;
    private double informedWork;
    /**
     * The highest load that nodes aware of the start have sent in one window, as a fraction of what overloads the
     * server.
     */
    double maxInformedLoad;
    boolean overloaded;
    boolean ruleBroken;

    OverloadCounter(ServerTerms terms, double startedAt) {
        this.terms = terms;
        this.startedAt = startedAt;
    }

    /**
     * The number of requests of mean work in one window that the server can take at this time without being
     * overloaded.
     */
    double overloadLimit(double now) {
        double age = Math.min(1, (now - startedAt) / terms.warmupMs());
        double capacity = terms.warmRate() * (terms.initialCapacity() + (1 - terms.initialCapacity()) * age);
        double n = terms.overloadMultiple() * capacity * terms.windowMs();
        return n + 2 * Math.sqrt(n) + 2;
    }

    /**
     * Counts a request that has arrived.
     *
     * @param work the request's work as a multiple of the mean
     * @param informed whether its node had been told of the start
     */
    void arrived(double now, double work, boolean informed) {
        if (overloaded || now - startedAt >= terms.warmupMs()) {
            return;
        }
        arrivals.add(new Arrival(now, work, informed));
        totalWork += work;
        informedWork += informed ? work : 0;
        while (arrivals.peek().at() <= now - terms.windowMs()) {
            Arrival old = arrivals.poll();
            totalWork -= old.work();
            informedWork -= old.informed() ? old.work() : 0;
        }
        maxInformedLoad = Math.max(maxInformedLoad, informedWork / overloadLimit(now));
        if (totalWork > overloadLimit(now)) {
            overloaded = true;
            ruleBroken = informedWork > MAX_INFORMED_SHARE * totalWork;
        }
    }
}
