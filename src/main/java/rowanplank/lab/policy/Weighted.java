package rowanplank.lab.policy;

import java.util.List;
import java.util.SplittableRandom;
import rowanplank.balancer.BalancerApi.Server;

/**
 * Servers in turn, each as often as its weight says: earliest deadline first, as in Envoy's {@code EdfScheduler}. The
 * one whose deadline is the earliest is picked, and its next one is {@code 1 / weight} later; the weight is that of
 * the moment of the pick. Equal weights make round robin.
 *
 * <p>Envoy begins at a random place in a new schedule; here each server's first deadline is a random part of its
 * {@code 1 / weight}, to the same end: nodes that start together must not all send to one. Where Envoy makes a new
 * schedule as servers come or go, here who comes back begins at the present deadline, so that it has nothing to make up
 * for. A pick costs a look at each candidate.
 */
abstract class Weighted<S extends Weighted.State> extends ByServer<S> {
    /** What is kept of a server. */
    static class State extends ByServer.State {
        final double seenAtMs;
        private double deadline;

        State(Server server, double seenAtMs) {
            super(server);
            this.seenAtMs = seenAtMs;
        }
    }

    final SplittableRandom random;
    private double current;

    Weighted(long seed) {
        random = new SplittableRandom(seed);
    }

    abstract double weight(double nowMs, S state);

    /** To be called for each that enters. */
    final S entered(double nowMs, S state) {
        deadline(state, current + random.nextDouble() / weight(nowMs, state));
        return state;
    }

    private void deadline(S state, double deadline) {
        ((State) state).deadline = deadline;
    }

    private double deadline(S state) {
        return ((State) state).deadline;
    }

    final Server next(double nowMs, List<Server> candidates) {
        S first = null;
        for (Server s : candidates) {
            S state = state(s);
            if (first == null || Math.max(current, deadline(state)) < Math.max(current, deadline(first))) {
                first = state;
            }
        }
        current = Math.max(current, deadline(first));
        deadline(first, current + 1 / weight(nowMs, first));
        return first.server;
    }
}
