package routerfleet.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Judges updates of the configuration by the rules on acknowledgements: a valid update is acknowledged within
 * {@code ack_ms}, and 3 ms more for each route, in one stretch of calm; an invalid one never is; of two that build on the
 * same generation at most one is. It is calm {@code connected_ms} after a control node was started, killed or sent a
 * signal.
 */
final class UpdateJudge {
    private static final long MS_PER_ROUTE = 3;
    private static final int INVALID = 400;
    private static final int CONFLICT = 412;

    private final long ackMs;
    private final long connectedMs;

    UpdateJudge(long ackMs, long connectedMs) {
        this.ackMs = ackMs;
        this.connectedMs = connectedMs;
    }

    /**
     * The violations, one line each; empty if there are none.
     *
     * @param disturbances when control nodes were started, killed or sent signals, in order
     * @param fromNanos what times in the lines are counted from
     */
    List<String> violations(List<SoakUpdate> updates, List<Long> disturbances, long fromNanos) {
        List<String> found = new ArrayList<>();
        Map<Long, Integer> acknowledged = new TreeMap<>();
        for (SoakUpdate update : updates) {
            long calmMs = longestCalmMs(update, disturbances);
            if (update.isAcknowledged()) {
                acknowledged.merge(update.generation(), 1, Integer::sum);
            }
            if (update.valid() && calmMs > ackMs + MS_PER_ROUTE * update.routes() && update.status() != CONFLICT) {
                found.add("ACKS " + calmMs + " ms of calm: " + update.describe(fromNanos));
            }
            if (update.isAcknowledged() && !update.valid()) {
                found.add("CONFIG acknowledged: " + update.describe(fromNanos));
            }
            if (update.valid() && update.status() == INVALID) {
                found.add("CONFIG refused: " + update.describe(fromNanos));
            }
        }
        acknowledged.forEach((generation, count) -> {
            if (count > 1) {
                found.add("CONFIG " + count + " updates to generation " + generation + " were acknowledged");
            }
        });
        return found;
    }

    /** The longest stretch of calm in which the update waited for its answer, in milliseconds. */
    private long longestCalmMs(SoakUpdate update, List<Long> disturbances) {
        long connectedNanos = TimeUnit.MILLISECONDS.toNanos(connectedMs);
        long longest = 0;
        long calmSince = update.firstSentNanos();
        for (long disturbance : disturbances) {
            if (disturbance < update.endNanos()) {
                longest = Math.max(longest, disturbance - calmSince);
                calmSince = Math.max(calmSince, disturbance + connectedNanos);
            }
        }
        return TimeUnit.NANOSECONDS.toMillis(Math.max(longest, update.endNanos() - calmSince));
    }
}
