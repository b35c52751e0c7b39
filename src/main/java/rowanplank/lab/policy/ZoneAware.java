package rowanplank.lab.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.balancer.BalancerApi.Request;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.balancer.BalancerApi.Settings;

/**
 * Envoy's zone aware routing (Architecture overview, Load balancing, Zone aware routing; {@code ZoneAwareLbConfig}),
 * with another choice among the servers of the zone that it draws. Where the own zone has at least the part of the
 * servers that it has of the nodes, all stays in it. Else so much stays as the own servers' part allows,
 * <pre>
 *   part of the servers / part of the nodes
 * </pre>
 * and the rest goes to zones whose part of the servers is above that of their nodes, each in the measure in which it
 * is. Defaults: {@code routing_enabled} 100 %, and only with {@code min_cluster_size} = 6 servers or more.
 *
 * <p>Envoy knows how many nodes are in each zone from the list of its own kind. Here nodes know their number alone,
 * and zones are taken to have even parts of the nodes. With fewer nodes than zones it is left off, as Envoy does
 * where a zone has no node. A choice costs a look at each candidate.
 */
final class ZoneAware implements Choice {
    private static final int MIN_CLUSTER_SIZE = 6;

    private final Settings settings;
    private final Choice inner;
    private final SplittableRandom random;
    /** Each zone's part of the ready servers. */
    private final Map<Integer, Double> parts = new TreeMap<>();
    private int count;

    ZoneAware(Settings settings, long seed, Choice inner) {
        this.settings = settings;
        this.inner = inner;
        random = new SplittableRandom(seed);
    }

    @Override
    public void servers(double nowMs, List<Server> ready) {
        count = ready.size();
        parts.clear();
        ready.forEach(s -> parts.merge(s.zone(), 1.0 / ready.size(), Double::sum));
        inner.servers(nowMs, ready);
    }

    @Override
    public Server choose(double nowMs, Request request, List<Server> candidates) {
        int zone = zone();
        List<Server> there = new ArrayList<>();
        for (Server s : candidates) {
            if (s.zone() == zone) {
                there.add(s);
            }
        }
        return inner.choose(nowMs, request, there.isEmpty() ? candidates : there);
    }

    /** @return -1 for any */
    private int zone() {
        if (count < MIN_CLUSTER_SIZE || !parts.containsKey(settings.zone()) || settings.nodes() < parts.size()) {
            return -1;
        }
        double ofNodes = 1.0 / parts.size();
        double own = parts.get(settings.zone());
        if (own >= ofNodes || random.nextDouble() < own / ofNodes) {
            return settings.zone();
        }
        double left = random.nextDouble() * parts.values().stream().mapToDouble(p -> Math.max(0, p - ofNodes)).sum();
        for (Map.Entry<Integer, Double> zone : parts.entrySet()) {
            left -= Math.max(0, zone.getValue() - ofNodes);
            if (left < 0) {
                return zone.getKey();
            }
        }
        return -1;
    }

    @Override
    public void sent(double nowMs, Request request, int attempt, Server server) {
        inner.sent(nowMs, request, attempt, server);
    }

    @Override
    public void ended(double nowMs, long request, int attempt, Outcome outcome, double latencyMs) {
        inner.ended(nowMs, request, attempt, outcome, latencyMs);
    }
}
