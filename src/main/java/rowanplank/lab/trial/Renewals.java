package rowanplank.lab.trial;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import rowanplank.fleet.wire.BinaryReader.MalformedException;
import rowanplank.fleet.wire.Envelope;
import rowanplank.fleet.wire.EnvelopeCodec;
import rowanplank.ledger.Ask;
import rowanplank.ledger.Result;
import rowanplank.net.Loop;
import rowanplank.net.Ports;
import rowanplank.net.SelectorLoop;
import rowanplank.net.SystemClock;

/**
 * How many renewals a real leader confirms in a second: so many sessions, each of which holds one lease, ask from one
 * socket, each again as soon as it was answered. A renewal is of all that its session holds.
 */
public final class Renewals {
    private static final int MOST_BYTES = 2048;
    private static final Duration LEASE = Duration.ofSeconds(60);
    private static final Duration LOST_AFTER = Duration.ofMillis(300);
    private static final Duration READY_WITHIN = Duration.ofSeconds(60);
    /** So many sessions begin at once: more would be more entries than may be undecided. */
    private static final int BEGIN_AT_ONCE = 100;

    private static final class Session {
        final long incarnation;
        final String lease;
        long session;
        long number;
        Ask.What asks;
        Instant asked;
        boolean holds;

        Session(long incarnation, String lease) {
            this.incarnation = incarnation;
            this.lease = lease;
        }
    }

    private final RealFleet fleet;
    private final int leader;
    private final EnvelopeCodec form;
    private final SelectorLoop loop;
    private final Map<Long, Session> sessions = new TreeMap<>();
    private final Histogram micros = new Histogram(3);
    private Loop.Datagrams socket;
    private InetSocketAddress to;
    private boolean counts;
    private long renewed;
    private long lost;
    private int holding;

    private Renewals(RealFleet fleet, int leader) {
        this.fleet = fleet;
        this.leader = leader;
        form = new EnvelopeCodec(fleet.fleetName());
        loop = new SelectorLoop(new SystemClock(), e -> System.err.println("unexpected failure: " + e));
    }

    /**
     * @param fleet all its nodes run, and one leads
     * @return a line for people
     */
    public static String measure(RealFleet fleet, int count, Duration length, Ports ports) throws Exception {
        Renewals r = new Renewals(fleet, fleet.leader());
        r.loop.start();
        try {
            return r.measure(count, length, ports);
        } finally {
            r.loop.stop();
        }
    }

    private String measure(int count, Duration length, Ports ports) throws Exception {
        InetSocketAddress own = ports.next();
        to = fleet.listen(leader);
        long first = loop.clock().now().toEpochMilli() * 1000;
        loop.call(() -> {
            socket = loop.datagrams(own, MOST_BYTES, this::received);
            for (int s = 0; s < count; s++) {
                sessions.put(first + s, new Session(first + s, "load-" + s));
            }
            beginSome();
            askLost();
            return null;
        });
        Instant until = fleet.now().plus(READY_WITHIN);
        while (loop.call(() -> holding) < count) {
            if (fleet.now().isAfter(until)) {
                throw new IOException("not all sessions hold their lease within " + READY_WITHIN.toSeconds() + " s");
            }
            RealFleet.pass(Duration.ofMillis(50));
        }
        loop.call(() -> {
            sessions.values().forEach(s -> ask(s, new Ask.Renew()));
            return null;
        });
        RealFleet.pass(length.dividedBy(4)); // until the leader's code is compiled
        RealFleet.Used before = fleet.used(leader);
        Instant from = fleet.now();
        loop.call(() -> counts = true);
        RealFleet.pass(length);
        String line = loop.call(() -> {
            counts = false;
            double seconds = fleet.since(from).toNanos() / 1e9;
            return String.format(Locale.ROOT, "%d sessions: %.0f renewals a second, answered after a median of %.1f ms, 99 %% "
                    + "%.1f ms; %d asked again", count, renewed / seconds, micros.getValueAtPercentile(50) / 1e3,
                    micros.getValueAtPercentile(99) / 1e3, lost);
        });
        RealFleet.Used after = fleet.used(leader);
        return line + String.format(Locale.ROOT, "; the leader used %.0f %% of a core",
                100 * after.processor().minus(before.processor()).toNanos() / (double) fleet.since(from).toNanos());
    }

    private void beginSome() {
        sessions.values().stream().filter(s -> s.asks == null).limit(BEGIN_AT_ONCE).forEach(s -> ask(s, new Ask.Open()));
    }

    private void ask(Session s, Ask.What what) {
        s.asks = what;
        s.number++;
        s.asked = loop.clock().now();
        send(s);
    }

    private void send(Session s) {
        socket.send(to, form.write(Envelope.of("load", s.incarnation, 1,
                new Ask("load", s.incarnation, s.session, s.number, s.number, s.asks))));
    }

    /** Guards against datagrams that were lost for want of room in a socket. */
    private void askLost() {
        Instant old = loop.clock().now().minus(LOST_AFTER);
        for (Session s : sessions.values()) {
            if (s.asks != null && !s.holds && s.asked.isBefore(old)) {
                s.asked = loop.clock().now();
                send(s);
            } else if (s.holds && s.asks instanceof Ask.Renew && s.asked.isBefore(old)) {
                lost += counts ? 1 : 0;
                ask(s, s.asks);
            }
        }
        loop.schedule(LOST_AFTER.dividedBy(3), this::askLost);
    }

    private void received(InetSocketAddress from, ByteBuffer payload) {
        try {
            Ask.Answer answer = form.read(payload).answer();
            Session s = answer == null ? null : sessions.get(answer.incarnation());
            if (s != null && answer.number() == s.number) {
                answered(s, answer.result());
            }
        } catch (MalformedException e) {
            throw new IllegalStateException("the leader's answer", e);
        }
    }

    private void answered(Session s, Result r) {
        if (r.kind() == Result.Kind.OPENED) {
            s.session = r.value();
            ask(s, new Ask.Acquire(s.lease, LEASE));
        } else if (r.kind() == Result.Kind.GRANTED && !s.holds) {
            s.holds = true;
            holding++;
            if (holding % BEGIN_AT_ONCE == 0) {
                beginSome();
            }
        } else if (r.kind() == Result.Kind.RENEWED) {
            if (counts) {
                renewed++;
                micros.recordValue(Duration.between(s.asked, loop.clock().now()).toNanos() / 1000);
            }
            ask(s, s.asks);
        }
    }
}
