package rowanplank.lab.site;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import rowanplank.lab.day.Day;
import rowanplank.net.Loop;

/**
 * What a page server says of its load: {@code queue} (requests that wait), {@code latency_ms} (recent time in work,
 * without waiting; each answer counts for a tenth) and {@code util} (share of its cores' time with something to do
 * since the last look). A look is taken every period, each figure times a normal factor of mean 1; answers carry the
 * newest look that is older than the delay, and never an older one than was carried before.
 */
final class LoadReports {
    private static final double NEWEST = 0.1;
    /** At a period of 59 ms, looks of a minute; of more that are late the oldest are dropped. */
    private static final int MOST_LATE = 1024;
    private static final String[] BROKEN = {"{\"queue\":", "queue=3;util=much", "{\"queue\":\"NaN\",\"util\":[1]}",
        "{\"queue\":1e999,\"latency_ms\":-1,\"util\":{}}", "[]", "{\"queue\":3}}", "\u00ff\u00fe"};

    private record Look(long at, String text) { }

    private final Day.Report figures;
    private final int cores;
    private final ServerModel model;
    private final Loop loop;
    private final Teller teller;
    private final UniformRandomProvider random;
    private final ZigguratSampler.NormalizedGaussian noise;
    private final Deque<Look> late = new ArrayDeque<>();
    private Duration more = Duration.ZERO;
    private double broken;
    private double busyBefore;
    private double latency;
    private String shown;
    private Loop.Timer next;

    LoadReports(Day.Report figures, int cores, ServerModel model, Loop loop, Teller teller,
            UniformRandomProvider random) {
        this.figures = figures;
        this.cores = cores;
        this.model = model;
        this.loop = loop;
        this.teller = teller;
        this.random = random;
        noise = ZigguratSampler.NormalizedGaussian.of(random);
    }

    /** Looks for the first time within a period that is drawn, so that servers do not all look at once. */
    void start() {
        if (!figures.period().isZero()) {
            next = loop.schedule(figures.period().dividedBy(100).multipliedBy(random.nextInt(100)), this::look);
        }
    }

    void end() {
        if (next != null) {
            next.cancel();
        }
    }

    /** So much later than usual they come. */
    void late(Duration time) {
        catchUp(); // what would have been carried by now still is
        more = time;
    }

    /** @param share of answers whose report can't be read */
    void broken(double share) {
        broken = share;
    }

    /** A request was in work for so long. */
    void served(long nanos) {
        latency = latency == 0 ? nanos : latency + NEWEST * (nanos - latency);
    }

    /** @return null if there is none yet */
    String current() {
        catchUp();
        return broken > 0 && shown != null && random.nextDouble() < broken ? brokenOne() : shown;
    }

    private void catchUp() {
        long newest = teller.now() - figures.delay().plus(more).toNanos();
        while (!late.isEmpty() && late.peek().at <= newest) {
            shown = late.poll().text;
        }
    }

    /** One that can't be read. */
    String brokenOne() {
        return BROKEN[random.nextInt(BROKEN.length)];
    }

    private void look() {
        model.advance(teller.now());
        double util = (model.busy() - busyBefore) / (cores * (double) figures.period().toNanos());
        busyBefore = model.busy();
        if (late.size() == MOST_LATE) {
            late.poll();
        }
        late.add(new Look(teller.now(), String.format(Locale.ROOT, "{\"queue\":%d,\"latency_ms\":%.1f,\"util\":%.3f}",
                Math.round(model.waiting() * factor()), latency / 1e6 * factor(),
                Math.max(0, Math.min(1, util * factor())))));
        next = loop.schedule(figures.period(), this::look);
    }

    private double factor() {
        return Math.max(0, 1 + figures.noise() * noise.sample());
    }
}
