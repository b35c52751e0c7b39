package routerfleet.control;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import routerfleet.wire.PeerLink;
import routerfleet.wire.PeerMessage;

/** The data nodes that hold a session with this control node. */
final class DataNodes {
    private static final long PRESENT_MS = 2_500;

    /** One connection of a data node. */
    static final class Session {
        final PeerLink link;
        final String ip;
        /** Whether it has said if it is the primary connection. */
        boolean polled;
        boolean primary;
        long sentRevision;
        long sentGeneration;
        /** The revision of the evacuations that it was told of. */
        long sentEvacuations;

        Session(PeerLink link, String ip) {
            this.link = link;
            this.ip = ip;
        }
    }

    private final Map<PeerLink, Session> sessions = new LinkedHashMap<>();
    /** When each data node asked last, by address. */
    private final Map<String, Long> askedNanos = new TreeMap<>();

    Session open(PeerLink link, String ip) {
        Session session = new Session(link, ip);
        sessions.put(link, session);
        return session;
    }

    Session find(PeerLink link) {
        return sessions.get(link);
    }

    void close(PeerLink link) {
        sessions.remove(link);
    }

    Iterable<Session> sessions() {
        return sessions.values();
    }

    void polled(Session session, PeerMessage.Poll poll, long nowNanos) {
        session.polled = true;
        session.primary = poll.primary();
        askedNanos.put(session.ip, nowNanos);
    }

    /** How many data nodes have asked lately. */
    int present(long nowNanos) {
        long since = nowNanos - TimeUnit.MILLISECONDS.toNanos(PRESENT_MS);
        askedNanos.values().removeIf(asked -> asked - since <= 0);
        return askedNanos.size();
    }
}
