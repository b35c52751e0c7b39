package rowanplank.node;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import rowanplank.config.NodeConfig;
import rowanplank.metrics.Counters.Count;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.net.Clock;
import rowanplank.net.SelectorLoop;

/** The node's own parts on real sockets, in this process; its time stands but as the test says. */
final class DrivenNode implements AutoCloseable {
    private static final Duration STEP = Duration.ofMillis(25);
    private static final long REAL_STEP_MILLIS = 5;

    private volatile Instant now = Instant.now();
    private final SelectorLoop loop;
    private final Node node;
    final List<String> log = new CopyOnWriteArrayList<>();
    /** What the configuration file holds. */
    volatile String file;

    DrivenNode(String file) throws Exception {
        this.file = file;
        Clock clock = () -> now;
        loop = new SelectorLoop(clock, e -> log.add("unexpected " + e));
        node = new Node(read(), loop, new RateLimitedLog(clock, (warning, line, cause) -> log.add(line)));
        loop.start();
        loop.call(() -> {
            node.openDoor();
            node.start();
            return null;
        });
    }

    private NodeConfig read() {
        return NodeConfig.read(Map.of("EDGE_CONFIG", "config.json"), (name, most) -> file);
    }

    /** As SIGHUP does it; returns once the file was read. */
    void hangUp() throws Exception {
        node.reload(this::read);
        settle();
    }

    /** All tasks that were handed over, and all timers that are due, have run, and sockets were looked at since. */
    private void settle() throws Exception {
        for (int i = 0; i < 3; i++) {
            loop.call(() -> null);
        }
    }

    void pass(Duration time) throws Exception {
        now = now.plus(time);
        settle();
    }

    /** Has time pass until discovery is called, but no longer than this. */
    ScriptedDiscovery.Call callWithin(Duration most, ScriptedDiscovery discovery) throws Exception {
        Instant from = now;
        ScriptedDiscovery.Call call = discovery.calls.poll();
        while (call == null && Duration.between(from, now).compareTo(most) < 0) {
            pass(STEP);
            call = discovery.calls.poll(REAL_STEP_MILLIS, TimeUnit.MILLISECONDS);
        }
        call = call != null ? call : discovery.calls.poll(20, TimeUnit.SECONDS); // it may be on its way
        assertNotNull(call, "no call within " + most + "; " + log);
        return call;
    }

    long count(Count count) throws Exception {
        return loop.call(() -> node.counters().get(count));
    }

    /** Waits, without time passing at the node, until it has counted so many. */
    void await(Count count, long least) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (count(count) < least) {
            assertTrue(System.nanoTime() < end, count + " never came to " + least + "; " + log);
            LockSupport.parkNanos(100_000); // leaves the core to the loop; no outcome hangs on it
        }
    }

    int port() throws Exception {
        return loop.call(() -> node.address().getPort());
    }

    String ask(String request) throws Exception {
        try (Socket client = new Socket("127.0.0.1", port())) {
            client.setSoTimeout(20_000); // the node's time stands: what it does not answer now it never would
            return StubSite.ask(client, request);
        }
    }

    String get(String target, String... headers) throws Exception {
        return ask("GET " + target + " HTTP/1.1\r\nHost: x\r\nX-Request-ID: id-" + System.nanoTime() + "\r\n"
                + String.join("", headers) + "\r\n");
    }

    boolean isUp() throws Exception {
        return get("/up").startsWith("HTTP/1.1 200 ");
    }

    @Override
    public void close() throws IOException {
        try {
            loop.stop();
        } catch (Exception e) {
            throw new IOException(e);
        }
    }
}
