package rowanplank.lab.policy;

import java.util.List;
import java.util.SplittableRandom;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.balancer.BalancerApi.Request;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.balancer.BalancerApi.Settings;

/**
 * C3's replica ranking (Suresh, Canini, Schmid, Feldmann: C3, NSDI 2015, section 3.1): the server with the lowest
 * score
 * <pre>
 *   R - 1/mu + q^3 / mu,   q = 1 + in flight of this node * number of nodes + queue
 * </pre>
 * is chosen, at random among equals, where R is the latency that this node sees, 1/mu the service time and queue the
 * length that the server feeds back. All three are moving averages; the paper gives no weight, and the authors'
 * simulator 0.9 for the newest. A server of which nothing is known scores 0, as there: it is tried. With rate control
 * ({@link CubicRate}) the first in that order whose rate allows it is chosen, and requests wait here while none does.
 *
 * <p>Adapted to what the site's servers report: queue is {@code queue}, which counts only those that wait for a slot,
 * and 1/mu is {@code latency_ms}; both are as old as the site makes them, where the original's come with the answer
 * itself. All servers are replicas of each other. Answers that are errors count like others, a time-out as its
 * latency.
 *
 * <p>A choice costs a look at each candidate.
 */
final class C3 extends ByServer<C3.State> implements Extras.Listener {
    private static final double NEWEST = 0.9;
    private static final int EXPONENT = 3;

    /** What is kept of a server. */
    static final class State extends ByServer.State {
        private final CubicRate rate;
        private double latency = Double.NaN;
        private double service = Double.NaN;
        private double queue = Double.NaN;

        State(Server server, double nowMs) {
            super(server);
            rate = new CubicRate(nowMs);
        }

        double score(int nodes) {
            if (Double.isNaN(latency)) {
                return 0;
            }
            double time = Double.isNaN(service) ? latency : service;
            double length = 1 + inFlight * nodes + (Double.isNaN(queue) ? 0 : queue);
            return latency - time + Math.pow(length, EXPONENT) * time;
        }
    }

    private final int nodes;
    private final boolean rateControl;
    private final SplittableRandom random;

    C3(Settings settings, long seed, boolean rateControl) {
        nodes = settings.nodes();
        this.rateControl = rateControl;
        random = new SplittableRandom(seed);
    }

    private static double averaged(double former, double newest) {
        return Double.isNaN(former) ? newest : NEWEST * newest + (1 - NEWEST) * former;
    }

    @Override
    State enter(double nowMs, Server server) {
        return new State(server, nowMs);
    }

    @Override
    public Server choose(double nowMs, Request request, List<Server> candidates) {
        State best = null;
        double lowest = 0;
        int equals = 0;
        for (Server s : candidates) {
            State state = state(s);
            double score = state.score(nodes);
            if (rateControl && !state.rate.allows(nowMs) || best != null && score > lowest) {
                continue;
            }
            equals = best != null && score == lowest ? equals + 1 : 1;
            if (random.nextInt(equals) == 0) {
                best = state;
            }
            lowest = score;
        }
        return best == null ? null : best.server;
    }

    @Override
    void sent(double nowMs, State state) {
        state.rate.sent();
    }

    @Override
    void ended(double nowMs, State state, Outcome outcome, double latencyMs) {
        if (outcome == Outcome.OK || outcome == Outcome.ERROR || outcome == Outcome.TIMEOUT) {
            state.latency = averaged(state.latency, latencyMs);
        }
        if (outcome == Outcome.OK || outcome == Outcome.ERROR) {
            state.rate.answered(nowMs);
        }
    }

    @Override
    public void onReport(double nowMs, long server, Extras.Report report) {
        State state = state(server);
        if (state != null && report.queue() >= 0 && report.latencyMs() > 0) {
            state.queue = averaged(state.queue, report.queue());
            state.service = averaged(state.service, report.latencyMs());
        }
    }
}
