package routerfleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import routerfleet.demo.Configurations;
import routerfleet.demo.EmulatedServer;
import routerfleet.demo.EmulatedServer.Behaviour;
import routerfleet.demo.LoopbackFleet;
import routerfleet.demo.LoopbackHttp;

/** Requests on connections that clients keep while a data node stops, with the default grace period of 8 s. */
class GracefulShutdownTest {
    private static final int MOST_TRIES = 400;
    /** Behind the time in which any request is accepted, and before idle connections are closed. */
    private static final int LATE_MS = 2_900;
    private static final long MOST_WAIT_S = 20;

    @TempDir
    private Path folder;
    private LoopbackFleet fleet;
    private EmulatedServer llm;
    private EmulatedServer web;
    private Socket socket;
    private InputStream in;
    private CompletableFuture<Void> stopped;

    @BeforeEach
    void start() throws IOException {
        fleet = new LoopbackFleet(folder, 3);
        web = new EmulatedServer("web-1", "web", fleet.seeds(), 0);
        llm = new EmulatedServer("llm-1", "llm", fleet.seeds(), arrival -> new EmulatedServer.Pace(0,
                arrival.path().endsWith("long") ? 60 : 10, 100, 0));
        String configuration = Configurations.whole(1).replace("\"timeout_ms\":4000", "\"timeout_ms\":20000");
        assertThat(fleet.order("replace", 0, configuration), is(200));
        fleet.startData(true);
        socket = new Socket(fleet.frontend(0).host(), fleet.frontend(0).port());
        in = new BufferedInputStream(socket.getInputStream());
        awaitServed("/pages/");
        awaitServed("/drafts/short");
    }

    @AfterEach
    void end() throws IOException {
        web.behave(Behaviour.SERVE);
        socket.close();
        web.close();
        llm.close();
        fleet.close();
    }

    private void awaitServed(String path) throws IOException {
        int status = 0;
        for (int i = 0; status != 200; i++) {
            assertThat("a server is known", i < MOST_TRIES);
            send("warm-" + path + i, path, 4_000);
            status = LoopbackHttp.read(in).status();
        }
    }

    private void send(String id, String path, long deadlineMs) throws IOException {
        socket.getOutputStream().write(request(id, path, deadlineMs));
    }

    private static byte[] request(String id, String path, long deadlineMs) {
        StringBuilder head = new StringBuilder("POST " + path + " HTTP/1.1\r\n");
        Map.of("Host", "fleet.example", "Api-Key", "k1", "Rowanplank-Attempt-Id", id, "Rowanplank-Deadline-Ms",
                Long.toString(deadlineMs), "Content-Length", "0")
                .forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        return head.append("\r\n").toString().getBytes(StandardCharsets.US_ASCII);
    }

    private void stopNode() {
        stopped = CompletableFuture.runAsync(() -> fleet.stopData(0));
    }

    private void awaitArrival(EmulatedServer server, String id) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(MOST_WAIT_S);
        while (!arrived(server, id) && System.nanoTime() - endNanos < 0) {
            Thread.sleep(1);
        }
    }

    private static boolean arrived(EmulatedServer server, String id) {
        return server.arrivals().stream().anyMatch(a -> id.equals(a.headers().get("rowanplank-attempt-id")));
    }

    @Test
    void aRequestThatMayOutliveTheStoppingNodeIsRefusedWithATimeToComeBack() throws Exception {
        stopNode();
        Thread.sleep(LATE_MS);
        send("late", "/briefs/long", 6_000);
        LoopbackHttp.Answer answer = LoopbackHttp.read(in);
        assertThat(answer.status(), is(503));
        assertThat(answer.header("Retry-After"), is(notNullValue()));
        assertThat(arrived(llm, "late"), is(false));
        stopped.get(MOST_WAIT_S, TimeUnit.SECONDS);
    }

    @Test
    void aRequestThatEndsBeforeTheStoppingNodeIsServed() throws Exception {
        stopNode();
        Thread.sleep(LATE_MS);
        send("late", "/briefs/short", 3_000);
        LoopbackHttp.Answer answer = LoopbackHttp.read(in);
        assertThat(answer.status(), is(200));
        assertThat(answer.whole(), is(true));
        stopped.get(MOST_WAIT_S, TimeUnit.SECONDS);
    }

    @Test
    void requestsSentAheadAreAnsweredWhenTheNodeStops() throws Exception {
        send("first", "/drafts/short", 4_000);
        awaitArrival(llm, "first");
        send("second", "/pages/", 4_000);
        stopNode();
        Thread.sleep(300); // the third comes when the node is known to stop
        send("third", "/drafts/short", 4_000);
        for (String id : new String[] {"first", "second", "third"}) {
            LoopbackHttp.Answer answer = LoopbackHttp.read(in);
            assertThat(id, answer.whole(), is(true));
            assertThat(id, answer.status(), is(200));
        }
        stopped.get(MOST_WAIT_S, TimeUnit.SECONDS);
    }

    @Test
    void aRequestThatHasArrivedInPartBeforeTheLastResponseIsAnswered() throws Exception {
        web.behave(Behaviour.HOLD);
        send("first", "/pages/", 4_000);
        awaitArrival(web, "first");
        stopNode();
        byte[] second = request("second", "/pages/", 4_000);
        socket.getOutputStream().write(second, 0, second.length / 2);
        Thread.sleep(300); // the part has been read when the first response comes
        web.behave(Behaviour.SERVE);
        assertThat(LoopbackHttp.read(in).status(), is(200));
        socket.getOutputStream().write(second, second.length / 2, second.length - second.length / 2);
        assertThat(LoopbackHttp.read(in).status(), is(200));
        stopped.get(MOST_WAIT_S, TimeUnit.SECONDS);
    }

    @Test
    void aRequestThatOutlivesTheNodeGetsAResponseBeforeItsEnd() throws Exception {
        web.behave(Behaviour.HOLD);
        send("held", "/pages/", 20_000);
        awaitArrival(web, "held");
        stopNode();
        LoopbackHttp.Answer answer = LoopbackHttp.read(in);
        assertThat(answer.status(), is(502));
        assertThat(answer.whole(), is(true));
        stopped.get(MOST_WAIT_S, TimeUnit.SECONDS);
    }

    @Test
    void anIdleConnectionIsClosedAndTheNodeStopsBeforeTheGracePeriodIsOver() throws Exception {
        stopNode();
        assertThat(in.read(), is(-1));
        stopped.get(MOST_WAIT_S, TimeUnit.SECONDS);
        assertThat(llm.runs().stream().filter(run -> run.end() != EmulatedServer.RunEnd.WHOLE).toList(), is(empty()));
    }
}
