package routerfleet.data;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import rowanplank.neural.Neuron;
import rowanplank.neural.RandomNeuralNetwork;
import routerfleet.wire.HashMix;

/**
 * The listed servers of one service, and the choice among them.
 *
 * <p>The design: a random neural network for each class of request with a neuron for each listed server; two servers are
 * drawn, and the one with the lower (own requests in flight + 1) / q gets the request. Where a long part of the prompt is
 * shared, the two are drawn from a hash ring: the servers where that part has been read before. Long and short prompts are
 * kept apart where there are both ({@link ServerGroups}, {@link PromptSeparation}).
 *
 * <p>Cold servers take part only where the node has a permission for them now ({@link ColdAdmission}).
 *
 * <p>Cost of a choice: two draws, or a binary search on the ring. Bound: {@value #MAX_CLASSES} networks; further
 * classes share the last one.
 */
final class ServerPool {
    private static final int MAX_CLASSES = 32;
    /** The network of classes beyond that. */
    private static final String SHARED_CLASS = "";
    private static final int MAX_DRAWS = 6;
    /** How much worse the home of a shared part may look than the other server drawn: reading it anew costs more. */
    private static final double CACHE_PREFERENCE = 0.3;
    /** How much worse a server in the node's own zone may look than one elsewhere: bytes between zones are paid for. */
    private static final double LOCAL_ZONE_PREFERENCE = 1.5;
    /** How much worse a cold server may look that the node has a permission for: a warm one can be had at any time. */
    private static final double COLD_SERVER_PREFERENCE = 1.5;
    /** Requests that both count for beside those in flight, so that a few of them do not send a part elsewhere. */
    private static final double CACHE_SCORE_OFFSET = 4;

    /** The network of one class. */
    private static final class ClassNetwork {
        private final RandomNeuralNetwork network = new RandomNeuralNetwork();
        private final Map<Server, Neuron> neurons = new HashMap<>();
    }

    private final SplittableRandom random;
    private final IdleReuseLimit idleReuseLimit = new IdleReuseLimit();
    private final ColdAdmission coldAdmission;
    private final List<Server> servers = new ArrayList<>();
    private final Map<String, ClassNetwork> classes = new HashMap<>();
    private final PromptSeparation separation = new PromptSeparation();
    private final String zone;
    private ServerGroups groups;
    private boolean membershipChanged;

    /** @param zone the node's own */
    ServerPool(long seed, String zone) {
        random = new SplittableRandom(seed);
        coldAdmission = new ColdAdmission(HashMix.mix(seed));
        this.zone = zone;
        groups = new ServerGroups(servers, zone);
    }

    /** For how long connections to its servers may rest. */
    IdleReuseLimit idleReuseLimit() {
        return idleReuseLimit;
    }

    /** Which requests may go to its cold servers. */
    ColdAdmission coldAdmission() {
        return coldAdmission;
    }

    int size() {
        return servers.size();
    }

    List<Server> servers() {
        return servers;
    }

    /** {@link #applyMembership} is to follow, once for all servers that come and go at one time. */
    void add(Server server) {
        servers.add(server);
        classes.values().forEach(network -> network.neurons.put(server, network.network.addNeuron()));
        membershipChanged = true;
    }

    /** {@link #applyMembership} is to follow. */
    void remove(Server server) {
        if (servers.remove(server)) {
            classes.values().forEach(network -> network.network.removeNeuron(network.neurons.remove(server)));
            membershipChanged = true;
        }
    }

    /** Takes servers that came or went into the choice. Costs O(n log n) for n servers where any did, else nothing. */
    void applyMembership() {
        if (membershipChanged) {
            membershipChanged = false;
            classes.values().forEach(network -> network.network.solve());
            groups = new ServerGroups(servers, zone);
        }
    }

    /** Forgets the networks of classes that are no more, so that new ones find room. */
    void retainClasses(Set<String> names) {
        classes.keySet().removeIf(name -> !name.equals(SHARED_CLASS) && !names.contains(name));
    }

    private ClassNetwork network(String requestClass) {
        ClassNetwork found = classes.get(requestClass);
        if (found != null) {
            return found;
        }
        if (classes.size() >= MAX_CLASSES) {
            return classes.computeIfAbsent(SHARED_CLASS, this::newNetwork);
        }
        return classes.computeIfAbsent(requestClass, this::newNetwork);
    }

    private ClassNetwork newNetwork(String requestClass) {
        ClassNetwork created = new ClassNetwork();
        servers.forEach(server -> created.neurons.put(server, created.network.addNeuron()));
        created.network.solve();
        return created;
    }

    /** One answer of a server, or how long a failure counts as, in milliseconds. */
    void recordOutcome(PromptProfile profile, Server server, double latencyMs, boolean success) {
        if (!profile.isLong() && groups.canSeparate()) {
            separation.recordLatency(server.isReservedForShort(), latencyMs, profile.targetLatencyMs());
        }
        ClassNetwork network = network(profile.requestClass());
        Neuron neuron = network.neurons.get(server);
        if (neuron != null) {
            network.network.learn(neuron, latencyMs, success);
        }
    }

