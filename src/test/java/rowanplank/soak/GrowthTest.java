package rowanplank.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import rowanplank.lab.day.Day;
import rowanplank.lab.day.DayEdit;
import rowanplank.lab.day.Fault;
import rowanplank.lab.day.PressDay;
import rowanplank.lab.run.DayResult;
import rowanplank.lab.run.DayRun;
import rowanplank.lab.trace.Event;
import rowanplank.net.SystemClock;
import rowanplank.node.Node;

/**
 * What a node holds while servers, clients and ids come and go: counts, never times, so the verdict is always the same.
 * In virtual time one server a quarter of a second is replaced by one under a new name, half of them at the old address.
 */
class GrowthTest {
    private static final int SERVERS = 6;
    private static final Duration LENGTH = Duration.ofSeconds(60);
    private static final long EVERY_MS = 250;
    /** Replacements between two looks. */
    private static final int LOOK = 10;
    private static final int QUARTERS = 4;
    /** What is open differs from look to look by so much, on the same seed in every run. */
    private static final int SWING = 12;

    private static Day day() {
        List<Fault> faults = new ArrayList<>();
        for (long at = 1000; at < LENGTH.toMillis(); at += EVERY_MS) {
            faults.add(new Fault(Fault.Kind.SERVER_REPLACED, Duration.ofMillis(at), Duration.ZERO,
                    (int) (at / EVERY_MS % SERVERS), at / EVERY_MS % 2));
            if (at % 5000 == 0) {
                faults.add(new Fault(Fault.Kind.DISCOVERY_MOVED, Duration.ofMillis(at), Duration.ZERO, Fault.ALL, 0));
            }
        }
        faults.add(new Fault(Fault.Kind.BAD_CLIENTS, Duration.ofSeconds(1), LENGTH.minusSeconds(2), Fault.ALL, 5));
        Day d = DayEdit.withRate(DayEdit.withServers(DayEdit.withNodes(PressDay.DAY, 1), SERVERS), 60);
        return DayEdit.withFaults(DayEdit.withLength(d, LENGTH), faults);
    }

    @Test
    void nothingThatANodeHoldsGrowsWithWhatHasComeAndGone() {
        Node[] node = new Node[1];
        List<Map<String, Integer>> looks = new ArrayList<>();
        int[] started = new int[1];
        DayResult result = new DayRun(DayRun.Manner.usual(new SystemClock())
                .withNodes((config, loop, log) -> node[0] = new Node(config, loop, log))
                .withTrace(e -> {
                    if (e.kind() == Event.Kind.SERVER_STARTED && node[0] != null && ++started[0] % LOOK == 0) {
                        looks.add(Sizes.of(node[0]));
                    }
                })).play(day());
        assertEquals(DayResult.How.ENDED, result.how(), result::text);
        assertTrue(looks.size() >= 20, looks.size() + " looks");
        Map<String, Integer> second = most(looks, 1);
        Map<String, Integer> last = most(looks, QUARTERS - 1);
        if (Boolean.getBoolean("soak.print")) {
            last.forEach((k, v) -> System.out.println(k + " " + most(looks, 0).get(k) + " " + second.get(k) + " "
                    + most(looks, 2).get(k) + " " + v));
        }
        assertTrue(last.size() > 10, last.toString());
        last.forEach((field, size) -> assertTrue(size <= growth(second.getOrDefault(field, 0)),
                field + " grew from " + second.get(field) + " to " + size));
    }

    /** A module that forgets to drop servers that left goes from 46 to 105 of them between these quarters. */
    private static int growth(int before) {
        return before + before / 3 + SWING;
    }

    private static Map<String, Integer> most(List<Map<String, Integer>> looks, int quarter) {
        Map<String, Integer> most = new TreeMap<>();
        looks.subList(quarter * looks.size() / QUARTERS, (quarter + 1) * looks.size() / QUARTERS)
                .forEach(look -> look.forEach((field, size) -> most.merge(field, size, Integer::max)));
        return most;
    }
}
