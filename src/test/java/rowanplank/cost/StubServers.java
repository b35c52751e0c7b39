package rowanplank.cost;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
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
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;

/** Page servers that answer at once, all on one thread, and the discovery that lists them. */
final class StubServers implements AutoCloseable {
    private static final int BACKLOG = 1024;

    private final Selector selector = Selector.open();
    private final List<ServerSocketChannel> listeners = new ArrayList<>();
    private final ByteBuffer in = ByteBuffer.allocateDirect(1 << 16);
    private final ByteBuffer answer;
    private final HttpServer discovery =
            HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);

    StubServers(int servers, int bodyBytes) throws IOException {
        byte[] text = ("HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: " + bodyBytes + "\r\n\r\n"
                + "x".repeat(bodyBytes)).getBytes(StandardCharsets.US_ASCII);
        answer = ByteBuffer.allocateDirect(text.length).put(text).flip();
        for (int i = 0; i < servers; i++) {
            ServerSocketChannel listener = ServerSocketChannel.open();
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
            listener.configureBlocking(false);
            listener.register(selector, SelectionKey.OP_ACCEPT);
            listeners.add(listener);
        }
        daemon(this::serve).start();
        discovery.createContext("/discovery/hosts", this::list);
        discovery.setExecutor(Executors.newCachedThreadPool(StubServers::daemon));
        discovery.start();
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    String discovery() {
        return "127.0.0.1:" + discovery.getAddress().getPort();
    }

    String ports() {
        return listeners.stream().map(l -> Integer.toString(port(l))).collect(Collectors.joining(" "));
    }

    private static int port(ServerSocketChannel listener) {
        return listener.socket().getLocalPort();
    }

    private void serve() {
        try {
            while (selector.isOpen()) {
                selector.select(key -> {
                    try {
                        if (key.isAcceptable()) {
                            accept((ServerSocketChannel) key.channel());
                        } else {
                            answer((SocketChannel) key.channel());
                        }
                    } catch (IOException e) {
                        close(key);
                    }
                });
            }
        } catch (IOException | java.nio.channels.ClosedSelectorException e) {
            // closed
        }
    }

    private void accept(ServerSocketChannel listener) throws IOException {
        for (SocketChannel c; (c = listener.accept()) != null;) {
            c.configureBlocking(false);
            c.setOption(StandardSocketOptions.TCP_NODELAY, true);
            c.register(selector, SelectionKey.OP_READ);
        }
    }

    /** A request of these tools comes whole, and its answer fits the socket's buffer. */
    private void answer(SocketChannel c) throws IOException {
        in.clear();
        if (c.read(in) < 0) {
            c.close();
            return;
        }
        in.flip();
        for (int n; in.hasRemaining() && (n = Framing.messageBytes(in)) > 0 && n <= in.remaining();) {
            in.position(in.position() + n);
            c.write(answer.duplicate());
        }
    }

    private static void close(SelectionKey key) {
        try {
            key.channel().close();
        } catch (IOException e) {
            // nothing is left to be done with it
        }
    }

    /** The whole list to whoever asks anew; a watch hears of no change. */
    private void list(HttpExchange call) throws IOException {
        String query = call.getRequestURI().getQuery();
        List<String> members = Collections.emptyList();
        if (query == null) {
            members = listeners.stream().map(l -> "{\"id\":\"s-" + port(l) + "\",\"host_port\":\"127.0.0.1:" + port(l)
                    + "\",\"locality\":\"a\",\"cell\":0,\"phase\":\"ready\",\"size\":1.0,\"up_since_ms\":0}").toList();
        } else {
            try {
                Thread.sleep(Integer.parseInt(query.substring(query.indexOf("wait=") + 5)));
            } catch (InterruptedException e) {
                return;
            }
        }
        byte[] text = ("{\"revision\":1,\"complete\":" + (query == null) + ",\"members\":" + members + "}")
                .getBytes(StandardCharsets.UTF_8);
        call.sendResponseHeaders(200, text.length);
        call.getResponseBody().write(text);
        call.close();
    }

    @Override
    public void close() throws IOException {
        discovery.stop(0);
        selector.close();
        for (ServerSocketChannel l : listeners) {
            l.close();
        }
    }
}
