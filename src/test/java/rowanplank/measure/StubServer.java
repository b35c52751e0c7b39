package rowanplank.measure;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Answers every GET with 200 and 100 bytes as fast as it can: what load tools are measured on. Prints its port. Run by
 * scripts/measure-load.sh as a single source file; it is no test.
 */
public final class StubServer {
    private static final byte[] ANSWER = ("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 100\r\n\r\n"
            + "x".repeat(100)).getBytes(StandardCharsets.US_ASCII);
    private static final int BACKLOG = 4096;

    /** How far a connection has come towards the blank line that ends a request. */
    private static final class State {
        int matched;
    }

    private StubServer() { }

    /** @param args how many threads */
    public static void main(String[] args) throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        List<Selector> selectors = new ArrayList<>();
        for (int i = 0; i < Integer.parseInt(args[0]); i++) {
            Selector selector = Selector.open();
            selectors.add(selector);
            new Thread(() -> serve(selector)).start();
        }
        System.out.println(server.socket().getLocalPort());
        for (int i = 0;; i++) {
            SocketChannel client = server.accept();
            client.configureBlocking(false);
            client.setOption(StandardSocketOptions.TCP_NODELAY, true);
            Selector selector = selectors.get(i % selectors.size());
            client.register(selector, SelectionKey.OP_READ, new State());
            selector.wakeup();
        }
    }

    private static void serve(Selector selector) {
        ByteBuffer in = ByteBuffer.allocateDirect(1 << 16);
        ByteBuffer out = ByteBuffer.allocateDirect(ANSWER.length).put(ANSWER);
        while (true) {
            try {
                selector.select(key -> {
                    try {
                        answer((SocketChannel) key.channel(), (State) key.attachment(), in, out);
                    } catch (IOException e) {
                        close(key);
                    }
                });
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private static void close(SelectionKey key) {
        try {
            key.channel().close();
        } catch (IOException e) {
            // it is gone in any case
        }
    }

    private static void answer(SocketChannel client, State state, ByteBuffer in, ByteBuffer out) throws IOException {
        in.clear();
        if (client.read(in) < 0) {
            client.close();
            return;
        }
        in.flip();
        while (in.hasRemaining()) {
            byte b = in.get();
            state.matched = b == (state.matched % 2 == 0 ? '\r' : '\n') ? state.matched + 1 : b == '\r' ? 1 : 0;
            if (state.matched == 4) {
                state.matched = 0;
                out.flip();
                out.clear();
                while (out.hasRemaining()) {
                    client.write(out);
                }
            }
        }
    }
}
