package routerfleet.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import routerfleet.demo.LoopbackHttp;

/**
 * Requests on a kept connection that arrive while the process of a stopping data node does not run, as on a machine that
 * has no processor time for it: the response before them and they are found at the same time.
 */
class UnreadRequestTest {
    private static final int CONTROL_NODES = 3;
    private static final long HEARTBEAT_MS = 300;
    private static final long GRACE_MS = 8_000;
    private static final int MAX_TRIES = 400;
    private static final long SERVER_MS = 700;

    @TempDir
    private Path folder;
    private ProcessFleet fleet;
    private FleetProcess node;
    private Socket socket;
    private InputStream in;

    @BeforeEach
    void start() throws Exception {
        fleet = new ProcessFleet(new ProcessFleet.Options(CONTROL_NODES, 1, 1, 1, HEARTBEAT_MS, GRACE_MS, "",
                DeployCommands.ofClassPath()), folder);
        node = fleet.dataNodes().get(0);
        fleet.start(1);
        socket = new Socket(node.address().host(), node.address().port());
        in = new BufferedInputStream(socket.getInputStream());
        for (int i = 0, status = 0; status != 200; i++) {
            assertThat("a server is known", i < MAX_TRIES);
            send("warm-" + i, "/notes/", 0, 0);
            status = LoopbackHttp.read(in).status();
        }
    }

    @AfterEach
    void end() throws IOException {
        socket.close();
        fleet.close();
    }

    private void send(String id, String path, long silenceMs, int events) throws IOException {
        socket.getOutputStream().write(("POST " + path + "?silence=" + silenceMs + "&events=" + events
                + "&gap=0&stall=0&numbering=0&refuse=0&cut=-1&unframed=0 HTTP/1.1\r\nHost: fleet.example\r\nApi-Key: k1\r\n"
                + "Rowanplank-Attempt-Id: " + id + "\r\nRowanplank-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
    }

    /** The first request is answered, and the second one arrives, while the node is suspended. */
    private void assertBothAreAnswered(String path, int events) throws Exception {
        send("first", path, SERVER_MS, events);
        Thread.sleep(SERVER_MS / 3);
        node.terminate();
        Thread.sleep(SERVER_MS / 3);
        node.suspend();
        Thread.sleep(SERVER_MS);
        send("second", "/notes/", 0, 0);
        Thread.sleep(SERVER_MS / 3);
        node.resume();
        for (String id : new String[] {"first", "second"}) {
            LoopbackHttp.Answer answer = LoopbackHttp.read(in);
            assertThat(id, answer.whole(), is(true));
            assertThat(id, answer.status(), is(200));
        }
    }

    @Test
    void aRequestThatArrivesBeforeTheLastResponseIsWrittenIsAnswered() throws Exception {
        assertBothAreAnswered("/notes/", 0);
    }

    @Test
    void aRequestThatArrivesBeforeTheEndOfAStreamIsAnswered() throws Exception {
        assertBothAreAnswered("/briefs/", 3);
    }

    @Test
    void aRequestThatArrivesBehindAStreamOfAStoppingNodeIsAnswered() throws Exception {
        send("first", "/briefs/", SERVER_MS, 3);
        Thread.sleep(SERVER_MS / 2);
        node.terminate();
        assertThat(LoopbackHttp.read(in).whole(), is(true));
        send("second", "/notes/", 0, 0);
        LoopbackHttp.Answer answer = LoopbackHttp.read(in);
        assertThat(answer.status(), is(200));
        assertThat("no further request is awaited", answer.header("Connection"), is("close"));
        assertThat(in.read(), is(-1));
    }
}
