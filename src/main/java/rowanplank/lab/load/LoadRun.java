package rowanplank.lab.load;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import net.openhft.hashing.LongHashFunction;
import rowanplank.config.Addresses;
import rowanplank.config.ConfigException;
import rowanplank.config.Units;
import rowanplank.net.Clock;
import rowanplank.net.Descriptors;
import rowanplank.net.SelectorLoop;

/**
 * Puts a load on its targets, on threads of its own, and waits for what comes of it. Each thread stays awake between
 * requests that are near: it takes its core whole, so as to be on time.
 */
public final class LoadRun {
    /** Descriptors for all that is no connection to a target. */
    private static final int OTHER_DESCRIPTORS = 100;
    private static final Duration LOOK = Duration.ofMillis(20);
    private static final Duration SECOND = Duration.ofSeconds(1);
    /** All threads have heard of the beginning by then. */
    private static final Duration LEAD = Duration.ofMillis(100);
    /** The last requests end within their deadline and this. */
    private static final Duration LAST = Duration.ofSeconds(2);
    private static final int DIGITS = 3;

    /** Who is told of it while it runs; called on the caller's thread. */
    public interface Listener {
        /** A line for people. */
        void says(String line);

        /**
         * What was recorded in about a second, by tag; the histograms are valid within the call only.
         *
         * @param from and until: Unix time in milliseconds
         */
        void recorded(List<String> tags, List<Histogram> micros, long from, long until);

        /** Hears only lines. */
        static Listener lines(Consumer<String> lines) {
            return new Listener() {
                @Override
                public void says(String line) {
                    lines.accept(line);
                }

                @Override
                public void recorded(List<String> tags, List<Histogram> micros, long from, long until) { }
            };
        }
    }

    private final LoadPlan plan;
    private final Clock clock;
    private final Listener listener;
    private final List<SelectorLoop> loops = new ArrayList<>();
    private final List<LoadThread> threads = new ArrayList<>();
    private final List<String> tags;
    private final List<Histogram> totals;
    private final CountDownLatch stopped = new CountDownLatch(1);

    /** @throws ConfigException if the plan has no target, or this process may not hold so many connections */
    public LoadRun(LoadPlan plan, Clock clock, Listener listener) {
        this.plan = plan;
        this.clock = clock;
        this.listener = listener;
        tags = LoadMeter.tags(plan);
        totals = histograms();
        if (plan.targets().isEmpty()) {
            throw new ConfigException("no target: name one by --target ADDRESS, or targets in the file");
        }
        long needed = plan.connections() + OTHER_DESCRIPTORS;
        if (needed > Descriptors.limit()) {
            throw new ConfigException(plan.connections() + " connections need " + needed + " descriptors, and this process"
                    + " may hold " + Descriptors.limit() + "; raise it by ulimit -n, or lower --connections");
        }
    }

    private List<Histogram> histograms() {
        return tags.stream().map(t -> new Histogram(DIGITS)).toList();
    }

    /** Ends it soon, with what has come so far; may be called from any thread. */
    public void stop() {
        stopped.countDown();
    }

    /** @throws IOException if no target is ready in time, or a thread can't be started */
    public LoadResult run() throws IOException, InterruptedException {
        Instant beginning = clock.now();
        String run = String.format("%08x", (int) LongHashFunction.xx(plan.seed()).hashLong(beginning.getNano()
                + 1_000_000_000 * beginning.getEpochSecond()));
        try {
            for (int i = 0; i < plan.threads(); i++) {
                loops.add(start());
                threads.add(new LoadThread(plan, i, loops.get(i), beginning, run));
            }
            each(LoadThread::prepare);
            awaitTargets();
            int opened = sum(LoadThread::connections);
            long from = nanos(beginning) + LEAD.toNanos();
            each(t -> t.begin(from));
            boolean interrupted = record(from, beginning);
            return result(interrupted, from, beginning, opened);
        } finally {
            end();
        }
    }

    private SelectorLoop start() throws IOException {
        SelectorLoop loop = new SelectorLoop(clock, e -> listener.says("unexpected failure: " + e),
                SelectorLoop.Wait.AWAKE);
        try {
            loop.start();
        } catch (Exception e) {
            throw new IOException("can't start a thread: " + e, e);
        }
        return loop;
    }

    private void end() throws IOException {
        for (SelectorLoop loop : loops) {
            try {
                loop.stop();
            } catch (Exception e) {
                throw new IOException("can't end a thread: " + e, e);
            }
        }
    }

