package rowanplank.lab.policy;

import rowanplank.balancer.BalancerApi.Outcome;

/**
 * Envoy's outlier detection (Architecture overview, Outlier detection) as Istio turns it on ({@code DestinationRule},
 * {@code outlierDetection: {}}): after {@code consecutive5xxErrors} = 5 failures in a row a server is out for {@code
 * baseEjectionTime} = 30 s times how often it has been, and comes back with the next sweep, one every {@code
 * interval} = 10 s; the factor falls by one with each sweep at which it is in. {@code maxEjectionPercent} = 10 %, but
 * one may always be out. Failures are 5xx answers, 503 included, and failed connections, resets and time-outs, which
 * count as 5xx. Ejection by success rate is off in Istio.
 */
final class EnvoyOutliers extends EjectionByServer<EnvoyOutliers.State> {
    private static final int CONSECUTIVE = 5;
    private static final double INTERVAL_MS = 10_000;
    private static final double BASE_MS = 30_000;
    private static final double LONGEST_MS = 300_000;
    private static final double MOST_PART = 0.1;

    /** What is kept of a server. */
    static final class State {
        private int failures;
        private int times;
        /** Comes back then; when it last was to, if that is past. */
        private double until;
    }

    EnvoyOutliers() {
        super(State::new);
    }

    @Override
    boolean isOut(double nowMs, State state) {
        return nowMs < state.until;
    }

    @Override
    void ended(double nowMs, State state, Outcome outcome) {
        switch (outcome) {
            case CANCELLED, MOOT -> { }
            case OK -> state.failures = 0;
            default -> {
                if (++state.failures >= CONSECUTIVE && !isOut(nowMs, state) && mayEject(nowMs)) {
                    eject(nowMs, state);
                }
            }
        }
    }

    private boolean mayEject(double nowMs) {
        long out = all().stream().filter(s -> isOut(nowMs, s)).count();
        return out + 1 <= Math.max(1, MOST_PART * all().size());
    }

    private static void eject(double nowMs, State state) {
        double sweepsIn = Math.floor((nowMs - state.until) / INTERVAL_MS);
        state.times = (int) Math.max(0, state.times - sweepsIn) + 1;
        double over = nowMs + Math.min(LONGEST_MS, BASE_MS * state.times);
        state.until = Math.ceil(over / INTERVAL_MS) * INTERVAL_MS;
        state.failures = 0;
    }
}
