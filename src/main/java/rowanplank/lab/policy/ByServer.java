package rowanplank.lab.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.balancer.BalancerApi.Request;
import rowanplank.balancer.BalancerApi.Server;

/**
 * A choice that keeps something for each server: that, what this node has in flight there, and which try is out where.
 * A server that has restarted is a new one. Bounded: one state a ready server, one entry a try that is out.
 */
abstract class ByServer<S extends ByServer.State> implements Choice {
    /** What is kept of a server. */
    static class State {
        Server server;
        int inFlight;

        State(Server server) {
            this.server = server;
        }
    }

    private record Try(long request, int attempt) { }

    private final Map<Long, S> states = new LinkedHashMap<>();
    private final Map<Try, S> out = new LinkedHashMap<>();

    /** A server of which nothing is known. */
    abstract S enter(double nowMs, Server server);

    /** The servers are others now, or say something else of themselves. */
    void changed(double nowMs) { }

    void sent(double nowMs, S state) { }

    void ended(double nowMs, S state, Outcome outcome, double latencyMs) { }

    @Override
    public final void servers(double nowMs, List<Server> ready) {
        Map<Long, S> former = new LinkedHashMap<>(states);
        states.clear();
        for (Server s : ready) {
            S state = former.get(s.id());
            if (state == null || state.server.startedAtMs() < s.startedAtMs()) {
                state = enter(nowMs, s);
            }
            state.server = s;
            states.put(s.id(), state);
        }
        changed(nowMs);
    }

    @Override
    public final void sent(double nowMs, Request request, int attempt, Server server) {
        S state = states.get(server.id());
        state.inFlight++;
        out.put(new Try(request.id(), attempt), state);
        sent(nowMs, state);
    }

    @Override
    public final void ended(double nowMs, long request, int attempt, Outcome outcome, double latencyMs) {
        S state = out.remove(new Try(request, attempt));
        if (state != null) {
            state.inFlight--;
            ended(nowMs, state, outcome, latencyMs);
        }
    }

    /** @return null for a server that is not ready */
    final S state(long server) {
        return states.get(server);
    }

    final S state(Server server) {
        return states.get(server.id());
    }

    /** All ready ones, in the list's order. */
    final List<S> states() {
        return new ArrayList<>(states.values());
    }

    /** How much is kept. */
    int kept() {
        return states.size() + out.size();
    }
}
