package rowanplank.lab.trial;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rowanplank.fleet.FleetComponents;
import rowanplank.lab.trial.judge.Event.Kind;

/** Fleets with budgets in virtual time: what is right is judged right, and planted faults are found. */
@Timeout(value = 150, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class BudgetTrialTest {
    private static TrialResult play(int nodes, long seed, FleetComponents parts) {
        TrialPlan plan = new TrialPlan(TrialKind.BUDGETS, nodes, seed, Duration.ofSeconds(20), Duration.ofSeconds(4),
                Duration.ofSeconds(1), List.of(), Trouble.GAP, List.of(), List.of(), "");
        return new VirtualTrial(VirtualTrial.Setting.of(plan, 0.01, parts)).play();
    }

    /** Guards the guarantees; a seed that once broke a rule stays here. */
    @ParameterizedTest
    @CsvSource({"3, 1, 12", "3, 29, 1", "3, 100093, 1", "5, 1, 6", "5, 200147, 1", "9, 1, 2"})
    void allRulesAreKept(int nodes, long first, int count) {
        long uses = 0; // none where a voter is lost before all have said that they understand budgets
        for (long seed = first; seed < first + count; seed++) {
            TrialResult r = play(nodes, seed, new FleetComponents());
            assertEquals(List.of(), r.findings(), "seed " + seed + "\n" + r.text());
            uses += r.count(Kind.BEGIN);
        }
        assertTrue(uses > 50L * count, uses + " uses");
    }

    /** Guards the judge: a checker that finds nothing proves nothing. */
    @ParameterizedTest
    @CsvSource({"shrunk-at-once, within-whole", "parts-no-wait, within-whole", "counts-wrong, sums", "bucket-full, within-rate",
        "epoch-before, epochs-grow", "lowered-at-once, sums", "parts-never-lapse, fair-again"})
    void aPlantedFaultIsFound(String plant, String rule) {
        FleetComponents parts = Plants.parts(plant);
        for (long seed = 1; seed <= 60; seed++) {
            if (play(3, seed, parts).findings().stream().anyMatch(f -> f.rule().equals(rule))) {
                return;
            }
        }
        throw new AssertionError(plant + " was not found");
    }
}
