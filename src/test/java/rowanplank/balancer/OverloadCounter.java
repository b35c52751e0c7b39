package rowanplank.balancer;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Rule 4 for one start of a page server, counted as the rule states it and by nothing of the module's: the server falls
 * when it gets more than N + 2 sqrt(N) + 2 requests of mean work within the window, N being fall_multiple x its present
 * capacity x the window; the rule is broken if over two thirds of these came from nodes that were told of the start. Its
 * capacity is the least that the settings allow at its age.
 */
final class OverloadCounter {
    private static final double MOST_BY_TOLD = 2.0 / 3;

    /** The settings' figures, and what the server carries once it is warm, in requests of mean work a millisecond. */
    record ServerTerms(double initialCapacity, double warmupMs, double overloadMultiple, double windowMs, double warmRate) { }

    private record Arrival(double at, double work, boolean told) { }

    private final ServerTerms terms;
    private final double startedAt;
    private final Deque<Arrival> came = new ArrayDeque<>();
    private double all;
    private double byTold;
    /** The most that nodes that were told have sent in one window, as a part of what makes the server fall. */
    double maxInformedLoad;
    boolean overloaded;
    boolean ruleBroken;

    OverloadCounter(ServerTerms terms, double startedAt) {
        this.terms = terms;
        this.startedAt = startedAt;
    }

    /** Requests of mean work in one window that the server still bears at this time. */
    double overloadLimit(double now) {
        double age = Math.min(1, (now - startedAt) / terms.warmupMs());
        double capacity = terms.warmRate() * (terms.initialCapacity() + (1 - terms.initialCapacity()) * age);
        double n = terms.overloadMultiple() * capacity * terms.windowMs();
        return n + 2 * Math.sqrt(n) + 2;
    }

    /** @param work of the request, as a part of the mean */
    void arrived(double now, double work, boolean told) {
        if (overloaded || now - startedAt >= terms.warmupMs()) {
            return;
        }
        came.add(new Arrival(now, work, told));
        all += work;
        byTold += told ? work : 0;
        while (came.peek().at() <= now - terms.windowMs()) {
            Arrival old = came.poll();
            all -= old.work();
            byTold -= old.told() ? old.work() : 0;
        }
        maxInformedLoad = Math.max(maxInformedLoad, byTold / overloadLimit(now));
        if (all > overloadLimit(now)) {
            overloaded = true;
            ruleBroken = byTold > MOST_BY_TOLD * all;
        }
    }
}
