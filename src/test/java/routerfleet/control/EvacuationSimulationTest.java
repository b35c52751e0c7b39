package routerfleet.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Evacuations over drawn faults, and whether planted faults are found. */
class EvacuationSimulationTest {
    private static final int SEEDS = 12;
    private static final int MOST_SEEDS = 60;

    /** Guards EVAC and LOST: what was acknowledged is in force everywhere in touch, and is seen undone by nobody. */
    @Test
    void anAcknowledgedEvacuationIsNeverUndone() {
        int acknowledged = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            EvacuationSimulation play = new EvacuationSimulation(seed, InjectedFault.NONE);
            assertThat("seed " + seed, play.run(), is(nullValue()));
            acknowledged += play.acknowledged();
        }
        assertThat(acknowledged, is(greaterThan(SEEDS * 10)));
    }

    private static String found(InjectedFault fault) {
        for (long seed = 1; seed <= MOST_SEEDS; seed++) {
            String wrong = new EvacuationSimulation(seed, fault).run();
            if (wrong != null) {
                return "seed " + seed + ": " + wrong;
            }
        }
        return null;
    }

    /** How often, of the moments at which the way may be cut, a zone is left as a held-up order wanted it. */
    private static int undone(InjectedFault fault, List<Boolean> earlier, boolean heldUp, List<Boolean> later) {
        int undone = 0;
        for (long nanos = 3_000_000; nanos <= 9_000_000; nanos += 250_000) {
            EvacuationSimulation play = new EvacuationSimulation(nanos, fault);
            if (play.evacuatedAfterDelayedRequest(earlier, heldUp, later, nanos) == heldUp) {
                undone++;
            }
        }
        return undone;
    }

    /** Guards EVAC: an order that comes through after later ones were acknowledged undoes none of them. */
    @Test
    void anOrderThatWasHeldUpByACutUndoesNoLaterOne() {
        InjectedFault blind = InjectedFault.EVACUATION_BASE_NOT_COMPARED;
        assertThat(undone(InjectedFault.NONE, List.of(), true, List.of(true, false)), is(0));
        assertThat("planted", undone(blind, List.of(), true, List.of(true, false)), is(greaterThan(0)));
    }

    /** Guards EVAC: a start that finds the zone evacuated is not undone by an end that was still under way. */
    @Test
    void anEndThatWasHeldUpDoesNotUndoARepeatedStart() {
        assertThat(undone(InjectedFault.NONE, List.of(true), false, List.of(true)), is(0));
    }

    /** What is acknowledged before it is stored is lost with the power. */
    @Test
    void anAcknowledgementBeforeTheDisksIsFound() {
        assertThat(found(InjectedFault.TOLD_BEFORE_SYNCED), is(notNullValue()));
    }
}
