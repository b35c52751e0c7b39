package rowanplank.lab.policy;

import java.util.List;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.balancer.BalancerApi.Server;

/**
 * nginx's passive checks (ngx_http_upstream_module, {@code server}): {@code max_fails} = 1 unsuccessful attempt within
 * {@code fail_timeout} = 10 s takes a server out for that time. Unsuccessful is what {@code proxy_next_upstream} names,
 * here {@code error timeout http_503}. Where all are out, this request fails and all are in again.
 */
final class NginxFails extends EjectionByServer<NginxFails.State> {
    private static final double FAIL_TIMEOUT_MS = 10_000;

    /** What is kept of a server. */
    static final class State {
        private double until = Double.NEGATIVE_INFINITY;
    }

    NginxFails() {
        super(State::new);
    }

    @Override
    boolean isOut(double nowMs, State state) {
        return nowMs < state.until;
    }

    @Override
    List<Server> noneLeft(List<Server> ready) {
        all().forEach(s -> s.until = Double.NEGATIVE_INFINITY);
        return List.of();
    }

    @Override
    void ended(double nowMs, State state, Outcome outcome) {
        switch (outcome) {
            case CONNECT_FAILED, RESET, TIMEOUT, FULL -> state.until = nowMs + FAIL_TIMEOUT_MS;
            default -> { }
        }
    }
}
