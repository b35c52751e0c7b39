package rowanplank.lab.client;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import rowanplank.lab.day.Day;
import rowanplank.lab.day.Day.RequestClass;
import rowanplank.lab.site.Bodies;
import rowanplank.lab.site.Works;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Event.Kind;
import rowanplank.net.Loop;

/**
 * A hall's clients and what stands between them and the nodes. Each request ends in exactly one of ANSWERED,
 * CUT_SHORT, GAVE_UP and NOT_CONNECTED; it has all of its time from its arrival, waiting for a connection included.
 *
 * <p>Choice: nodes that can take a request stand in a ring; each request goes to the first, which then goes to the
 * end. A node can take one if it is in use ({@link NodePool}) and has a connection at rest, the newest of which is
 * used, or room for another. Where none can, requests wait in the order of their coming; a client whose time is up
 * leaves. On a connection there is one request at a time.
 *
 * <p>A client whose time is up while its request is at a node closes the connection; every second one first reads on
 * for as long as an answer would still be in time, since a node that never answers would look like one whose clients
 * are impatient.
 *
 * <p>A connection that ends before any byte of an answer, and that has carried a request before, may have been closed
 * before the node read this one: then it is sent once more, on a new connection (SENT_ANEW). The simulated network
 * knows whether the node read it; on real sockets the client takes it that it did not, as RFC 9112 (9.3.1) allows. Any
 * other end without a whole answer is CUT_SHORT, that of a new connection included.
 *
 * <p>A client that heeds asks again after the {@code Retry-After} of a 429 or 503, if that is before it stops waiting:
 * with a new number, one {@link Asking#RETRY_STEP} above the last, in what is left of its time.
 *
 * <p>Costs: a request takes O(log n) for its timer, else O(1), whatever the number of nodes, connections and waiting
 * requests. Bounds: {@code connections} a node, {@value #MOST_WAITING} requests waiting.
 */
public final class Front {
    private static final int MOST_WAITING = 1 << 16;
    private static final int REFUSED = 503;
    private static final int TOO_MANY = 429;

    /**
     * How a front deals with nodes and connections, where that is not as usual.
     *
     * @param check what a node must answer with 200 before it is used; null if it is used unasked
     * @param oldestFirst whether a request takes the connection that rests for longest, so that all are in use
     * @param ahead how many connections are opened to each node before they are needed
     * @param openingAtOnce how many to a node are being opened at a time, at most
     * @param watches whether a node in use is asked on: to one that says no, no new connections go after a moment
     */
    public record Manner(String check, boolean oldestFirst, int ahead, int openingAtOnce, boolean watches) {
        public static final Manner USUAL = new Manner("/up", false, 0, Integer.MAX_VALUE, false);

        /** One that goes on asking the nodes that it uses, since operators may drain them. */
        public static final Manner WATCHING = new Manner("/up", false, 0, Integer.MAX_VALUE, true);
    }

    final Loop loop;
    final Manner manner;
    private final Witness witness;
    private final Day.Clients clients;
    private final List<RequestClass> classes;
    private final Wording wording;
    private final Lives lives;
    private final UniformRandomProvider notices;
    private final Duration lastWord;
    private final List<NodePool> pools = new ArrayList<>();
    private final Deque<NodePool> ring = new ArrayDeque<>();
    private final Deque<Asking> waiting = new ArrayDeque<>();
    private boolean handingOut;
    private int open;

    /**
     * @param nodes those that this front may use ({@link Target#of})
     * @param lives shared by all fronts
     * @param notices the chance of how late a dead node is noticed
     * @param lastWord so long after its time every second client still reads, to hear the node's last word
     */
    public Front(Loop loop, Witness witness, List<Target> nodes, Day.Clients clients, List<RequestClass> classes,
            Works works, Lives lives, UniformRandomProvider notices, Duration lastWord) {
        this(loop, witness, nodes, clients, classes, works, lives, notices, lastWord, Manner.USUAL);
    }

