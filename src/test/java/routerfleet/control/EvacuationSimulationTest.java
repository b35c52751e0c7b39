package routerfleet.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Evacuations under random faults, and whether the simulation detects injected defects. */
class EvacuationSimulationTest {
    private static final int SEEDS = 12;
    private static final int MAX_SEEDS = 60;

    /**
     * Guards the rules EVAC and LOST: an acknowledged evacuation takes effect at all data nodes that are connected, and
     * no reader sees it undone.
     */
    @Test
    void anAcknowledgedEvacuationIsNeverUndone() {
        int acknowledged = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            EvacuationSimulation simulation = new EvacuationSimulation(seed, InjectedFault.NONE);
            assertThat("seed " + seed, simulation.run(), is(nullValue()));
            acknowledged += simulation.acknowledged();
        }
        assertThat(acknowledged, is(greaterThan(SEEDS * 10)));
    }

    private static String firstViolation(InjectedFault fault) {
        for (long seed = 1; seed <= MAX_SEEDS; seed++) {
            String violation = new EvacuationSimulation(seed, fault).run();
            if (violation != null) {
                return "seed " + seed + ": " + violation;
            }
        }
        return null;
    }

    /**
     * Counts, over the moments at which the connection may be cut, how often a zone ends up as a delayed request wanted
     * it.
     */
    private static int undone(InjectedFault fault, List<Boolean> earlier, boolean delayed, List<Boolean> later) {
        int undone = 0;
        for (long nanos = 3_000_000; nanos <= 9_000_000; nanos += 250_000) {
            EvacuationSimulation simulation = new EvacuationSimulation(nanos, fault);
            if (simulation.evacuatedAfterDelayedRequest(earlier, delayed, later, nanos) == delayed) {
                undone++;
            }
        }
        return undone;
    }

    /** Guards the rule EVAC: a request that arrives after later ones were acknowledged undoes none of them. */
    @Test
    void aDelayedRequestUndoesNoLaterOne() {
        InjectedFault baseNotCompared = InjectedFault.EVACUATION_BASE_NOT_COMPARED;
        assertThat(undone(InjectedFault.NONE, List.of(), true, List.of(true, false)), is(0));
        assertThat("planted", undone(baseNotCompared, List.of(), true, List.of(true, false)), is(greaterThan(0)));
    }

    /**
     * Guards the rule EVAC: a start in a zone that is already evacuated is not undone by an end that was still on its
     * way.
     */
    @Test
    void aDelayedEndDoesNotUndoARepeatedStart() {
        assertThat(undone(InjectedFault.NONE, List.of(true), false, List.of(true)), is(0));
    }

    /** An acknowledgement before the data is stored is lost with the power, which the simulation has to detect. */
    @Test
    void anAcknowledgementBeforeTheSyncIsDetected() {
        assertThat(firstViolation(InjectedFault.TOLD_BEFORE_SYNCED), is(notNullValue()));
    }
}
