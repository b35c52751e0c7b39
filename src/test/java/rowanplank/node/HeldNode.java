package rowanplank.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import rowanplank.balancer.Balancer;
import rowanplank.balancer.BalancerApi.Events;
import rowanplank.config.NodeConfig;
import rowanplank.metrics.Counters.Count;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.net.Clock;
import rowanplank.net.FileAccess;
import rowanplank.net.SelectorLoop;
import rowanplank.net.SystemClock;

/**
 * A node in the test's own process, on real sockets. A test can hold its thread between two of its turns: what comes
 * meanwhile, and what falls due, is all there at once when the thread goes on, in the order in which it came.
 */
final class HeldNode {
    static final String CLASSES = """
            {"name": "article", "aim_ms": 2000, "deadline_ms": 20000, "effect": "repeatable"},
            {"name": "order", "aim_ms": 2000, "deadline_ms": 20000, "effect": "once"}""";
    private static final long PATIENCE_SECONDS = 20;

    final SelectorLoop loop;
    final Node node;
    final List<String> log = new CopyOnWriteArrayList<>();
    private final List<Throwable> failures = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile Hold awaited;
    private volatile Duration ahead = Duration.ZERO;
    /** At 0 once the node has ended by itself. */
    final CountDownLatch ended = new CountDownLatch(1);
    /** How many requests had been served by then. */
    volatile long servedAtEnd;

    /** An upstream server of which the test itself does each step, on sockets. */
    static final class Wire implements AutoCloseable {
        private final ServerSocket listener;
        private final BlockingQueue<Socket> accepted = new LinkedBlockingQueue<>();

        Wire() throws IOException {
            listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
            Thread thread = new Thread(() -> {
                try {
                    while (true) {
                        accepted.add(listener.accept());
                    }
                } catch (IOException e) {
                    // closed
                }
            });
            thread.setDaemon(true);
            thread.start();
        }

        /** The next connection of the node. */
        Socket take() throws InterruptedException {
            Socket socket = accepted.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
            assertTrue(socket != null, "the node has opened no connection");
            return socket;
        }

        String member(String id) {
            return member(id, listener.getLocalPort());
        }

