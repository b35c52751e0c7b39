package rowanplank.intake.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.config.SiteSettings;
import rowanplank.exchange.Exchanges;
import rowanplank.metrics.Counters.Count;
import rowanplank.metrics.Counters;
import rowanplank.net.Clock;
import rowanplank.net.Loop;

/** Accepts clients and looks after their connections; never more of them than the node's sockets allow. */
public final class Intake {
    private static final int BACKLOG = 512;
    /** What all clients' unfinished requests may take together, but for a little that each may always send. */
    private static final long MOST_HELD = 8 << 20;
    private static final Duration SWEEP = Duration.ofMillis(100);
    /** So many connections more are read from, so that the node can be asked whether it is up in any crowd. */
    private static final int RESERVE = 16;
    /** Connections are held to be many from this part of the most on. */
    private static final int CROWDED_PART = 4;

    final SiteSettings site;
    final Exchanges exchanges;
    final Loop loop;
    final Clock clock;
    final Counters counters;
    private final int mostConnections;
    private final int mostServed;
    private final BooleanSupplier ready;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private Loop.Listening listening;
    private boolean closing;
    private long held;
    private long heldAnswers;

    /**
     * @param mostServed how many connections of clients that were served are kept open for their next request
     * @param ready whether the node can serve
     */
    public Intake(SiteSettings site, Exchanges exchanges, int mostConnections, int mostServed, Loop loop,
            Counters counters, BooleanSupplier ready) {
        this.site = site;
        this.exchanges = exchanges;
        this.mostConnections = mostConnections;
        this.mostServed = mostServed;
        this.loop = loop;
        clock = loop.clock();
        this.counters = counters;
        this.ready = ready;
    }

    /** Begins to listen; to be called on the loop's thread. */
    public void start(InetSocketAddress address) throws IOException {
        listening = loop.listen(address, BACKLOG, this::accept);
        sweep();
    }

    /** Where it listens: of use where the port was left to the system. */
    public InetSocketAddress address() {
        return listening.address();
    }

    private Connection accept(EndPoint endPoint) {
        counters.add(Count.CLIENT_CONNECTIONS);
        closeServed();
        boolean room = connections.size() < mostConnections || closeOneAtRest()
                || connections.size() < mostConnections + RESERVE || closeOneIdle();
        if (!room) {
            counters.add(Count.CLIENT_CONNECTIONS_TURNED_AWAY);
        }
        ClientConnection connection = new ClientConnection(endPoint, this, room);
        connections.add(connection);
        return connection;
    }

    /** Whether a request can be served; on the reserve's connections only questions about the node itself are. */
    boolean canServe() {
        return connections.size() <= mostConnections || closeOneAtRest() || closeOneIdle();
    }

    /**
     * Makes room for a newcomer. Those that connect and say nothing go first: they must not push out clients that
     * are served. A connection that turns out to have sent something stays, and the next one is tried.
     */
    private boolean closeOneAtRest() {
        Instant now = clock.now();
        return closeFirst(connections.stream().filter(c -> c.isSilent(now)))
                || closeFirst(connections.stream().filter(c -> c.isAtRest(now)));
    }

    /**
     * Guards clients that can hold only so many connections to a node: some ask once and keep theirs, and once all
     * are held in that way, no further request finds one. The longest at rest go first; one that sends its next
     * request meanwhile sends it again on a new connection, which only a first request could not.
     */
    void closeServed() {
        Instant now = clock.now();
        long served = connections.stream().filter(ClientConnection::hasAsked).count();
        while (served > mostServed && closeFirst(connections.stream().filter(c -> c.hasPaused(now)))) {
            served--;
        }
    }

    /** As closeOneAtRest, where none has been at rest for long. */
    private boolean closeOneIdle() {
        return closeFirst(connections.stream().filter(c -> !c.hasAsked()))
                || closeFirst(connections.stream());
    }

    private boolean closeFirst(Stream<ClientConnection> which) {
        boolean closed = which.sorted(Comparator.comparing(ClientConnection::lastActive)).toList().stream()
                .anyMatch(ClientConnection::closeIfIdle);
        if (closed) {
            counters.add(Count.CLIENT_CONNECTIONS_EVICTED);
        }
        return closed;
    }

    private void sweep() {
        Instant now = clock.now();
        List.copyOf(connections).forEach(c -> c.review(now));
        closeServed();
        loop.schedule(SWEEP, this::sweep);
    }

    boolean ready() {
        return ready.getAsBoolean();
    }

    /**
     * Guards the heap: all clients together may send large bodies faster than they are passed on.
     *
     * @param change by how much a connection now holds more or less
     * @return whether a connection may hold more than a little
     */
    boolean hold(int change) {
        held += change;
        return held <= MOST_HELD;
    }

    /** Whether so many are connected that those at rest must make room. */
    boolean crowded() {
        return connections.size() > mostConnections / CROWDED_PART;
    }

    /** The same for answers that clients have not read yet. */
    boolean holdAnswers(int change) {
        heldAnswers += change;
        return heldAnswers <= MOST_HELD;
    }

    /** Whether connections are closed with their answers. */
    boolean closing() {
        return closing;
    }

    void over(ClientConnection connection) {
        connections.remove(connection);
    }

    /** Takes no more connections, and closes those there are as soon as they owe nothing. */
    public void close() throws IOException {
        closing = true;
        listening.acceptPending();
        listening.close();
        List.copyOf(connections).forEach(ClientConnection::closeIfIdle);
    }

    public int connectionCount() {
        return connections.size();
    }
}
