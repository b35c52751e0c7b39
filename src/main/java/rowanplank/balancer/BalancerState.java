package rowanplank.balancer;

import java.util.ArrayList;
import java.util.List;
import rowanplank.balancer.BalancerApi.Request;
import rowanplank.balancer.BalancerApi.RequestClass;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.neural.Neuron;

/** The state that a {@link Balancer} keeps of servers and requests. It holds data only, no decisions. */
final class BalancerState {
    private BalancerState() { }

    /** The state of a server as seen by this node. */
    static final class ServerState {
        Server server;
        /** The server's neuron in the network of each class; null while it is not ready. */
        Neuron[] neurons;
        final ConcurrencyLimit limit;
        double failureRate;
        boolean ejected;
        /** Whether its last failure was a connection that could not be established. */
        boolean unreachable;
        boolean probePending;
        double nextProbeAt;
        double ejectionMs;
        double lastResponseAt;
        /** When something was last sent to it, or when it was added. */
        double lastSentAt;

        ServerState(Server server, ConcurrencyLimit limit) {
            this.server = server;
            this.limit = limit;
        }

        String name() {
            return "server " + Long.toHexString(server.id());
        }
    }

    /** The limit of requests in flight at a server. */
    static final class ConcurrencyLimit {
        /** The current limit as a fraction of the initial limit. */
        double fraction = 1;
        /** The limit as of the last update; may be fractional. */
        double slots;
        int inFlight;
        /** Moving average of latency / target latency. */
        double slowness;
        /** Latency of the last response: how long a slot is taken. */
        double lastLatencyMs;
        int samples;
        double reducedAt;
        /** Credit for the next use of the fractional slot, which is allowed at 1. */
        double credit = 1;
        /** When the credit was last updated. */
        double updatedAt;
        /** Nothing is sent until this time; set while the server is cold. */
        double pausedUntil;

        ConcurrencyLimit(double lastLatencyMs, double updatedAt) {
            this.lastLatencyMs = lastLatencyMs;
            this.updatedAt = updatedAt;
        }
    }

    /** One attempt of a request. */
    static final class Attempt {
        final ServerState server;
        final double sentAt;
        final boolean probe;
        boolean pending = true;
        /** Whether this node has cancelled it; its outcome is still to come. */
        boolean cancelled;
        boolean neverRan;

        Attempt(ServerState server, double sentAt, boolean probe) {
            this.server = server;
            this.sentAt = sentAt;
            this.probe = probe;
        }
    }

    /** A request that has no final response yet or still has pending attempts. */
    static final class OpenRequest {
        final Request request;
        final RequestClass type;
        final double arrivedAt;
        final List<Attempt> attempts = new ArrayList<>(2);
        /** Fraction of its class's worth: below 1 for a client's retry and for a tenant over its quota. */
        double priority;
        double worthDensity;
        boolean queued;
        boolean streaming;
        /** Whether it has ended: it has its final response, or its client has left. */
        boolean ended;

        OpenRequest(Request request, RequestClass type, double arrivedAt) {
            this.request = request;
            this.type = type;
            this.arrivedAt = arrivedAt;
        }

        boolean pending() {
            return attempts.stream().anyMatch(a -> a.pending);
        }

        /** Returns the first attempt that may have had an effect, or null. */
        Attempt firstMayHaveRun() {
            return attempts.stream().filter(a -> !a.neverRan).findFirst().orElse(null);
        }
    }
}