    private long nanos(Instant beginning) {
        return Duration.between(beginning, clock.now()).toNanos();
    }

    private void each(Consumer<LoadThread> task) throws IOException, InterruptedException {
        for (int i = 0; i < threads.size(); i++) {
            LoadThread thread = threads.get(i);
            loops.get(i).call(() -> {
                task.accept(thread);
                return null;
            });
        }
    }

    private interface Count {
        int of(LoadThread thread);
    }

    private int sum(Count count) throws IOException, InterruptedException {
        int sum = 0;
        for (int i = 0; i < threads.size(); i++) {
            LoadThread thread = threads.get(i);
            sum += loops.get(i).call(() -> count.of(thread));
        }
        return sum;
    }

    private boolean all(java.util.function.Predicate<LoadThread> which) throws IOException, InterruptedException {
        return sum(t -> which.test(t) ? 1 : 0) == threads.size();
    }

    private void awaitTargets() throws IOException, InterruptedException {
        Instant until = clock.now().plus(plan.ready());
        while (!all(LoadThread::isPrepared)) {
            if (stopped.await(LOOK.toMillis(), TimeUnit.MILLISECONDS)) {
                return;
            }
            if (clock.now().isAfter(until)) {
                throw new IOException("not ready within " + Units.format(plan.ready()) + ": "
                        + Addresses.format(plan.targets().get(0))
                        + (plan.targets().size() > 1 ? " or another target" : "") + "; " + waitsFor());
            }
        }
    }

    private String waitsFor() throws IOException, InterruptedException {
        return (plan.check().isEmpty() ? "" : "it has to answer GET " + plan.check() + " with 200; ")
                + sum(LoadThread::connections) + " of " + plan.ahead() + " connections were open, "
                + sum(LoadThread::failedOpenings) + " did not come up";
    }

    /** @return whether it was stopped */
    private boolean record(long from, Instant beginning) throws IOException, InterruptedException {
        Instant end = beginning.plusNanos(from).plus(plan.wholeLength());
        Instant last = end.plus(plan.longestDeadline()).plus(LAST);
        Instant second = clock.now();
        boolean interrupted = false;
        while (!interrupted && clock.now().isBefore(last) && !(clock.now().isAfter(end) && all(LoadThread::atRest))) {
            interrupted = stopped.await((clock.now().isBefore(end) ? SECOND : LOOK).toMillis(), TimeUnit.MILLISECONDS);
            Instant now = clock.now();
            take(second, now, interrupted || !now.isBefore(end));
            second = now;
        }
        threads.forEach(LoadThread::stop);
        return interrupted;
    }

    private void take(Instant from, Instant until, boolean last) {
        List<Histogram> taken = histograms();
        threads.forEach(t -> t.meter().take(taken));
        for (int i = 0; i < taken.size(); i++) {
            totals.get(i).add(taken.get(i));
        }
        listener.recorded(tags, taken, from.toEpochMilli(), until.toEpochMilli());
        Histogram ends = taken.get(tags.size() - 3);
        if (!last) {
            listener.says(ends.getTotalCount() == 0 ? "warming up" : String.format(Locale.ROOT,
                    "%d requests ended; ms from when due: half %.2f, 99 %% %.2f; own lateness, 99 %%: %.2f",
                    ends.getTotalCount(), ends.getValueAtPercentile(50) / 1e3, ends.getValueAtPercentile(99) / 1e3,
                    taken.get(tags.size() - 1).getValueAtPercentile(99) / 1e3));
        }
    }

    private LoadResult result(boolean interrupted, long from, Instant beginning, int opened)
            throws IOException, InterruptedException {
        long counted = Math.max(0, Math.min(plan.length().toNanos(),
                nanos(beginning) - from - plan.warmUp().toNanos()));
        List<long[]> ends = new ArrayList<>();
        plan.classes().forEach(c -> ends.add(new long[LoadMeter.End.values().length]));
        int left = sum(LoadThread::connections);
        int failed = sum(LoadThread::failedOpenings);
        int open = sum(t -> {
            for (int i = 0; i < ends.size(); i++) {
                for (int e = 0; e < ends.get(i).length; e++) {
                    ends.get(i)[e] += t.meter().ends()[i][e];
                }
            }
            return (int) t.meter().open();
        });
        take(clock.now(), clock.now(), true);
        each(LoadThread::close);
        return new LoadResult(plan, interrupted, Duration.ofNanos(counted), ends, open, totals, opened, left, failed);
    }
}
