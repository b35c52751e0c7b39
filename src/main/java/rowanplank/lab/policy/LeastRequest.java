package rowanplank.lab.policy;

import java.util.List;
import rowanplank.balancer.BalancerApi.Request;
import rowanplank.balancer.BalancerApi.Server;

/**
 * Least requests (Envoy, Supported load balancers: Weighted least request; {@code LeastRequestLbConfig}). Where all
 * weights are equal, of {@code choice_count} = 2 servers drawn at random, with repetition, the one with fewer requests
 * of this node in flight, the first drawn where they tie. Where they are not, which here is while any server is in its
 * slow start, in turn by {@link Weighted} with
 * <pre>
 *   weight * slow start factor / (active requests + 1) ^ active_request_bias
 * </pre>
 * and the default {@code active_request_bias} = 1; the active requests are those before the pick.
 *
 * <p>O(1); costs as {@link Weighted} and O(n) for the n servers while any is in its slow start.
 */
final class LeastRequest extends Weighted<Weighted.State> {
    private static final int CHOICES = 2;
    private static final double ACTIVE_REQUEST_BIAS = 1;

    private final SlowStart slowStart;
    private boolean first = true;
    private double lastSeenAt = Double.NEGATIVE_INFINITY;

    LeastRequest(long seed, SlowStart slowStart) {
        super(seed);
        this.slowStart = slowStart;
    }

    /** Those of the first list were there before. */
    @Override
    Weighted.State enter(double nowMs, Server server) {
        double seenAt = first ? Double.NEGATIVE_INFINITY : nowMs;
        lastSeenAt = Math.max(lastSeenAt, seenAt);
        return entered(nowMs, new Weighted.State(server, seenAt));
    }

    @Override
    void changed(double nowMs) {
        first &= states().isEmpty();
    }

    @Override
    double weight(double nowMs, Weighted.State state) {
        return slowStart.factor(nowMs - state.seenAtMs) / Math.pow(state.inFlight + 1, ACTIVE_REQUEST_BIAS);
    }

    @Override
    public Server choose(double nowMs, Request request, List<Server> candidates) {
        if (!slowStart.isOver(nowMs - lastSeenAt)) {
            return next(nowMs, candidates);
        }
        Server chosen = null;
        for (int i = 0; i < CHOICES; i++) {
            Server drawn = candidates.get(random.nextInt(candidates.size()));
            if (chosen == null || state(drawn).inFlight < state(chosen).inFlight) {
                chosen = drawn;
            }
        }
        return chosen;
    }
}