    /**
     * Chooses a server.
     *
     * @param limit how many requests this node may have in flight at one server
     * @param tried servers that this request has been sent to
     * @return null where none may take it
     */
    Server choose(PromptProfile profile, int limit, List<Server> tried, long nowMs) {
        if (servers.isEmpty()) {
            return null;
        }
        separation.requestArrived(profile.isLong());
        ClassNetwork network = network(profile.requestClass());
        Server chosen = profile.prefix().isShared() ? chooseFromRing(network, profile.prefix(), limit, tried, nowMs)
                : preferPermittedCold(network, chooseOfTwo(network, candidates(profile), limit, tried, nowMs), limit, tried, nowMs);
        return chosen != null ? chosen : chooseAny(network, limit, tried, nowMs);
    }

    private boolean separatesPrompts() {
        return groups.canSeparate() && separation.isActive();
    }

    private ServerGroups.Candidates candidates(PromptProfile profile) {
        if (!separatesPrompts()) {
            return groups.all();
        }
        boolean toShortGroup = !profile.isLong() && random.nextDouble() < separation.shortGroupProbability();
        return toShortGroup ? groups.forShort() : groups.forLong();
    }

    /** Draws one server near and one anywhere; the near one may look a little worse, as it saves a crossing of zones. */
    private Server chooseOfTwo(ClassNetwork network, ServerGroups.Candidates candidates, int limit, List<Server> tried,
            long nowMs) {
        Server local = draw(candidates.local(), null, limit, tried, nowMs);
        Server other = draw(candidates.all(), local, limit, tried, nowMs);
        if (local == null || other == null) {
            return local == null ? other : local;
        }
        boolean avoidsZoneCrossing = local.zone().equals(zone) && !other.zone().equals(zone);
        return score(network, local) <= score(network, other) * (avoidsZoneCrossing ? LOCAL_ZONE_PREFERENCE : 1) ? local : other;
    }

    /** A permission for a cold server lasts one slice, and draws among all would seldom find it: it is looked for. */
    private Server preferPermittedCold(ClassNetwork network, Server warm, int limit, List<Server> tried, long nowMs) {
        for (Server cold : coldAdmission.serversWithPermit(servers, nowMs)) {
            boolean eligible = isEligible(cold, limit, tried, nowMs);
            if (eligible && (warm == null || score(network, cold) <= score(network, warm) * COLD_SERVER_PREFERENCE)) {
                return cold;
            }
        }
        return warm;
    }

    private Server chooseFromRing(ClassNetwork network, PromptPrefix prefix, int limit, List<Server> tried, long nowMs) {
        PrefixRing ring = groups.ring(separatesPrompts());
        int start = ring.firstIndex(prefix.hash());
        Server home = null;
        for (int i = 0; i < ring.size(); i++) {
            Server next = ring.server(start + i);
            if (next == home || !isEligible(next, limit, tried, nowMs)) {
                continue;
            }
            if (home == null) {
                home = next;
            } else {
                return cacheAwareScore(network, home) * CACHE_PREFERENCE <= cacheAwareScore(network, next) ? home : next;
            }
        }
        return home;
    }

    private Server draw(List<Server> from, Server other, int limit, List<Server> tried, long nowMs) {
        for (int i = 0; i < MAX_DRAWS && !from.isEmpty(); i++) {
            Server drawn = from.get(random.nextInt(from.size()));
            if (drawn != other && isEligible(drawn, limit, tried, nowMs)) {
                return drawn;
            }
        }
        return null;
    }

    private boolean isEligible(Server server, int limit, List<Server> tried, long nowMs) {
        return server.listed() && server.inFlight() < limit && !server.isAvoided(nowMs) && !tried.contains(server)
                && coldAdmission.permits(server, nowMs);
    }

    /** Where all draws failed: whichever has room, one that is left alone only if there is no other. */
    private Server chooseAny(ClassNetwork network, int limit, List<Server> tried, long nowMs) {
        Server best = null;
        for (Server server : servers) {
            if (server.inFlight() < limit && !tried.contains(server) && coldAdmission.permits(server, nowMs)) {
                best = better(network, server, best);
            }
        }
        return best;
    }

    private Server better(ClassNetwork network, Server a, Server b) {
        if (a == null || b == null) {
            return a == null ? b : a;
        }
        return score(network, a) <= score(network, b) ? a : b;
    }

    /** Of a server that may have read a part already: one answer moves q too far to send the part elsewhere. */
    private static double cacheAwareScore(ClassNetwork network, Server server) {
        return (server.inFlight() + CACHE_SCORE_OFFSET) / Math.sqrt(network.neurons.get(server).quality());
    }

    private static double score(ClassNetwork network, Server server) {
        return (server.inFlight() + 1) / network.neurons.get(server).quality();
    }
}
