package rowanplank.lab.run;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.time.Duration;
import java.util.List;
import java.util.Locale;

/**
 * How well a day's clients were served. Worth is earned by an answer within its class's aim, in part by a later one,
 * and shares are of the worth asked for:
 *
 * <pre>
 * service = wholeDay weight * whole day + worstTenSeconds weight * worst 10 s + worstClass weight * worst class
 *         - the prices, each times its share below
 * </pre>
 *
 * @param service the day's figure, at most 1
 * @param worstFrom when the worst ten seconds begin, whole seconds since the beginning
 * @param crossings tries that went to a server in another hall, a request
 * @param waste work that served no answer, as a share of the work asked for
 * @param probes probes a request
 * @param datagrams bytes delivered between nodes a request, in full datagrams of 256
 * @param lateFailures the share of worth that ended unserved after its aim
 */
public record Service(double service, double wholeDay, double worstTenSeconds, int worstFrom, double worstClass,
        double tries, double crossings, double waste, double probes, double datagrams, double lateFailures,
        List<OfClass> classes) {
    public Service {
        classes = List.copyOf(classes);
    }

    /**
     * What became of a class's requests; what a client asks again counts as its first try.
     *
     * @param failed answered neither 200 nor a refusal
     * @param lost no whole answer came: the connection broke, the client gave up, or found no connection at all
     * @param percentiles of the time to a 200, whole: half, 90, 99, 99.9 % and all of them took at most so long
     */
    public record OfClass(String name, long asked, long inAim, long late, long refused, long failed, long lost,
            double earned, List<Duration> percentiles) {
        public OfClass {
            percentiles = List.copyOf(percentiles);
        }
    }

    /** The same as lines of text. */
    public String text() {
        StringBuilder t = new StringBuilder();
        t.append(line("service %.4f: whole day %.4f, worst 10 s %.4f (from %d s), worst class %.4f%n", service, wholeDay,
                worstTenSeconds, worstFrom, worstClass));
        t.append(line("a request: %.3f tries, %.3f crossings, %.4f probes, %.4f datagrams; wasted work %.4f, late "
                + "failures %.4f%n", tries, crossings, probes, datagrams, waste, lateFailures));
        t.append(line("%-12s %8s %8s %7s %8s %7s %7s %7s   %s%n", "class", "asked", "in aim", "late", "refused", "failed",
                "lost", "earned", "ms: 50, 90, 99, 99.9 %, most"));
        for (OfClass c : classes) {
            t.append(line("%-12s %8d %8d %7d %8d %7d %7d %7.4f  ", c.name, c.asked, c.inAim, c.late, c.refused, c.failed,
                    c.lost, c.earned));
            c.percentiles.forEach(p -> t.append(line(" %.1f", p.toNanos() / 1e6)));
            t.append(System.lineSeparator());
        }
        return t.toString();
    }

    private static String line(String format, Object... values) {
        return String.format(Locale.ROOT, format, values);
    }

    public JsonObject json() {
        JsonArray all = new JsonArray();
        for (OfClass c : classes) {
            JsonArray percentiles = new JsonArray();
            c.percentiles.forEach(p -> percentiles.add(p.toNanos() / 1e6));
            all.add(new JsonObject().add("name", c.name).add("asked", c.asked).add("in_aim", c.inAim)
                    .add("late", c.late).add("refused", c.refused).add("failed", c.failed).add("lost", c.lost)
                    .add("earned", c.earned).add("ms_50_90_99_999_most", percentiles));
        }
        return new JsonObject().add("service", service).add("whole_day", wholeDay)
                .add("worst_ten_seconds", worstTenSeconds).add("worst_from_s", worstFrom)
                .add("worst_class", worstClass).add("tries", tries).add("crossings", crossings).add("waste", waste)
                .add("probes", probes).add("datagrams", datagrams).add("late_failures", lateFailures)
                .add("classes", all);
    }
}
