package rowanplank.cost;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;

/**
 * The least that a relay of HTTP messages can do in Java: one thread, one selector, messages passed on as they are by
 * their Content-Length, a random server for each, connections kept. No parsing, no choice, no time-outs, no bounds,
 * and nothing of a failure but a closed connection: a floor to compare the node with, and nothing to be used.
 */
public final class BareRelay {
    private final Selector selector = Selector.open();
    private final ByteBuffer in = ByteBuffer.allocateDirect(1 << 16);
    private final List<InetSocketAddress> servers;
    private final List<Deque<Side>> idle;
    private final Random random = new Random(1);

    /** One connection: of a client, or to a server on a client's behalf. */
    private static final class Side {
        final SocketChannel channel;
        final int server;
        Side other;
        ByteBuffer part;
        ByteBuffer unsent;

        Side(SocketChannel channel, int server) {
            this.channel = channel;
            this.server = server;
        }
    }

    private BareRelay(List<InetSocketAddress> servers) throws IOException {
        this.servers = servers;
        idle = servers.stream().<Deque<Side>>map(s -> new ArrayDeque<>()).toList();
    }

    public static void main(String[] ports) throws IOException {
        BareRelay relay = new BareRelay(Stream.of(ports)
                .map(p -> new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(p))).toList());
        ServerSocketChannel listener = ServerSocketChannel.open();
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 512);
        listener.configureBlocking(false);
        listener.register(relay.selector, SelectionKey.OP_ACCEPT);
        System.out.println("listens at 127.0.0.1:" + listener.socket().getLocalPort());
        while (true) {
            relay.selector.select(relay::handle);
        }
    }

    private void handle(SelectionKey key) {
        try {
            if (key.isAcceptable()) {
                accept((ServerSocketChannel) key.channel());
            } else if (key.isConnectable()) {
                connected(key, (Side) key.attachment());
            } else {
                read((Side) key.attachment());
            }
        } catch (IOException e) {
            close((Side) key.attachment());
        }
    }

    private void accept(ServerSocketChannel listener) throws IOException {
        for (SocketChannel c; (c = listener.accept()) != null;) {
            c.configureBlocking(false);
            c.setOption(StandardSocketOptions.TCP_NODELAY, true);
            c.register(selector, SelectionKey.OP_READ, new Side(c, -1));
        }
    }

    private void connected(SelectionKey key, Side side) throws IOException {
        side.channel.finishConnect();
        key.interestOps(SelectionKey.OP_READ);
        side.channel.write(side.unsent);
        side.unsent = null;
    }

    private void read(Side side) throws IOException {
        in.clear();
        if (side.part != null) {
            in.put(side.part);
        }
        int read = side.channel.read(in);
        in.flip();
        int bytes = Framing.messageBytes(in);
        if (read < 0) {
            close(side);
        } else if (bytes < 0 || bytes > in.remaining()) {
            side.part = ByteBuffer.allocate(in.remaining()).put(in).flip();
        } else {
            side.part = null;
            pass(side);
        }
    }

    private void pass(Side side) throws IOException {
        if (side.server < 0) {
            ask(side);
        } else if (side.other != null) {
            side.other.channel.write(in);
            side.other.other = null;
            side.other = null;
            idle.get(side.server).push(side);
        }
    }

    private void ask(Side client) throws IOException {
        int server = random.nextInt(servers.size());
        Side to = idle.get(server).poll();
        if (to == null) {
            to = new Side(SocketChannel.open(), server);
            to.channel.configureBlocking(false);
            to.channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            to.unsent = ByteBuffer.allocate(in.remaining()).put(in).flip();
            boolean connected = to.channel.connect(servers.get(server));
            SelectionKey key = to.channel.register(selector, SelectionKey.OP_CONNECT, to);
            if (connected) {
                connected(key, to);
            }
        } else {
            to.channel.write(in);
        }
        to.other = client;
        client.other = to;
    }

    private void close(Side side) {
        try {
            side.channel.close();
            if (side.server >= 0) {
                idle.get(side.server).remove(side);
            }
            if (side.other != null) {
                side.other.channel.close();
            }
        } catch (IOException e) {
            // nothing is left to be done with it
        }
    }
}
