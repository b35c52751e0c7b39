package routerfleet.data;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import routerfleet.wire.HashMix;

/**
 * Divides the servers of a service into two groups: one for long prompts, and a quarter of each zone that is reserved for
 * short ones. An engine processes prompts in chunks, interleaved with token generation for its other requests, so a short
 * request is delayed by a long prompt at the same engine. A node does not know which prompts other nodes have sent to an
 * engine, but all nodes divide the servers in the same way. In a zone with fewer than four servers, none is reserved.
 */
final class ServerGroups {
    /** One of so many servers of a zone is reserved for short prompts. */
    private static final int SHORT_GROUP_DIVISOR = 4;
    private static final long RANK_MULTIPLIER = 7_919;

    /** Servers to choose from: those in the node's own zone (all, if there are none there), and all. */
    record Candidates(List<Server> local, List<Server> all) {
        static Candidates of(List<Server> servers, String zone) {
            List<Server> local = servers.stream().filter(server -> server.zone().equals(zone)).toList();
            return new Candidates(local.isEmpty() ? servers : local, servers);
        }
    }

    private final Candidates all;
    private final Candidates forLong;
    private final Candidates forShort;
    private final PrefixRing ringOfAll;
    private final PrefixRing ringOfLong;

    /** Divides the servers, and marks each with its group. @param zone the node's own */
    ServerGroups(List<Server> servers, String zone) {
        List<Server> longGroup = new ArrayList<>();
        List<Server> shortGroup = new ArrayList<>();
        for (List<Server> inZone : byZone(servers).values()) {
            inZone.sort(Comparator.comparingLong(ServerGroups::rank).thenComparing(Server::uid));
            int shortCount = inZone.size() / SHORT_GROUP_DIVISOR;
            shortGroup.addAll(inZone.subList(0, shortCount));
            longGroup.addAll(inZone.subList(shortCount, inZone.size()));
        }
        shortGroup.forEach(server -> server.reservedForShort(true));
        longGroup.forEach(server -> server.reservedForShort(false));
        all = Candidates.of(List.copyOf(servers), zone);
        forLong = Candidates.of(longGroup, zone);
        forShort = Candidates.of(shortGroup, zone);
        ringOfAll = new PrefixRing(servers);
        ringOfLong = shortGroup.isEmpty() ? ringOfAll : new PrefixRing(longGroup);
    }

    private static Map<String, List<Server>> byZone(List<Server> servers) {
        Map<String, List<Server>> zones = new TreeMap<>();
        servers.forEach(server -> zones.computeIfAbsent(server.zone(), z -> new ArrayList<>()).add(server));
        return zones;
    }

    private static long rank(Server server) {
        return HashMix.mix(server.uid().hashCode() * RANK_MULTIPLIER);
    }

    /** Whether any servers are reserved for short prompts. */
    boolean canSeparate() {
        return !forShort.all().isEmpty();
    }

    /** All servers. */
    Candidates all() {
        return all;
    }

    /** The servers for long prompts. */
    Candidates forLong() {
        return forLong;
    }

    /** The servers reserved for short prompts. */
    Candidates forShort() {
        return forShort;
    }

    /** The hash ring of prompt prefixes. @param separated whether long prompts are limited to their group */
    PrefixRing ring(boolean separated) {
        return separated ? ringOfLong : ringOfAll;
    }
}
