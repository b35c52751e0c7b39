package routerfleet.data;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import routerfleet.wire.HashMix;

/**
 * The servers of a service in two groups: those that read long prompts, and in each zone a quarter that is kept for short
 * ones. An engine reads a prompt in pieces between the tokens of what runs beside it, so a short request next to a long
 * reading waits for it; no node can see what the others have an engine read, but all of them divide the servers alike. A
 * zone with fewer than four servers keeps none apart.
 */
final class ServerGroups {
    private static final int SHORT_GROUP_DIVISOR = 4;
    private static final long RANK_MULTIPLIER = 7_919;

    /** Servers to draw from: those in the node's own zone, and all. */
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

    /** @param zone the node's own */
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

    /** Whether there are servers to keep for short prompts. */
    boolean canSeparate() {
        return !forShort.all().isEmpty();
    }

    Candidates all() {
        return all;
    }

    Candidates forLong() {
        return forLong;
    }

    Candidates forShort() {
        return forShort;
    }

    /** Where shared parts are at home. @param separated whether long prompts keep to their group */
    PrefixRing ring(boolean separated) {
        return separated ? ringOfLong : ringOfAll;
    }
}
