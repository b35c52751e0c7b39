package routerfleet.control;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import routerfleet.wire.PeerLink;
import routerfleet.wire.PeerMessage;

/** The connections of data nodes to this control node. */
final class DataNodeConnections {
    private static final long ACTIVE_MS = 2_500;

    /** A connection of a data node, with what was sent on it last. */
    static final class Connection {
        final PeerLink link;
        final String ip;
        /** Whether it has polled, and so declared whether it is the primary connection. */
        boolean hasPolled;
        boolean primary;
        long sentRevision;
        long sentGeneration;
        /** The revision of the evacuations that was sent last. */
        long sentEvacuations;

        Connection(PeerLink link, String ip) {
            this.link = link;
            this.ip = ip;
        }
    }

    private final Map<PeerLink, Connection> connections = new LinkedHashMap<>();
    /** When each data node polled last, by address. */
    private final Map<String, Long> lastPollNanos = new TreeMap<>();

    /** Adds a connection of the data node at an address. */
    Connection open(PeerLink link, String ip) {
        Connection connection = new Connection(link, ip);
        connections.put(link, connection);
        return connection;
    }

    /** Returns the connection on a link; null if no data node has introduced itself on it. */
    Connection find(PeerLink link) {
        return connections.get(link);
    }

    void close(PeerLink link) {
        connections.remove(link);
    }

    /** Returns all open connections. */
    Iterable<Connection> all() {
        return connections.values();
    }

    /** Records a data node's poll. */
    void recordPoll(Connection connection, PeerMessage.Poll poll, long nowNanos) {
        connection.hasPolled = true;
        connection.primary = poll.primary();
        lastPollNanos.put(connection.ip, nowNanos);
    }

    /** Counts the data nodes that have polled within the last {@value #ACTIVE_MS} ms. */
    int countActive(long nowNanos) {
        long since = nowNanos - TimeUnit.MILLISECONDS.toNanos(ACTIVE_MS);
        lastPollNanos.values().removeIf(polledNanos -> polledNanos - since <= 0);
        return lastPollNanos.size();
    }
}
