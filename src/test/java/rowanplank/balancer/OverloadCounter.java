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
    record ServerTerms(double coldFrom, double coldMs, double fallMultiple, double fallMs, double warmRate) { }

    private record Arrival(double at, double work, boolean told) { }

    private final ServerTerms terms;
    private final double startedAt;
    private final Deque<Arrival> came = new ArrayDeque<>();
    private double all;
    private double byTold;
    /** The most that nodes that were told have sent in one window, as a part of what makes the server fall. */
    double mostByTold;
    boolean fallen;
    boolean broken;

    OverloadCounter(ServerTerms terms, double startedAt) {
        this.terms = terms;
        this.startedAt = startedAt;
    }

    /** Requests of mean work in one window that the server still bears at this time. */
    double bears(double now) {
        double age = Math.min(1, (now - startedAt) / terms.coldMs());
        double capacity = terms.warmRate() * (terms.coldFrom() + (1 - terms.coldFrom()) * age);
        double n = terms.fallMultiple() * capacity * terms.fallMs();
        return n + 2 * Math.sqrt(n) + 2;
    }

    /** @param work of the request, as a part of the mean */
    void came(double now, double work, boolean told) {
        if (fallen || now - startedAt >= terms.coldMs()) {
            return;
        }
        came.add(new Arrival(now, work, told));
        all += work;
        byTold += told ? work : 0;
        while (came.peek().at() <= now - terms.fallMs()) {
            Arrival old = came.poll();
            all -= old.work();
            byTold -= old.told() ? old.work() : 0;
        }
        mostByTold = Math.max(mostByTold, byTold / bears(now));
        if (all > bears(now)) {
            fallen = true;
            broken = byTold > MOST_BY_TOLD * all;
        }
    }
}
