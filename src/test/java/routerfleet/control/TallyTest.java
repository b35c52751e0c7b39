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

/** Tallies at whole control nodes: what was acknowledged is in every node's total, once, over restarts and lost disks. */
class TallyTest {
    private static final int MOST_WAIT_S = 20;

    @TempDir
    private Path folder;
    private LoopbackFleet fleet;

    @BeforeEach
    void start() throws IOException {
        fleet = new LoopbackFleet(folder, 3);
    }

    @AfterEach
    void end() {
        fleet.close();
    }

    private LoopbackHttp.Answer addOnce(int number, String tally, String body) throws IOException {
        return LoopbackHttp.call(fleet.controlAddress(number), "POST", "/rowanplank/tallies/" + tally + "/patch",
                Map.of("Content-Type", "application/json"), body.getBytes(StandardCharsets.UTF_8));
    }

    /** Adds as an application does: again after a 5xx. @return the status that is no 5xx */
    private int add(int number, String tally, String uid, long amount) throws IOException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(MOST_WAIT_S);
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

    /** Reads until a total is told, or the time is over. @return what is told last */
    private String readUntil(int number, String tally, long total) throws IOException {
        String wanted = "{\"total\":" + total + "}";
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(MOST_WAIT_S);
        String told;
        do {
            told = read(number, tally).body();
        } while (!told.equals(wanted) && System.nanoTime() - end < 0);
        return told;
    }

    private void assertTotalEverywhere(String tally, long total) throws IOException {
        for (int i = 1; i <= 3; i++) {
            assertThat("node " + i, readUntil(i, tally, total), is("{\"total\":" + total + "}"));
        }
    }

    /** Guards LOST: an add that is acknowledged at one node is in the total of every one. */
    @Test
    void anAcknowledgedAddIsReadAtEveryNode() throws IOException {
        assertThat(add(1, "t", "a", 4), is(200));
        assertThat(read(1, "t").body(), is("{\"total\":4}"));
        assertThat(add(2, "t", "b", 3), is(200));
        assertTotalEverywhere("t", 7);
        assertThat(readUntil(3, "new", 0), is("{\"total\":0}"));
    }

    /** Guards TWICE: an add that is sent again, here or elsewhere, counts once. */
    @Test
    void anAddThatIsSentAgainCountsOnce() throws IOException {
        assertThat(add(1, "t", "a", 4), is(200));
        for (int i = 1; i <= 3; i++) {
            assertThat(add(i, "t", "a", 4), is(200));
        }
        assertThat(add(2, "t", "b", 1), is(200));
        assertTotalEverywhere("t", 5);
    }

    /** Guards LOST: acknowledged adds outlive the end of all processes at once. */
    @Test
    void acknowledgedAddsOutliveTheEndOfAllProcesses() throws IOException {
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

    /** Guards LOST: what a node acknowledged outlives the loss of its disk. */
    @Test
    void acknowledgedAddsOutliveTheLossOfADisk() throws IOException {
        assertThat(add(1, "t", "a", 4), is(200));
        fleet.crashControl(1);
        fleet.wipe(1);
        fleet.startControl(1, false);
        assertTotalEverywhere("t", 4);
        assertThat(add(1, "t", "b", 2), is(200));
        assertThat(add(1, "t", "a", 4), is(200));
        assertTotalEverywhere("t", 6);
    }

    /** Guards callers: what can't be an add is refused for good, with the item that is wrong. */
    @Test
    void whatCanBeNoAddIsRefusedWithTheItemThatIsWrong() throws IOException {
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
        LoopbackHttp.Answer answer = addOnce(1, "t", body);
        assertThat(body, answer.status(), is(400));
        assertThat(body, answer.body(), containsString(item));
    }
}
