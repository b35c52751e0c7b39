package routerfleet.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import routerfleet.demo.LoopbackFleet;
import routerfleet.demo.LoopbackHttp;

/**
 * Tallies at complete control nodes: acknowledged adds are in every node's total exactly once, including restarts and
 * lost disks.
 */
class TallyTest {
    private static final int MAX_WAIT_S = 20;

    @TempDir
    private Path directory;
    private LoopbackFleet fleet;

    @BeforeEach
    void start() throws IOException {
        fleet = new LoopbackFleet(directory, 3);
    }

    @AfterEach
    void end() {
        fleet.close();
    }

    private LoopbackHttp.Answer addOnce(int number, String tally, String body) throws IOException {
        return LoopbackHttp.call(fleet.controlAddress(number), "POST", "/rowanplank/tallies/" + tally + "/patch",
                Map.of("Content-Type", "application/json"), body.getBytes(StandardCharsets.UTF_8));
    }

    /** Adds as an application does, and retries after a 5xx. @return the first status that is no 5xx */
    private int add(int number, String tally, String uid, long amount) throws IOException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_WAIT_S);
        int status;
        do {
            status = addOnce(number, tally, "{\"uid\":\"" + uid + "\",\"owner\":" + amount + "}").status();
        } while (status / 100 == 5 && System.nanoTime() - end < 0);
        return status;
    }

    private LoopbackHttp.Answer read(int number, String tally) throws IOException {
        return LoopbackHttp.call(fleet.controlAddress(number), "GET", "/rowanplank/tallies/" + tally + "/get", Map.of(),
                new byte[0]);
    }

    /** Reads until the expected total is returned, or the time is over. @return the last response body */
    private String readUntil(int number, String tally, long total) throws IOException {
        String wanted = "{\"total\":" + total + "}";
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_WAIT_S);
        String body;
        do {
            body = read(number, tally).body();
        } while (!body.equals(wanted) && System.nanoTime() - end < 0);
        return body;
    }

    private void assertTotalEverywhere(String tally, long total) throws IOException {
        for (int i = 1; i <= 3; i++) {
            assertThat("node " + i, readUntil(i, tally, total), is("{\"total\":" + total + "}"));
        }
    }

    /** Guards the rule LOST: an add that is acknowledged at one node is in the total of every node. */
    @Test
    void anAcknowledgedAddIsReadAtEveryNode() throws IOException {
        assertThat(add(1, "t", "a", 4), is(200));
        assertThat(read(1, "t").body(), is("{\"total\":4}"));
        assertThat(add(2, "t", "b", 3), is(200));
        assertTotalEverywhere("t", 7);
        assertThat(readUntil(3, "new", 0), is("{\"total\":0}"));
    }

    /** Guards the rule TWICE: an add that is sent again, here or at another node, counts once. */
    @Test
    void anAddThatIsSentAgainCountsOnce() throws IOException {
        assertThat(add(1, "t", "a", 4), is(200));
        for (int i = 1; i <= 3; i++) {
            assertThat(add(i, "t", "a", 4), is(200));
        }
        assertThat(add(2, "t", "b", 1), is(200));
        assertTotalEverywhere("t", 5);
    }

    /** Guards the rule LOST: acknowledged adds survive the simultaneous end of all processes. */
    @Test
    void acknowledgedAddsSurviveTheEndOfAllProcesses() throws IOException {
        for (int i = 1; i <= 3; i++) {
            assertThat(add(i, "t", "u" + i, i), is(200));
        }
        for (int i = 1; i <= 3; i++) {
            fleet.crashControl(i);
        }
        for (int i = 1; i <= 3; i++) {
            fleet.startControl(i, false);
        }
        assertTotalEverywhere("t", 6);
        assertThat(add(1, "t", "u2", 2), is(200));
        assertThat(add(1, "t", "more", 10), is(200));
        assertTotalEverywhere("t", 16);
    }

    /** Guards the rule LOST: what a node acknowledged survives the loss of its disk. */
    @Test
    void acknowledgedAddsSurviveTheLossOfADisk() throws IOException {
        assertThat(add(1, "t", "a", 4), is(200));
        fleet.crashControl(1);
        fleet.wipe(1);
        fleet.startControl(1, false);
        assertTotalEverywhere("t", 4);
        assertThat(add(1, "t", "b", 2), is(200));
        assertThat(add(1, "t", "a", 4), is(200));
        assertTotalEverywhere("t", 6);
    }

    /** Guards callers: an invalid add is rejected permanently, and the response names the invalid item. */
    @Test
    void anInvalidAddIsRejectedWithTheInvalidItem() throws IOException {
        assertRefused("{\"owner\":4}", "uid");
        assertRefused("{\"uid\":\"\",\"owner\":4}", "uid");
        assertRefused("{\"uid\":\"" + "x".repeat(129) + "\",\"owner\":4}", "uid");
        assertRefused("{\"uid\":\"a\"}", "owner");
        assertRefused("{\"uid\":\"a\",\"owner\":-1}", "owner");
        assertRefused("{\"uid\":\"a\",\"owner\":1.5}", "owner");
        assertRefused("{\"uid\":\"a\",\"owner\":99999999999999999999}", "can't be read");
        assertRefused("{\"uid\":\"a\",\"owner\":1", "can't be read");
        assertThat(add(1, "x".repeat(129), "a", 1), is(400));
        assertThat(readUntil(1, "t", 0), is("{\"total\":0}"));
    }

    private void assertRefused(String body, String item) throws IOException {
        LoopbackHttp.Answer response = addOnce(1, "t", body);
        assertThat(body, response.status(), is(400));
        assertThat(body, response.body(), containsString(item));
    }
}
