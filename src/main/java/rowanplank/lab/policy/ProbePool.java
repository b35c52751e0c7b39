package rowanplank.lab.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.LongPredicate;
import rowanplank.balancer.BalancerApi.Server;

/**
 * Prequal's probe pool (NSDI 2024, section 4), {@value #MOST} probes at most, one a server: a newer one takes the place
 * of the older. Probes leave it when they are {@value #OLDEST_MS} ms old, when they have been used so often that, with
 * m places, n servers and r probes a request, the pool keeps its size,
 * <pre>
 *   reuse = max(1, (1 + DELTA) / ((1 - m/n) * r - REMOVED))
 * </pre>
 * drawn between the two whole numbers next to it so that this is its mean, when the pool is full and they are the
 * oldest, and {@value #REMOVED} a choice: the oldest and the worst in turn. The worst is the hot one with most in
 * flight, else the slowest. A probe that is used counts one request more in flight from then on. Where m/n is so large
 * that the divisor is not above zero, as with few servers, use has no bound: what is removed and ages bounds it.
 *
 * <p>The quantile is over the last {@value #HEARD} probes; how many Prequal takes is not published. O(pool) a call.
 */
final class ProbePool {
    static final int MOST = 16;
    static final int LEAST = 2;
    static final double QUANTILE = Math.pow(2, -0.25);
    static final double OLDEST_MS = 1000;
    static final int REMOVED = 1;
    private static final double DELTA = 1;
    private static final int HEARD = 128;

    private static final class Probe {
        final long server;
        final double latency;
        final double at;
        double inFlight;
        int uses;

        Probe(long server, double inFlight, double latency, double at, int uses) {
            this.server = server;
            this.inFlight = inFlight;
            this.latency = latency;
            this.at = at;
            this.uses = uses;
        }
    }

    private final SplittableRandom random;
    /** The oldest first. */
    private final List<Probe> probes = new ArrayList<>();
    private final double[] heard = new double[HEARD];
    private int heardCount;
    private int servers;
    private boolean oldestNext = true;

    ProbePool(SplittableRandom random) {
        this.random = random;
    }

    /** Forgets what was heard of other servers than these. */
    void keep(LongPredicate known, int count) {
        probes.removeIf(p -> !known.test(p.server));
        servers = count;
    }

    void add(double nowMs, long server, double inFlight, double latency) {
        probes.removeIf(p -> p.server == server);
        if (probes.size() == MOST) {
            probes.remove(0);
        }
        probes.add(new Probe(server, inFlight, latency, nowMs, uses()));
        heard[heardCount++ % HEARD] = inFlight;
    }

    double reuse() {
        double left = (1 - (double) MOST / servers) * Prequal.PROBES - REMOVED;
        return left <= 0 ? Double.POSITIVE_INFINITY : Math.max(1, (1 + DELTA) / left);
    }

    private int uses() {
        double reuse = reuse();
        return Double.isInfinite(reuse) ? Integer.MAX_VALUE : (int) (reuse + random.nextDouble());
    }

    /** In flight beyond this is hot: the least that so large a part of those heard does not exceed. */
    double threshold() {
        double[] sorted = Arrays.copyOf(heard, Math.min(heardCount, HEARD));
        Arrays.sort(sorted);
        return sorted[Math.max(0, (int) Math.ceil(QUANTILE * sorted.length) - 1)];
    }

    /** @return null with too few probes of the candidates */
    Server choose(double nowMs, List<Server> candidates) {
        probes.removeIf(p -> nowMs - p.at > OLDEST_MS);
        Map<Long, Server> wanted = new LinkedHashMap<>();
        candidates.forEach(s -> wanted.put(s.id(), s));
        double hot = heardCount == 0 ? 0 : threshold();
        Probe best = null;
        int count = 0;
        for (Probe p : probes) {
            if (wanted.containsKey(p.server)) {
                count++;
                best = best == null || isBetter(p, best, hot) ? p : best;
            }
        }
        if (count < LEAST) {
            return null;
        }
        best.inFlight++;
        if (--best.uses <= 0) {
            probes.remove(best);
        }
        removeOne(hot);
        return wanted.get(best.server);
    }

    private static boolean isBetter(Probe a, Probe b, double hot) {
        boolean hotA = a.inFlight > hot;
        boolean hotB = b.inFlight > hot;
        return hotA != hotB ? hotB : hotA ? a.inFlight < b.inFlight : a.latency < b.latency;
    }

    private void removeOne(double hot) {
        if (probes.isEmpty()) {
            return;
        }
        Probe worst = probes.get(0);
        for (Probe p : probes) {
            worst = !oldestNext && isBetter(worst, p, hot) ? p : worst;
        }
        probes.remove(worst);
        oldestNext = !oldestNext;
    }

    int size() {
        return probes.size();
    }
}
