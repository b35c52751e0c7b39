package routerfleet.control;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import routerfleet.wire.PeerLink;
import routerfleet.wire.PeerMessage;

/** The data nodes that hold a session with this control node. */
final class DataNodeConnections {
    private static final long PRESENT_MS = 2_500;

    /** One connection of a data node. */
    static final class Connection {
        final PeerLink link;
        final String ip;
        /** Whether it has said if it is the primary connection. */
        boolean hasPolled;
        boolean primary;
        long sentRevision;
        long sentGeneration;
        /** The revision of the evacuations that it was told of. */
        long sentEvacuations;

        Connection(PeerLink link, String ip) {
            this.link = link;
            this.ip = ip;
        }
    }

    private final Map<PeerLink, Connection> sessions = new LinkedHashMap<>();
    /** When each data node asked last, by address. */
    private final Map<String, Long> askedNanos = new TreeMap<>();

    Connection open(PeerLink link, String ip) {
        Connection session = new Connection(link, ip);
        sessions.put(link, session);
        return session;
    }

    Connection find(PeerLink link) {
        return sessions.get(link);
    }

    void close(PeerLink link) {
        sessions.remove(link);
    }

    Iterable<Connection> all() {
        return sessions.values();
    }

    void recordPoll(Connection session, PeerMessage.Poll poll, long nowNanos) {
        session.hasPolled = true;
        session.primary = poll.primary();
        askedNanos.put(session.ip, nowNanos);
    }

    /** How many data nodes have asked lately. */
    int countActive(long nowNanos) {
        long since = nowNanos - TimeUnit.MILLISECONDS.toNanos(PRESENT_MS);
        askedNanos.values().removeIf(asked -> asked - since <= 0);
        return askedNanos.size();
    }
}
