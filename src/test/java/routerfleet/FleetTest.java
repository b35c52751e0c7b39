package routerfleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasKey;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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

/** Requests through a whole fleet on loopback sockets: three control nodes, data nodes, emulated servers. */
class FleetTest {
    private static final int EVENTS = 5;
    private static final int MOST_TRIES = 400;
    private static final int MOST_WAIT_S = 20;

    @TempDir
    private Path folder;
    private LoopbackFleet fleet;
    private EmulatedServer web;
    private int lastId;

    @BeforeEach
    void start() throws IOException {
        fleet = new LoopbackFleet(folder, 3);
        web = new EmulatedServer("web-1", "web", fleet.seeds(), 0);
        assertThat(fleet.order("replace", 0, Configurations.whole(1)), is(200));
        fleet.startData(true);
    }

    @AfterEach
    void end() throws IOException {
        web.close();
        fleet.close();
    }

    private LoopbackHttp.Answer get(int node, String path, String key, String... headers) throws IOException {
        Map<String, String> all = new LinkedHashMap<>();
        all.put("Host", "fleet.example");
        all.put("Rowanplank-Attempt-Id", "a" + ++lastId);
        all.put("Rowanplank-Deadline-Ms", "3000");
        if (key != null) {
            all.put("Api-Key", key);
        }
        for (int i = 0; i < headers.length; i += 2) {
            all.put(headers[i], headers[i + 1]);
        }
        return LoopbackHttp.call(fleet.frontend(node), "POST", path, all, "question".getBytes(StandardCharsets.UTF_8));
    }

    /** Asks again while it is refused, as a client does: a server may still be on its way into the tables. */
    private LoopbackHttp.Answer served(int node, String path) throws IOException {
        LoopbackHttp.Answer answer = get(node, path, "k1");
        for (int i = 0; answer.status() == 503 && i < MOST_TRIES; i++) {
            answer = get(node, path, "k1");
        }
        return answer;
    }

    @Test
    void bringsARequestToItsServerAndTheAnswerBackUnchanged() throws IOException {
        LoopbackHttp.Answer answer = served(0, "/pages/7?x=1");
        assertThat(answer.status(), is(200));
        assertThat(answer.body(), is("served by web-1"));
        assertThat(answer.header("Rowanplank-Server-Signature"), is("web-1.1"));
        EmulatedServer.Arrival arrival = web.arrivals().get(0);
        assertThat(arrival.path(), is("/pages/7?x=1"));
        assertThat(arrival.body(), is("question"));
        assertThat(arrival.headers().get("rowanplank-tenant"), is("one"));
        assertThat(arrival.headers().get("rowanplank-expect-instance"), is("web-1"));
        assertThat(arrival.headers(), not(hasKey("api-key")));
    }

    @Test
    void passesOnTheTenantOfTheKeyAndNotWhatTheClientSays() throws IOException {
        served(0, "/pages/");
        get(0, "/pages/", "k2", "Rowanplank-Tenant", "two");
        List<EmulatedServer.Arrival> arrivals = web.arrivals();
        assertThat(arrivals.get(arrivals.size() - 1).headers().get("rowanplank-tenant"), is("one"));
    }

    @Test
    void refusesUnknownKeysAndRoutes() throws IOException {
        assertThat(get(0, "/pages/", "wrong").status(), is(401));
        assertThat(get(0, "/pages/", null).status(), is(401));
        assertThat(get(0, "/elsewhere/", "k1").status(), is(404));
        assertThat(web.arrivals(), is(empty()));
    }

    @Test
    void aRemovedKeyIsRefusedAtEveryNodeOnceThatIsAcknowledged() throws IOException {
        fleet.startData(true);
        served(0, "/pages/");
        String patch = "{\"generation\":2,\"upsert\":{\"tenants\":[{\"name\":\"one\",\"api_keys\":[\"k1\"]}]}}";
        assertThat(fleet.order("patch", 1, patch), is(200));
        for (int node = 0; node < 2; node++) {
            LoopbackHttp.Answer answer = get(node, "/pages/", "k2");
            // 503 is the right answer of a node that can't be sure of its keys, as on a machine without time for it
            for (int i = 0; (answer.status() == 200 || answer.status() == 503) && i < MOST_TRIES; i++) {
                answer = get(node, "/pages/", "k2");
            }
            assertThat(answer.status(), is(401));
            assertThat(served(node, "/pages/").status(), is(200));
        }
    }

