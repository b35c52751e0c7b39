package rowanplank.intake.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.config.SiteSettings;
import rowanplank.exchange.RequestHandler;
import rowanplank.exchange.Transfer;
import rowanplank.http.RequestReader;
import rowanplank.lifecycle.Lifecycle;
import rowanplank.metrics.Counters.Count;
import rowanplank.metrics.Counters;
import rowanplank.net.Clock;
import rowanplank.net.Loop;

/**
 * Accepts clients and looks after their connections; never more of them than the node's sockets allow. What an accept
 * and an answer cost does not grow with the connections, but for O(log n) to find a place in their queue.
 */
public final class Intake {
    private static final int BACKLOG = 512;
    /** What all clients' unfinished requests may take together, but for a little that each may always send. */
    private static final long MOST_HELD = 4 << 20;
    private static final Duration SWEEP = Duration.ofMillis(100);
    /** Beyond a drain's rest and a sweep. */
    private static final Duration LONG_AT_REST = Duration.ofMillis(300);
    /** So many connections are ended in a sweep; where more are due, the next one follows after a moment. */
    private static final int MOST_A_SWEEP = 64;
    private static final Duration SWEEP_ON = Duration.ofMillis(1);
    /** A reader holds some KB, and few requests are being read at one moment, however many connections there are. */
    private static final int MOST_SPARE_READERS = 64;
    /** So many connections more are read from, so that the node can be asked whether it is up in any crowd. */
    private static final int RESERVE = 16;
    /** And so many beyond these are told that there is no room; others are closed at once. Together they stay within
     * the descriptors that no side's connections have. */
    private static final int MOST_TOLD = 16;

    /** Connections at rest are ended while so large a part is still free, so that they can linger. */
    private static final int LINGERING_PART = 8;

    final SiteSettings site;
    final RequestHandler exchanges;
    final Loop loop;
    final Clock clock;
    final Counters counters;
    /** What large bodies may hold on their way, with all else that is passed on. */
    final Transfer.BufferBudget room;
    private final long mostBody;
    /** What a connection has of a request when it has nothing. */
    final ByteBuffer noBytes = ByteBuffer.allocate(0);
    private final int mostConnections;
    /** So many are kept free for newcomers, as long as there are connections at rest. */
    private final int kept;
    private final Lifecycle lifecycle;
    private final ConnectionQueue connections;
    private final Deque<RequestReader> spareReaders = new ArrayDeque<>();
    private Loop.Listening listening;
    private long held;

    /**
     * @param mostServed how many connections of clients that were served are kept open for their next request
     * @param lifecycle says whether the node is up, which answer is a connection's last, and how long one may rest
     * @param room what large bodies may hold, with all else that is passed on
     * @param mostBody the longest body that is taken, in bytes
     */
    public Intake(SiteSettings site, RequestHandler exchanges, int mostConnections, int mostServed, Loop loop,
            Counters counters, Lifecycle lifecycle, Transfer.BufferBudget room, long mostBody) {
        this.site = site;
        this.exchanges = exchanges;
        this.mostConnections = mostConnections;
        kept = mostConnections / LINGERING_PART;
        this.loop = loop;
        clock = loop.clock();
        this.counters = counters;
        this.lifecycle = lifecycle;
        this.room = room;
        this.mostBody = mostBody;
        connections = new ConnectionQueue(mostConnections, mostServed);
    }

    /** Begins to look after connections; to be called on the loop's thread, before any is accepted. */
    public void start() {
        sweep();
    }

    /** Accepts clients from now on, at an address of the node's own. */
    public void listen(InetSocketAddress address) throws IOException {
        listening = loop.listen(address, BACKLOG, this::accept);
    }

    /** Accepts clients from now on, from the platform's socket, which other processes may accept from too. */
    public void listenInherited(InetSocketAddress address) throws IOException {
        listening = loop.listenInherited(address, this::accept);
    }

