package rowanplank.lab.policy;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import rowanplank.balancer.BalancerApi.Request;
import rowanplank.balancer.BalancerApi.Server;

/**
 * Prequal, asynchronous (Wydrowski, Kleinberg, Rumble, Archer: Load is not what you should balance: Introducing
 * Prequal, NSDI 2024, section 4). Each request triggers {@link #PROBES} probes to servers drawn at random, without
 * repetition; their answers come into a {@link ProbePool}, from which later requests are placed by the hot-cold
 * lexicographic rule: a probe is hot if its requests in flight are above the {@link ProbePool#QUANTILE} quantile of
 * those lately heard; the cold one with the lowest latency is chosen, and if all are hot the one with the fewest in
 * flight. With fewer than {@link ProbePool#LEAST} probes in the pool the server is drawn at random.
 *
 * <p>Constants of section 5 (testbed): 3 probes a request, a pool of 16, quantile 2^-0.25, one probe removed a
 * request; probes age out after 1 s. The testbed's probe time-out of 3 ms fits probes that take well under 1 ms; the
 * site's cost 1 ms of a core besides the way, so {@value #PROBE_TIMEOUT_MS} ms. Probes while no requests come are
 * optional there and left out, and so is the guard against servers that fail fast, of which no figures are given.
 *
 * <p>A real page server of the site tells a probe only its load report. With {@code ownServers} it tells what
 * Prequal's own servers do, requests in flight and their usual latency at that number (the laboratory's servers do
 * both); without, the report has to do: in flight = {@code queue + util * size}, latency = {@code latency_ms}.
 *
 * <p>A choice costs O(pool), and O(n) to draw from n servers.
 */
final class Prequal implements Choice, Extras.Listener {
    static final int PROBES = 3;
    private static final double PROBE_TIMEOUT_MS = 30;

    private final boolean ownServers;
    private final Extras extras;
    private final SplittableRandom random;
    private final ProbePool pool;
    private List<Server> ready = new ArrayList<>();

    Prequal(long seed, Extras extras, boolean ownServers) {
        this.ownServers = ownServers;
        this.extras = extras;
        random = new SplittableRandom(seed);
        pool = new ProbePool(random.split());
    }

    @Override
    public void servers(double nowMs, List<Server> now) {
        ready = new ArrayList<>(now);
        Set<Long> ids = new LinkedHashSet<>();
        now.forEach(s -> ids.add(s.id()));
        pool.keep(ids::contains, now.size());
    }

    @Override
    public Server choose(double nowMs, Request request, List<Server> candidates) {
        probe();
        Server chosen = pool.choose(nowMs, candidates);
        return chosen != null ? chosen : candidates.get(random.nextInt(candidates.size()));
    }

    private void probe() {
        for (int i = 0; i < Math.min(PROBES, ready.size()); i++) {
            int drawn = i + random.nextInt(ready.size() - i);
            Server server = ready.set(drawn, ready.get(i));
            ready.set(i, server);
            extras.probe(server.id(), PROBE_TIMEOUT_MS);
        }
    }

    @Override
    public void onProbe(double nowMs, long server, Extras.Report report, Extras.Crowd crowd) {
        Server known = ready.stream().filter(s -> s.id() == server).findFirst().orElse(null);
        if (known == null || (ownServers ? crowd == null : report == null)) {
            return;
        }
        if (ownServers) {
            pool.add(nowMs, server, crowd.inFlight(), Math.max(0, crowd.latencyMs()));
        } else if (report.queue() >= 0 && report.utilisation() >= 0 && report.latencyMs() >= 0) {
            pool.add(nowMs, server, report.queue() + report.utilisation() * known.weight(), report.latencyMs());
        }
    }

    int kept() {
        return ready.size() + pool.size();
    }
}