    @Test
    void aRequestThatWasNotRunIsRefusedWithATimeToComeBack() throws IOException {
        served(0, "/pages/");
        web.behave(Behaviour.SHED);
        LoopbackHttp.Answer answer = get(0, "/pages/", "k1");
        assertThat(answer.status(), is(503));
        assertThat(answer.header("Retry-After"), is(notNullValue()));
        assertThat(answer.header("Rowanplank-Server-Signature"), is(nullValue()));
    }

    // A 421 for a version of the weights was taken for the end of the server, which got no request of any client again.
    @Test
    void aRequestForAVersionThatNoServerHasTakesNoServerOutOfService() throws IOException {
        assertThat(served(0, "/pages/a").status(), is(200));
        assertThat(get(0, "/pages/a", "k1", "Expect-Version", "7").status(), is(503));
        assertThat(get(0, "/pages/a", "k1").status(), is(200));
        assertThat(get(0, "/pages/a", "k1", "Expect-Version", "1").status(), is(200));
    }

    @Test
    void anUnsafeRequestThatMayHaveRunIsNeitherRepeatedNorRefused() throws IOException {
        served(0, "/pages/");
        web.behave(Behaviour.HANG_UP);
        int before = web.arrivals().size();
        assertThat(get(0, "/pages/", "k1").status(), is(502));
        assertThat(web.arrivals(), hasSize(before + 1));
    }

    @Test
    void aStreamThatMayBeResumedGoesOnAtAnotherServerWithinOneAnswer() throws IOException {
        try (EmulatedServer cutting = new EmulatedServer("llm-1", "llm", fleet.seeds(), EVENTS)) {
            cutting.behave(Behaviour.CUT);
            LoopbackHttp.Answer cut = served(0, "/drafts/");
            assertThat("an answer that was broken off does not look whole", cut.whole(), is(false));
            try (EmulatedServer other = new EmulatedServer("llm-2", "llm", fleet.seeds(), EVENTS)) {
                LoopbackHttp.Answer answer = served(0, "/briefs/");
                for (int i = 0; !answer.whole() && i < MOST_TRIES; i++) {
                    answer = served(0, "/briefs/");
                }
                assertThat(answer.status(), is(200));
                StringBuilder expected = new StringBuilder();
                for (int i = 0; i < EVENTS; i++) {
                    expected.append("id: ").append(i).append("\ndata: piece ").append(i).append("\n\n");
                }
                assertThat(answer.body(), is(expected.toString()));
                assertThat(other.arrivals().size(), is(greaterThan(0)));
            }
        }
    }

