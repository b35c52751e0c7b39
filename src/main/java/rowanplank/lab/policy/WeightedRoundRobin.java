package rowanplank.lab.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.balancer.BalancerApi.Request;
import rowanplank.balancer.BalancerApi.Server;

/**
 * Weighted by load reports, as gRPC's client-side weighted round robin (gRFC A58). A report makes
 * <pre>
 *   weight = qps / (utilisation + eps / qps * error_utilization_penalty)
 * </pre>
 * of a server, with eps the errors a second. A weight counts from {@code blackout_period} after the first report of an
 * unbroken row, and is forgotten {@code weight_expiration_period} after the last; every
 * {@code weight_update_period} a new {@link StaticStride} is made. Defaults: 10 s, 3 min, 1 s, penalty 1.0. A report
 * with no utilisation or no qps changes nothing.
 *
 * <p>Adapted to what the site's servers report: they tell no qps and no eps. By Little's law a server with share
 * {@code u} of its cores busy, each request taking {@code latency_ms} of work time, serves
 * {@code qps = u * cores * 1000 / latency_ms}, with its size from discovery for the cores. Errors a request, eps / qps,
 * are those that this node saw among its last {@value #ANSWERS} answers of the server, in which gRPC's servers count
 * their own. Reports come in answers, not out of band.
 *
 * <p>Costs as {@link StaticStride}, and O(n) once an update period.
 */
final class WeightedRoundRobin extends ByServer<WeightedRoundRobin.State> implements Extras.Listener {
    static final double BLACKOUT_MS = 10_000;
    static final double EXPIRATION_MS = 180_000;
    static final double UPDATE_MS = 1000;
    static final double ERROR_PENALTY = 1;
    private static final int ANSWERS = 100;
    /** Steps of the scheduler for each candidate until the first one is taken: see {@link StaticStride}. */
    private static final int MOST_STEPS = 100;

    /** What is kept of a server. */
    static final class State extends ByServer.State {
        private double weight;
        private double since = Double.POSITIVE_INFINITY;
        private double reportedAt;
        private double errors;

        State(Server server) {
            super(server);
        }

        void report(double nowMs, Extras.Report report) {
            double qps = report.utilisation() * server.share() * 1000 / report.latencyMs();
            if (!(report.utilisation() > 0) || !(qps > 0) || Double.isInfinite(qps)) {
                return;
            }
            weight = qps / (report.utilisation() + errors * ERROR_PENALTY);
            since = Math.min(since, nowMs);
            reportedAt = nowMs;
        }

        /** @return 0 where there is none */
        double weight(double nowMs) {
            if (nowMs - reportedAt >= EXPIRATION_MS) {
                since = Double.POSITIVE_INFINITY;
            }
            return nowMs - since >= BLACKOUT_MS ? weight : 0;
        }
    }

    private final SplittableRandom random;
    /** Each server's place in the schedule; looked up only. */
    private final Map<Long, Integer> places = new HashMap<>();
    private List<State> order = new ArrayList<>();
    private StaticStride schedule;
    private double scheduledAt;
    private long number;

    WeightedRoundRobin(long seed) {
        random = new SplittableRandom(seed);
        number = random.nextInt(1 << 30);
    }

    @Override
    State enter(double nowMs, Server server) {
        return new State(server);
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
            state.errors += ((outcome == Outcome.OK ? 0 : 1) - state.errors) / ANSWERS;
        }
    }

    @Override
    public void onReport(double nowMs, long server, Extras.Report report) {
        State state = state(server);
        if (state != null) {
            state.report(nowMs, report);
        }
    }
}
