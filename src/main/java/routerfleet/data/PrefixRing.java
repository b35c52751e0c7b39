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
    private static final int POINTS = 48;

    static final PrefixRing EMPTY = new PrefixRing(List.of());

    /** A server's place on the ring. */
    private record Point(long at, Server server) { }

    private final long[] points;
    private final Server[] servers;

    /** Costs O(n log n) for n servers. */
    PrefixRing(List<Server> members) {
        List<Point> placed = new ArrayList<>(members.size() * POINTS);
        for (Server server : members) {
            for (int i = 0; i < POINTS; i++) {
                placed.add(new Point(HashMix.mix(server.uid().hashCode() * 1_000_003L + i), server));
            }
        }
        placed.sort((a, b) -> Long.compare(a.at(), b.at()));
        points = placed.stream().mapToLong(Point::at).toArray();
        servers = placed.stream().map(Point::server).toArray(Server[]::new);
    }

    /** How many places there are. */
    int length() {
        return servers.length;
    }

    /** The place at which a key's servers begin; a binary search. */
    int start(long key) {
        int at = Arrays.binarySearch(points, HashMix.mix(key));
        return at < 0 ? -at - 1 : at;
    }

    /** The server at a place, counted from {@link #start} on around the ring. */
    Server at(int place) {
        return servers[place % servers.length];
    }
}
