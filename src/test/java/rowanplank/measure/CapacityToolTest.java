package rowanplank.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.Writer;
import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/** Each part runs at tiny sizes; what does not depend on the machine is held to its figure. */
class CapacityToolTest {
    @BeforeEach
    void leaveTheHeap() {
        Spent.heap(false);
    }

    private static void runs(String... args) {
        assertEquals(0, new CommandLine(new CapacityTool())
                .setOut(new PrintWriter(Writer.nullWriter())).execute(args), String.join(" ", args));
    }

    @Test
    void theModuleIsMeasured() {
        runs("module", "--servers", "4,8,12", "--nodes", "2,3", "--classes", "1,2", "--tenants", "0,2", "--requests", "20");
    }

    @Test
    void aNodeThatIsAloneUsesAllServersAndOneOfManyAFew() {
        assertEquals(200, ModuleCapacity.measure(new ModuleCapacity.Size(200, 1, 4, 2, 0, 20), 20).used());
        assertTrue(ModuleCapacity.measure(new ModuleCapacity.Size(200, 40, 4, 2, 0, 20), 20).used() < 60);
    }

    @Test
    void aListIsMeasured() {
        runs("lists", "--warm", "20", "--servers", "3,6,9", "--nodes", "3", "--classes", "2");
    }

    @Test
    void answersThatFitAreNoLongerThanTheirBound() {
        int fits = ListCapacity.fit(10_000, 16);
        assertTrue(ListCapacity.answer(1, true, 0, fits, 16, 1_767_225_600_000L).length() <= 10_000);
        assertTrue(ListCapacity.answer(1, true, 0, fits + 1, 16, 1_767_225_600_000L).length() > 10_000);
    }

    @Test
    void subsetsAreCounted() {
        runs("subsets", "--nodes", "2,3,4", "--servers-a-node", "2", "--zones", "1,2");
        SubsetCapacity.Seen seen = SubsetCapacity.count(2, 30, 1);
        assertEquals(30, seen.ofNode()[1]);
        assertEquals(2, seen.ofServer()[1]);
    }

    @Test
    void hollowFleetsAreMeasured() {
        for (CapacityTool.Role role : CapacityTool.Role.values()) {
            runs("fleet", "--nodes", "4", "--voters", "3", "--role", role.name(), "--settle", "12", "--seconds", "2");
        }
        runs("fleet", "--nodes", "4,5,6", "--voters", "3", "--settle", "12", "--seconds", "2");
    }

    /** Virtual time: the same in every run. One ping a second goes out, and about one comes in, each of them answered. */
    @Test
    void aMemberThatIsAtRestPingsOnceASecond() {
        HollowFleet.Seen seen = FleetCapacity.measure(new HollowFleet.Plan(8, 3, 0, 0, false), Duration.ofSeconds(60),
                Duration.ofSeconds(32), false).seen();
        assertEquals(2, seen.member().sent(), 0.5);
        assertEquals(seen.member().sent(), seen.member().received(), 0.5);
        assertTrue(seen.leader().sent() > 4 * seen.member().sent(), seen.toString());
    }

    @Test
    void hollowHoldersRenewThreeTimesInALeasesLength() {
        HollowFleet.Seen without = FleetCapacity.measure(new HollowFleet.Plan(8, 3, 0, 0, false), Duration.ofSeconds(60),
                Duration.ofSeconds(32), false).seen();
        HollowFleet.Seen with = FleetCapacity.measure(new HollowFleet.Plan(8, 3, 1, 0, false), Duration.ofSeconds(60),
                Duration.ofSeconds(32), false).seen();
        assertEquals(0.75, with.member().sent() - without.member().sent(), 0.1);
    }

    @Test
    void allLearnThatAHollowNodeDied() {
        FleetCapacity.Cost cost = FleetCapacity.measure(new HollowFleet.Plan(8, 3, 0, 0, false), Duration.ofSeconds(30),
                Duration.ofSeconds(5), true);
        assertTrue(cost.knownMs() > 1000 && cost.knownMs() < 30_000, cost.toString());
    }

    @Test
    void watchesAreMeasured() {
        runs("watch", "--nodes", "1,2,3", "--servers", "5", "--changes", "4", "--lists", "5", "--millis", "60");
    }

    /** Guards the page: it names how many servers fit an answer, and what the watch really takes is that many. */
    @Test
    void aListThatIsTooLongForAnAnswerIsNeverTaken() throws Exception {
        int fits = ListCapacity.fit(ListCapacity.MOST_ANSWER_BYTES, CapacityTool.ZONES);
        assertEquals(1, WatchCapacity.take(fits, Duration.ZERO).lists());
        WatchCapacity.Taken more = WatchCapacity.take(fits + 1, Duration.ZERO);
        assertEquals(0, more.lists());
        assertTrue(more.malformed() > 0, more.toString());
    }

    @Test
    void aLedgerIsMeasured() {
        runs("ledger", "--holders", "2,3,4", "--leases", "1", "--budgets", "1");
        assertEquals(1000, LedgerCapacity.budgetsTaken(1001));
        assertEquals(1000, LedgerCapacity.processesTaken(1001));
    }

    @Test
    void datagramsAreMeasured() {
        runs("datagrams", "--bytes", "64,128", "--count", "100");
    }

    @Test
    void theHeapIsLookedAt() {
        Spent.heap(true);
        assertEquals(1 << 16, Spent.retained(64, () -> new byte[1 << 16]), 1 << 15);
    }

    @Test
    void aTableTellsItsSlopesFromThreeSizesOn() {
        CapacityTable table = new CapacityTable("title", "nodes").size(1).with("bytes", 3).size(2).with("bytes", 5);
        assertThrows(IllegalArgumentException.class, () -> table.slope("bytes"));
        table.size(4).with("bytes", 9);
        assertEquals(21, table.slope("bytes").at(10), 1e-9);
        assertTrue(table.text(10).contains("at 10, 2.5 times the largest measured: 21"), table.text(10));
    }
}
