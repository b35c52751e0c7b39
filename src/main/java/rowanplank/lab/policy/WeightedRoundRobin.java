package rowanplank.lab.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.balancer.BalancerApi.Request;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.balancer.BalancerApi.Settings;

/**
 * Weighted by load reports, as gRPC's client-side weighted round robin (gRFC A58). A report makes
 * <pre>
 *   weight = qps / (utilisation + eps / qps * error_utilization_penalty)
 * </pre>
 * of a server, with eps the errors a second. A weight counts from {@code blackout_period} after the first report of
 * an unbroken row, and is forgotten {@code weight_expiration_period} after the last; every {@code
 * weight_update_period} a new {@link StaticStride} is made. Defaults: 10 s, 3 min, 1 s, penalty 1.0. A report with no
 * utilisation or no qps changes nothing.
 *
 * <p>Adapted to what the site's servers report: they tell their utilisation alone, of the last 150 ms or so. A
 * server's qps is taken to be what this node sees it answer, times the number of nodes; eps likewise. All three are
 * averages over the last {@value #WINDOW_MS} ms or so (an exponential window), the period of out-of-band reports by
 * default. Reports come in answers. An estimate of qps from {@code latency_ms} by Little's law is no use: a server
 * that is sent more is slower, gets less, is faster again, at all nodes at once.
 *
 * <p>Costs as {@link StaticStride}, and O(n) once an update period.
 */
final class WeightedRoundRobin extends ByServer<WeightedRoundRobin.State> implements Extras.Listener {
    static final double BLACKOUT_MS = 10_000;
    static final double EXPIRATION_MS = 180_000;
    static final double UPDATE_MS = 1000;
    static final double ERROR_PENALTY = 1;
    static final double WINDOW_MS = 10_000;
    /** Steps of the scheduler for each candidate until the first one is taken: see {@link StaticStride}. */
    private static final int MOST_STEPS = 100;

    /** What is kept of a server. */
    static final class State extends ByServer.State {
        private final double enteredAt;
        private double answers;
        private double errors;
        private double countedAt;
        private double utilisation;
        private double weight;
        private double since = Double.POSITIVE_INFINITY;
        private double reportedAt;

        State(Server server, double nowMs) {
            super(server);
            enteredAt = nowMs;
            countedAt = nowMs;
        }

        void answered(double nowMs, boolean ok) {
            double left = Math.exp(-(nowMs - countedAt) / WINDOW_MS);
            answers = answers * left + 1;
            errors = errors * left + (ok ? 0 : 1);
            countedAt = nowMs;
        }

        /** Of all nodes; in its first seconds the window is only as long as these. */
        private double qps(double nowMs, int nodes) {
            double window = -Math.expm1(-(nowMs - enteredAt) / WINDOW_MS) * WINDOW_MS;
            return answers * Math.exp(-(nowMs - countedAt) / WINDOW_MS) * nodes / window * 1000;
        }

        void report(double nowMs, double reported, int nodes) {
            double newest = Double.isInfinite(since) ? 1 : -Math.expm1(-(nowMs - reportedAt) / WINDOW_MS);
            utilisation += newest * (reported - utilisation);
            double qps = qps(nowMs, nodes);
            if (utilisation > 0 && qps > 0 && !Double.isInfinite(qps)) {
                weight = qps / (utilisation + errors / answers * ERROR_PENALTY);
                since = Math.min(since, nowMs);
                reportedAt = nowMs;
            }
        }

        /** @return 0 where there is none */
        double weight(double nowMs) {
            if (nowMs - reportedAt >= EXPIRATION_MS) {
                since = Double.POSITIVE_INFINITY;
            }
            return nowMs - since >= BLACKOUT_MS ? weight : 0;
        }
    }

    private final int nodes;
    /** Each server's place in the schedule. */
    private final Map<Long, Integer> places = new LinkedHashMap<>();
    private List<State> order = new ArrayList<>();
    private StaticStride schedule;
    private double scheduledAt;
    private long number;

    WeightedRoundRobin(Settings settings, long seed) {
        nodes = settings.nodes();
        number = new SplittableRandom(seed).nextInt(1 << 30);
    }

    @Override
    State enter(double nowMs, Server server) {
        return new State(server, nowMs);
    }

    @Override
    void changed(double nowMs) {
        order = states();
        schedule(nowMs);
    }

    private void schedule(double nowMs) {
        schedule = new StaticStride(order.stream().mapToDouble(s -> s.weight(nowMs)).toArray());
        scheduledAt = nowMs;
    }

    @Override
    public Server choose(double nowMs, Request request, List<Server> candidates) {
        if (nowMs - scheduledAt >= UPDATE_MS) {
            schedule(nowMs);
        }
        places.clear();
        for (int i = 0; candidates.size() < order.size() && i < candidates.size(); i++) {
            places.put(candidates.get(i).id(), i);
        }
        for (int steps = 0; steps < MOST_STEPS * order.size(); steps++) {
            Server next = order.get((int) (number % order.size())).server;
            if (schedule.picks(number++) && (places.isEmpty() || places.containsKey(next.id()))) {
                return next;
            }
        }
        return candidates.get(0);
    }

    @Override
    void ended(double nowMs, State state, Outcome outcome, double latencyMs) {
        if (outcome == Outcome.OK || outcome == Outcome.ERROR) {
            state.answered(nowMs, outcome == Outcome.OK);
        }
    }

    @Override
    public void onReport(double nowMs, long server, Extras.Report report) {
        State state = state(server);
        if (state != null) {
            state.report(nowMs, report.utilisation(), nodes);
        }
    }
}
