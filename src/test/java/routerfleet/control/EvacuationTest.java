package routerfleet.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import routerfleet.demo.Configurations;
import routerfleet.demo.LoopbackFleet;
import routerfleet.demo.LoopbackHttp;

/** Evacuations through the control nodes' HTTP interface, including restarts and lost disks. */
class EvacuationTest {
    private static final int MAX_WAIT_S = 30;

    @TempDir
    private Path directory;
    private LoopbackFleet fleet;

    @BeforeEach
    void start() throws IOException {
        fleet = new LoopbackFleet(directory, 3);
        assertThat(fleet.order("replace", 0, Configurations.whole(3)), is(200));
    }

    @AfterEach
    void end() {
        fleet.close();
    }

    private LoopbackHttp.Answer call(int number, String method, String path, String body) throws IOException {
        return LoopbackHttp.call(fleet.controlAddress(number), method, "/rowanplank/evacuations/" + path, Map.of(),
                body.getBytes(StandardCharsets.UTF_8));
    }

    /** Repeats a call while its outcome is unknown, as operators do. */
    private LoopbackHttp.Answer callUntilKnown(int number, String method, String path) throws IOException {
        LoopbackHttp.Answer response = call(number, method, path, "");
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_WAIT_S);
        while (response.status() == 503 && System.nanoTime() - end < 0) {
            response = call(number, method, path, "");
        }
        return response;
    }

    private void send(int number, String path) throws IOException {
        assertThat(path + " at " + number, callUntilKnown(number, "POST", path).status(), is(200));
    }

    private String zones(int number) throws IOException {
        String body = callUntilKnown(number, "GET", "get").body();
        return body.substring(body.indexOf('['), body.indexOf(']') + 1);
    }

    @Test
    void startsAndStopsAtEveryNodeAndRepeatedly() throws IOException {
        for (int i = 1; i <= 3; i++) {
            send(i, "a/start");
        }
        assertThat(callUntilKnown(2, "GET", "get").body(), containsString("\"zones\":[\"a\"]}"));
        for (int i = 3; i >= 1; i--) {
            send(i, "a/stop");
        }
        assertThat(callUntilKnown(3, "GET", "get").body(), containsString("\"zones\":[]}"));
    }

    @Test
    void invalidCallsAreRejected() throws IOException {
        assertThat(call(1, "POST", "b/start", "").status(), is(404));
        assertThat(call(1, "POST", "b/start", "").body(), containsString("no such zone: b"));
        assertThat(call(1, "POST", "b/stop", "").status(), is(404));
        assertThat(call(1, "POST", "a/pause", "").status(), is(404));
        assertThat(call(1, "POST", "a/start/now", "").status(), is(404));
        assertThat(call(1, "POST", "a", "").status(), is(404));
        assertThat(call(1, "GET", "a/start", "").status(), is(404));
        assertThat(call(1, "PUT", "a/start", "").status(), is(404));
        LoopbackHttp.Answer withBody = call(1, "POST", "a/start", "{}");
        assertThat(withBody.status(), is(400));
        assertThat(withBody.body(), containsString("no body"));
        assertThat(zones(1), is("[]"));
    }

    /** Guards configurations: an evacuation changes neither the document nor its generation. */
    @Test
    void theConfigurationIsUnchanged() throws IOException {
        String before = fleet.configuration(1).body();
        send(1, "a/start");
        assertThat(fleet.configuration(1).body(), is(before));
        assertThat(fleet.order("patch", 3, "{\"generation\":4,\"delete\":{\"routes\":[\"drafts\"]}}"), is(200));
        assertThat(fleet.configuration(1).body(), is(not(before)));
        assertThat(zones(1), is("[\"a\"]"));
    }

    /** Guards the rule LOST: acknowledged evacuations survive a simultaneous crash of all nodes. */
    @Test
    void anEvacuationSurvivesACrashOfAllNodes() throws IOException {
        send(2, "a/start");
        for (int i = 1; i <= 3; i++) {
            fleet.crashControl(i);
        }
        for (int i = 1; i <= 3; i++) {
            fleet.startControl(i, false);
        }
        assertThat(zones(3), is("[\"a\"]"));
    }

    /** Guards the rule LOST: acknowledged evacuations survive the loss of one disk after the other. */
    @Test
    void anEvacuationSurvivesLostDisks() throws IOException {
        send(1, "a/start");
        for (int i = 1; i <= 3; i++) {
            fleet.crashControl(i);
            fleet.wipe(i);
            fleet.startControl(i, false);
            assertThat(zones(i), is("[\"a\"]"));
            send(i, "a/stop");
            send(i, "a/start");
        }
    }

    /** Guards the rule LOST: what only one disk would hold is not acknowledged, and the response says when to retry. */
    @Test
    void nothingIsAcknowledgedWithoutAMajority() throws IOException {
        fleet.crashControl(2);
        fleet.crashControl(3);
        LoopbackHttp.Answer response = call(1, "POST", "a/start", "");
        assertThat(response.status(), is(503));
        assertThat(response.header("Retry-After"), is(not(nullValue())));
    }
}
