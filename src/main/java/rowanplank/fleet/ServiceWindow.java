package rowanplank.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import rowanplank.ledger.Ask;

/**
 * How a node has served in the last {@link #SPAN}, from what it has counted since its start. Looked at more often than
 * each {@link #SAMPLE_INTERVAL}, it notes the last look only; it holds {@value #MAX_SAMPLES} of them.
 */
final class ServiceWindow {
    static final Duration SPAN = Duration.ofSeconds(10);
    private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(250);
    private static final int MAX_SAMPLES = 64;

    private record Sample(Instant at, Ask.Service all) { }

    private final Deque<Sample> samples = new ArrayDeque<>();

    /** It begins anew: what was before is not counted. */
    void clear() {
        samples.clear();
    }

    /** @param all counted since the start, and what is open now */
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
        return new Ask.Service(all.served() - from.served(), all.refused() - from.refused(), all.failed() - from.failed(),
                open, used, all.servers());
    }
}
