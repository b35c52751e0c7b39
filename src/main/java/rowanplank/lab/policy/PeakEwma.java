package rowanplank.lab.policy;

import java.util.List;
import java.util.SplittableRandom;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.balancer.BalancerApi.Request;
import rowanplank.balancer.BalancerApi.Server;

/**
 * Peak EWMA of two choices, as Finagle's {@code Balancers.p2cPeakEwma} ({@code loadbalancer/PeakEwma.scala}; user's
 * guide, Clients, Load balancing). Of two different servers drawn at random the one with the lower load is chosen:
 * <pre>
 *   load = cost * (pending + 1);  PENALTY + pending while nothing is known and a request is pending
 * </pre>
 * The cost is a moving average of round trips that takes a higher one at once and forgets it slowly, as time passes
 * since the last one, and towards zero while none comes:
 * <pre>
 *   w = exp(-(time since the last) / decay time);  cost = rtt &gt; cost ? rtt : cost * w + rtt * (1 - w)
 * </pre>
 * with the default decay time of 10 s and PENALTY = Long.MaxValue &gt;&gt; 16, in nanoseconds. Each end of a try
 * counts as a round trip, whatever its outcome, as there; what was never sent does not. Finagle's aperture is left
 * out: its nodes are few beside the servers. O(1).
 */
final class PeakEwma extends ByServer<PeakEwma.State> {
    static final double DECAY_MS = 10_000;
    private static final double PENALTY = (Long.MAX_VALUE >> 16) / 1e6;

    /** What is kept of a server. */
    static final class State extends ByServer.State {
        private double cost;
        private double at;

        State(Server server, double nowMs) {
            super(server);
            at = nowMs;
        }

        void observe(double nowMs, double roundTrip) {
            double weight = Math.exp(-Math.max(0, nowMs - at) / DECAY_MS);
            cost = roundTrip > cost ? roundTrip : cost * weight + roundTrip * (1 - weight);
            at = nowMs;
        }

        double load(double nowMs) {
            observe(nowMs, 0);
            return cost == 0 && inFlight != 0 ? PENALTY + inFlight : cost * (inFlight + 1);
        }
    }

    private final SplittableRandom random;

    PeakEwma(long seed) {
        random = new SplittableRandom(seed);
    }

    @Override
    State enter(double nowMs, Server server) {
        return new State(server, nowMs);
    }

    @Override
    public Server choose(double nowMs, Request request, List<Server> candidates) {
        int n = candidates.size();
        int a = random.nextInt(n);
        int b = n == 1 ? a : random.nextInt(n - 1);
        Server first = candidates.get(a);
        Server second = candidates.get(n > 1 && b >= a ? b + 1 : b);
        return state(first).load(nowMs) <= state(second).load(nowMs) ? first : second;
    }

    @Override
    void ended(double nowMs, State state, Outcome outcome, double latencyMs) {
        if (outcome != Outcome.MOOT) {
            state.observe(nowMs, latencyMs);
        }
    }
}
