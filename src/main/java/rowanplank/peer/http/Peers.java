package rowanplank.peer.http;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.config.HostList.Member;
import rowanplank.discovery.UpstreamGroup;
import rowanplank.exchange.Answer;
import rowanplank.exchange.Exchange;
import rowanplank.exchange.Onlooker;
import rowanplank.exchange.TrySender;
import rowanplank.metrics.Counters.Count;
import rowanplank.metrics.Counters;
import rowanplank.net.Clock;
import rowanplank.net.Loop;

/**
 * The connections to peers and the tries that are out on them. A try waits for no other: it takes an idle connection
 * or opens one. It is written once; nothing here sends it again.
 */
public final class Peers implements TrySender {
    /** Idle connections are given up after this part of the time that peers keep them. */
    private static final int IDLE_PART = 2;
    private static final Duration SWEEP = Duration.ofSeconds(1);
    /** What all unfinished answers may take together, but for the 64 KiB that each may always have. */
    private static final long MOST_HELD = 8 << 20;

    private final UpstreamGroup group;
    private final Duration connIdle;
    private final Duration connectTimeout;
    private final int mostConnections;
    private final Loop loop;
    private final Clock clock;
    private final Counters counters;
    /** In the order of their sending: what is done to all of them is the same in every process. */
    private final Map<Exchange.Try, Sending> out = new LinkedHashMap<>();
    /** By peer, not by address: a new peer may come up at the address of one that has gone. */
    private final Map<Long, Deque<PeerConnection>> idle = new LinkedHashMap<>();
    /** All of these, the longest idle first. */
    private final Set<PeerConnection> resting = new LinkedHashSet<>();
    private Onlooker onlooker = new Onlooker() { };
    private int connections;
    private long held;

    /**
     * @param connIdle when peers close an idle connection at the latest
     * @param connectTimeout how long a connection may take to open
     */
    public Peers(UpstreamGroup group, Duration connIdle, Duration connectTimeout, int mostConnections, Loop loop,
            Counters counters) {
        this.group = group;
        this.connIdle = connIdle.dividedBy(IDLE_PART);
        this.connectTimeout = connectTimeout;
        this.mostConnections = mostConnections;
        this.loop = loop;
        clock = loop.clock();
        this.counters = counters;
    }

    /** One try on its way: first with a connection that is being opened, then on a connection. */
    final class Sending {
        final Exchange.Try attempt;
        private final Member member;
        private Loop.Timer timer;
        private Loop.Opening opening;
        private PeerConnection connection;

        Sending(Exchange.Try attempt, Member member) {
            this.attempt = attempt;
            this.member = member;
        }

        /** Ends the try. Unless its answer came whole its connection is closed first: the work may still be out. */
        void end(Outcome outcome, Answer.Served served) {
            if (out.remove(attempt) == null) {
                return;
            }
            timer.cancel();
            if (opening != null) {
                opening.abandon();
                opening = null;
                connections--;
            } else if (connection != null && !connection.answered()) {
                connection.close();
            }
            attempt.end(outcome, served);
        }

        private void goOut(PeerConnection on) {
            connection = on;
            on.send(this, Duration.between(clock.now(), attempt.until()));
        }

        private void open() {
            connections++;
            counters.add(Count.PEER_CONNECTIONS);
            opening = loop.connect(member.address(), connectTimeout, new Loop.Connector() {
                @Override
                public Connection connected(EndPoint endPoint) {
                    opening = null;
                    return new PeerConnection(endPoint, loop, Peers.this, member, Sending.this::goOut);
                }

                @Override
                public void failed(Throwable cause) {
                    end(Outcome.CONNECT_FAILED, null);
                }
            });
        }
    }

    /** Shows it all answers from now on. */
    public void show(Onlooker whom) {
        onlooker = whom;
    }

    void answered(Member peer, UnaryOperator<String> field) {
        onlooker.answered(peer.server().id(), field);
    }

