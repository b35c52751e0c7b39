package rowanplank.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import rowanplank.ledger.Ask;

/**
 * How a node has served in the last {@link #SPAN}, from what it has counted since its start. Looked at more often than
 * each {@link #EVERY}, it notes the last look only; it holds {@value #MOST} of them.
 */
final class ServiceWindow {
    static final Duration SPAN = Duration.ofSeconds(10);
    private static final Duration EVERY = Duration.ofMillis(250);
    private static final int MOST = 64;

    private record Look(Instant at, Ask.Service all) { }

    private final Deque<Look> looks = new ArrayDeque<>();

    /** It begins anew: what was before is not counted. */
    void clear() {
        looks.clear();
    }

    /** @param all counted since the start, and what is open now */
    Ask.Service look(Instant now, Ask.Service all) {
        if (looks.isEmpty() || !now.isBefore(looks.getLast().at().plus(EVERY))) {
            looks.add(new Look(now, all));
        }
        while (looks.size() > MOST || looks.getFirst().at().plus(SPAN).isBefore(now)) {
            looks.poll();
        }
        Ask.Service from = looks.getFirst().all();
        long open = (long) Math.ceil(looks.stream().mapToLong(l -> l.all().open()).average().orElse(0));
        long used = (long) Math.ceil(looks.stream().mapToLong(l -> l.all().used()).average().orElse(0));
        return new Ask.Service(all.served() - from.served(), all.refused() - from.refused(), all.failed() - from.failed(),
                open, used, all.servers());
    }
}
