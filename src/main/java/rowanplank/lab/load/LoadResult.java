package rowanplank.lab.load;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import rowanplank.config.Addresses;
import rowanplank.config.Units;
import rowanplank.lab.load.LoadMeter.End;

/**
 * What came of a load.
 *
 * @param counted for how long requests were counted
 * @param ends how many requests of each class ended how
 * @param open requests that had not ended when the run was broken off
 * @param micros the histograms, in the order of {@link LoadMeter#tags}
 * @param opened connections that were open before the first request
 * @param left connections that were open after the last
 * @param failedOpenings how often a connection did not come up
 */
public record LoadResult(LoadPlan plan, boolean interrupted, Duration counted, List<long[]> ends, long open,
        List<Histogram> micros, int opened, int left, int failedOpenings) {
    private static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};
    private static final int NOT_CLASSES = 3;

    public LoadResult {
        ends = List.copyOf(ends);
        micros = List.copyOf(micros);
    }

    private Histogram special(int fromEnd) {
        return micros.get(micros.size() - fromEnd);
    }

    /** From when a request was due to its end, whatever that was. */
    public Histogram anyEnd() {
        return special(NOT_CLASSES);
    }

    /** From when a request was written to its answer, of those that were served: what a closed loop would count. */
    public Histogram fromSent() {
        return special(2);
    }

    /** From when a request was due to when it was written, or began to wait for a connection. */
    public Histogram lateness() {
        return special(1);
    }

    /** From when a request was due to its answer, of those that were served. */
    public Histogram ofClass(int number) {
        return micros.get(number);
    }

    /** The share of requests that were dealt with later than the plan's bound. */
    public double lateShare() {
        Histogram late = lateness();
        double bound = plan.late().toNanos() / 1e3;
        return late.getTotalCount() == 0 ? 0
                : late.getCountBetweenValues((long) bound + 1, Long.MAX_VALUE) / (double) late.getTotalCount();
    }

    /** Whether the tool was too late for its figures to be the targets' alone. */
    public boolean isLate() {
        return lateShare() > 0.01;
    }

    public long asked() {
        return ends.stream().mapToLong(e -> Arrays.stream(e).sum()).sum() + open;
    }

    public long served() {
        return ends.stream().mapToLong(e -> e[End.SERVED.ordinal()]).sum();
    }

    private double seconds() {
        return counted.toNanos() / 1e9;
    }

    private String targets() {
        return plan.targets().stream().map(Addresses::format).collect(Collectors.joining(", "));
    }

    /** The same as lines of text. */
    public String text() {
        StringBuilder t = new StringBuilder();
        t.append(line("load on %s: %.0f requests a second for %s after %s of warm-up, threads %d, seed %d%n", targets(),
                plan.rate(), Units.format(plan.length()), Units.format(plan.warmUp()), plan.threads(), plan.seed()));
        t.append(line("asked %d in %.1f s, %.0f a second; connections: %d opened ahead, %d at the end, %d of %d at "
                + "most, %d did not come up%n", asked(), seconds(), asked() / Math.max(seconds(), 1e-9), opened, left,
                left, plan.connections(), failedOpenings));
        t.append(line("%-12s %9s %9s %8s %7s %7s %7s %7s   %s%n", "class", "asked", "served", "refused", "failed", "cut",
                "gave up", "no conn", "ms from when due to the answer: 50, 90, 99, 99.9 %, most"));
        for (int i = 0; i < ends.size(); i++) {
            long[] e = ends.get(i);
            t.append(line("%-12s %9d %9d %8d %7d %7d %7d %7d  ", plan.classes().get(i).name(), Arrays.stream(e).sum(),
                    e[0], e[1], e[2], e[3], e[4], e[5])).append(percentiles(micros.get(i)));
        }
        t.append(line("%-72s", "to any end, served or not")).append(percentiles(anyEnd()));
        t.append(line("%-72s", "from when sent (a closed loop would count this)")).append(percentiles(fromSent()));
        t.append(line("%-72s", "the tool's own lateness, due to written")).append(percentiles(lateness()));
        if (open > 0) {
            t.append(line("%d requests had not ended when the run did%n", open));
        }
        t.append(isLate()
                ? line("LATE: %.2f %% of the requests were written more than %s after they were due; the times above hold "
                        + "the tool's own%n", 100 * lateShare(), Units.format(plan.late()))
                : line("in time: %.2f %% of the requests were written more than %s after they were due%n",
                        100 * lateShare(), Units.format(plan.late())));
        return t.toString();
    }

    private static String percentiles(Histogram h) {
        StringBuilder t = new StringBuilder();
        for (double p : PERCENTILES) {
            t.append(h.getTotalCount() == 0 ? "        -" : line(" %8.3f", h.getValueAtPercentile(p) / 1e3));
        }
        return t.append(System.lineSeparator()).toString();
    }

    private static String line(String format, Object... values) {
        return String.format(Locale.ROOT, format, values);
    }

    public JsonObject json() {
        JsonArray targets = new JsonArray();
        plan.targets().forEach(a -> targets.add(Addresses.format(a)));
        JsonArray classes = new JsonArray();
        for (int i = 0; i < ends.size(); i++) {
            JsonObject one = new JsonObject().add("name", plan.classes().get(i).name())
                    .add("asked", Arrays.stream(ends.get(i)).sum());
            for (End e : End.values()) {
                one.add(e.name().toLowerCase(Locale.ROOT), ends.get(i)[e.ordinal()]);
            }
            classes.add(one.add("ms", json(micros.get(i))));
        }
        return new JsonObject().add("version", 1).add("targets", targets).add("rate", plan.rate())
                .add("length_s", plan.length().toNanos() / 1e9).add("warm_up_s", plan.warmUp().toNanos() / 1e9)
                .add("threads", plan.threads()).add("seed", Long.toString(plan.seed()))
                .add("interrupted", interrupted).add("counted_s", seconds()).add("asked", asked()).add("open", open)
                .add("connections", new JsonObject().add("most", plan.connections()).add("opened_ahead", opened)
                        .add("at_end", left).add("did_not_come_up", failedOpenings))
                .add("classes", classes).add("any_end_ms", json(anyEnd())).add("from_sent_ms", json(fromSent()))
                .add("lateness_ms", json(lateness())).add("late", isLate()).add("late_share", lateShare())
                .add("late_bound_ms", plan.late().toNanos() / 1e6);
    }

    private static JsonObject json(Histogram h) {
        JsonObject o = new JsonObject().add("count", h.getTotalCount());
        for (double p : h.getTotalCount() == 0 ? new double[0] : PERCENTILES) {
            o.add(p == 100 ? "most" : "p" + String.valueOf(p).replaceAll("\\.0$", ""), h.getValueAtPercentile(p) / 1e3);
        }
        return o;
    }
}
