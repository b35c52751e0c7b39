package rowanplank.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Bodies far larger than the node may hold, in both directions and all forms, through a node with a heap of 24 MB. */
@Timeout(value = 90, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class LargeBodiesTest {
    private static final int LARGE = 6_000_000;
    private static final int AT_ONCE = 12;
    private static final String SETTINGS = """
            {"balancers": 1, "position": 0, "zone": 0, "zones": ["a"], "membership_mode": "push", "classes": [
              {"name": "article", "aim_ms": 8000, "deadline_ms": 20000, "effect": "repeatable"},
              {"name": "order", "aim_ms": 8000, "deadline_ms": 20000, "effect": "once"}],
             "ceilings": {"most_tries": 6, "may_cancel": true, "conn_idle_ms": 30000, "connect_timeout_ms": 250,
               "retry_after": true, "max_retry_after_ms": 2000}}""";

    @TempDir
    Path folder;
    private final StubSite site = site();
    private final List<AutoCloseable> opened = new ArrayList<>();
    private final ExecutorService clients = Executors.newCachedThreadPool();
    private RunningNode node;
    private int port;
    private int adminPort;

    private static StubSite site() {
        try {
            return new StubSite();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** What a page server does with one connection. */
    private interface Script {
        void serve(String head, InputStream in, OutputStream out) throws Exception;
    }

    /** A page server on streams: hands each request's head to its script, and ends the connection after it. */
    private final class Raw implements AutoCloseable {
        final BlockingQueue<String> heads = new LinkedBlockingQueue<>();
        private final ServerSocket listener = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());

        Raw(Script script) throws IOException {
            clients.execute(() -> {
                try {
                    while (true) {
                        Socket socket = listener.accept();
                        clients.execute(() -> serve(socket, script));
                    }
                } catch (IOException e) {
                    // closed
                }
            });
        }

        private void serve(Socket socket, Script script) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                String head = head(in);
                heads.add(head);
                script.serve(head, in, socket.getOutputStream());
            } catch (Exception e) {
                // the node has closed it
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    @BeforeEach
    void open() {
        opened.add(site);
    }

    @AfterEach
    void stop() throws Exception {
        if (node != null) {
            node.close();
        }
        for (AutoCloseable o : opened) {
            o.close();
        }
        clients.shutdownNow();
    }

    private Raw start(Script script) throws Exception {
        Raw peer = new Raw(script);
        opened.add(peer);
        site.list("{\"id\":\"s-1\",\"host_port\":\"127.0.0.1:" + peer.listener.getLocalPort()
                + "\",\"locality\":\"a\",\"cell\":0,\"phase\":\"ready\",\"size\":1.0,\"up_since_ms\":0}");
        Path config = Files.writeString(folder.resolve("config.json"), "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\","
                + "\"discovery\":\"" + site.address() + "\",\"limits\":{\"sockets\":512},\"settings\":" + SETTINGS + "}");
        node = new RunningNode(RunningNode.serve("-Xmx24m", "-XX:MaxDirectMemorySize=8m", "-XX:+ExitOnOutOfMemoryError"),
                Map.of("EDGE_CONFIG", config.toString(), "EDGE_ADMIN_ADDR", "127.0.0.1:0"));
        adminPort = node.number(RunningNode.DOOR);
        port = node.number(RunningNode.LISTENS);
        while (!head(connect("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").getInputStream()).startsWith("HTTP/1.1 200")) {
            Thread.sleep(5);
        }
        return peer;
    }

    private Socket connect(String sent) throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        opened.add(socket);
        socket.getOutputStream().write(sent.getBytes(StandardCharsets.ISO_8859_1));
        return socket;
    }

    private static String get(int number, String version) {
        return "GET /article/" + number + " HTTP/" + version + "\r\nHost: x\r\nX-Request-ID: r" + number + "\r\n\r\n";
    }

    private static String head(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                throw new IOException("ended after " + text);
            }
            text.append((char) b);
        }
        return text.toString();
    }

    private static byte at(int number, int place) {
        return (byte) (place * 31 + place / 251 + number);
    }

    private static byte[] page(int number, int from, int to) {
        byte[] bytes = new byte[to - from];
        for (int i = from; i < to; i++) {
            bytes[i - from] = at(number, i);
        }
        return bytes;
    }

    /** Reads a body with length, chunked or until the end, whichever the head says, and holds each byte against the page. */
    private static int check(int number, String head, InputStream in, Pause pause) throws Exception {
        String lower = head.toLowerCase();
        boolean chunked = lower.contains("transfer-encoding: chunked");
        int length = lower.contains("content-length: ")
                ? Integer.parseInt(lower.replaceAll("(?s).*content-length: (\\d+).*", "$1")) : Integer.MAX_VALUE;
        int place = 0;
        while (place < length) {
            int piece = chunked ? Integer.parseInt(line(in), 16) : Math.min(10_000, length - place);
            byte[] bytes = in.readNBytes(piece);
            for (byte b : bytes) {
                assertEquals(at(number, place), b);
                place++;
            }
            if (chunked) {
                line(in);
            }
            if (bytes.length < piece || piece == 0) {
                return place;
            }
            pause.after(place);
        }
        return place;
    }

    private interface Pause {
        void after(int bytes) throws Exception;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int b; (b = in.read()) >= 0 && b != '\n';) {
            text.append((char) b);
        }
        return text.toString().trim();
    }

    private static int number(String head) {
        return Integer.parseInt(head.replaceAll("(?s)^\\w+ /\\w+/(\\d+).*", "$1"));
    }

    private static void answer(String head, OutputStream out) throws IOException {
        int number = number(head);
        String form = switch (number % 3) {
            case 0 -> "Content-Length: " + LARGE;
            case 1 -> "Transfer-Encoding: chunked";
            default -> "Connection: close";
        };
        out.write(("HTTP/1.1 200 OK\r\n" + form + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        for (int place = 0; place < LARGE; place += 50_000) {
            if (number % 3 == 1) {
                out.write("C350;part=1\r\n".getBytes(StandardCharsets.ISO_8859_1));
            }
            out.write(page(number, place, place + 50_000));
            if (number % 3 == 1) {
                out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            }
        }
        if (number % 3 == 1) {
            out.write("0\r\nDigest: none\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    /** Together they are three times the heap, in all three forms, for readers of both versions, one of which dawdles. */
    @Test
    void largeAnswersPassWholeToReadersOfAnyPace() throws Exception {
        start((head, in, out) -> answer(head, out));
        List<Future<Integer>> read = new ArrayList<>();
        CountDownLatch others = new CountDownLatch(AT_ONCE - 1);
        for (int i = 0; i < AT_ONCE; i++) {
            int number = i;
            read.add(clients.submit(() -> {
                Socket client = connect(get(number, number % 2 == 0 ? "1.1" : "1.0"));
                InputStream in = new BufferedInputStream(client.getInputStream());
                String head = head(in);
                assertTrue(head.startsWith("HTTP/1.1 200"), head);
                assertFalse(number % 2 == 1 && head.contains("chunked"), "version 1.0 knows no chunks");
                int got = check(number, head, in, place -> {
                    if (number == 0 && place == 20_000) {
                        others.await(); // it reads on once all others have got theirs
                    }
                });
                others.countDown();
                return got;
            }));
        }
        for (Future<Integer> f : read) {
            assertEquals(LARGE, f.get(80, TimeUnit.SECONDS));
        }
        assertTrue(node.process.isAlive());
    }

    /** The same the other way, with a length or chunked; the server's answer comes after the last byte. */
    @Test
    void largeBodiesPassWholeToTheServer() throws Exception {
        start((head, in, out) -> {
            int got = check(number(head), head, in, place -> { });
            out.write(("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n" + got).getBytes(StandardCharsets.ISO_8859_1));
        });
        List<Future<String>> asked = new ArrayList<>();
        for (int i = 0; i < AT_ONCE; i++) {
            int number = i;
            asked.add(clients.submit(() -> {
                boolean chunked = number % 2 == 1;
                Socket client = connect("POST /order/" + number + " HTTP/1.1\r\nHost: x\r\nX-Request-ID: r" + number
                        + "\r\n" + (chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + LARGE) + "\r\n\r\n");
                OutputStream out = client.getOutputStream();
                for (int place = 0; place < LARGE; place += 50_000) {
                    out.write(((chunked ? "c350\r\n" : "")).getBytes(StandardCharsets.ISO_8859_1));
                    out.write(page(number, place, place + 50_000));
                    out.write(((chunked ? "\r\n" : "")).getBytes(StandardCharsets.ISO_8859_1));
                }
                out.write(((chunked ? "0\r\n\r\n" : "")).getBytes(StandardCharsets.ISO_8859_1));
                return StubSite.readMessage(client.getInputStream());
            }));
        }
        for (Future<String> f : asked) {
            String answer = f.get(80, TimeUnit.SECONDS);
            assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith("\r\n\r\n" + LARGE), answer);
        }
        assertTrue(node.process.isAlive());
    }

    /** Nothing is held back for the end, and once something has gone on there is no second try. */
    @Test
    void whatHasComeGoesOnAndWhatBreaksThenIsSeenToBeBroken() throws Exception {
        CountDownLatch seen = new CountDownLatch(1);
        Raw peer = start((head, in, out) -> {
            out.write("HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.write(page(3, 0, 100_000));
            seen.await();
            out.write(page(3, 100_000, 200_000));
        });
        Socket client = connect(get(3, "1.1"));
        InputStream in = new BufferedInputStream(client.getInputStream());
        String head = head(in);
        assertTrue(head.contains("Content-Length: 300000"), head);
        int got = check(3, head, in, place -> {
            if (place == 100_000) {
                seen.countDown();
            }
        });
        assertTrue(got >= 100_000 && got <= 200_000, got + " bytes");
        assertEquals(1, peer.heads.size());
    }

    /**
     * Guards what is taken through a drain: an answer that began before it, and is read slowly, comes whole, and then its
     * connection ends; half a request that was begun before it is served when the rest comes.
     */
    @Test
    void aDrainCutsNeitherALargeAnswerNorHalfARequest() throws Exception {
        start((head, in, out) -> answer(head, out));
        Socket client = connect(get(0, "1.1"));
        InputStream in = new BufferedInputStream(client.getInputStream());
        String head = head(in);
        assertFalse(head.contains("Connection: close"), head);
        List<Socket> half = new ArrayList<>();
        int got = check(0, head, in, place -> {
            if (place == 20_000) {
                half.add(connect("GET /article/3 HTTP/1.1\r\nHost: x\r\nX-Requ"));
                admin("POST", "/api/evacuate");
                half.get(0).getOutputStream().write("est-ID: r3\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                while (!admin("GET", "/api/ready").contains("\"connections\":2,")) {
                    Thread.sleep(20); // those at rest, as the asker of /up, are let go
                }
            }
        });
        assertEquals(LARGE, got);
        assertEquals(-1, in.read(), "its connection ends with it");
        InputStream late = new BufferedInputStream(half.get(0).getInputStream());
        String second = head(late);
        assertTrue(second.startsWith("HTTP/1.1 200") && second.contains("Connection: close"), second);
        assertEquals(LARGE, check(3, second, late, place -> { }));
    }

    private String admin(String method, String path) throws IOException {
        return StubSite.ask(adminPort, method + " " + path + " HTTP/1.1\r\nHost: o\r\n\r\n");
    }

    /** A server may answer before the body's end; the client gets that answer, and it is the last there. */
    @Test
    void anEarlyAnswerEndsAnUpload() throws Exception {
        start((head, in, out) -> {
            in.readNBytes(100_000);
            out.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly".getBytes(StandardCharsets.ISO_8859_1));
            in.transferTo(OutputStream.nullOutputStream());
        });
        Socket client = connect("POST /order/1 HTTP/1.1\r\nHost: x\r\nX-Request-ID: r1\r\nContent-Length: 500000\r\n\r\n");
        client.getOutputStream().write(page(1, 0, 200_000));
        String answer = StubSite.readMessage(client.getInputStream());
        assertTrue(answer.endsWith("early") && answer.contains("Connection: close"), answer);
    }

    /** A client that leaves in the middle takes its request with it: the server sees that it is not whole. */
    @Test
    void aClientThatLeavesInTheMiddleEndsTheTry() throws Exception {
        BlockingQueue<Integer> ends = new LinkedBlockingQueue<>();
        Raw peer = start((head, in, out) -> {
            byte[] got = in.readNBytes(500_000);
            ends.add(got.length);
        });
        Socket client = connect("POST /order/1 HTTP/1.1\r\nHost: x\r\nX-Request-ID: r1\r\nContent-Length: 500000\r\n\r\n");
        client.getOutputStream().write(page(1, 0, 200_000));
        assertNotNull(peer.heads.poll(60, TimeUnit.SECONDS)); // for one that has left before, nothing is sent
        client.close();
        Integer got = ends.poll(60, TimeUnit.SECONDS);
        assertNotNull(got);
        assertTrue(got <= 200_000, got + " bytes");
    }

    /** The forms that a small message may have, each served as what it says. */
    @Test
    void allFormsOfSmallMessagesAreServed() throws Exception {
        Raw peer = start((head, in, out) -> {
            String body = head.startsWith("HEAD ") ? "" : "page";
            String form = number(head) == 1 ? "\r\n\r\n4\r\npage\r\n0\r\n\r\n" : "\r\n\r\n" + body;
            String length = number(head) == 1 ? "Transfer-Encoding: chunked" : number(head) == 2 ? "Connection: close"
                    : "Content-Length: 4";
            out.write(("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + length + form)
                    .getBytes(StandardCharsets.ISO_8859_1));
        });
        for (int i = 1; i <= 3; i++) {
            assertTrue(StubSite.readMessage(connect(get(i, "1.1")).getInputStream()).endsWith("\r\n\r\npage"), "form " + i);
        }
        String old = new String(connect(get(4, "1.0")).getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        assertTrue(old.endsWith("\r\n\r\npage") && old.contains("Connection: close"), old);
        String absolute = get(5, "1.1").replace("/article", "http://service.internal/article");
        assertTrue(StubSite.readMessage(connect(absolute).getInputStream()).endsWith("page"));
        Socket client = connect(get(6, "1.1").replace("GET", "HEAD"));
        String head = head(client.getInputStream());
        assertTrue(head.contains("Content-Length: 4"), head);
        client.getOutputStream().write("OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        assertTrue(head(client.getInputStream()).startsWith("HTTP/1.1 200"), "nothing has come behind the head");
        Socket waits = connect("POST /order/7 HTTP/1.1\r\nHost: x\r\nX-Request-ID: r7\r\nExpect: 100-continue\r\n"
                + "Content-Length: 2\r\n\r\n");
        assertEquals("HTTP/1.1 100 Continue\r\n\r\n", head(waits.getInputStream()));
        waits.getOutputStream().write(new byte[] {'o', 'k'});
        assertTrue(StubSite.readMessage(waits.getInputStream()).endsWith("page"));
        assertEquals(7, peer.heads.size());
    }
}
