package rowanplank.lab.policy;

import java.util.List;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.balancer.BalancerApi.Request;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.balancer.BalancerApi.Settings;

/**
 * The choice of a server, and nothing else: what is tried again, ejected, held or refused is whoever's that asks.
 * Servers are known by their id and their last start. Each {@link #sent} is followed by one {@link #ended}.
 */
public interface Choice {
    /** Makes one for a node. */
    interface Maker {
        Choice create(Settings settings, long seed, Extras extras);
    }

    /** These take requests from now on, and no others; what was learned of others is of no more use. */
    void servers(double nowMs, List<Server> ready);

    /**
     * Chooses a server for a request that is to be sent now.
     *
     * @param candidates those of the ready ones that may be had for it, at least one
     * @return one of them, or null if none is to be had just now: the request waits and is asked about again
     */
    Server choose(double nowMs, Request request, List<Server> candidates);

    /** The chosen one has been sent it. */
    default void sent(double nowMs, Request request, int attempt, Server server) { }

    /** How that try ended; also after the request has, and after its server has gone. */
    default void ended(double nowMs, long request, int attempt, Outcome outcome, double latencyMs) { }
}
