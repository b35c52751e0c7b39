package rowanplank.lab.policy;

import java.util.List;
import java.util.SplittableRandom;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.balancer.BalancerApi.Server;

/**
 * What becomes of a gRPC subchannel whose connection can't be made (gRPC, Connection backoff): TRANSIENT_FAILURE, and
 * it is not picked, for 1 s, times 1.6 each time up to 120 s, plus or minus a fifth; the next one that is made ends
 * that. The original tries to connect by itself; here the next request does. Nothing else takes a server out: outlier
 * detection (gRFC A50) is off unless asked for. Where none is left, requests fail.
 */
final class GrpcConnections extends EjectionByServer<GrpcConnections.State> {
    private static final double JITTER = 0.2;
    private static final BackOff BACK_OFF = new BackOff(1000 * (1 + JITTER), 1.6, 120_000 * (1 + JITTER),
            (1 - JITTER) / (1 + JITTER));

    /** What is kept of a server. */
    static final class State {
        private double until = Double.NEGATIVE_INFINITY;
        private int times;
    }

    private final SplittableRandom random;

    GrpcConnections(long seed) {
        super(State::new);
        random = new SplittableRandom(seed);
    }

    @Override
    boolean isOut(double nowMs, State state) {
        return nowMs < state.until;
    }

    @Override
    List<Server> noneLeft(List<Server> ready) {
        return List.of();
    }

    @Override
    void ended(double nowMs, State state, Outcome outcome) {
        if (outcome == Outcome.OK || outcome == Outcome.ERROR || outcome == Outcome.FULL) {
            state.times = 0;
        } else if (outcome == Outcome.CONNECT_FAILED && nowMs >= state.until) {
            state.until = nowMs + BACK_OFF.drawMs(state.times++, random);
        }
    }
}
