package routerfleet.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tallies on days of trouble in virtual time. */
class TallySimulationTest {
    private static final int MOST_RUNS = 6;

    private static TallySimulation standIn(long seed, int tolerated, TallyStandIn.Flaw flaw) {
        TallyStandIn standIn = new TallyStandIn(flaw, seed);
        return new TallySimulation(seed, tolerated, TallySimulation.plan(seed), PlantedFault.NONE, standIn::before);
    }

    @Test
    void aSoundStandInIsFoundSound() {
        for (long seed = 1; seed <= 2; seed++) {
            int tolerated = 1 + (int) (seed % 2);
            TallySimulation simulation = standIn(seed, tolerated, TallyStandIn.Flaw.NONE);
            assertThat("seed " + seed, simulation.play(), is(nullValue()));
            assertThat(simulation.history().adds.size(), is(greaterThan(300)));
        }
    }

    @ParameterizedTest
    @EnumSource(value = TallyStandIn.Flaw.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void aFlawOfTheStandInIsFound(TallyStandIn.Flaw flaw) {
        String found = null;
        for (long seed = 1; seed <= MOST_RUNS && found == null; seed++) {
            found = standIn(seed, 1, flaw).play();
        }
        assertThat(found, is(notNullValue()));
    }
}