    /** Begins to look after idle connections; to be called on the loop's thread. */
    public void start() {
        loop.schedule(SWEEP, () -> {
            closeWhere(c -> c.idleFor(clock.now()).compareTo(connIdle) >= 0);
            start();
        });
    }

    @Override
    public void send(Exchange.Try attempt) {
        Member member = group.ready(attempt.peer());
        Duration left = Duration.between(clock.now(), attempt.until());
        if (member == null || left.isNegative() || left.isZero()) {
            attempt.end(Outcome.MOOT, null);
            return;
        }
        PeerConnection connection = takeIdle(member);
        if (connection == null && connections >= mostConnections && !closeOneIdle()) {
            attempt.end(Outcome.MOOT, null);
            return;
        }
        Sending sending = new Sending(attempt, member);
        out.put(attempt, sending);
        sending.timer = loop.schedule(left, () -> sending.end(Outcome.TIMEOUT, null));
        if (connection != null) {
            sending.goOut(connection);
        } else {
            sending.open();
        }
    }

    @Override
    public void cancel(Exchange.Try attempt) {
        Sending sending = out.get(attempt);
        if (sending != null) {
            sending.end(Outcome.CANCELLED, null);
        }
    }

    @Override
    public void closeIdle(long peer) {
        closeWhere(c -> c.peer().server().id() == peer);
    }

    /** The group has changed: drops what was kept for peers that take nothing new, or waits for a connection there. */
    public void groupChanged() {
        closeWhere(c -> !isCurrent(c.peer()));
        for (Sending s : List.copyOf(out.values())) {
            if (s.opening != null && !isCurrent(s.member)) {
                s.end(Outcome.MOOT, null);
            }
        }
    }

    /** Whether the peer takes something new, at the address that it had then and in the life that it had then. */
    private boolean isCurrent(Member then) {
        Member now = group.ready(then.server().id());
        return now != null && now.address().equals(then.address())
                && now.server().startedAtMs() == then.server().startedAtMs();
    }

    /**
     * Guards the heap against large answers that come together, or stop half-way.
     *
     * @param change by how much a connection now holds more or less
     * @return whether an answer may grow beyond the protocol's bound
     */
    boolean hold(int change) {
        held += change;
        return held <= MOST_HELD;
    }

    /** The newest one first, so that those not needed grow old and are closed. */
    private PeerConnection takeIdle(Member peer) {
        for (Deque<PeerConnection> kept; (kept = idle.get(peer.server().id())) != null;) {
            PeerConnection c = kept.peek();
            restsNoMore(c);
            if (c.idleFor(clock.now()).compareTo(connIdle) < 0 && isCurrent(c.peer()) && c.isUsable()) {
                return c;
            }
            c.close();
        }
        return null;
    }

    private boolean closeOneIdle() {
        if (resting.isEmpty()) {
            return false;
        }
        resting.iterator().next().close();
        return true;
    }

    private void closeWhere(Predicate<PeerConnection> which) {
        List.copyOf(resting).stream().filter(which).forEach(PeerConnection::close);
    }

    /** Keeps a connection for the next try, unless its peer has gone or drains meanwhile. */
    void keep(PeerConnection connection) {
        if (!isCurrent(connection.peer())) {
            connection.close();
            return;
        }
        connection.idleSince(clock.now());
        resting.add(connection);
        idle.computeIfAbsent(connection.peer().server().id(), id -> new ArrayDeque<>()).push(connection);
    }

    private void restsNoMore(PeerConnection connection) {
        if (resting.remove(connection)) {
            long peer = connection.peer().server().id();
            Deque<PeerConnection> kept = idle.get(peer);
            kept.remove(connection);
            if (kept.isEmpty()) {
                idle.remove(peer);
            }
        }
    }

    void over(PeerConnection connection) {
        connections--;
        restsNoMore(connection);
    }
}
