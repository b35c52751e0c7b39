package routerfleet.data;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import routerfleet.wire.HashMix;

/**
 * A consistent hash ring of servers (Karger et al., 1997): the same for every node that knows the same servers, so that
 * all nodes send a shared part of prompts to the server that has read it.
 */
final class PrefixRing {
    private static final int POINTS_PER_SERVER = 48;

    static final PrefixRing EMPTY = new PrefixRing(List.of());

    /** A server's place on the ring. */
    private record Point(long position, Server server) { }

    private final long[] points;
    private final Server[] servers;

    /** Costs O(n log n) for n servers. */
    PrefixRing(List<Server> members) {
        List<Point> sortedPoints = new ArrayList<>(members.size() * POINTS_PER_SERVER);
        for (Server server : members) {
            for (int i = 0; i < POINTS_PER_SERVER; i++) {
                sortedPoints.add(new Point(HashMix.mix(server.uid().hashCode() * 1_000_003L + i), server));
            }
        }
        sortedPoints.sort((a, b) -> Long.compare(a.position(), b.position()));
        points = sortedPoints.stream().mapToLong(Point::position).toArray();
        servers = sortedPoints.stream().map(Point::server).toArray(Server[]::new);
    }

    /** How many places there are. */
    int size() {
        return servers.length;
    }

    /** The place at which a key's servers begin; a binary search. */
    int firstIndex(long prefixHash) {
        int index = Arrays.binarySearch(points, HashMix.mix(prefixHash));
        return index < 0 ? -index - 1 : index;
    }

    /** The server at a place, counted from {@link #firstIndex} on around the ring. */
    Server server(int index) {
        return servers[index % servers.length];
    }
}
