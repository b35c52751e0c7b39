package rowanplank.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import rowanplank.metrics.Counters.Count;
import rowanplank.node.HeldNode.Wire;

/** Connections that the node ends while a client writes or has yet to read: no reset takes an answer with it. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class EndedConnectionsTest {
    /** More than a slow reader's own buffers take, and less than the node's. */
    private static final String PAGE = "0123456789abcdef".repeat(400_000 / 16);

    @TempDir
    Path folder;
    private final List<AutoCloseable> opened = new ArrayList<>();
    private StubSite site;
    private HeldNode node;

    @BeforeEach
    void startSite() throws IOException {
        site = opened(new StubSite());
    }

    @AfterEach
    void stop() throws Exception {
        node.close();
        for (AutoCloseable o : opened) {
            o.close();
        }
    }

    private <T extends AutoCloseable> T opened(T resource) {
        opened.add(resource);
        return resource;
    }

    private Wire serve() throws Exception {
        Wire wire = opened(new Wire());
        site.list(wire.member("s-1"));
        node = HeldNode.usual(folder, site);
        node.serve();
        return wire;
    }

    /** The server's connection goes from the one request to the other, and is not closed over the second. */
    @Test
    void aCommandBehindALargeAnswerIsServedOnTheSameConnection() throws Exception {
        Wire wire = serve();
        Socket client = node.connect(HeldNode.article("a1") + HeldNode.article("a2"));
        Socket server = wire.take();
        StubSite.readMessage(server.getInputStream());
        HeldNode.write(server, StubSite.ok(PAGE));
        assertTrue(StubSite.readMessage(client.getInputStream()).endsWith(PAGE));
        StubSite.readMessage(server.getInputStream());
        HeldNode.write(server, StubSite.ok("second"));
        assertTrue(StubSite.readMessage(client.getInputStream()).endsWith("second"));
        assertEquals(0, node.count(Count.TRIES_RESET));
    }
}
