package rowanplank.lab.policy;

import java.util.List;
import rowanplank.balancer.BalancerApi.Request;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.balancer.BalancerApi.Settings;

/**
 * Sees the true state of all servers, which no node can: a request goes to the server that would answer it first, by
 * the laboratory's own model of each, with all that is held there or on its way there, the request's true work on
 * that server, and the way there and back. What nobody would answer within the aim of its class goes nowhere, since a
 * late answer is worth little and would make others late; nor does a server get a request that would cost it
 * throughput. Requests wait a little for a place, and are refused then. It sees no future: what comes later, and
 * failures that are drawn later, surprise it. So it is greedy (join the shortest delay, with exact knowledge), and no
 * bound on what can be reached.
 *
 * <p>With {@code near}, a server of the own zone that answers within {@link #EARLY} of the aim goes before all
 * others, for sites where crossing zones has a price. A choice costs a run of each candidate's model.
 */
final class Omniscient implements Choice {
    private static final double EARLY = 0.5;

    private final Settings settings;
    private final Extras extras;
    private final boolean near;

    Omniscient(Settings settings, Extras extras, boolean near) {
        this.settings = settings;
        this.extras = extras;
        this.near = near;
    }

    @Override
    public void servers(double nowMs, List<Server> ready) { }

    @Override
    public Server choose(double nowMs, Request request, List<Server> candidates) {
        double aim = settings.classes().get(request.classIndex()).targetMs();
        Server first = null;
        double firstMs = Math.min(aim, request.deadlineMs() - nowMs);
        Server nearest = null;
        double nearestMs = EARLY * aim;
        for (Server s : candidates) {
            double ms = extras.isCrowded(s.id()) ? Double.POSITIVE_INFINITY : extras.doneInMs(request, s.id());
            if (ms < firstMs) {
                first = s;
                firstMs = ms;
            }
            if (near && s.zone() == settings.zone() && ms < nearestMs) {
                nearest = s;
                nearestMs = ms;
            }
        }
        return nearest != null ? nearest : first;
    }

    @Override
    public void sent(double nowMs, Request request, int attempt, Server server) {
        extras.sent(request, server.id());
    }
}
