package rowanplank.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import rowanplank.ledger.Ask;

/**
 * Request counts of the last {@link #SPAN}, computed from counters that run since the process started. Samples are
 * taken at most every {@link #SAMPLE_INTERVAL}, and at most {@value #MAX_SAMPLES} are kept.
 */
final class ServiceWindow {
    static final Duration SPAN = Duration.ofSeconds(10);
    private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(250);
    private static final int MAX_SAMPLES = 64;

    private record Sample(Instant at, Ask.Service all) { }

    private final Deque<Sample> samples = new ArrayDeque<>();

    /** Starts over: earlier requests are not counted. */
    void clear() {
        samples.clear();
    }

    /**
     * Records a sample and returns the counts within the window.
     *
     * @param all the counts since the process started, and what is open now
     * @return the increase within the window, with the average of what was open
     */
    Ask.Service addSample(Instant now, Ask.Service all) {
        if (samples.isEmpty() || !now.isBefore(samples.getLast().at().plus(SAMPLE_INTERVAL))) {
            samples.add(new Sample(now, all));
        }
        while (samples.size() > MAX_SAMPLES || samples.getFirst().at().plus(SPAN).isBefore(now)) {
            samples.poll();
        }
        Ask.Service from = samples.getFirst().all();
        long open = (long) Math.ceil(samples.stream().mapToLong(l -> l.all().open()).average().orElse(0));
        long used = (long) Math.ceil(samples.stream().mapToLong(l -> l.all().used()).average().orElse(0));
        return new Ask.Service(all.served() - from.served(), all.refused() - from.refused(),
                all.failed() - from.failed(),
                open, used, all.servers());
    }
}
