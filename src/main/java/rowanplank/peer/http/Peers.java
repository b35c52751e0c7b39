package rowanplank.peer.http;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.config.HostList.Member;
import rowanplank.discovery.UpstreamGroup;
import rowanplank.exchange.Response;
import rowanplank.exchange.Exchange;
import rowanplank.exchange.RequestObserver;
import rowanplank.exchange.Transfer;
import rowanplank.exchange.AttemptSender;
import rowanplank.metrics.Counters.Count;
import rowanplank.metrics.Counters;
import rowanplank.net.Clock;
import rowanplank.net.Loop;
import rowanplank.peer.http.IdleConnections.Kept;

/**
 * The connections to peers and the tries that are out on them. A try waits for no other: it takes an idle connection
 * or opens one. It is written once; nothing here sends it again. A try and its end cost O(log n) for n connections at
 * rest, and a change of the group what changed.
 */
public final class Peers implements AttemptSender {
    /** Idle connections are given up after this part of the time that peers keep them. */
    private static final int IDLE_PART = 2;
    /** A second answer may come so long after the first: the connection's next request must not be out by then. */
    static final Duration REST = Duration.ofMillis(10);
    /** An answer that has begun and does not move for so long after its client's time is up is given up. */
    private static final Duration LATE_PAUSE = Duration.ofMillis(300);
    private static final Duration SWEEP = Duration.ofSeconds(1);
    /** So many are closed in a sweep; where more are due, the next one follows after a moment. */
    private static final int MOST_A_SWEEP = 64;
    private static final Duration SWEEP_ON = Duration.ofMillis(1);

    private final UpstreamGroup group;
    private final Duration connIdle;
    private final Duration connectTimeout;
    private final int mostConnections;
    private final Loop loop;
    private final Clock clock;
    private final Counters counters;
    private final Transfer.BufferBudget room;
    private final Map<Exchange.Attempt, Sending> out = new LinkedHashMap<>();
    /** Those that wait for a connection, by peer, in the order of their sending. */
    private final Map<Long, Set<Sending>> opening = new LinkedHashMap<>();
    /** By peer, not by address: a new peer may come up at the address of one that has gone. */
    private final IdleConnections<PeerConnection> idle = new IdleConnections<>();
    private RequestObserver onlooker = new RequestObserver() { };
    private int connections;

    /**
     * @param connIdle when peers close an idle connection at the latest
     * @param connectTimeout how long a connection may take to open
     * @param room what large answers may hold, with all else that is passed on
     */
    public Peers(UpstreamGroup group, Duration connIdle, Duration connectTimeout, int mostConnections, Loop loop,
            Counters counters, Transfer.BufferBudget room) {
        this.group = group;
        this.connIdle = connIdle.dividedBy(IDLE_PART);
        this.connectTimeout = connectTimeout;
        this.mostConnections = mostConnections;
        this.loop = loop;
        clock = loop.clock();
        this.counters = counters;
        this.room = room;
    }

    Transfer.BufferBudget room() {
        return room;
    }

    /** One try on its way: first with a connection that is being opened, then on a connection. */
    final class Sending {
        final Exchange.Attempt attempt;
        private final Member member;
        private Loop.Timer timer;
        /** Looks whether an answer that has begun still moves as its client's time is up; null before it begins. */
        private Loop.Timer late;
        private Loop.Opening connecting;
        private PeerConnection connection;

        Sending(Exchange.Attempt attempt, Member member) {
            this.attempt = attempt;
            this.member = member;
        }

        /** Ends the try. Unless its answer came whole its connection is closed first: the work may still be out. */
        void end(Outcome outcome, Response.Served served) {
            if (out.remove(attempt) == null) {
                return;
            }
            timer.cancel();
            if (late != null) {
                late.cancel();
            }
            if (connecting != null) {
                connecting.abandon();
                waitNoMore();
                connections--;
            } else if (connection != null && !connection.answered()) {
                connection.close();
            }
            attempt.end(outcome, served);
        }

        /** A large answer has begun: no time is up for it any more, as long as it comes. */
        void begin(Response.Streamed answer, Instant at) {
            timer.cancel();
            timer = loop.schedule(PeerConnection.STALLED, this::look);
            attempt.responseStarted(answer, at);
        }

        /** Guards sockets against bodies that have come to a stop, in either direction, through the peer. */
        private void look() {
            if (connection == null || connection.hasStalled()) {
                end(Outcome.TIMEOUT, null);
            } else {
                timer = loop.schedule(PeerConnection.STALLED, this::look);
            }
        }

        /** A client may still read what comes late, but is owed an end of what does not come. */
        private void expectEnd(Duration left) {
            late = loop.schedule(left, () -> {
                long before = connection.pieces();
                late = loop.schedule(LATE_PAUSE, () -> {
                    if (connection.pieces() == before && !connection.isHeldByClient()) {
                        end(Outcome.TIMEOUT, null);
                    }
                });
            });
        }

        /** Time is up: what waits for its connection surely has not run. */
        private void timeUp() {
            end(connecting != null ? Outcome.CONNECT_FAILED : Outcome.TIMEOUT, null);
        }

