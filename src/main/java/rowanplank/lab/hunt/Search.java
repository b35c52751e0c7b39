package rowanplank.lab.hunt;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.function.LongFunction;
import rowanplank.net.Clock;

/**
 * Plays one seed after the other, several at a time, until a rule breaks or the time is up. Which are played in a given
 * time hangs on the machine, what comes of each does not.
 */
final class Search<R> {
    /**
     * @param firstSeed each next one has the next
     * @param most it ends after so many
     * @param until and then
     * @param goesOn whether to go on after a rule was broken, until the end
     */
    record Bounds(long firstSeed, long most, Instant until, int cores, boolean goesOn) { }

    private record Played<R>(long seed, R result) { }

    private final Bounds bounds;
    private final Clock clock;
    private final LongFunction<R> play;
    private final Function<R, Collection<String>> rules;
    private final SortedMap<String, Played<R>> found = new TreeMap<>();
    private final SortedMap<String, Long> broken = new TreeMap<>();
    private long next;
    private long played;
    private volatile boolean stopped;

    /** @param rules that a result has broken, each once */
    Search(Bounds bounds, Clock clock, LongFunction<R> play, Function<R, Collection<String>> rules) {
        this.bounds = bounds;
        this.clock = clock;
        this.play = play;
        this.rules = rules;
        next = bounds.firstSeed();
    }

    /** Ends it as soon as what is being played is over; may be called from any thread. */
    void stop() {
        stopped = true;
    }

    boolean isStopped() {
        return stopped;
    }

    long played() {
        return played;
    }

    /** How often each rule was broken. */
    SortedMap<String, Long> broken() {
        return broken;
    }

    /** On as many of the executor's threads as there are to be cores. */
    void run(ExecutorService threads) throws InterruptedException {
        List<Future<?>> futures = new ArrayList<>();
        for (int i = 0; i < bounds.cores(); i++) {
            futures.add(threads.submit(this::play));
        }
        for (Future<?> f : futures) {
            get(f);
        }
    }

    private void play() {
        for (long seed; (seed = nextSeed()) >= 0;) {
            count(seed, play.apply(seed));
        }
    }

    /** Negative where no more is to be played. */
    private synchronized long nextSeed() {
        boolean over = stopped || next - bounds.firstSeed() >= bounds.most() || !clock.now().isBefore(bounds.until())
                || !bounds.goesOn() && !found.isEmpty();
        return over ? -1 : next++;
    }

    private synchronized void count(long seed, R result) {
        played++;
        for (String rule : rules.apply(result)) {
            broken.merge(rule, 1L, Long::sum);
            Played<R> before = found.get(rule);
            if (before == null || seed < before.seed()) {
                found.put(rule, new Played<>(seed, result));
            }
        }
    }

    /** What becomes of the least seed that broke each rule, made on the executor's threads. */
    <F> List<F> ofEach(ExecutorService threads, BiFunction<String, R, F> made) throws InterruptedException {
        List<Future<F>> futures = new ArrayList<>();
        found.forEach((rule, p) -> futures.add(threads.submit(() -> made.apply(rule, p.result()))));
        List<F> all = new ArrayList<>();
        for (Future<F> f : futures) {
            all.add(get(f));
        }
        return all;
    }

    private static <T> T get(Future<T> future) throws InterruptedException {
        try {
            return future.get();
        } catch (ExecutionException e) {
            throw new IllegalStateException("a hunting thread failed", e.getCause());
        }
    }
}
