package routerfleet.control;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The open HTTP connections of a control node. Once the node drains, each connection is closed behind the response to the
 * last request that was read on it. For the event loop's thread.
 */
final class HttpConnections {
    /** A connection, as far as draining is concerned. */
    interface Connection {
        /** Closes the connection unless a request that was read on it has no response yet. */
        void closeIfIdle();
    }

    private final Set<Connection> open = new LinkedHashSet<>();
    private boolean draining;

    void add(Connection connection) {
        open.add(connection);
    }

    void remove(Connection connection) {
        open.remove(connection);
    }

    /** Closes idle connections now, and the others once their requests are responded to. */
    void drain() {
        draining = true;
        List.copyOf(open).forEach(Connection::closeIfIdle);
    }

    boolean isDraining() {
        return draining;
    }

    /** The number of open connections. */
    int size() {
        return open.size();
    }
}
