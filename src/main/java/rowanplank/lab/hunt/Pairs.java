package rowanplank.lab.hunt;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import java.util.function.LongFunction;
import rowanplank.lab.day.Day;
import rowanplank.lab.run.DayResult;
import rowanplank.lab.run.DayRun;
import rowanplank.lab.run.Service;
import rowanplank.lab.trace.Event.Kind;

/** The same days played in several ways, and what each way gains over the first, day by day. */
public final class Pairs {
    /** Half of an interval that holds the mean gain in 19 of 20 cases, in standard errors, where days are many. */
    private static final double INTERVAL = 1.96;

    /**
     * One day played in one way.
     *
     * @param refused of all that was asked
     * @param felled servers that went down because they were sent too much while cold
     * @param broken rules
     */
    public record One(double service, double worst, double refused, double lost, double datagrams, long felled,
            List<String> broken) { }

    /** A way's mean figures, and its gain in service over the first way. */
    public record Mean(String way, int days, double service, double gain, double interval, double worst, double refused,
            double lost, double datagrams, long felled, Map<String, Integer> broken) {
        public String text() {
            return String.format(Locale.ROOT, "%-11s service %.4f (%+.4f +- %.4f), worst 10 s %.4f, refused %.4f, lost %.4f, "
                    + "datagrams %.3f, cold servers felled %d%s", way, service, gain, interval, worst, refused, lost, datagrams,
                    felled, broken.isEmpty() ? "" : ", rules broken " + broken);
        }
    }

    private final Map<String, DayRun.Manner> ways;
    private final LongFunction<Day> draw;

    /** @param ways by name; each must be able to play several days at a time */
    public Pairs(Map<String, DayRun.Manner> ways, LongFunction<Day> draw) {
        this.ways = new LinkedHashMap<>(ways);
        this.draw = draw;
    }

    public List<Mean> play(ExecutorService threads, long firstSeed, int seeds) throws InterruptedException {
        Map<String, List<Future<One>>> all = new LinkedHashMap<>();
        for (int i = 0; i < seeds; i++) {
            long seed = firstSeed + i;
            ways.forEach((name, manner) -> all.computeIfAbsent(name, n -> new ArrayList<>())
                    .add(threads.submit(() -> one(manner, draw.apply(seed)))));
        }
        List<Mean> means = new ArrayList<>();
        List<One> first = null;
        for (Map.Entry<String, List<Future<One>>> way : all.entrySet()) {
            List<One> ones = new ArrayList<>();
            for (Future<One> f : way.getValue()) {
                ones.add(get(f));
            }
            first = first == null ? ones : first;
            means.add(mean(way.getKey(), ones, first));
        }
        return means;
    }

    private static One one(DayRun.Manner manner, Day day) {
        long[] felled = new long[1];
        DayResult r = new DayRun(manner.withTrace(e -> felled[0] += e.kind() == Kind.SERVER_FELL ? 1 : 0)).play(day);
        Service s = r.service();
        double asked = Math.max(1, s.classes().stream().mapToLong(Service.OfClass::asked).sum());
        List<String> broken = new ArrayList<>(r.broken().keySet());
        if (r.how() != DayResult.How.ENDED) {
            broken.add(r.how().name());
        }
        return new One(s.service(), s.worstTenSeconds(), s.classes().stream().mapToLong(Service.OfClass::refused).sum() / asked,
                s.classes().stream().mapToLong(c -> c.lost() + c.failed()).sum() / asked, s.datagrams(), felled[0], broken);
    }

    private static Mean mean(String way, List<One> ones, List<One> first) {
        int n = ones.size();
        double[] gains = new double[n];
        double gain = 0;
        for (int i = 0; i < n; i++) {
            gains[i] = ones.get(i).service() - first.get(i).service();
            gain += gains[i] / n;
        }
        double square = 0;
        for (double g : gains) {
            square += (g - gain) * (g - gain);
        }
        Map<String, Integer> broken = new java.util.TreeMap<>();
        ones.forEach(o -> o.broken().forEach(b -> broken.merge(b, 1, Integer::sum)));
        return new Mean(way, n, ones.stream().mapToDouble(One::service).sum() / n, gain,
                n < 2 ? 0 : INTERVAL * Math.sqrt(square / (n - 1) / n), ones.stream().mapToDouble(One::worst).sum() / n,
                ones.stream().mapToDouble(One::refused).sum() / n, ones.stream().mapToDouble(One::lost).sum() / n,
                ones.stream().mapToDouble(One::datagrams).sum() / n, ones.stream().mapToLong(One::felled).sum(), broken);
    }

    private static <T> T get(Future<T> future) throws InterruptedException {
        try {
            return future.get();
        } catch (ExecutionException e) {
            throw new IllegalStateException("a day could not be played", e.getCause());
        }
    }
}