        private void goOut(PeerConnection on) {
            connection = on;
            Instant now = clock.now();
            if (attempt.maySend(now)) {
                attempt.sendStarted();
                on.send(this, Duration.between(now, attempt.timeoutAt()), clock);
            } else {
                end(Outcome.CONNECT_FAILED, null);
            }
        }

        /** Guards against a request that is written for a client that left, or was answered, while this came up. */
        private void cameUp(PeerConnection on) {
            if (attempt.exchange().isResponseWanted()) {
                goOut(on);
            } else {
                keep(on);
                end(Outcome.MOOT, null);
            }
        }

        private void open() {
            connections++;
            counters.add(Count.PEER_CONNECTIONS);
            opening.computeIfAbsent(attempt.server(), p -> new LinkedHashSet<>()).add(this);
            Duration useful = Duration.between(clock.now(), attempt.startDeadline());
            Duration patience = useful.compareTo(connectTimeout) < 0 ? useful : connectTimeout;
            connecting = loop.connect(member.address(), patience, new Loop.Connector() {
                @Override
                public Connection connected(EndPoint endPoint) {
                    waitNoMore();
                    return new PeerConnection(endPoint, loop, Peers.this, member, Sending.this::cameUp);
                }

                @Override
                public void failed(Throwable cause) {
                    end(Outcome.CONNECT_FAILED, null);
                }
            });
        }

        private void waitNoMore() {
            connecting = null;
            opening.computeIfPresent(attempt.server(), (peer, waiting) ->
                    waiting.remove(this) && waiting.isEmpty() ? null : waiting);
        }
    }

    /** Shows it all answers from now on. */
    public void show(RequestObserver whom) {
        onlooker = whom;
    }

    void answered(Member peer, UnaryOperator<String> field) {
        onlooker.responseReceived(peer.server().id(), field);
    }

    /** Begins to look after idle connections; to be called on the loop's thread. */
    public void start() {
        loop.schedule(SWEEP, this::sweep);
    }

    private void sweep() {
        Instant until = clock.now().minus(connIdle);
        int closed = 0;
        for (Kept<PeerConnection> k; closed < MOST_A_SWEEP && (k = idle.takeOldest(until)) != null; closed++) {
            k.connection().close();
        }
        loop.schedule(closed == MOST_A_SWEEP ? SWEEP_ON : SWEEP, this::sweep);
    }

    @Override
    public void send(Exchange.Attempt attempt) {
        Member member = group.ready(attempt.server());
        Instant now = clock.now();
        Duration left = Duration.between(now, attempt.timeoutAt());
        if (member == null || !attempt.maySend(now)) {
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
        sending.timer = loop.schedule(left, sending::timeUp);
        if (connection != null) {
            sending.goOut(connection);
        } else {
            sending.open();
        }
    }

    @Override
    public void cancel(Exchange.Attempt attempt) {
        Sending sending = out.get(attempt);
        if (sending != null) {
            sending.end(Outcome.CANCELLED, null);
        }
    }

    @Override
    public void limitTime(Exchange.Attempt attempt, Duration left) {
        Sending sending = out.get(attempt);
        if (sending != null && !attempt.hasResponseStarted()) {
            sending.timer.cancel();
            sending.timer = loop.schedule(left, sending::timeUp);
        }
    }

    @Override
    public void expectCompletion(Exchange.Attempt attempt, Duration left) {
        Sending sending = out.get(attempt);
        if (sending != null) {
            sending.expectEnd(left);
        }
    }

    @Override
    public void closeIdle(long peer) {
        for (Kept<PeerConnection> k; (k = idle.takeNewest(peer)) != null;) {
            k.connection().close();
        }
    }

    /**
     * The group has changed: drops what was kept for peers, or waits for a connection to them.
     *
     * @param changed those to which a connection of before is of no use
     */
    public void groupChanged(Collection<Long> changed) {
        for (long peer : changed) {
            closeIdle(peer);
            opening.getOrDefault(peer, Collections.emptySet()).stream().filter(s -> !group.isCurrent(s.member)).toList()
                    .forEach(s -> s.end(Outcome.MOOT, null));
        }
    }

    /** The newest one that has rested first, so that those not needed grow old and are closed. */
    private PeerConnection takeIdle(Member peer) {
        Instant now = clock.now();
        Instant since = now.minus(connIdle);
        Instant until = now.minus(REST);
        for (Kept<PeerConnection> k; (k = idle.takeNewest(peer.server().id(), until)) != null;) {
            PeerConnection c = k.connection();
            if (k.since().isAfter(since) && group.isCurrent(c.peer()) && c.isUsable()) {
                return c;
            }
            c.close();
        }
        return null;
    }

    private boolean closeOneIdle() {
        Kept<PeerConnection> oldest = idle.takeOldest();
        if (oldest != null) {
            oldest.connection().close();
        }
        return oldest != null;
    }

    /** Keeps a connection for the next try, unless its peer has gone or drains meanwhile. */
    void keep(PeerConnection connection) {
        if (group.isCurrent(connection.peer())) {
            connection.kept(idle.keep(connection, connection.peer().server().id(), clock.now()));
        } else {
            connection.close();
        }
    }

    /** How many tries are out. */
    public int outCount() {
        return out.size();
    }

    void over(PeerConnection connection) {
        connections--;
        if (connection.kept() != null) {
            idle.remove(connection.kept());
        }
    }
}
