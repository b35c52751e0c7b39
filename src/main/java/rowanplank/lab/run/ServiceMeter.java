package rowanplank.lab.run;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import rowanplank.lab.client.BadClients;
import rowanplank.lab.day.Day.Prices;
import rowanplank.lab.day.Day.RequestClass;
import rowanplank.lab.day.Day;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Trace;

/**
 * Reckons a day's {@link Service} from its events alone. A request's time runs from when its client wants it to the
 * last byte of its answer, over all that the client tries. Bad clients count for nothing.
 *
 * <p>Holds some 100 bytes for each request that is open or was not served, and two numbers a second of the day.
 */
public final class ServiceMeter implements Trace {
    private static final int WINDOW_SECONDS = 10;
    private static final double DATAGRAM_BYTES = 256;
    private static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};

    private enum End { IN_AIM, LATE, REFUSED, FAILED, LOST }

    /** Work that a server did for a request, and the answer that came of it. */
    private static final class Run {
        final int server;
        final long work;
        String digest;

        Run(int server, long work) {
            this.server = server;
            this.work = work;
        }
    }

    /** What a client wants, however often it tries. */
    private static final class Wish {
        final OfClass type;
        final long arrived;
        /** The client has no use for what comes after this. */
        final long until;
        final List<Run> runs = new ArrayList<>(1);
        End end;
        double earned;
        double lateFailure;

        Wish(OfClass type, long arrived, long until) {
            this.type = type;
            this.arrived = arrived;
            this.until = until;
        }
    }

    private static final class OfClass {
        final RequestClass figures;
        final long[] ends = new long[End.values().length];
        final Histogram micros = new Histogram(3);
        long asked;
        double earned;

        OfClass(RequestClass figures) {
            this.figures = figures;
        }
    }

    private final Prices prices;
    private final Map<String, OfClass> classes = new LinkedHashMap<>();
    private final List<OfClass> inOrder = new ArrayList<>();
    /** By the number of each try; looked up only. */
    private final Map<Long, Wish> wishes = new LinkedHashMap<>();
    private final Map<Integer, Long> nodeHalls = new LinkedHashMap<>();
    private final Map<Integer, Long> serverHalls = new LinkedHashMap<>();
    private final double[] askedWorth;
    private final double[] earnedWorth;
    private double lateFailures;
    private long tries;
    private long crossings;
    private long probes;
    private long datagramBytes;
    private double workDone;
    private double workServed;

    public ServiceMeter(Day day) {
        prices = day.prices();
        for (RequestClass c : day.classes()) {
            OfClass own = new OfClass(c);
            classes.put(c.name(), own);
            inOrder.add(own);
        }
        int seconds = (int) Math.max(1, Math.ceil(day.length().toNanos() / 1e9));
        askedWorth = new double[seconds];
        earnedWorth = new double[seconds];
    }

    @Override
    public void tell(Event e) {
        switch (e.kind()) {
            case NODE_STARTED -> nodeHalls.put(e.node(), e.value());
            case SERVER_STARTED -> serverHalls.put(e.server(), e.value());
            case ARRIVED -> arrived(e);
            case ASKED_AGAIN -> askedAgain(e);
            case ANSWERED -> answered(e);
            case CUT_SHORT, GAVE_UP, NOT_CONNECTED -> ended(e, End.LOST);
            case TRY_CAME -> came(e);
            case TRY_RUNS -> runs(e);
            case TRY_ANSWERED -> tryAnswered(e);
            case PROBED -> probes++;
            case DATAGRAM -> datagramBytes += e.value() * e.request();
            default -> { }
        }
    }

    private void arrived(Event e) {
        OfClass type = classes.get(e.text());
        if (type != null) {
            wishes.put(e.request(), new Wish(type, e.at(), e.value()));
            type.asked++;
            askedWorth[second(e.at())] += type.figures.worth();
        }
    }

    private int second(long at) {
        return (int) Math.min(askedWorth.length - 1, at / 1_000_000_000);
    }

    /** Takes back what became of the try before it. */
    private void askedAgain(Event e) {
        Wish wish = wishes.remove(e.value());
        if (wish != null) {
            wishes.put(e.request(), wish);
            reckon(wish, -1);
            wish.end = null;
        }
    }

    private void answered(Event e) {
        if (e.value() != 200) {
            ended(e, e.value() == 429 || e.value() == 503 ? End.REFUSED : End.FAILED);
            return;
        }
        Wish wish = wishes.get(e.request());
        if (wish == null || wish.end != null) {
            return;
        }
        if (e.at() > wish.until) {
            ended(e, End.LOST);
            return;
        }
        long took = e.at() - wish.arrived;
        wish.type.micros.recordValue(took / 1000);
        for (Run r : wish.runs) {
            workServed += r.digest != null && r.digest.equals(e.text()) ? r.work : 0;
        }
        ended(e, took <= wish.type.figures.aim().toNanos() ? End.IN_AIM : End.LATE);
        wishes.remove(e.request());
    }

    private void ended(Event e, End end) {
        Wish wish = wishes.get(e.request());
        if (wish == null || wish.end != null) {
            return;
        }
        RequestClass figures = wish.type.figures;
        wish.end = end;
        wish.earned = end == End.IN_AIM ? figures.worth() : end == End.LATE ? figures.lateWorth() * figures.worth() : 0;
        boolean afterAim = e.at() - wish.arrived > figures.aim().toNanos();
        wish.lateFailure = afterAim && end != End.LATE ? figures.worth() : 0;
        reckon(wish, 1);
    }

    private void reckon(Wish wish, int sign) {
        if (wish.end != null) {
            wish.type.ends[wish.end.ordinal()] += sign;
            wish.type.earned += sign * wish.earned;
            earnedWorth[second(wish.arrived)] += sign * wish.earned;
            lateFailures += sign * wish.lateFailure;
        }
    }

    private static boolean isBad(Event e) {
        return e.request() >= BadClients.FIRST_NUMBER;
    }

    private void came(Event e) {
        if (!isBad(e)) {
            tries++;
            crossings += nodeHalls.getOrDefault(e.node(), 0L).equals(serverHalls.get(e.server())) ? 0 : 1;
        }
    }

    private void runs(Event e) {
        workDone += isBad(e) ? 0 : e.value();
        Wish wish = wishes.get(e.request());
        if (wish != null) {
            wish.runs.add(new Run(e.server(), e.value()));
        }
    }

    private void tryAnswered(Event e) {
        Wish wish = e.value() == 200 ? wishes.get(e.request()) : null;
        if (wish != null) {
            wish.runs.stream().filter(r -> r.server == e.server()).forEach(r -> r.digest = e.text());
        }
    }

    /** What the events told so far come to; requests that are open count as lost. */
    public Service service() {
        double asked = Math.max(1, inOrder.stream().mapToLong(c -> c.asked).sum());
        double whole = ratio(Arrays.stream(earnedWorth).sum(), Arrays.stream(askedWorth).sum());
        int worstFrom = worstFrom();
        double worst = window(worstFrom);
        double worstClass = inOrder.stream().filter(c -> c.asked > 0 && c.figures.worth() > 0)
                .mapToDouble(c -> ratio(c.earned, c.asked * c.figures.worth())).min().orElse(0);
        double work = inOrder.stream().mapToDouble(c -> (double) c.asked * c.figures.work().toNanos()).sum();
        double waste = ratio(workDone - workServed, work);
        double late = ratio(lateFailures, Arrays.stream(askedWorth).sum());
        double datagrams = datagramBytes / DATAGRAM_BYTES / asked;
        double service = prices.wholeDay() * whole + prices.worstTenSeconds() * worst + prices.worstClass() * worstClass
                - prices.crossing() * crossings / asked - prices.waste() * waste - prices.probe() * probes / asked
                - prices.datagram() * datagrams - prices.lateFailure() * late;
        return new Service(service, whole, worst, worstFrom, worstClass, tries / asked, crossings / asked, waste,
                probes / asked, datagrams, late, inOrder.stream().map(ServiceMeter::figures).toList());
    }

    /** The second in which the worst ten begin; windows are moved by a second, those with nothing asked are left out. */
    private int worstFrom() {
        int worst = 0;
        for (int from = 1; from + WINDOW_SECONDS <= askedWorth.length; from++) {
            worst = window(from) < window(worst) ? from : worst;
        }
        return worst;
    }

    private double window(int from) {
        int to = Math.min(from + WINDOW_SECONDS, askedWorth.length);
        double asked = Arrays.stream(askedWorth, from, to).sum();
        return asked > 0 ? Arrays.stream(earnedWorth, from, to).sum() / asked : 1;
    }

    private static Service.OfClass figures(OfClass c) {
        long lost = c.asked - Arrays.stream(c.ends).sum() + c.ends[End.LOST.ordinal()];
        return new Service.OfClass(c.figures.name(), c.asked, c.ends[End.IN_AIM.ordinal()], c.ends[End.LATE.ordinal()],
                c.ends[End.REFUSED.ordinal()], c.ends[End.FAILED.ordinal()], lost,
                ratio(c.earned, c.asked * c.figures.worth()), Arrays.stream(PERCENTILES)
                        .mapToObj(p -> Duration.ofNanos(1000 * c.micros.getValueAtPercentile(p))).toList());
    }

    private static double ratio(double part, double whole) {
        return whole > 0 ? part / whole : 0;
    }
}
