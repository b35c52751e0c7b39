package rowanplank.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
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
import rowanplank.node.HeldNode.Hold;
import rowanplank.node.HeldNode.Wire;

/** Connections that the node ends while a client writes or has yet to read: no reset takes an answer with it. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class EndedConnectionsTest {
    private static final String SHORT = """
            {"name": "article", "aim_ms": 300, "deadline_ms": 600, "effect": "repeatable"}""";
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

    /** A client that has asked for a long page, all of which is on its way to it, and has read nothing of it. */
    private Socket slowReader(int sockets, String classes) throws Exception {
        StubSite.Peer peer = opened(new StubSite.Peer(r -> StubSite.ok(r.contains("X-Request-ID: a1") ? PAGE : "page")));
        site.list(peer.member("s-1", "ready"));
        node = new HeldNode(folder, site, sockets, classes, "\"may_cancel\":true,\"connect_timeout_ms\":250");
        node.serve();
        Socket client = opened(new Socket());
        client.setReceiveBufferSize(4096);
        client.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), node.node.address().getPort()));
        HeldNode.write(client, HeldNode.article("a1"));
        node.awaitCount(Count.TRIES_OK, 1);
        node.awaitNoneOpen();
        node.turns(20);
        return client;
    }

    private void assertReadsThePageAndTheEnd(Socket client) throws IOException {
        InputStream in = client.getInputStream();
        assertTrue(StubSite.readMessage(in).endsWith("\r\n\r\n" + PAGE));
        assertEquals(-1, in.read());
        assertEquals(1, node.count(Count.TRIES_SENT), "what came behind the end is not sent on");
    }

    /** The end of a shutdown, at which all that owe nothing are ended, and a request that crosses it. */
    @Test
    void aRequestThatCrossesTheEndOfAConnectionCostsNoAnswer() throws Exception {
        Socket client = slowReader(256, SHORT);
        Hold hold = node.hold();
        node.stop();
        hold.release();
        node.turns(1);
        hold = node.hold();
        node.pass(700); // into the winding down
        hold.release();
        node.turns(3);
        assertEquals(0, (int) node.loop.call(node.node::clientsAtRest));
        HeldNode.write(client, HeldNode.article("a2"));
        node.turns(5);
        assertReadsThePageAndTheEnd(client);
    }

    /** Connections are too many, and those that were served go: ended with grace while there is room for that. */
    @Test
    void anEvictedConnectionIsNotReset() throws Exception {
        Socket client = slowReader(160, HeldNode.CLASSES); // 64 are for clients, and 40 for those that were served
        for (int i = 0; i < 40; i++) {
            assertTrue(StubSite.ask(node.connect(), HeldNode.article("b" + i)).endsWith("page"));
        }
        node.pass(30);
        node.awaitCount(Count.CLIENT_CONNECTIONS_EVICTED, 1);
        HeldNode.write(client, HeldNode.article("a2"));
        node.turns(5);
        InputStream in = client.getInputStream();
        assertTrue(StubSite.readMessage(in).endsWith("\r\n\r\n" + PAGE));
        assertEquals(-1, in.read());
        assertEquals(41, node.count(Count.TRIES_SENT));
    }

    /** What comes behind an answer that said that it is the last is dropped, and the answer is whole. */
    @Test
    void aRequestBehindTheLastAnswerIsNotSentOn() throws Exception {
        Wire wire = serve();
        Socket client = node.connect(HeldNode.article("a1").replace("Host: x", "Host: x\r\nConnection: close"));
        Socket server = wire.take();
        StubSite.readMessage(server.getInputStream());
        Hold hold = node.holdBefore("onOutcome"); // the answer is written, and its end as well
        HeldNode.write(server, StubSite.ok("page"));
        hold.await();
        HeldNode.write(client, HeldNode.article("a2"));
        hold.release();
        node.turns(5);
        String answer = StubSite.readMessage(client.getInputStream());
        assertTrue(answer.endsWith("page") && answer.contains("Connection: close"), answer);
        assertEquals(-1, client.getInputStream().read());
        assertEquals(1, node.count(Count.TRIES_SENT));
    }

    /** The first answer was begun before the drain, and did not say that it is the last. */
    @Test
    void aCommandBehindAnAnswerThatDidNotSayItIsTheLastIsServed() throws Exception {
        Wire wire = serve();
        Socket client = node.connect(HeldNode.article("a1") + HeldNode.article("a2"));
        Socket server = wire.take();
        StubSite.readMessage(server.getInputStream());
        HeldNode.write(server, "HTTP/1.1 200 OK\r\nContent-Length: " + PAGE.length() + "\r\n\r\n" + PAGE.substring(9));
        node.awaitCount(Count.TRANSFERS, 1);
        node.loop.call(() -> {
            node.node.lifecycle().onEvacuate(node.loop.clock().now());
            return null;
        });
        HeldNode.write(server, PAGE.substring(0, 9));
        Socket second = wire.take(); // the first one rests for a moment
        StubSite.readMessage(second.getInputStream());
        HeldNode.write(second, StubSite.ok("second"));
        assertFalse(StubSite.readMessage(client.getInputStream()).contains("Connection: close"));
        String last = StubSite.readMessage(client.getInputStream());
        assertTrue(last.endsWith("second") && last.contains("Connection: close"), last);
        assertEquals(-1, client.getInputStream().read());
    }

    /** The first answer's end brings the second request, before that answer's outcome is told: neither ends the other. */
    @Test
    void aCommandBehindALargeAnswerIsServed() throws Exception {
        Wire wire = serve();
        Socket client = node.connect(HeldNode.article("a1") + HeldNode.article("a2"));
        Socket server = wire.take();
        StubSite.readMessage(server.getInputStream());
        HeldNode.write(server, StubSite.ok(PAGE));
        assertTrue(StubSite.readMessage(client.getInputStream()).endsWith(PAGE));
        Socket second = wire.take(); // the first one rests for a moment
        StubSite.readMessage(second.getInputStream());
        HeldNode.write(second, StubSite.ok("second"));
        assertTrue(StubSite.readMessage(client.getInputStream()).endsWith("second"));
        assertEquals(0, node.count(Count.TRIES_RESET));
    }

    /** Far more than a client has reason to send ahead: it gets the answer that is open, and the connection's end. */
    @Test
    void aClientThatSentAheadTooMuchGetsTheAnswerThatIsOpen() throws Exception {
        Wire wire = serve();
        Socket client = node.connect(HeldNode.article("a1"));
        Socket server = wire.take();
        StubSite.readMessage(server.getInputStream());
        HeldNode.write(client, HeldNode.article("b").repeat(4000)); // some 200 KB
        node.turns(20);
        HeldNode.write(server, StubSite.ok("page"));
        String answer = StubSite.readMessage(client.getInputStream());
        assertTrue(answer.endsWith("page") && answer.contains("Connection: close"), answer);
        assertEquals(-1, client.getInputStream().read());
        assertEquals(1, node.count(Count.TRIES_SENT));
    }

    /** And one that sends on without end: it is let go, and its request with it, rather than read no more. */
    @Test
    void aClientThatSendsAheadWithoutEndHasLeft() throws Exception {
        Wire wire = serve();
        Socket client = node.connect(HeldNode.article("a1"));
        StubSite.readMessage(wire.take().getInputStream());
        try {
            for (int i = 0; i < 100; i++) {
                HeldNode.write(client, HeldNode.article("b").repeat(1000));
            }
        } catch (IOException e) {
            // the node has closed it
        }
        node.awaitCount(Count.CLIENTS_DEPARTED, 1);
        node.awaitNoneOpen();
        assertEquals(1, node.count(Count.TRIES_SENT));
    }
}
