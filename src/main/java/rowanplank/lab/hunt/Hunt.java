package rowanplank.lab.hunt;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
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
    private final Plan plan;
    private final SortedMap<String, DayResult> found = new TreeMap<>();
    private final SortedMap<String, Long> broken = new TreeMap<>();
    private long next;
    private long days;
    private long events;
    private double service;
    private volatile boolean stopped;

    public Hunt(DayPlayer player, Clock clock, Plan plan) {
        this.player = player;
        this.clock = clock;
        this.plan = plan;
        next = plan.firstSeed();
    }

    /** Ends it as soon as the days that are being played are over; may be called from any thread. */
    public void stop() {
        stopped = true;
    }

    /** Hunts, on as many of the executor's threads as the plan has cores. */
    public Report run(ExecutorService threads) throws InterruptedException {
        Instant began = clock.now();
        onAll(threads, plan.cores(), this::play);
        List<Find> finds = shrink(threads);
        return new Report(days, events, days == 0 ? 0 : service / days, Duration.between(began, clock.now()), broken,
                finds, stopped);
    }

    private void play() {
        for (long seed; (seed = nextSeed()) >= 0;) {
            count(player.play(plan.draw().apply(seed)));
        }
    }

    /** Negative where no more is to be played. */
    private synchronized long nextSeed() {
        boolean over = stopped || next - plan.firstSeed() >= plan.mostDays() || !clock.now().isBefore(plan.until())
                || !plan.goesOn() && !found.isEmpty();
        return over ? -1 : next++;
    }

    private synchronized void count(DayResult result) {
        days++;
        events += result.events();
        service += result.service().service();
        for (String rule : result.broken().keySet()) {
            broken.merge(rule, 1L, Long::sum);
            DayResult before = found.get(rule);
            if (before == null || result.day().seed() < before.day().seed()) {
                found.put(rule, result);
            }
        }
    }

    private List<Find> shrink(ExecutorService threads) throws InterruptedException {
        List<Find> finds = new ArrayList<>();
        List<Future<Find>> futures = new ArrayList<>();
        found.forEach((rule, result) -> futures.add(threads.submit(() -> new Find(rule, result,
                Shrink.shrink(player, result, rule, MOST_SHRINKING_PLAYS, () -> stopped)))));
        for (Future<Find> f : futures) {
            finds.add(get(f));
        }
        return finds;
    }

    private static void onAll(ExecutorService threads, int count, Runnable task) throws InterruptedException {
        List<Future<?>> futures = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            futures.add(threads.submit(task));
        }
        for (Future<?> f : futures) {
            get(f);
        }
    }

    private static <T> T get(Future<T> future) throws InterruptedException {
        try {
            return future.get();
        } catch (ExecutionException e) {
            throw new IllegalStateException("a hunting thread failed", e.getCause());
        }
    }
}
