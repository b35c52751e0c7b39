package rowanplank.lab.trial;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rowanplank.fleet.Parts;
import rowanplank.lab.trial.judge.Event;
import rowanplank.lab.trial.judge.Event.Kind;

/** Machines taken out for work in virtual time: what is right is judged right, and planted faults are found. */
@Timeout(value = 100, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class WorkTrialTest {
    private static TrialResult play(int nodes, long seed, Parts parts) {
        return new VirtualTrial(VirtualTrial.Setting.of(new TrialPlan(TrialKind.WORK, nodes, seed, Duration.ofSeconds(20),
                Duration.ofSeconds(4), Duration.ofSeconds(1), List.of(), Trouble.GAP, List.of(), List.of(), ""), 0.01, parts)).play();
    }

    /** A seed that once broke a rule stays here. Seed 196: staff took a voter out of the voters just after a turn. */
    @ParameterizedTest
    @CsvSource({"3, 1, 6", "3, 196, 1", "5, 1, 4", "9, 1, 2"})
    void allRulesAreKept(int nodes, long first, int count) {
        for (long seed = first; seed < first + count; seed++) {
            TrialResult r = play(nodes, seed, new Parts());
            assertTrue(r.findings().isEmpty(), "seed " + seed + "\n" + r.text());
            assertTrue(r.count(Kind.STAFF) > 20, "seed " + seed + ": " + r.count(Kind.STAFF) + " words");
        }
    }

    @Test
    void oneSeedIsOneHistory() {
        List<String> once = play(3, 11, new Parts()).history().stream().map(Event::line).toList();
        assertEquals(once, play(3, 11, new Parts()).history().stream().map(Event::line).toList());
    }

    /** Guards the judge: a checker that finds nothing proves nothing. */
    @ParameterizedTest
    @CsvSource({"work-bound-unheld, within-bound, 5, 40", "work-order-reversed, next-first, 3, 5",
        "work-out-while-open, empty-when-out, 3, 40", "work-serves-unasked, empty-when-out, 3, 60"})
    void plantedFaultsAreFound(String plant, String rule, int nodes, int seeds) {
        assertTrue(LongStream.rangeClosed(1, seeds).anyMatch(seed -> play(nodes, seed, Plants.parts(plant)).findings()
                .stream().anyMatch(f -> f.rule().equals(rule))), plant + " was not found");
    }
}
