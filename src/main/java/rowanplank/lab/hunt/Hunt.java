package rowanplank.lab.hunt;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.SortedMap;
import java.util.concurrent.ExecutorService;
import java.util.function.LongFunction;
import rowanplank.lab.day.Day;
import rowanplank.lab.run.DayPlayer;
import rowanplank.lab.run.DayResult;
import rowanplank.net.Clock;

/**
 * Plays random days, several at a time, until a rule breaks or the time is up, then makes smaller what broke it. Days
 * are drawn from seeds that follow each other; which are played in a given time hangs on the machine, what comes of
 * each does not.
 */
public final class Hunt {
    /** Enough for most days; a round over everything takes some fifty. */
    private static final int MOST_SHRINKING_PLAYS = 200;

    /**
     * What to hunt for how long.
     *
     * @param firstSeed of the first day; each next one has the next
     * @param mostDays it ends after so many days
     * @param until and then
     * @param goesOn whether to go on after a rule was broken, until the end: one day is kept for each rule
     */
    public record Plan(LongFunction<Day> draw, long firstSeed, long mostDays, Instant until, int cores,
            boolean goesOn) { }

    /** A day that broke a rule. */
    public record Find(String rule, DayResult found, Shrink.Smaller smaller) { }

    /**
     * What a hunt came to.
     *
     * @param broken on how many days each rule was broken
     * @param finds by rule, the one with the least seed of each
     */
    public record Report(long days, long events, double meanService, Duration took, SortedMap<String, Long> broken,
            List<Find> finds, boolean interrupted) {
        public String text() {
            StringBuilder t = new StringBuilder(String.format(Locale.ROOT,
                    "%d days, %d events in %.1f s, mean service %.4f%s%n", days, events, took.toNanos() / 1e9,
                    meanService, interrupted ? "; interrupted" : ""));
            broken.forEach((rule, count) -> t.append("rule broken: ").append(rule).append(", on ").append(count)
                    .append(count == 1 ? " day" : " days").append(System.lineSeparator()));
            return t.toString();
        }
    }

    private final DayPlayer player;
    private final Clock clock;
    private final Search<DayResult> search;
    private long events;
    private double service;

    public Hunt(DayPlayer player, Clock clock, Plan plan) {
        this.player = player;
        this.clock = clock;
        search = new Search<>(new Search.Bounds(plan.firstSeed(), plan.mostDays(), plan.until(), plan.cores(), plan.goesOn()),
                clock, seed -> count(player.play(plan.draw().apply(seed))), r -> r.broken().keySet());
    }

    /** Ends it as soon as the days that are being played are over; may be called from any thread. */
    public void stop() {
        search.stop();
    }

    /** Hunts, on as many of the executor's threads as the plan has cores. */
    public Report run(ExecutorService threads) throws InterruptedException {
        Instant began = clock.now();
        search.run(threads);
        List<Find> finds = search.ofEach(threads, (rule, result) -> new Find(rule, result,
                Shrink.shrink(player, result, rule, MOST_SHRINKING_PLAYS, search::isStopped)));
        long days = search.played();
        return new Report(days, events, days == 0 ? 0 : service / days, Duration.between(began, clock.now()),
                search.broken(), finds, search.isStopped());
    }

    private synchronized DayResult count(DayResult result) {
        events += result.events();
        service += result.service().service();
        return result;
    }
}
