package rowanplank.lab.run;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongFunction;
import java.util.function.UnaryOperator;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.config.Addresses;
import rowanplank.http.Messages;
import rowanplank.http.ResponseReader;
import rowanplank.lab.site.PageServer;
import rowanplank.net.Loop;
import rowanplank.net.LoopConnection;

/**
 * Sends probes ({@code GET /metrics/load}) over connections of its own, one at a time on each. A connection is kept for
 * the next probe to that address, and closed when it has been idle for its time or a probe on it was not answered in
 * time. At most {@value #MOST} at a time: beyond that the one that is idle for longest makes room, and where none is
 * idle the probe is dropped.
 */
final class Prober {
    /** Fits into the descriptors that a node leaves for what is neither a client's nor a peer's connection. */
    static final int MOST = 48;

    /** Who hears of an answer with status 200. */
    interface Heard {
        void answered(String body, UnaryOperator<String> field);
    }

    private final Loop loop;
    private final Duration connectTimeout;
    private final Duration idleFor;
    private final Map<InetSocketAddress, Deque<ProbeConnection>> idle = new LinkedHashMap<>();
    /** All of these, the longest idle first. */
    private final Set<ProbeConnection> resting = new LinkedHashSet<>();
    private LongFunction<InetSocketAddress> addresses;
    private int connections;

    Prober(Loop loop, Duration connectTimeout, Duration idleFor) {
        this.loop = loop;
        this.connectTimeout = connectTimeout;
        this.idleFor = idleFor;
    }

    void reach(LongFunction<InetSocketAddress> by) {
        addresses = by;
    }

    int connections() {
        return connections;
    }

    void probe(long server, Duration timeout, Heard heard) {
        InetSocketAddress address = addresses.apply(server);
        Deque<ProbeConnection> kept = address == null ? null : idle.get(address);
        if (kept != null) {
            ProbeConnection connection = kept.peek();
            rests(connection, false);
            new Probe(timeout, heard).goOut(connection);
        } else if (address != null && hasRoom()) {
            new Probe(timeout, heard).open(address);
        }
    }

    private boolean hasRoom() {
        if (connections >= MOST && !resting.isEmpty()) {
            resting.iterator().next().close();
        }
        return connections < MOST;
    }

    private void rests(ProbeConnection connection, boolean begins) {
        if (begins) {
            resting.add(connection);
            idle.computeIfAbsent(connection.address, a -> new ArrayDeque<>()).push(connection);
            connection.idleUntil = loop.schedule(idleFor, connection::close);
        } else if (resting.remove(connection)) {
            connection.idleUntil.cancel();
            Deque<ProbeConnection> kept = idle.get(connection.address);
            kept.remove(connection);
            if (kept.isEmpty()) {
                idle.remove(connection.address);
            }
        }
    }

    /** A probe on its way. */
    private final class Probe {
        private final Heard heard;
        private final Loop.Timer limit;
        private Loop.Opening opening;
        private ProbeConnection on;

        Probe(Duration timeout, Heard heard) {
            this.heard = heard;
            limit = loop.schedule(timeout, this::giveUp);
        }

        void open(InetSocketAddress address) {
            connections++;
            opening = loop.connect(address, connectTimeout, new Loop.Connector() {
                @Override
                public Connection connected(EndPoint endPoint) {
                    opening = null;
                    return new ProbeConnection(endPoint, address, Probe.this);
                }

                @Override
                public void failed(Throwable cause) {
                    opening = null;
                    connections--;
                    limit.cancel();
                }
            });
        }

        void goOut(ProbeConnection connection) {
            on = connection;
            connection.send(this);
        }

        private void giveUp() {
            if (opening != null) {
                opening.abandon();
                opening = null;
                connections--;
            } else if (on != null) {
                on.close();
            }
        }

        void ended(ResponseReader answer) {
            limit.cancel();
            if (answer != null && answer.status() == 200) {
                heard.answered(new String(answer.body(), StandardCharsets.ISO_8859_1), answer::field);
            }
        }
    }

    private final class ProbeConnection extends LoopConnection {
        private final ResponseReader reader = new ResponseReader(Messages.MOST_HELD_BYTES);
        private final InetSocketAddress address;
        private Probe probe;
        private Loop.Timer idleUntil;

        ProbeConnection(EndPoint endPoint, InetSocketAddress address, Probe first) {
            super(endPoint, loop);
            this.address = address;
            probe = first;
        }

        @Override
        public void onOpen() {
            super.onOpen();
            probe.goOut(this);
        }

        void send(Probe next) {
            probe = next;
            reader.reset();
            HttpFields.Mutable fields = HttpFields.build().put("Host", Addresses.format(address))
                    .put(PageServer.CROWD_WANTED, "1");
            write(() -> { }, Messages.request("GET", "/metrics/load", fields, new byte[0]));
        }

        @Override
        protected void onBytes(ByteBuffer bytes) {
            ResponseReader.Progress progress = probe == null ? ResponseReader.Progress.BROKEN : reader.read(bytes);
            if (progress == ResponseReader.Progress.BROKEN) {
                close();
            } else if (progress == ResponseReader.Progress.WHOLE) {
                Probe done = probe;
                probe = null;
                done.ended(reader);
                if (reader.keepsConnection() && !bytes.hasRemaining()) {
                    rests(this, true);
                } else {
                    close();
                }
            }
        }

        @Override
        protected void onEnd() {
            close();
        }

        @Override
        protected void onOver() {
            connections--;
            rests(this, false);
            if (probe != null) {
                probe.ended(null);
                probe = null;
            }
        }
    }
}
