package rowanplank.lab.hunt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rowanplank.lab.trial.TrialCase;
import rowanplank.lab.trial.TrialFile;
import rowanplank.lab.trial.TrialKind;
import rowanplank.lab.trial.TrialPlan;

@Timeout(value = 150, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class TrialShrinkTest {
    /** Guards whoever looks for the cause: of a trial of 20 s with some twenty faults a few are left, and it still breaks. */
    @ParameterizedTest
    @CsvSource({"no-wait, one-holder, 3, 5", "unconfirmed-renewal, no-stale-read, 6, 5"})
    void aPlantedFaultShrinksAndIsPlayedAgain(String plant, String rule, int mostFaults, int nodes) {
        TrialCase found = LongStream.range(1, 60).mapToObj(seed -> TrialCase.drawn(new TrialPlan(TrialKind.LEASES, nodes, seed,
                Duration.ofSeconds(20), Duration.ofSeconds(4), Duration.ofSeconds(1), List.of(), Duration.ofMillis(700),
                List.of(), List.of(), ""), 0.01, plant, rule)).filter(c -> c.breaks(c.play())).findFirst().orElseThrow();
        assertTrue(found.faults().size() > 10);
        TrialShrink.Smaller smaller = TrialShrink.shrink(found, 200);
        assertTrue(smaller.trial().faults().size() <= mostFaults, TrialFile.write(smaller.trial()));
        assertTrue(smaller.trial().length().compareTo(found.length()) < 0, TrialFile.write(smaller.trial()));
        TrialCase read = TrialFile.read("f", TrialFile.write(smaller.trial()));
        assertEquals(smaller.trial(), read);
        assertTrue(read.breaks(read.play()));
    }
}
