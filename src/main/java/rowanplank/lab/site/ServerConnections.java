package rowanplank.lab.site;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import rowanplank.net.Loop;

/**
 * A page server's open connections, the one that has been quiet for longest first, so that one timer serves all; each
 * call costs O(1). One that has been quiet for the idle time is closed, unless something on it waits for an answer.
 */
final class ServerConnections {
    private final int most;
    private final Duration idle;
    private final Loop loop;
    private final Teller teller;
    private final Set<ServerConnection> open = new LinkedHashSet<>();
    private Loop.Timer next;

    /** @param most how many the server holds */
    ServerConnections(int most, Duration idle, Loop loop, Teller teller) {
        this.most = most;
        this.idle = idle;
        this.loop = loop;
        this.teller = teller;
    }

    /** How many count against the server's capacity. */
    int counted() {
        return Math.min(most, open.size());
    }

    /** Whether one more would be beyond the bound. */
    boolean isFull() {
        return open.size() >= most;
    }

    /** Whether there are too many even to be told so. */
    boolean isOverfull() {
        return open.size() > most + most / 4 + 1;
    }

    List<ServerConnection> all() {
        return List.copyOf(open);
    }

    void add(ServerConnection connection) {
        open.add(connection);
        connection.quietSince(teller.now());
        if (next == null) {
            next = loop.schedule(idle, this::closeIdle);
        }
    }

    void heard(ServerConnection connection) {
        if (open.remove(connection)) {
            open.add(connection);
            connection.quietSince(teller.now());
        }
    }

    void remove(ServerConnection connection) {
        open.remove(connection);
    }

    void end() {
        if (next != null) {
            next.cancel();
        }
    }

    private void closeIdle() {
        next = null;
        while (!open.isEmpty()) {
            ServerConnection first = open.iterator().next();
            long left = first.quietSince() + idle.toNanos() - teller.now();
            if (left > 0) {
                next = loop.schedule(Duration.ofNanos(left), this::closeIdle);
                return;
            }
            if (first.isBusy()) {
                heard(first);
            } else {
                first.lose("closed after a time at rest");
            }
        }
    }
}