    /** In another manner. */
    public Front(Loop loop, Witness witness, List<Target> nodes, Day.Clients clients, List<RequestClass> classes,
            Works works, Lives lives, UniformRandomProvider notices, Duration lastWord, Manner manner) {
        this(loop, witness, nodes, clients, classes, new PageWording(classes, works), lives, notices, lastWord, manner);
    }

    /** With requests that read otherwise, or another manner. */
    public Front(Loop loop, Witness witness, List<Target> nodes, Day.Clients clients, List<RequestClass> classes,
            Wording wording, Lives lives, UniformRandomProvider notices, Duration lastWord, Manner manner) {
        this.loop = loop;
        this.manner = manner;
        this.witness = witness;
        this.clients = clients;
        this.classes = List.copyOf(classes);
        this.wording = wording;
        this.lives = lives;
        this.notices = notices;
        this.lastWord = lastWord;
        nodes.forEach(n -> pools.add(new NodePool(this, n, clients.connections())));
    }

    /** Begins to look for nodes that are ready. */
    public void start() {
        pools.forEach(NodePool::check);
    }

    /** A client wants something now. */
    public void ask(Arrival arrival) {
        Asking asking = new Asking(arrival, arrival.number(), arrival.at() + arrival.patience().toNanos());
        // In real time the loop may come to it late; what counts is when the client wanted it.
        witness.trace().tell(arrival.at(), Kind.ARRIVED, Event.NONE, Event.NONE, asking.number, asking.stopsAt,
                classes.get(arrival.requestClass()).name());
        open++;
        begin(asking);
    }

    /** Requests that have not come to their end, those that are to be asked again included. */
    public int open() {
        return open;
    }

    /** Whether all its nodes are in use, and what was to be opened ahead is open. */
    public boolean isPrepared() {
        return pools.stream().allMatch(NodePool::isPrepared);
    }

    /** Connections that are open or being opened. */
    public int connections() {
        return pools.stream().mapToInt(NodePool::connections).sum();
    }

    /** How often a connection did not come up. */
    public int failedOpenings() {
        return pools.stream().mapToInt(NodePool::failedOpenings).sum();
    }

    /** Closes what is at rest, and looks after nodes no more; what is open comes to its end. */
    public void close() {
        pools.forEach(NodePool::close);
    }

    private void begin(Asking asking) {
        wording.enter(asking.arrival.requestClass(), asking.number, asking.arrival.work());
        asking.patience = loop.schedule(timeLeft(asking), () -> timeIsUp(asking));
        if (waiting.size() >= MOST_WAITING) {
            notConnected(asking, "too many wait");
            return;
        }
        waiting.addLast(asking);
        handOut();
    }

    /** Gives waiting requests to nodes; what comes back to it on the way is taken up by the same call. */
    private void handOut() {
        if (handingOut) {
            return;
        }
        handingOut = true;
        try {
            while (someoneWaits()) {
                NodePool pool = next();
                if (pool == null) {
                    return;
                }
                pool.take(waiting.pollFirst());
                offer(pool);
            }
        } finally {
            handingOut = false;
        }
    }

    private boolean someoneWaits() {
        while (!waiting.isEmpty() && waiting.peekFirst().over) {
            waiting.pollFirst();
        }
        return !waiting.isEmpty();
    }

    private NodePool next() {
        for (NodePool pool; (pool = ring.pollFirst()) != null;) {
            pool.offered = false;
            if (pool.canTake()) {
                return pool;
            }
        }
        return null;
    }

    /** The node may be able to take a request. */
    void offer(NodePool pool) {
        if (!pool.offered && pool.canTake()) {
            pool.offered = true;
            ring.addLast(pool);
        }
        handOut();
    }

    /** A check found it ready. */
    void ready(NodePool pool) {
        if (lives.firstSeen(pool.target.node())) {
            witness.tell(Kind.NODE_READY, pool.target.node(), Event.NONE, Event.NONE, null);
        }
        offer(pool);
    }

    /** How long the front goes on with a node after the first sign of its death. */
    Duration notice() {
        long least = clients.leastNotice().toNanos();
        long range = clients.mostNotice().toNanos() - least;
        return Duration.ofNanos(least + (long) (notices.nextDouble() * range));
    }

