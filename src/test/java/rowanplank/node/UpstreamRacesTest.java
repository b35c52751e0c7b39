package rowanplank.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import rowanplank.metrics.Counters.Count;
import rowanplank.node.HeldServer.Accepted;
import rowanplank.node.LoopNode.Client;
import rowanplank.node.LoopNode.Hold;

/**
 * Events that cross on connections to upstream servers, through the whole node on loopback sockets; docs/races.md has a
 * row for each. The servers do nothing by themselves, and the node's loop is held where events have to meet in one turn.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class UpstreamRacesTest {
    private static final String LIMITS = """
            "most_tries": 6, "conn_idle_ms": 30000, "connect_timeout_ms": 4000, "retry_after": true,
            "max_retry_after_ms": 2000""";
    private static final String TURNED_AWAY = "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";

    /** So many tries a server is sent at once. */
    private static final int AT_ONCE = 4;
    /** After this a connection has rested. */
    private static final Duration A_WHILE = Duration.ofMillis(200);

    @TempDir
    Path folder;
    private final List<AutoCloseable> opened = new ArrayList<>();
    private StubSite site;
    private LoopNode node;
    private int requests;

    @BeforeEach
    void open() throws IOException {
        site = opened(new StubSite());
    }

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable o : opened) {
            o.close();
        }
        assertTrue(node.failures.isEmpty(), () -> "unforeseen: " + node.failures);
    }

    private <T extends AutoCloseable> T opened(T what) {
        opened.add(0, what);
        return what;
    }

    private HeldServer server() throws IOException {
        return opened(new HeldServer());
    }

    private static String settings(boolean mayCancel, int windowMs) {
        String figures = "\"aim_ms\": 2000, \"deadline_ms\": 20000, ";
        return "{\"zones\": [\"a\"], \"classes\": [{\"name\": \"article\", " + figures + "\"effect\": \"repeatable\"},"
                + "{\"name\": \"order\", " + figures + "\"effect\": \"once\"},"
                + "{\"name\": \"keyed\", " + figures + "\"effect\": \"by_key\", \"group\": \"all\", \"window_ms\": " + windowMs + "},"
                + "{\"name\": \"celled\", " + figures + "\"effect\": \"by_key\", \"group\": \"cell\", \"window_ms\": " + windowMs + "}],"
                + "\"ceilings\": {\"may_cancel\": " + mayCancel + ", " + LIMITS + "},"
                + "\"rules\": {\"answer_slack_ms\": 20, \"cold_from\": 0.1, \"cold_ms\": 20000, \"fall_multiple\": 2.5}}";
    }

    private void startWith(String settings, String... members) throws Exception {
        site.list(members);
        node = opened(new LoopNode(folder, settings, site.address()));
    }

    private void start(String... members) throws Exception {
        startWith(settings(true, 10_000), members);
    }

    /** Tells another whole list, and returns when the node has it. */
    private void list(String... members) throws Exception {
        long before = node.count(Count.DISCOVERY_LISTS);
        site.list(members);
        node.awaitCount(Count.DISCOVERY_LISTS, before + 1);
    }

    private String request(String kind, String timeout, int length) {
        String method = kind.equals("article") ? "GET" : "POST";
        return method + " /" + kind + "/7 HTTP/1.1\r\nHost: x\r\nX-Request-ID: r" + ++requests + "\r\nX-Timeout: " + timeout
                + "\r\n" + (kind.equals("article") ? "" : "Content-Length: " + length + "\r\n") + "\r\n" + "x".repeat(length);
    }

    private String request(String kind) {
        return request(kind, "10000m", 0);
    }

    private Client ask(String kind) throws IOException {
        return node.ask(request(kind));
    }

    /** The connection that a first request leaves at rest. */
    private Accepted rested(HeldServer server) throws Exception {
        Client first = ask("article");
        Accepted connection = server.accept();
        connection.serve(StubSite.ok("first"));
        assertTrue(first.answer().endsWith("first"));
        node.pass(A_WHILE);
        return connection;
    }

    private static String head(Accepted connection) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            text.append((char) connection.socket.getInputStream().read());
        }
        return text.toString();
    }

    private static long timeoutMicros(String request) {
        Matcher m = Pattern.compile("X-Timeout: (\\d+)u\r\n").matcher(request);
        assertTrue(m.find(), request);
        return Long.parseLong(m.group(1));
    }

    /** Guards requests against connections whose end, or unasked bytes, come in the turn of their next use. */
    @Test
    void whatComesOnARestingConnectionInTheTurnOfItsUseEndsIt() throws Exception {
        HeldServer server = server();
        start(server.ready("s-1"));
        List<Client> clients = new ArrayList<>();
        List<Accepted> resting = new ArrayList<>();
        for (int i = 0; i < AT_ONCE; i++) {
            clients.add(ask("article"));
            resting.add(server.accept());
            resting.get(i).request();
        }
        for (int i = 0; i < AT_ONCE; i++) {
            resting.get(i).write(StubSite.ok("page"));
            clients.get(i).answer();
        }
        node.pass(A_WHILE);
        try (Hold hold = node.hold()) {
            hold.await();
            for (Client client : clients) { // whichever the node sees first, these or what comes below
                client.send(request("order"));
            }
            resting.get(0).reset();
            resting.get(1).close();
            resting.get(2).write(StubSite.ok("second"));
            resting.get(3).write("HTTP/1.");
        }
        for (int i = 0; i < AT_ONCE; i++) {
            server.accept().serve(StubSite.ok("order"));
        }
        for (Client client : clients) {
            assertTrue(client.answer().endsWith("order"));
        }
        assertEquals(0, node.count(Count.TRIES_RESET));
    }

    private Client lostAfterItsLastByte(HeldServer server, String kind, boolean reset) throws Exception {
        Accepted resting = rested(server);
        Client client = ask(kind);
        assertTrue(resting.request().startsWith(kind.equals("article") ? "GET" : "POST"));
        if (reset) {
            resting.reset();
        } else {
            resting.close();
        }
        return client;
    }

    /** Once the last byte was written the request may have run, whatever ended the connection. */
    @Test
    void whatMustNotRunTwiceIsFailedOnceItsLastByteWasWritten() throws Exception {
        HeldServer server = server();
        HeldServer other = server();
        start(server.ready("s-1"));
        Client closed = lostAfterItsLastByte(server, "order", false);
        assertEquals(502, closed.status());
        Client reset = lostAfterItsLastByte(server, "order", true);
        assertEquals(502, reset.status());
        list(server.ready("s-1"), other.ready("s-2"));
        assertEquals(2, node.count(Count.TRIES_RESET));
        assertFalse(other.isAsked(), "nothing was sent again");
    }

    /** Before that it surely has not, even where its first bytes were read. */
    @Test
    void whatBrokeBeforeItsLastByteMayBeAskedAgain() throws Exception {
        HeldServer server = server();
        start(server.ready("s-1"));
        node.holdTime();
        for (boolean reset : new boolean[] {false, true}) {
            Accepted resting = rested(server);
            Client client = node.ask(request("order", "10000m", 300_000).substring(0, 200_000));
            head(resting);
            resting.socket.getInputStream().readNBytes(100_000); // more than the node keeps to send it from its start
            if (reset) {
                resting.reset();
            } else {
                resting.close();
            }
            assertEquals(503, client.status());
        }
        assertEquals(2, node.count(Count.TRIES_CONNECT_FAILED));
        assertEquals(0, node.count(Count.TRIES_RESET));
    }

    /** What surely never ran goes to another server, also where its effect must not come about twice. */
    @Test
    void whatSurelyNeverRanIsSentAgain() throws Exception {
        HeldServer server = server();
        HeldServer other = server();
        start(server.ready("s-1"));
        Accepted resting = rested(server);
        Client client = ask("order");
        resting.request();
        list(server.ready("s-1"), other.ready("s-2"));
        resting.write(TURNED_AWAY);
        other.accept().serve(StubSite.ok("order"));
        assertTrue(client.answer().endsWith("order"));
        assertEquals(1, node.count(Count.TRIES_FULL));
    }

    /** A repeat for a key goes to the servers that know of the key, and nothing is called harmless that is not. */
    @Test
    void aKeyedRequestIsRepeatedWithinItsGroupOnly() throws Exception {
        HeldServer server = server();
        HeldServer elsewhere = server();
        start(server.ready("s-1"));
        Client celled = lostAfterItsLastByte(server, "celled", true);
        list(elsewhere.ready("s-2").replace("\"cell\":0", "\"cell\":1"));
        Client free = ask("keyed");
        Accepted second = elsewhere.accept();
        assertTrue(second.request().startsWith("POST /keyed"), "the other one did not go out of its group");
        second.write(StubSite.ok("keyed"));
        assertTrue(free.answer().endsWith("keyed"));
        node.pass(Duration.ofSeconds(2));
        assertEquals(502, celled.status());
    }

    /** Guards the window in which servers drop repeats: a repeat's connection may come up after it. */
    @Test
    void aRepeatWhoseConnectionComesUpAfterItsWindowIsNotSent() throws Exception {
        HeldServer server = server();
        HeldServer late = opened(HeldServer.full());
        startWith(settings(true, 500), server.ready("s-1"));
        Accepted resting = rested(server);
        node.holdTime();
        Client client = ask("keyed");
        resting.request();
        list(server.ready("s-1"), late.ready("s-2"));
        resting.reset();
        node.awaitCount(Count.TRIES_SENT, 3);
        node.pass(Duration.ofMillis(500));
        node.awaitCount(Count.TRIES_CONNECT_FAILED, 1); // given up before it came up
        late.makeRoom();
        node.pass(Duration.ofSeconds(2));
        assertEquals(503, client.status());
        assertFalse(late.isAsked());
    }

    /** No module has to allow that a connection is given up on which nothing was sent. */
    @Test
    void aClientThatLeavesEndsTheConnectingAtOnce() throws Exception {
        HeldServer late = opened(HeldServer.full());
        startWith(settings(false, 10_000), late.ready("s-1"));
        Client client = ask("article");
        node.awaitCount(Count.TRIES_SENT, 1);
        client.close();
        node.awaitCount(Count.CLIENTS_DEPARTED, 1);
        assertEquals(1, node.count(Count.TRIES_CANCELLED));
        late.makeRoom();
        Client next = ask("article");
        Accepted only = late.accept();
        assertTrue(only.serve(StubSite.ok("next")).contains("X-Request-ID: r2\r\n"));
        assertTrue(next.answer().endsWith("next"));
    }

    /** The connection is up, and in the same turn nobody waits for it any more. */
    @Test
    void nothingIsSentOnAConnectionThatComesUpAsTimeIsUp() throws Exception {
        HeldServer server = server();
        start(server.ready("s-1"));
        Hold hold = node.holdAfterTries(1);
        Client client = node.ask(request("article", "60m", 0));
        Accepted connection;
        try (hold) {
            hold.await();
            connection = server.accept();
            Thread.sleep(100); // its time is up, whenever this returns
        }
        assertEquals(503, client.status());
        assertEquals(0, connection.bytesToItsEnd());
        assertEquals(0, node.count(Count.TRIES_TIMEOUT), "it surely has not run");
    }

    /** Guards servers against work for clients that no longer wait: what they are told is what is left. */
    @Test
    void anUploadTellsTheTimeLeftOnceItHasCome() throws Exception {
        HeldServer late = opened(HeldServer.full());
        start(late.ready("s-1"));
        Client client = node.ask(request("order", "5000m", 100_000));
        node.awaitCount(Count.UPLOADS, 1);
        node.awaitCount(Count.TRIES_SENT, 1);
        late.makeRoom();
        String request = late.accept().serve(StubSite.ok("order"));
        assertTrue(timeoutMicros(request) < 4_800_000, request.substring(0, 200));
        assertTrue(client.answer().endsWith("order"));
    }

    /** A node that must stop now says only of that which is harmless to ask again that it is. */
    @Test
    void aNodeThatEndsFailsWhatMayHaveRunAndMustNotRunTwice() throws Exception {
        HeldServer server = server();
        HeldServer late = opened(HeldServer.full());
        start(server.ready("s-1"));
        Client order = ask("order");
        server.accept().request();
        Client article = ask("article");
        server.accept().request();
        Client celled = ask("celled");
        server.accept().request();
        list(late.ready("s-2"));
        Client unsent = ask("order");
        node.awaitCount(Count.TRIES_SENT, 4);
        node.node.stop(() -> { });
        assertEquals(502, order.status());
        assertEquals(502, celled.status());
        assertEquals(503, article.status());
        assertEquals(503, unsent.status(), "it waited for its connection");
    }

    /** Guards the next request against a second answer that comes some milliseconds after the first. */
    @Test
    void aConnectionIsNotUsedAgainWhileASecondAnswerMayCome() throws Exception {
        HeldServer server = server();
        start(server.ready("s-1"));
        node.holdTime();
        Client client = ask("article");
        Accepted first = server.accept();
        first.serve(StubSite.ok("first"));
        client.answer();
        client.send(request("order"));
        Accepted fresh = server.accept();
        fresh.request();
        first.write(StubSite.ok("second"));
        assertEquals(0, first.bytesToItsEnd(), "nothing more goes out where something unasked came");
        fresh.write(StubSite.ok("order"));
        assertTrue(client.answer().endsWith("order"));
        node.pass(A_WHILE);
        client.send(request("article"));
        assertTrue(fresh.serve(StubSite.ok("third")).startsWith("GET"), "one that has rested is used");
        assertTrue(client.answer().endsWith("third"));
    }

    /** Where servers name the request that they answer, one that comes later still is told from the next one's. */
    @Test
    void aLateAnswerThatNamesTheRequestBeforeIsNotTaken() throws Exception {
        HeldServer server = server();
        start(server.ready("s-1"));
        Client client = ask("article");
        Accepted connection = server.accept();
        String first = StubSite.ok("first").replace("\r\n\r\n", "\r\nX-Request-ID: r1\r\n\r\n");
        connection.serve(first);
        client.answer();
        node.pass(A_WHILE);
        client.send(request("order"));
        connection.serve(first);
        assertEquals(502, client.status(), "it may have run");
        assertEquals(0, connection.bytesToItsEnd());
        assertEquals(1, node.count(Count.TRIES_RESET));
    }

    /** What the client got of an answer: all to the end of its connection. */
    private static String toTheEnd(Client client) throws IOException {
        client.socket.setSoTimeout(20_000);
        StringBuilder text = new StringBuilder();
        try {
            for (int b; (b = client.socket.getInputStream().read()) >= 0;) {
                text.append((char) b);
            }
        } catch (SocketException e) {
            text.append("<reset>");
        }
        return text.toString();
    }

    /** A server that hangs in the middle of an answer holds neither its client nor a connection. */
    @Test
    void anAnswerThatStopsHalfWayEndsWithItsTime() throws Exception {
        HeldServer server = server();
        start(server.ready("s-1"));
        for (String kind : new String[] {"article", "order"}) {
            Client client = ask(kind);
            Accepted connection = server.accept();
            connection.serve("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha");
            node.pass(Duration.ofSeconds(10));
            assertEquals(kind.equals("article") ? 503 : 502, client.status());
            assertEquals(0, connection.bytesToItsEnd());
        }
    }

    /** Once something of it was passed on the client sees that it is not whole, soon after its time. */
    @Test
    void anAnswerThatHasBegunAndNeverEndsIsBrokenOffOnceItsTimeIsUp() throws Exception {
        HeldServer server = server();
        start(server.ready("s-1"));
        Client client = ask("article");
        Accepted connection = server.accept();
        connection.serve("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
        node.awaitCount(Count.TRANSFERS, 1);
        node.pass(Duration.ofMillis(10_400));
        String got = toTheEnd(client);
        assertTrue(got.startsWith("HTTP/1.1 200") && !got.endsWith("0\r\n\r\n"), got);
        assertEquals(0, connection.bytesToItsEnd());
        assertEquals(1, node.count(Count.TRANSFERS_BROKEN));
    }

    @Test
    void anAnswerThatStillMovesAsItsTimeIsUpComesWhole() throws Exception {
        HeldServer server = server();
        start(server.ready("s-1"));
        Client client = ask("article");
        Accepted connection = server.accept();
        connection.serve("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
        node.awaitCount(Count.TRANSFERS, 1);
        node.holdTime();
        node.pass(Duration.ofSeconds(10));
        connection.write("4\r\nmore\r\n");
        while (!readLine(client).equals("more")) { } // the node has read it
        node.pass(Duration.ofMillis(300));
        connection.write("0\r\n\r\n");
        while (!readLine(client).equals("0")) { }
        assertEquals(0, node.count(Count.TRANSFERS_BROKEN));
    }

    private static String readLine(Client client) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b; (b = client.socket.getInputStream().read()) != '\n';) {
            assertTrue(b >= 0, "ended after " + line);
            line.append((char) b);
        }
        return line.toString().trim();
    }

    /** The end of the stream is no end of chunks, whether or not something was passed on. */
    @Test
    void aChunkedAnswerThatEndsWithItsConnectionIsNotWhole() throws Exception {
        HeldServer server = server();
        start(server.ready("s-1"));
        String half = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
        Client order = ask("order");
        Accepted atOnce = server.accept();
        atOnce.serve(half);
        atOnce.close();
        assertEquals(502, order.status());
        Client begun = ask("order");
        Accepted later = server.accept();
        later.serve(half);
        node.awaitCount(Count.TRANSFERS, 1);
        later.close();
        String got = toTheEnd(begun);
        assertTrue(got.contains("\r\nhalf\r\n") && !got.endsWith("0\r\n\r\n"), got);
    }

    /** A reset in the middle of a large answer is seen by its client, in each framing. */
    @Test
    void aResetUnderALargeAnswerIsSeenByItsClient() throws Exception {
        HeldServer server = server();
        start(server.ready("s-1"));
        String page = "x".repeat(100_000);
        String[] heads = {"Content-Length: 200000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n186a0\r\n"};
        for (int i = 0; i < heads.length; i++) {
            Client client = ask("article");
            Accepted connection = server.accept();
            connection.serve("HTTP/1.1 200 OK\r\n" + heads[i] + page);
            node.awaitCount(Count.TRANSFERS, i + 1);
            connection.reset();
            String got = toTheEnd(client);
            assertTrue(got.startsWith("HTTP/1.1 200") && !got.endsWith("0\r\n\r\n"), "framing " + i);
            assertTrue(got.length() < 120_000, "framing " + i);
        }
    }

    /** The end of the stream ends an answer without length, but none to a request that the server does not have whole. */
    @Test
    void anEndBeforeTheRequestsLastByteIsNoAnswer() throws Exception {
        HeldServer server = server();
        start(server.ready("s-1"));
        node.holdTime();
        Client client = node.ask(request("order", "10000m", 300_000).substring(0, 200_000));
        Accepted connection = server.accept();
        head(connection);
        connection.write("HTTP/1.1 200 OK\r\n\r\nearly");
        connection.socket.shutdownOutput();
        assertEquals(503, client.status(), "it never ran");
    }

    /** Interim answers are none: what ends after them has not been answered. */
    @Test
    void interimAnswersAreFollowedByOneOrByNone() throws Exception {
        HeldServer server = server();
        start(server.ready("s-1"));
        String interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n".repeat(3);
        Client served = ask("order");
        Accepted connection = server.accept();
        connection.serve(interim);
        connection.write(StubSite.ok("order"));
        assertTrue(served.answer().endsWith("order"));
        node.pass(A_WHILE);
        Client lost = ask("order");
        connection.serve(interim);
        connection.close();
        assertEquals(502, lost.status());
        assertEquals(1, node.count(Count.TRIES_RESET));
    }

    /** The attempt is withdrawn and its answer comes in one turn: it is closed first, and the next one's answer counts. */
    @Test
    void aWithdrawnAttemptIsClosedBeforeTheNextBegins() throws Exception {
        HeldServer server = server();
        HeldServer other = server();
        start(server.ready("s-1"));
        Accepted resting = rested(server);
        node.holdTime();
        Client client = ask("article");
        resting.request();
        list(server.ready("s-1"), other.ready("s-2"));
        try (Hold hold = node.holdBeforeTimers()) {
            hold.await();
            node.passLater(Duration.ofMillis(1100));
            resting.write(StubSite.ok("late"));
        }
        Accepted second = other.accept();
        second.request();
        assertEquals(0, resting.bytesToItsEnd(), "it has ended by now");
        second.write(StubSite.ok("second"));
        assertTrue(client.answer().endsWith("second"));
        assertEquals(1, node.count(Count.TRIES_CANCELLED));
    }

    /** The client leaves and its answer comes in one turn: one outcome, and the next request gets its own answer. */
    @Test
    void anAnswerThatCrossesItsClientsLeavingEndsTheTryOnce() throws Exception {
        HeldServer server = server();
        start(server.ready("s-1"));
        Client leaving = ask("article");
        Accepted connection = server.accept();
        connection.request();
        try (Hold hold = node.hold()) {
            hold.await();
            leaving.close();
            connection.write(StubSite.ok("nobody's"));
        }
        while (node.count(Count.TRIES_OK) + node.count(Count.TRIES_CANCELLED) == 0) { }
        node.pass(A_WHILE);
        Client next = ask("article");
        Accepted last = node.count(Count.TRIES_CANCELLED) == 0 ? connection : server.accept();
        last.serve(StubSite.ok("next"));
        assertTrue(next.answer().endsWith("next"));
        assertEquals(2, node.count(Count.TRIES_OK) + node.count(Count.TRIES_CANCELLED));
    }

    /** A server that drains, or is another process by now, gets nothing of what was chosen before. */
    @Test
    void whatWaitsForAConnectionDoesNotGoToAServerThatHasChangedSince() throws Exception {
        HeldServer late = opened(HeldServer.full());
        HeldServer other = server();
        String[] changes = {late.member("s-1", "draining", 0), late.member("s-1", "ready", System.currentTimeMillis()),
            late.member("s-9", "draining", 0)};
        start(late.ready("s-1"));
        node.holdTime();
        for (int i = 0; i < changes.length; i++) {
            Client client = ask("order");
            node.awaitCount(Count.TRIES_SENT, 2 * i + 1);
            list(changes[i], other.ready("s-2"));
            assertEquals(i + 1, node.count(Count.TRIES_MOOT));
            other.accept().serve(StubSite.ok("order"));
            assertTrue(client.answer().endsWith("order"));
            list(late.ready("s-1"));
        }
        late.makeRoom();
        assertFalse(late.isAsked());
    }

    /** A resting connection to a process is of no use for the one that came up at its address. */
    @Test
    void aRestingConnectionIsClosedAsItsServerComesBackCold() throws Exception {
        HeldServer server = server();
        start(server.ready("s-1"));
        Accepted resting = rested(server);
        node.holdTime(); // else it would be closed in the end for its long rest
        list(server.member("s-1", "ready", System.currentTimeMillis()));
        assertEquals(0, resting.bytesToItsEnd());
    }
}
