package rowanplank.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.Writer;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/** Each part runs at tiny sizes; what does not depend on the machine is held to its figure. */
class CapacityToolTest {
    private static void runs(String... args) {
        assertEquals(0, new CommandLine(new CapacityTool())
                .setOut(new PrintWriter(Writer.nullWriter())).execute(args), String.join(" ", args));
    }

    @Test
    void theModuleIsMeasured() {
        runs("module", "--servers", "4,8,12", "--nodes", "2,3", "--classes", "1,2", "--tenants", "0,2", "--requests", "20");
    }

    @Test
    void aNodeThatIsAloneUsesAllServersAndAllocatesForEachRequestAlike() {
        ModuleCapacity.Cost few = ModuleCapacity.measure(new ModuleCapacity.Size(20, 1, 4, 2, 0, 20), 300);
        ModuleCapacity.Cost many = ModuleCapacity.measure(new ModuleCapacity.Size(200, 1, 4, 2, 0, 20), 300);
        assertEquals(20, few.used());
        assertEquals(200, many.used());
        assertTrue(many.micros() > few.micros(), few + ", " + many);
        assertTrue(many.held() > 3 * few.held(), few + ", " + many);
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
    void aTableTellsItsSlopesFromThreeSizesOn() {
        CapacityTable table = new CapacityTable("title", "nodes").size(1).with("bytes", 3).size(2).with("bytes", 5);
        assertThrows(IllegalArgumentException.class, () -> table.slope("bytes"));
        table.size(4).with("bytes", 9);
        assertEquals(21, table.slope("bytes").at(10), 1e-9);
        assertTrue(table.text(10).contains("at 10, 2.5 times the largest measured: 21"), table.text(10));
    }
}