    /** Where it listens: of use where the port was left to the system. */
    public InetSocketAddress address() {
        return listening.address();
    }

    private Connection accept(EndPoint endPoint) {
        counters.add(Count.CLIENT_CONNECTIONS);
        Instant now = clock.now();
        endServed(now);
        if (connections.size() >= mostConnections - kept) {
            counted(connections.endOneAtRest(now));
        }
        boolean room = connections.size() < mostConnections || closeOneLingering(mostConnections) || closeOneAtRest(now)
                || connections.size() < mostConnections + RESERVE || closeOneIdle();
        if (!room) {
            counters.add(Count.CLIENT_CONNECTIONS_TURNED_AWAY);
        }
        boolean told = room || connections.size() < mostConnections + RESERVE + MOST_TOLD;
        return new ClientConnection(endPoint, this, connections, room, told);
    }

    /** Whether a request can be served; on the reserve's connections only questions about the node itself are. */
    boolean canServe() {
        return connections.size() <= mostConnections || closeOneLingering(mostConnections + 1)
                || closeOneAtRest(clock.now()) || closeOneIdle();
    }

    /** One that lingers makes room only where just one is too many: those told that there is none linger beyond the bound. */
    private boolean closeOneLingering(int full) {
        return connections.size() == full && connections.closeOneLingering();
    }

    /** It has no time to linger where its descriptor is wanted now; another that has lingered goes in its place. */
    private boolean closeOneAtRest(Instant now) {
        return counted(connections.endOneAtRest(now)) && isOneClosed();
    }

    private boolean closeOneIdle() {
        return counted(connections.endOneIdle()) && isOneClosed();
    }

    /** What was just ended lingers, or is closed already: its client had ended it. */
    private boolean isOneClosed() {
        connections.closeOneLingering();
        return true;
    }

    /** Ends connections that were served while they are too many. */
    void endServed(Instant now) {
        boolean more;
        do {
            more = counted(connections.endOneServed(now));
        } while (more);
    }

    private boolean counted(boolean evicted) {
        if (evicted) {
            counters.add(Count.CLIENT_CONNECTIONS_EVICTED);
        }
        return evicted;
    }

    private void sweep() {
        Instant now = clock.now();
        boolean more = connections.review(now, MOST_A_SWEEP, lifecycle.longestRest(now)) == MOST_A_SWEEP;
        endServed(now);
        loop.schedule(more ? SWEEP_ON : SWEEP, this::sweep);
    }

    RequestReader takeReader() {
        RequestReader spare = spareReaders.poll();
        return spare == null ? new RequestReader(mostBody) : spare;
    }

    /** @param reader has read a whole request without an error */
    void giveBack(RequestReader reader) {
        reader.reset();
        if (spareReaders.size() < MOST_SPARE_READERS) {
            spareReaders.push(reader);
        }
    }

    boolean isUp() {
        return lifecycle.isUp(clock.now());
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

    /** Whether a request that comes now would not be answered before the node ends. */
    boolean rejectsAll() {
        return lifecycle.rejectsAll();
    }

    /** Whether connections are closed with their answers. */
    boolean closing() {
        return lifecycle.closesWithAnswers();
    }

    /**
     * Takes no more connections.
     *
     * @param takeWaiting whether those that wait in the system's queue are taken first: closing would reset them
     */
    public void acceptNoMore(boolean takeWaiting) throws IOException {
        try {
            if (takeWaiting) {
                listening.acceptPending();
            }
        } finally {
            listening.close();
        }
    }

    /** Ends the connections that owe nothing. */
    public void endIdle() {
        connections.endIdle();
    }

    /** How many owe nothing for longer than a drain leaves them; a look at each, for those who watch a drain. */
    public int atRestCount() {
        return connections.atRestCount(clock.now().minus(LONG_AT_REST));
    }

    public int connectionCount() {
        return connections.size();
    }
}