    /** Guards requests that may run once: what a client had sent ahead is not run for it once it has left. */
    @Test
    void whatAClientSentAheadIsNotRunOnceItHasLeft() throws IOException {
        served(0, "/pages/");
        web.behave(Behaviour.HOLD);
        int before = web.arrivals().size();
        try (Socket client = new Socket(fleet.frontend(0).host(), fleet.frontend(0).port())) {
            String one = "POST /pages/ HTTP/1.1\r\nHost: fleet.example\r\nApi-Key: k1\r\nContent-Length: 0\r\n"
                    + "Rowanplank-Attempt-Id: ahead-";
            client.getOutputStream().write((one + "1\r\n\r\n" + one + "2\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(MOST_WAIT_S);
            while (web.arrivals().size() == before && System.nanoTime() - end < 0) {
                Thread.onSpinWait();
            }
        }
        served(0, "/nowhere/"); // by then the node has seen that the client has left
        web.behave(Behaviour.SERVE);
        served(0, "/pages/");
        assertThat(web.arrivals().stream().map(a -> a.headers().get("rowanplank-attempt-id")).toList(),
                hasItem("ahead-1"));
        assertThat(web.arrivals().stream().map(a -> a.headers().get("rowanplank-attempt-id")).toList(),
                not(hasItem("ahead-2")));
    }

    @Test
    void aServerThatDrainsGetsNothingMoreOnceThatIsAcknowledged() throws IOException {
        try (EmulatedServer other = new EmulatedServer("web-2", "web", fleet.seeds(), 0)) {
            for (int i = 0; other.arrivals().isEmpty() && i < MOST_TRIES; i++) {
                served(0, "/pages/");
            }
            assertThat(web.drain(), is(true));
            String last = "";
            for (int i = 0; i < MOST_TRIES && !last.equals("settled"); i++) {
                int before = web.arrivals().size();
                for (int j = 0; j < 20; j++) {
                    assertThat(served(0, "/pages/").status(), is(200));
                }
                last = web.arrivals().size() == before ? "settled" : "";
            }
            assertThat(last, is("settled"));
        }
    }

    /** Calls again while there is no clear answer, as operators do. */
    private void evacuation(int controlNode, String path) throws IOException {
        LoopbackHttp.Answer answer = callEvacuation(controlNode, path);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(MOST_WAIT_S);
        while (answer.status() == 503 && System.nanoTime() - end < 0) {
            answer = callEvacuation(controlNode, path);
        }
        assertThat(answer.body(), answer.status(), is(200));
    }

    private LoopbackHttp.Answer callEvacuation(int controlNode, String path) throws IOException {
        return LoopbackHttp.call(fleet.controlAddress(controlNode), "POST", "/rowanplank/evacuations/" + path, Map.of(),
                new byte[0]);
    }

    /** Guards EVAC: at no data node, not even one that starts afterwards, is anything sent into an evacuated zone. */
    @Test
    void anEvacuatedZoneGetsNothingMoreUntilItsEvacuationEnds() throws IOException {
        served(0, "/pages/");
        evacuation(2, "a/start");
        LoopbackHttp.Answer refused = get(0, "/pages/", "k1");
        for (int i = 0; refused.status() == 200 && i < MOST_TRIES; i++) {
            refused = get(0, "/pages/", "k1");
        }
        assertThat(refused.status(), is(503));
        assertThat(refused.header("Retry-After"), is(notNullValue()));
        int later = fleet.startData(true);
        int arrived = web.arrivals().size();
        for (int i = 0; i < MOST_TRIES; i++) {
            assertThat(get(i % 2 == 0 ? 0 : later, "/pages/", "k1").status(), is(503));
        }
        assertThat(web.arrivals().size(), is(arrived));
        evacuation(3, "a/stop");
        assertThat(served(0, "/pages/").status(), is(200));
        assertThat(served(later, "/pages/").status(), is(200));
    }

    @Test
    void malformedRequestsAreAnsweredWithTheirFault() throws IOException {
        assertThat(LoopbackHttp.call(fleet.frontend(0), "POST", "/pages/", Map.of("Host", "fleet.example"),
                new byte[0]).status(), is(400));
        assertThat(get(0, "/pages/", "k1", "X-Long", "x".repeat(20_000)).status(), is(431));
        Map<String, String> headers = Map.of("Host", "fleet.example", "Rowanplank-Attempt-Id", "b1", "Api-Key", "k1");
        assertThat(LoopbackHttp.call(fleet.frontend(0), "POST", "/pages/", headers, new byte[100_001]).status(),
                is(413));
    }

    @Test
    void readsTheConfigurationBackAtEveryControlNode() throws IOException {
        for (int i = 1; i <= 3; i++) {
            LoopbackHttp.Answer answer = fleet.configuration(i);
            for (int j = 0; answer.status() == 503 && j < MOST_TRIES; j++) {
                answer = fleet.configuration(i);
            }
            assertThat(answer.status(), is(equalTo(200)));
            assertThat(answer.body(), containsString("\"generation\":1"));
        }
    }
}
