package rowanplank.cost;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.HdrHistogram.Histogram;

/**
 * Many clients on one thread. The connection that has waited longest asks next, with so many requests out at a time.
 * A connection that the node has closed is opened anew when its turn comes.
 */
final class LoadClient implements AutoCloseable {
    private static final int MOST_ANSWER = 1 << 16;

    private final InetSocketAddress address;
    private final boolean askOnce;
    private final Selector selector = Selector.open();
    private final ByteBuffer in = ByteBuffer.allocateDirect(MOST_ANSWER);
    private final ByteBuffer out = ByteBuffer.allocateDirect(1024);
    private final List<Connection> connections = new ArrayList<>();
    private final Deque<Connection> waiting = new ArrayDeque<>();
    private final Histogram latencies = new Histogram(60_000_000_000L, 3);
    private int inFlight;
    private long ids;
    private Counts counts = new Counts(0, 0, 0, 0);

    /**
     * @param closed how often a connection was found closed by the node, with a request on it or none
     * @param failed answers other than 200 and 503
     */
    record Counts(long served, long refused, long failed, long closed) {
        Counts since(Counts earlier) {
            return new Counts(served - earlier.served, refused - earlier.refused, failed - earlier.failed,
                    closed - earlier.closed);
        }

        long answered() {
            return served + refused + failed;
        }
    }

    private final class Connection {
        SocketChannel channel;
        long askedAt;
        boolean asking;
        /** Where an answer did not come in one piece. */
        ByteBuffer part;

        void ask() throws IOException {
            inFlight++;
            asking = true;
            askedAt = System.nanoTime();
            if (askOnce && channel != null) {
                channel.close();
                channel = null;
            }
            if (channel == null) {
                open();
            } else {
                send();
            }
        }

        private void open() throws IOException {
            part = null;
            channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            boolean connected = channel.connect(address);
            channel.register(selector, connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, this);
            if (connected) {
                send();
            }
        }

        void connected(SelectionKey key) throws IOException {
            channel.finishConnect();
            key.interestOps(SelectionKey.OP_READ);
            send();
        }

        private void send() throws IOException {
            out.clear();
            out.put(("GET /article/7?page=" + ids + " HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: "
                    + Long.toHexString(0x9b1f000000000000L + ids++) + "\r\nX-Timeout: 15000m\r\n"
                    + "Accept: text/html\r\nUser-Agent: reader/1.0\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            channel.write(out.flip());
        }

        void read() throws IOException {
            in.clear();
            if (part != null) {
                in.put(part);
            }
            int read = channel.read(in);
            in.flip();
            int bytes = Framing.messageBytes(in);
            if (bytes > 0 && bytes <= in.remaining()) {
                part = null;
                answered(100 * (in.get(9) - '0') + 10 * (in.get(10) - '0') + in.get(11) - '0');
            } else if (read < 0) {
                lost();
            } else {
                part = ByteBuffer.allocate(in.remaining()).put(in).flip();
            }
        }

        private void answered(int status) {
            latencies.recordValue(System.nanoTime() - askedAt);
            counts = new Counts(counts.served + (status == 200 ? 1 : 0), counts.refused + (status == 503 ? 1 : 0),
                    counts.failed + (status == 200 || status == 503 ? 0 : 1), counts.closed);
            inFlight--;
            asking = false;
            waiting.add(this);
        }

        /** As the protocol says, a request that crossed the closing is sent once more on a new connection. */
        void lost() throws IOException {
            counts = new Counts(counts.served, counts.refused, counts.failed, counts.closed + 1);
            channel.close();
            channel = null;
            if (asking) {
                open();
            }
        }
    }

    /** @param askOnce whether each request comes on a new connection, in place of the oldest one */
    LoadClient(int port, int connections, boolean askOnce) throws IOException {
        address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        this.askOnce = askOnce;
        for (int i = 0; i < connections; i++) {
            this.connections.add(new Connection());
        }
        waiting.addAll(this.connections);
    }

    Counts counts() {
        return counts;
    }

    Histogram latencies() {
        return latencies;
    }

    /** Has every connection ask once, so many at a time. */
    void prime(int atATime) throws IOException {
        long all = counts.answered() + connections.size();
        run(atATime, () -> counts.answered() >= all);
    }

    /** From now on only so many of the connections ask; the others rest. */
    void keepAsking(int active) {
        waiting.retainAll(connections.subList(0, active));
    }

    void run(int atATime, Duration time) throws IOException {
        long until = System.nanoTime() + time.toNanos();
        run(atATime, () -> System.nanoTime() - until >= 0);
    }

    private void run(int atATime, BooleanSupplier done) throws IOException {
        while (!done.getAsBoolean()) {
            while (inFlight < atATime && !waiting.isEmpty()) {
                waiting.poll().ask();
            }
            selector.select(this::handle, 1000);
        }
    }

    private void handle(SelectionKey key) {
        Connection c = (Connection) key.attachment();
        try {
            if (key.channel() != c.channel) {
                return; // closed and opened anew within this round
            }
            if (key.isConnectable()) {
                c.connected(key);
            } else {
                c.read();
            }
        } catch (IOException e) {
            try {
                c.lost();
            } catch (IOException again) {
                throw new java.io.UncheckedIOException(again);
            }
        }
    }

    @Override
    public void close() throws IOException {
        for (Connection c : connections) {
            if (c.channel != null) {
                c.channel.close();
            }
        }
        selector.close();
    }
}
