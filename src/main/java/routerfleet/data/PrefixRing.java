package routerfleet.data;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import routerfleet.wire.HashMix;

/**
 * A consistent hash ring of servers (Karger et al., 1997). It is the same on every node that knows the same servers, so all
 * nodes send prompts with the same prefix to the server that has the prefix in its cache.
 */
final class PrefixRing {
    private static final int POINTS_PER_SERVER = 48;

    /** A ring without servers. */
    static final PrefixRing EMPTY = new PrefixRing(List.of());

    /** One of the points of a server on the ring. */
    private record Point(long position, Server server) { }

    private final long[] points;
    private final Server[] servers;

    /** Builds the ring in O(n log n) time for n servers. */
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

    /** The number of points on the ring. */
    int size() {
        return servers.length;
    }

    /** The index of the first point for a prefix, found by binary search; equal to {@link #size} after the last point. */
    int firstIndex(long prefixHash) {
        int index = Arrays.binarySearch(points, HashMix.mix(prefixHash));
        return index < 0 ? -index - 1 : index;
    }

    /** The server of the point with an index, which wraps around the ring. */
    Server server(int index) {
        return servers[index % servers.length];
    }
}