        static String member(String id, int port) {
            return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:" + port + "\",\"locality\":\"a\",\"cell\":0,"
                    + "\"phase\":\"ready\",\"size\":1.0,\"up_since_ms\":0}";
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket socket : accepted) {
                socket.close();
            }
        }
    }

    /** @param ceilings beyond the usual ones, or in their place */
    HeldNode(Path folder, StubSite site, int sockets, String classes, String ceilings) throws Exception {
        Path file = Files.writeString(folder.resolve("held.json"), "{\"seed\":\"8c1f30d27a5be964\",\"name\":\"n0\","
                + "\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + site.address() + "\",\"limits\":{\"sockets\":" + sockets
                + "},\"settings\":{\"balancers\":1,\"position\":0,\"zone\":0,\"zones\":[\"a\"],"
                + "\"membership_mode\":\"push\",\"classes\":[" + classes + "],\"ceilings\":{\"most_tries\":6,"
                + "\"conn_idle_ms\":30000,\"retry_after\":true,\"max_retry_after_ms\":2000," + ceilings + "}}}");
        Clock system = new SystemClock();
        Clock clock = () -> system.now().plus(ahead);
        loop = new SelectorLoop(clock, failures::add);
        RateLimitedLog rateLimited = new RateLimitedLog(clock, (warning, line, cause) -> {
            log.add(line);
            if (cause != null) {
                failures.add(cause);
            }
        });
        node = new Node(NodeConfig.read(Map.of("EDGE_CONFIG", file.toString()), FileAccess.SYSTEM), loop, rateLimited,
                (settings, seed, actions) -> watched(new Balancer(settings, seed, actions)));
        loop.start();
    }

    /** The module, before each of whose events the node's thread may be held. */
    private Events watched(Events module) {
        return (Events) Proxy.newProxyInstance(Events.class.getClassLoader(), new Class<?>[] {Events.class},
                (proxy, method, arguments) -> {
                    Hold hold = awaited;
                    if (hold != null && hold.event.equals(method.getName())) {
                        awaited = null;
                        hold.run();
                    }
                    return method.invoke(module, arguments);
                });
    }

    /** Where the node's thread is held, and goes on once the test says so. */
    static final class Hold implements Runnable {
        private final String event;
        private final CountDownLatch held = new CountDownLatch(1);
        private final CountDownLatch released = new CountDownLatch(1);

        private Hold(String event) {
            this.event = event;
        }

        @Override
        public void run() {
            held.countDown();
            try {
                released.await(PATIENCE_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        Hold await() throws InterruptedException {
            assertTrue(held.await(PATIENCE_SECONDS, TimeUnit.SECONDS), "the node did not come to this point");
            return this;
        }

        void release() {
            released.countDown();
        }
    }

    static HeldNode usual(Path folder, StubSite site) throws Exception {
        return new HeldNode(folder, site, 256, CLASSES, "\"may_cancel\":true,\"connect_timeout_ms\":250");
    }

    void start() throws Exception {
        loop.call(() -> {
            node.start();
            return null;
        });
    }

    /** Starts the node, and waits until it has a list of this many servers or more. */
    void serve() throws Exception {
        start();
        awaitCount(Count.DISCOVERY_LISTS, 1);
    }

    /** Tells the node to stop. What a process would do at its end is done by {@link #close}. */
    void stop() {
        node.stop(() -> {
            servedAtEnd = node.counters().get(Count.ANSWERS_SERVED);
            ended.countDown();
        });
    }

    Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port());
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(PATIENCE_SECONDS));
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        return socket;
    }

    private int port() {
        return node.address().getPort();
    }

    Socket connect(String sent) throws IOException {
        Socket socket = connect();
        write(socket, sent);
        return socket;
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    static String article(String id) {
        return "GET /article/7 HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + id + "\r\n\r\n";
    }

    /** Ends the connection by a reset. */
    static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** Holds the node's thread between two of its turns. */
    Hold hold() throws InterruptedException {
        Hold hold = new Hold("");
        loop.execute(hold);
        return hold.await();
    }

    /** Will hold the node's thread before it looks at its sockets again. */
    Hold holdInNextTurn() {
        Hold hold = new Hold("");
        loop.execute(hold);
        return hold;
    }

    /** Has so much time go by at once, for a node that is held; what falls due then comes before its sockets. */
    void pass(int millis) {
        ahead = ahead.plusMillis(millis);
    }

    /** Will hold the node's thread when the module is next to be told this, of what is else done by then. */
    Hold holdBefore(String event) {
        Hold hold = new Hold(event);
        awaited = hold;
        return hold;
    }

    /** Waits until the node's thread has looked at its sockets so many times more. */
    void turns(int count) throws Exception {
        for (int i = 0; i < count; i++) {
            CountDownLatch turned = new CountDownLatch(1);
            loop.execute(() -> loop.schedule(Duration.ZERO, turned::countDown)); // timers come after the next look
            assertTrue(turned.await(PATIENCE_SECONDS, TimeUnit.SECONDS));
        }
    }

    long count(Count counter) {
        try {
            return loop.call(() -> node.counters().get(counter));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    void awaitCount(Count counter, long least) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
        while (count(counter) < least) {
            assertTrue(System.nanoTime() < until, counter + " stands at " + count(counter) + ", not at " + least);
            Thread.sleep(1);
        }
    }

    void awaitNoneOpen() throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
        while (loop.call(node::openCount) > 0) {
            assertTrue(System.nanoTime() < until, "a request is still open");
            Thread.sleep(1);
        }
    }

    /** Ends the node as the end of its process would. */
    void close() throws Exception {
        loop.stop();
        for (Socket socket : sockets) {
            socket.close();
        }
        assertEquals(List.of(), failures);
    }
}
