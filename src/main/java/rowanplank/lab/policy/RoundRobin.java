package rowanplank.lab.policy;

import java.util.List;
import rowanplank.balancer.BalancerApi.Request;
import rowanplank.balancer.BalancerApi.Server;

/**
 * Each server in its turn (Envoy, Supported load balancers: Weighted round robin; nginx without {@code least_conn} and
 * the like), all with one weight. With Envoy's slow start a server that was seen lately has its turn less often. Sizes
 * from discovery are not used as weights: none of the originals does so unless told to, and here all are alike.
 *
 * <p>Constants: those of {@link SlowStart}. Costs as {@link Weighted}.
 */
final class RoundRobin extends Weighted<Weighted.State> {
    private final SlowStart slowStart;
    private boolean first = true;

    RoundRobin(long seed, SlowStart slowStart) {
        super(seed);
        this.slowStart = slowStart;
    }

    /** Those of the first list were there before. */
    @Override
    Weighted.State enter(double nowMs, Server server) {
        return entered(nowMs, new Weighted.State(server, first ? Double.NEGATIVE_INFINITY : nowMs));
    }

    @Override
    void changed(double nowMs) {
        first &= states().isEmpty();
    }

    @Override
    double weight(double nowMs, Weighted.State state) {
        return slowStart.factor(nowMs - state.seenAtMs);
    }

    @Override
    public Server choose(double nowMs, Request request, List<Server> candidates) {
        return next(nowMs, candidates);
    }
}
