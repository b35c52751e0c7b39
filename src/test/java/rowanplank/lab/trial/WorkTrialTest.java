package rowanplank.lab.trial;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import rowanplank.fleet.FleetComponents;
import rowanplank.lab.trial.TrialFault.What;
import rowanplank.lab.trial.judge.Event;
import rowanplank.lab.trial.judge.Event.Kind;

/** Machines taken out for work in virtual time: what is right is judged right, and planted faults are found. */
@Timeout(value = 100, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class WorkTrialTest {
    private static TrialResult play(int nodes, long seed, FleetComponents parts) {
        return new VirtualTrial(VirtualTrial.Setting.of(new TrialPlan(TrialKind.WORK, nodes, seed, Duration.ofSeconds(20),
                Duration.ofSeconds(4), Duration.ofSeconds(1), List.of(), Trouble.GAP, List.of(), List.of(), ""), 0.01, parts)).play();
    }

    /** A seed that once broke a rule stays here. Seed 196: staff took a voter out of the voters just after a turn. */
    @ParameterizedTest
    @CsvSource({"3, 1, 6", "3, 196, 1", "5, 1, 4", "9, 1, 2"})
    void allRulesAreKept(int nodes, long first, int count) {
        for (long seed = first; seed < first + count; seed++) {
            TrialResult r = play(nodes, seed, new FleetComponents());
            assertTrue(r.findings().isEmpty(), "seed " + seed + "\n" + r.text());
            assertTrue(r.count(Kind.STAFF) > 20, "seed " + seed + ": " + r.count(Kind.STAFF) + " words");
        }
    }

    @Test
    void oneSeedIsOneHistory() {
        List<String> once = play(3, 11, new FleetComponents()).history().stream().map(Event::line).toList();
        assertEquals(once, play(3, 11, new FleetComponents()).history().stream().map(Event::line).toList());
    }

    /** Guards the judge: a checker that finds nothing proves nothing. */
    @ParameterizedTest
    @CsvSource({"work-bound-unheld, within-bound, 5, 40", "work-order-reversed, next-first, 3, 5",
        "work-out-while-open, empty-when-out, 3, 40", "work-serves-unasked, empty-when-out, 3, 60"})
    void plantedFaultsAreFound(String plant, String rule, int nodes, int seeds) {
        assertTrue(LongStream.rangeClosed(1, seeds).anyMatch(seed -> play(nodes, seed, Plants.parts(plant)).findings()
                .stream().anyMatch(f -> f.rule().equals(rule))), plant + " was not found");
    }

    /** Node by node, for all of a trial: what comes from those is late by so much, and doubled with this chance. */
    private static Stream<TrialFault> sick(String ways, double doubled, double delayMs, double spreadMs) {
        return IntStream.range(0, 13).mapToObj(i -> new TrialFault(1000 * i, What.SICK, "", 999, List.of(ways),
                List.of(0.0, doubled, 0.0, delayMs, spreadMs), "sick " + ways));
    }

    static Stream<Arguments> aimed() {
        Stream<TrialFault> stalls = IntStream.range(0, 18).mapToObj(i -> TrialFault.of(100 + 700 * i, What.STALL, TrialFault.HOLDER, 1800));
        return Stream.of(
                Arguments.of("work-any-step", "back-by-word", 5, 1, sick("*>leader", 0.9, 0, 150).toList()),
                Arguments.of("work-dead-uncounted", "counts-dead", 4, 3, List.of(TrialFault.of(500, What.KILL, "n4", 12_000))),
                Arguments.of("work-skip-at-once", "no-old-turn", 4, 201, sick("leader>n4", 0, 350, 0).toList()),
                Arguments.of("work-stale-turn", "no-old-turn", 4, 26, Stream.concat(sick("leader>*", 0, 300, 0), stalls)
                        .sorted(Comparator.comparingLong(TrialFault::atMs)).toList()));
    }

    /** Of faults that need a step of a turn to be hit at one moment. */
    @ParameterizedTest
    @MethodSource("aimed")
    void plantedFaultsAreFoundByFaultsAimedAtThem(String plant, String rule, int nodes, long seed, List<TrialFault> faults) {
        TrialCase found = new TrialCase(TrialKind.WORK, nodes, seed, Duration.ofSeconds(20), Duration.ofSeconds(1), 0.01, plant, rule, faults);
        assertTrue(found.breaks(found.play()), plant + " was not found");
        TrialResult right = new TrialCase(TrialKind.WORK, nodes, seed, Duration.ofSeconds(20), Duration.ofSeconds(1), 0.01, "", rule, faults).play();
        assertTrue(right.findings().isEmpty(), right.text());
    }

    /** One asked to end twice, by staff and by what breaks, once was never up again, and the trial waited for it without end. */
    @Test
    void aNodeThatIsAskedToEndTwiceEndsOnce() {
        TrialResult r = new TrialCase(TrialKind.WORK, 3, 1, Duration.ofSeconds(10), Duration.ofSeconds(1), 0.01, "", "",
                List.of(TrialFault.of(1000, What.STOP, "n2", 200), TrialFault.of(1010, What.STOP, "n2", 200))).play();
        assertTrue(r.findings().isEmpty(), r.text());
    }
}
