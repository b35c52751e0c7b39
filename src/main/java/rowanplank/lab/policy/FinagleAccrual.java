package rowanplank.lab.policy;

import java.util.SplittableRandom;
import rowanplank.balancer.BalancerApi.Outcome;

/**
 * Finagle's failure accrual and fail fast with their defaults (user's guide, Clients, Circuit breaking). After 5
 * failures in a row, or with a success rate below 80 % over 30 s, a server is out for a time between a half and the
 * whole of 5 s, doubled each time up to 300 s; then one request is let through, and its outcome decides. A connection
 * that can't be made takes it out for 1 s, doubled each time up to 32 s. Failures are answers 5xx, resets and
 * time-outs; what the server turned away (nack) is none. The success rate is a moving average with that window, of 5
 * requests at the least. Where all are out they are all tried, as the balancer does once it has drawn five in vain.
 */
final class FinagleAccrual extends EjectionByServer<FinagleAccrual.State> {
    private static final int CONSECUTIVE = 5;
    private static final double REQUIRED = 0.8;
    private static final double WINDOW_MS = 30_000;
    private static final int LEAST_REQUESTS = 5;
    private static final BackOff DEAD = new BackOff(5000, 2, 300_000, 0.5);
    private static final BackOff UNCONNECTED = new BackOff(1000, 2, 32_000, 1);

    /** What is kept of a server. */
    static final class State {
        private int failures;
        private int requests;
        private double rate = 1;
        private double at;
        private double until = Double.NEGATIVE_INFINITY;
        private int times;
        /** It was out, and what is sent next decides. */
        private boolean probation;
        private boolean probing;
    }

    private final SplittableRandom random;

    FinagleAccrual(long seed) {
        super(State::new);
        random = new SplittableRandom(seed);
    }

    @Override
    boolean isOut(double nowMs, State state) {
        return nowMs < state.until || state.probation && state.probing;
    }

    @Override
    public void sent(double nowMs, long server) {
        state(server).probing = true;
    }

    @Override
    void ended(double nowMs, State state, Outcome outcome) {
        state.probing = false;
        switch (outcome) {
            case OK -> succeeded(nowMs, state);
            case CONNECT_FAILED -> takeOut(nowMs, state, UNCONNECTED);
            case ERROR, RESET, TIMEOUT -> failed(nowMs, state);
            default -> { }
        }
    }

    private static void count(double nowMs, State state, double value) {
        state.rate += (value - state.rate) * -Math.expm1(-(nowMs - state.at) / WINDOW_MS);
        state.at = nowMs;
        state.requests++;
    }

    private static void succeeded(double nowMs, State state) {
        count(nowMs, state, 1);
        state.failures = 0;
        if (state.probation) {
            state.probation = false;
            state.times = 0;
            state.rate = 1;
            state.requests = 0;
        }
    }

    private void failed(double nowMs, State state) {
        count(nowMs, state, 0);
        boolean tooMany = ++state.failures >= CONSECUTIVE || state.requests >= LEAST_REQUESTS && state.rate < REQUIRED;
        if (tooMany || state.probation) {
            takeOut(nowMs, state, DEAD);
        }
    }

    private void takeOut(double nowMs, State state, BackOff backOff) {
        if (nowMs >= state.until) {
            state.until = nowMs + backOff.drawMs(state.times++, random);
            state.probation = true;
            state.failures = 0;
        }
    }
}
