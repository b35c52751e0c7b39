package rowanplank.lab.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import rowanplank.lab.check.Rule;
import rowanplank.lab.day.Day;
import rowanplank.lab.day.DayDraw;
import rowanplank.lab.day.DayDraw.Named;
import rowanplank.lab.day.DayEdit;
import rowanplank.lab.day.Fault;
import rowanplank.lab.day.PressDay;
import rowanplank.net.SystemClock;

/**
 * The rules that need several nodes or sockets, as properties of whole nodes in virtual time, over fixed seeds: final
 * answers, bytes served, drains, and above all that the nodes together never push a cold server over, restarts of nodes
 * included. That each rule can fail is shown by BrokenNodesTest, and for the days of this page below.
 */
@Timeout(120)
class RulesOfDaysTest {
    private static final int SEEDS = 3;
    private static final DayRun.Manner USUAL = DayRun.Manner.usual(new SystemClock());

    private static DayResult play(Day day) {
        DayResult result = new DayRun(USUAL).play(day);
        assertEquals(DayResult.How.ENDED, result.how(), result::text);
        return result;
    }

    @ParameterizedTest
    @EnumSource(Named.class)
    void noRuleBreaksOnDaysOfAnyKind(Named kind) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            DayResult result = play(DayEdit.withLength(DayDraw.named(kind, seed, 3), Duration.ofSeconds(12)));
            assertEquals(Map.of(), result.broken(), result::text);
        }
    }

    /** Servers come back cold one after the other under more than they can do, and nodes that know nothing with them. */
    private static Day coldDay(long seed) {
        List<Fault> faults = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            faults.add(new Fault(i % 2 == 0 ? Fault.Kind.SERVER_KILLED : Fault.Kind.SERVER_DRAINED,
                    Duration.ofMillis(1000 + 1500 * i), Duration.ofMillis(1500), i % 4, 0));
        }
        for (int n = 0; n < 3; n++) {
            faults.add(new Fault(Fault.Kind.NODE_KILLED, Duration.ofMillis(4000 + 2000 * n), Duration.ofMillis(1000), n, 0));
        }
        Day d = DayEdit.withLength(DayEdit.withSeed(PressDay.DAY, seed), Duration.ofSeconds(14));
        return DayEdit.withFaults(DayEdit.withServers(DayEdit.withRate(d, 330), 5), faults);
    }

    @Test
    void noColdServerIsPushedOverByNodesThatRestartWithIt() {
        for (long seed = 1; seed <= 8; seed++) {
            DayResult result = play(coldDay(seed));
            assertEquals(Map.of(), result.broken(), result::text);
        }
    }

    /** The same days break the rule where nodes choose at random: so the property can fail. */
    @Test
    void randomChoiceWouldPushThemOver() {
        DayResult result = new DayRun(USUAL.withNodes(new PolicyNodes(rowanplank.lab.policy.Policies.named("random"))))
                .play(coldDay(1));
        assertTrue(result.broken().containsKey(Rule.COLD_SERVER.name()), result::text);
    }
}
