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
 * The listed servers of one service, and the choice of a server for each request.
 *
 * <p>Each class of requests has a random neural network with one neuron for each listed server, which learns from the
 * outcomes of this node's requests. Two servers are drawn at random, and the one with the lower score, (own requests in
 * flight + 1) / q, gets the request; q is the neuron's quality. If the prompt has a long shared prefix, the two servers
 * come from a consistent hash ring instead: they are the most likely ones to have the prefix in their caches. If there are
 * both long and short prompts, they go to separate servers ({@link ServerGroups}, {@link PromptSeparation}).
 *
 * <p>A cold server is chosen only if the node has a permit for it now ({@link ColdAdmission}).
 *
 * <p>A choice takes two draws, or a binary search on the ring. There are at most {@value #MAX_CLASSES} networks; further
 * classes share one. Not thread-safe; used on one event loop.
 */
final class ServerPool {
    private static final int MAX_CLASSES = 32;
    /** Name of the network that is shared by classes beyond the limit. */
    private static final String SHARED_CLASS = "";
    private static final int MAX_DRAWS = 6;
    /**
     * Factor on the score of a prefix's first server on the ring when it is compared with the second one: processing the
     * prefix again costs more.
     */
    private static final double CACHE_PREFERENCE = 0.3;
    /** Factor by which the score of a server in the node's own zone may be higher: traffic between zones is charged. */
    private static final double LOCAL_ZONE_PREFERENCE = 1.5;
    /** Factor by which the score of a cold server with a permit may be higher: warm servers are always available. */
    private static final double COLD_SERVER_PREFERENCE = 1.5;
    /** Added to the requests in flight of both servers on the ring, so that a few requests do not move a prefix. */
    private static final double CACHE_SCORE_OFFSET = 4;

    /** The network of one class of requests, with the neuron of each server. */
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

    /** For how long connections to the servers may have been idle to be reused. */
    IdleReuseLimit idleReuseLimit() {
        return idleReuseLimit;
    }

    /** The permits for the cold servers. */
    ColdAdmission coldAdmission() {
        return coldAdmission;
    }

    int size() {
        return servers.size();
    }

    List<Server> servers() {
        return servers;
    }

    /** Adds a server. {@link #applyMembership} must follow, once for all servers that are added and removed together. */
    void add(Server server) {
        servers.add(server);
        classes.values().forEach(network -> network.neurons.put(server, network.network.addNeuron()));
        membershipChanged = true;
    }

    /** Removes a server. {@link #applyMembership} must follow. */
    void remove(Server server) {
        if (servers.remove(server)) {
            classes.values().forEach(network -> network.network.removeNeuron(network.neurons.remove(server)));
            membershipChanged = true;
        }
    }

    /** Updates networks and groups after servers were added or removed, in O(n log n) time for n servers. */
    void applyMembership() {
        if (membershipChanged) {
            membershipChanged = false;
            classes.values().forEach(network -> network.network.solve());
            groups = new ServerGroups(servers, zone);
        }
    }

    /** Removes the networks of classes that no longer exist, to make room for new ones. */
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

    /** Records the outcome of a request. @param latencyMs time to the first response; for a failure, a penalty */
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
     * @param limit maximum number of requests that this node may have in flight at one server
     * @param tried servers to which this request has already been sent
     * @return null if no server can take the request
     */
    Server choose(PromptProfile profile, int limit, List<Server> tried, long nowMs) {
        if (servers.isEmpty()) {
            return null;
        }
        separation.requestArrived(profile.isLong());
        ClassNetwork network = network(profile.requestClass());
        Server chosen = profile.prefix().isShared() ? chooseFromRing(network, profile.prefix(), limit, tried, nowMs)
                : preferPermittedCold(network, chooseOfTwo(network, candidates(profile), limit, tried, nowMs), limit, tried,
                        nowMs);
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

    /**
     * Draws one server in the node's own zone and one anywhere, and takes the one with the lower score. The local one is
     * preferred if that avoids traffic between zones.
     */
    private Server chooseOfTwo(ClassNetwork network, ServerGroups.Candidates candidates, int limit, List<Server> tried,
            long nowMs) {
        Server local = draw(candidates.local(), null, limit, tried, nowMs);
        Server other = draw(candidates.all(), local, limit, tried, nowMs);
        if (local == null || other == null) {
            return local == null ? other : local;
        }
        boolean avoidsZoneCrossing = local.zone().equals(zone) && !other.zone().equals(zone);
        return score(network, local) <= score(network, other) * (avoidsZoneCrossing ? LOCAL_ZONE_PREFERENCE : 1) ? local
                : other;
    }

    /**
     * Prefers a cold server with a permit to the chosen warm one unless its score is much worse. Permits expire with their
     * slice, and random draws would rarely hit the few servers that have one.
     */
    private Server preferPermittedCold(ClassNetwork network, Server warm, int limit, List<Server> tried, long nowMs) {
        for (Server cold : coldAdmission.serversWithPermit(servers, nowMs)) {
            boolean eligible = isEligible(cold, limit, tried, nowMs);
            if (eligible && (warm == null || score(network, cold) <= score(network, warm) * COLD_SERVER_PREFERENCE)) {
                return cold;
            }
        }
        return warm;
    }

    /** Chooses between the first two eligible servers on the ring, of which the first most likely has the prefix cached. */
    private Server chooseFromRing(ClassNetwork network, PromptPrefix prefix, int limit, List<Server> tried, long nowMs) {
        PrefixRing ring = groups.ring(separatesPrompts());
        int start = ring.firstIndex(prefix.hash());
        Server first = null;
        for (int i = 0; i < ring.size(); i++) {
            Server next = ring.server(start + i);
            if (next == first || !isEligible(next, limit, tried, nowMs)) {
                continue;
            }
            if (first == null) {
                first = next;
            } else {
                return cacheAwareScore(network, first) * CACHE_PREFERENCE <= cacheAwareScore(network, next) ? first : next;
            }
        }
        return first;
    }

    /** Draws an eligible server other than the given one at random; null after {@value #MAX_DRAWS} ineligible ones. */
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

    /** Fallback if all draws failed: the server with the best score that is below the limit, avoided servers included. */
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

    /** Score of a server that may have the prefix cached. It is damped, since one response changes q by too much. */
    private static double cacheAwareScore(ClassNetwork network, Server server) {
        return (server.inFlight() + CACHE_SCORE_OFFSET) / Math.sqrt(network.neurons.get(server).quality());
    }

    /** Expected delay of a request at a server relative to other servers; lower is better. */
    private static double score(ClassNetwork network, Server server) {
        return (server.inFlight() + 1) / network.neurons.get(server).quality();
    }
}
