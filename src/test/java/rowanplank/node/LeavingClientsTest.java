package rowanplank.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import rowanplank.metrics.Counters.Count;
import rowanplank.node.HeldNode.Hold;
import rowanplank.node.HeldNode.Wire;

/** Clients that leave while the node is between two steps for them: nothing is sent for one whose end has come. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class LeavingClientsTest {
    private static final String FULL = "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
    private static final Pattern ID = Pattern.compile("X-Request-ID: (\\S+)");

    /** How a client ends its connection. */
    enum Leaving {
        CLOSE {
            @Override
            void leave(Socket client) throws IOException {
                client.close();
            }
        },
        HALF_CLOSE {
            @Override
            void leave(Socket client) throws IOException {
                client.shutdownOutput();
            }
        },
        RESET {
            @Override
            void leave(Socket client) throws IOException {
                HeldNode.reset(client);
            }
        };

        abstract void leave(Socket client) throws IOException;
    }

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

    /** The request came, the client left, and the node reads of both in one turn. */
    @ParameterizedTest
    @EnumSource(Leaving.class)
    void aRequestWhoseClientHasLeftIsNotSent(Leaving how) throws Exception {
        serve();
        Socket client = node.connect();
        node.awaitCount(Count.CLIENT_CONNECTIONS, 1);
        Hold hold = node.hold();
        HeldNode.write(client, HeldNode.article("a1"));
        how.leave(client);
        hold.release();
        node.awaitCount(Count.CLIENTS_DEPARTED, 1);
        node.awaitNoneOpen();
        assertEquals(0, node.count(Count.TRIES_SENT));
    }

    /** The first command is answered at once, the second one's client has left by then. */
    @Test
    void ofManyCommandsSentAtOnceNoneIsSentOnOnceTheClientHasLeft() throws Exception {
        serve();
        Socket client = node.connect();
        node.awaitCount(Count.CLIENT_CONNECTIONS, 1);
        Hold hold = node.hold();
        HeldNode.write(client, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n".repeat(20) + HeldNode.article("a1")
                + HeldNode.article("a2"));
        client.shutdownOutput(); // a close would show by the answers that can't be written
        hold.release();
        node.awaitCount(Count.CLIENTS_DEPARTED, 1);
        node.awaitNoneOpen();
        assertEquals(0, node.count(Count.TRIES_SENT));
        assertEquals(1, node.count(Count.REQUESTS_TAKEN));
    }

    /** The first command's answer is written, and the client leaves before the second one is decided. */
    @Test
    void aCommandBehindAnAnswerIsNotSentOnOnceTheClientHasLeft() throws Exception {
        Wire wire = serve();
        Socket client = node.connect(HeldNode.article("a1") + HeldNode.article("a2"));
        Socket server = wire.take();
        StubSite.readMessage(server.getInputStream());
        Hold hold = node.holdBefore("onOutcome");
        HeldNode.write(server, StubSite.ok("page"));
        hold.await();
        client.close();
        hold.release();
        node.awaitCount(Count.CLIENTS_DEPARTED, 1);
        node.awaitNoneOpen();
        assertEquals(1, node.count(Count.ANSWERS_SERVED));
        assertEquals(1, node.count(Count.TRIES_SENT));
    }

    /** The server turned the request away, and its client leaves before that is decided upon. */
    @ParameterizedTest
    @EnumSource(Leaving.class)
    void betweenTwoAttemptsTheClientIsLookedFor(Leaving how) throws Exception {
        StubSite.Peer one = opened(new StubSite.Peer(r -> FULL));
        StubSite.Peer other = opened(new StubSite.Peer(r -> FULL));
        site.list(one.member("s-1", "ready"), other.member("s-2", "ready"));
        node = HeldNode.usual(folder, site);
        node.serve();
        Hold hold = node.holdBefore("onOutcome");
        Socket client = node.connect(HeldNode.article("a1"));
        hold.await();
        how.leave(client);
        hold.release();
        node.awaitCount(Count.CLIENTS_DEPARTED, 1);
        node.awaitNoneOpen();
        assertEquals(1, node.count(Count.TRIES_SENT));
    }

    /** Requests that are more than one server takes from the node: some are with the server, the others wait for room. */
    private final class Crowd {
        final Map<String, Socket> waiting = new LinkedHashMap<>();
        final Map<String, Socket> served = new LinkedHashMap<>();
        /** The server's connections, by the request on them. */
        final Map<String, Socket> servers = new LinkedHashMap<>();

        Crowd(Wire wire, int count) throws Exception {
            for (int i = 0; i < count; i++) {
                waiting.put("a" + i, node.connect(HeldNode.article("a" + i)));
            }
            node.awaitCount(Count.REQUESTS_TAKEN, count);
            long sent = node.count(Count.TRIES_SENT);
            assertTrue(sent < count, "some wait for room");
            for (int i = 0; i < sent; i++) {
                Socket server = wire.take();
                Matcher id = ID.matcher(StubSite.readMessage(server.getInputStream()));
                assertTrue(id.find());
                served.put(id.group(1), waiting.remove(id.group(1)));
                servers.put(id.group(1), server);
            }
        }
    }

    /** An answer makes room for those that wait; these have all left, and the node has not read of it. */
    @Test
    void aRequestThatWaitedForRoomIsNotSentOnOnceItsClientHasLeft() throws Exception {
        Crowd crowd = new Crowd(serve(), 20);
        Hold hold = node.holdBefore("onOutcome");
        HeldNode.write(crowd.servers.values().iterator().next(), StubSite.ok("page"));
        hold.await();
        for (Socket client : crowd.waiting.values()) {
            client.close();
        }
        hold.release();
        node.awaitCount(Count.CLIENTS_DEPARTED, crowd.waiting.size());
        node.awaitCount(Count.ANSWERS_SERVED, 1);
        assertEquals(crowd.served.size(), node.count(Count.TRIES_SENT));
    }

    /** A client is looked for while an answer to another is being read: what it has sent ahead is no part of that. */
    @Test
    void whatALookFindsDoesNotSpoilTheAnswerThatIsBeingRead() throws Exception {
        Crowd crowd = new Crowd(serve(), 5);
        StringBuilder page = new StringBuilder();
        for (int i = 0; i < 200; i++) { // in pieces: of those read at once, some are left while the answer begins
            page.append("3e8\r\n").append(String.format("%04d", i).repeat(250)).append("\r\n");
        }
        page.append("0\r\n\r\n");
        Map.Entry<String, Socket> first = crowd.servers.entrySet().iterator().next();
        Hold hold = node.holdBefore("onOutcome");
        HeldNode.write(first.getValue(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + page);
        hold.await();
        HeldNode.write(crowd.waiting.values().iterator().next(), "GET /up HTTP/1.1\r\nHost: x\r\n\r\n".repeat(20));
        hold.release();
        InputStream in = crowd.served.get(first.getKey()).getInputStream();
        StubSite.readMessage(in);
        assertEquals(content(page.toString()), content(untilLastChunk(in)));
    }

    private static String untilLastChunk(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.length() < 5 || !text.substring(text.length() - 5).equals("0\r\n\r\n")) {
            int b = in.read();
            assertTrue(b >= 0, "cut after " + text.length());
            text.append((char) b);
        }
        return text.toString();
    }

    private static String content(String chunked) {
        StringBuilder content = new StringBuilder();
        for (int at = 0, size; (size = Integer.parseInt(chunked, at, chunked.indexOf('\r', at), 16)) > 0;) {
            int from = chunked.indexOf('\n', at) + 1;
            content.append(chunked, from, from + size);
            at = from + size + 2;
        }
        return content.toString();
    }

    /** The connection comes up, and the client's end comes in, between two turns; no attempt may be withdrawn here. */
    @Test
    void aConnectionThatComesUpAfterTheClientLeftGetsNoRequest() throws Exception {
        try (Wire server = new Wire()) {
            site.list(server.member("s-1"));
            node = new HeldNode(folder, site, 256, HeldNode.CLASSES, "\"may_cancel\":false,\"connect_timeout_ms\":9000");
            node.serve();
            Hold deciding = node.holdBefore("onRequest");
            Socket client = node.connect(HeldNode.article("a1"));
            deciding.await();
            Hold connecting = node.holdInNextTurn();
            deciding.release();
            connecting.await();
            Socket connection = opened(server.take());
            client.close();
            connecting.release();
            node.awaitNoneOpen();
            assertEquals(1, node.count(Count.CLIENTS_DEPARTED));
            assertEquals(1, node.count(Count.TRIES_CANCELLED));
            node.close();
            assertNull(StubSite.readMessage(connection.getInputStream()), "nothing was written");
        }
    }

    /** The upload is more than the node holds, so that it has stopped reading when the client leaves. */
    @Test
    void anUploadThatWaitedIsNotSentOnOnceItsClientHasLeft() throws Exception {
        node = HeldNode.usual(folder, site);
        node.start(); // no list yet: what comes waits
        int size = 170_000;
        Socket client = node.connect("POST /order HTTP/1.1\r\nHost: x\r\nX-Request-ID: a1\r\nContent-Length: " + size
                + "\r\n\r\n" + "x".repeat(size));
        node.awaitCount(Count.UPLOADS, 1);
        node.turns(20);
        client.close();
        node.turns(20);
        assertEquals(0, node.count(Count.CLIENTS_DEPARTED), "its end lies behind what is not read");
        site.list(Wire.member("s-1", opened(new ServerSocket(0)).getLocalPort()));
        node.awaitCount(Count.CLIENTS_DEPARTED, 1);
        node.awaitNoneOpen();
        assertEquals(0, node.count(Count.TRIES_SENT));
    }
}
