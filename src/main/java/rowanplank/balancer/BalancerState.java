package rowanplank.balancer;

import java.util.ArrayList;
import java.util.List;
import rowanplank.balancer.BalancerApi.Request;
import rowanplank.balancer.BalancerApi.RequestClass;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.neural.Neuron;

/** What a {@link Balancer} remembers of servers and requests: plain records of fact, no decisions. */
final class BalancerState {
    private BalancerState() { }

    /** A server as this node sees it. */
    static final class ServerState {
        Server server;
        /** Its neuron in each class's network; null while it is not ready. */
        Neuron[] neurons;
        final ConcurrencyLimit limit;
        double failureRate;
        boolean ejected;
        /** Its last failure was a connection that could not be made. */
        boolean unreachable;
        boolean probePending;
        double nextProbeAt;
        double ejectionMs;
        double lastResponseAt;
        /** When something was last sent to it, or when it came. */
        double lastSentAt;

        ServerState(Server listed, ConcurrencyLimit limit) {
            this.server = listed;
            this.limit = limit;
        }

        String name() {
            return "server " + Long.toHexString(server.id());
        }
    }

    /** How many requests may be in flight at a server. */
    static final class ConcurrencyLimit {
        /** Part that is left of the first limit. */
        double fraction = 1;
        /** The limit as of the last request. */
        double slots;
        int inFlight;
        /** Running mean of latencies as parts of their aims. */
        double slowness;
        /** Latency of the last answer: how long a place is taken. */
        double lastLatencyMs;
        int samples;
        double reducedAt;
        /** How far the next use of the broken place is due: 1 when it is. */
        double credit = 1;
        /** When this was brought up to date. */
        double updatedAt;
        /** Until then nothing is sent; set while the server is cold. */
        double pausedUntil;

        ConcurrencyLimit(double lastMs, double at) {
            this.lastLatencyMs = lastMs;
            this.updatedAt = at;
        }
    }

    /** One send of a request. */
    static final class Attempt {
        final ServerState server;
        final double sentAt;
        final boolean probe;
        boolean pending = true;
        /** Given up by this node; its outcome is still to come. */
        boolean cancelled;
        boolean neverRan;

        Attempt(ServerState target, double sentAt, boolean trial) {
            this.server = target;
            this.sentAt = sentAt;
            this.probe = trial;
        }
    }

    /** A request that is owed an answer, or whose attempts are still out. */
    static final class OpenRequest {
        final Request request;
        final RequestClass type;
        final double arrivedAt;
        final List<Attempt> attempts = new ArrayList<>(2);
        /** What is left of its class's worth: less for a repeat and beyond its tenant's share. */
        double priority;
        double worthDensity;
        boolean queued;
        boolean streaming;
        /** It has had its final answer. */
        boolean ended;

        OpenRequest(Request request, RequestClass type, double arrivedAt) {
            this.request = request;
            this.type = type;
            this.arrivedAt = arrivedAt;
        }

        boolean pending() {
            return attempts.stream().anyMatch(a -> a.pending);
        }

        /** The first attempt that may have had an effect, or null. */
        Attempt firstMayHaveRun() {
            return attempts.stream().filter(a -> !a.neverRan).findFirst().orElse(null);
        }
    }
}