    Duration timeLeft(Asking asking) {
        return Duration.ofNanos(Math.max(0, asking.stopsAt - witness.now()));
    }

    /** The request as it is written now. */
    String message(Asking asking) {
        boolean marked = asking.isRetry() && clients.marksRetries();
        return wording.message(asking.arrival.requestClass(), asking.number,
                PageRequest.timeout(timeLeft(asking)) + (marked ? "X-Retried: 1\r\n" : ""));
    }

    void asked(Asking asking) {
        witness.tell(Kind.ASKED, asking.pool.target.node(), asking.number, asking.stopsAt,
                classes.get(asking.arrival.requestClass()).name());
    }

    void answered(Asking asking, AnswerReader answer) {
        int status = answer.status();
        witness.tell(Kind.ANSWERED, asking.pool.target.node(), asking.number, status,
                status == 200 ? Bodies.digest(answer.body()) : answer.retryAfter());
        boolean refused = status == REFUSED || status == TOO_MANY;
        Duration after = refused && asking.arrival.heeds() ? PageRequest.retryAfter(answer.retryAfter()) : null;
        end(asking);
        if (after != null && after.compareTo(timeLeft(asking)) < 0 && asking.canRetry()) {
            open++;
            loop.schedule(after, () -> askAgain(asking));
        }
    }

    private void askAgain(Asking refused) {
        Asking asking = refused.again();
        witness.tell(Kind.ASKED_AGAIN, Event.NONE, asking.number, refused.number, null);
        begin(asking);
    }

    void answeredTwice(Asking asking) {
        witness.tell(Kind.ANSWERED, asking.pool.target.node(), asking.number, 0, null);
    }

    /**
     * A request's connection has ended without a whole answer.
     *
     * @param fault what is wrong with the part of an answer that has come; null where none has
     * @return whether the end crossed the request, which is sent anew
     */
    boolean lost(Asking asking, FrontConnection connection, String fault) {
        boolean crossed = connection.mayHaveCrossed(); // once: then it goes on a new one
        if (crossed && timeLeft(asking).isZero()) {
            notConnected(asking, "closed unread when its time was up");
        } else if (crossed) {
            sendAnew(asking);
        } else if (!asking.written && !connection.answerBegun()) {
            notConnected(asking, "ended while the request was written");
        } else {
            boolean begun = connection.answerBegun();
            witness.tell(Kind.CUT_SHORT, asking.pool.target.node(), asking.number, begun ? 1 : 0,
                    begun ? fault : connection.mayBeUnread() ? "unread" : "ended");
            end(asking);
        }
        return crossed;
    }

    private void sendAnew(Asking asking) {
        witness.tell(Kind.SENT_ANEW, asking.pool.target.node(), asking.number, Event.NONE, null);
        asking.sentAnew = true;
        asking.written = false;
        asking.connection = null;
        asking.pool = null;
        waiting.addFirst(asking);
    }

    void notConnected(Asking asking, String why) {
        witness.tell(Kind.NOT_CONNECTED, asking.pool == null ? Event.NONE : asking.pool.target.node(), asking.number,
                Event.NONE, why);
        end(asking);
    }

    private void timeIsUp(Asking asking) {
        if (asking.pool == null) {
            notConnected(asking, "none was free");
            someoneWaits(); // those that have left don't pile up
        } else if (asking.opening != null) {
            asking.pool.abandonOpening(asking);
            notConnected(asking, NodePool.NOT_IN_TIME);
        } else if (!asking.written) {
            notConnected(asking, "the request was not written in time");
            asking.connection.abandon();
        } else if (asking.arrival.number() % 2 == 0) {
            asking.patience = loop.schedule(lastWord, () -> giveUp(asking));
        } else {
            giveUp(asking);
        }
    }

    private void giveUp(Asking asking) {
        witness.tell(Kind.GAVE_UP, asking.pool.target.node(), asking.number, Event.NONE, null);
        end(asking);
        asking.connection.abandon();
    }

    private void end(Asking asking) {
        asking.over = true;
        asking.patience.cancel();
        open--;
    }
}
