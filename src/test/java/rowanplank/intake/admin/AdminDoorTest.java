package rowanplank.intake.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rowanplank.lifecycle.Lifecycle;
import rowanplank.lifecycle.LifecycleTest;
import rowanplank.net.SelectorLoop;
import rowanplank.net.SystemClock;

/** The operators' door on real sockets. */
@Timeout(60)
class AdminDoorTest implements AdminDoor.Open {
    private final List<Throwable> reports = new ArrayList<>();
    private final SelectorLoop loop = new SelectorLoop(new SystemClock(), reports::add);
    private final Lifecycle lifecycle = LifecycleTest.serving();
    private final List<Socket> opened = new ArrayList<>();
    private InetSocketAddress address;

    @BeforeEach
    void open() throws Exception {
        loop.start();
        address = loop.call(() -> new AdminDoor("n1", loop, lifecycle, this, null)
                .start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
    }

    @AfterEach
    void close() throws Exception {
        for (Socket s : opened) {
            s.close();
        }
        loop.stop();
        assertEquals(List.of(), reports);
    }

    @Override
    public int connections() {
        return 7;
    }

    @Override
    public int requests() {
        return 2;
    }

    @Override
    public int tries() {
        return 1;
    }

    private Socket connect(String sent) throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        opened.add(socket);
        socket.getOutputStream().write(sent.getBytes(StandardCharsets.ISO_8859_1));
        return socket;
    }

    private String call(String sent) throws IOException {
        return new String(connect(sent).getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    private static String head(String method, String path) {
        return method + " " + path + " HTTP/1.1\r\nHost: operator\r\n";
    }

    private void says(String expected, String call) throws IOException {
        String answer = call(call);
        assertTrue(answer.startsWith("HTTP/1.1 " + expected), call + answer);
        assertTrue(answer.contains("\r\nConnection: close\r\n"), answer);
    }

    @Test
    void itTellsAndIsToldTheState() throws Exception {
        says("200 ", head("GET", "/api/ready") + "\r\n");
        String drained = call(head("POST", "/api/evacuate") + "Content-Length: 0\r\n\r\n");
        assertTrue(drained.startsWith("HTTP/1.1 200 ") && drained.contains("{\"state\":\"draining\",\"up\":false"), drained);
        assertTrue(drained.contains("\"connections\":7,\"requests\":2,\"tries\":1"), drained);
        says("200 ", head("POST", "/api/evacuate") + "\r\n");
        says("503 ", head("GET", "/api/ready") + "\r\n");
        says("200 ", head("POST", "/api/rejoin") + "Content-Length: 4\r\n\r\nnow!");
        says("200 ", head("POST", "/api/rejoin") + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
        says("200 ", head("GET", "/api/ready?verbose=1") + "\r\n");
    }

    @Test
    void whatIsNoCallIsToldSo() throws Exception {
        says("404 ", head("GET", "/api/stop") + "\r\n");
        says("405 ", head("GET", "/api/evacuate") + "\r\n");
        assertTrue(call(head("DELETE", "/api/ready") + "\r\n").contains("\r\nAllow: GET\r\n"));
        says("400 ", "what is your state?\r\n\r\n");
        says("413 ", head("POST", "/api/evacuate") + "Content-Length: 70000\r\n\r\n");
        says("431 ", head("GET", "/api/ready") + "X: " + "x".repeat(9000) + "\r\n\r\n");
        says("200 ", head("GET", "/api/ready") + "\r\n");
    }

    /** Hundreds who say nothing, or half of something, hold their connections; whoever calls is answered. */
    @Test
    void silentCallersKeepNobodyOut() throws Exception {
        for (int i = 0; i < 300; i++) {
            connect(i % 2 == 0 ? "" : "GET /api/re");
            if (i % 20 == 0) {
                says("200 ", head("GET", "/api/ready") + "\r\n");
            }
        }
        says("200 ", head("GET", "/api/ready") + "\r\n");
    }

    /** A call that came in pieces while others crowded in is whole in the end, or ends: it never stays. */
    @Test
    void aCallInPiecesIsAnswered() throws Exception {
        Socket slow = connect("");
        for (char c : (head("GET", "/api/ready") + "\r\n").toCharArray()) {
            slow.getOutputStream().write(c);
            slow.getOutputStream().flush();
        }
        String answer = new String(slow.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
    }
}
