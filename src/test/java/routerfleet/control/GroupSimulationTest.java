package routerfleet.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards the group's majority and its acknowledged entries through the losses that it has to tolerate. */
class GroupSimulationTest {
    private static final int SEEDS = 500;
    private static final long DURATION_MS = 60_000;
    /** How long a connection between control nodes may be silent before it is closed. */
    private static final long DETECTION_MS = 1_300;

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void theGroupToleratesTheLossesThatItHasTo(int tolerated) {
        long losses = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            GroupSimulation group = new GroupSimulation(seed, tolerated, DETECTION_MS);
            assertThat("seed " + seed, group.run(DURATION_MS), is(nullValue()));
            losses += group.losses();
        }
        assertThat(losses, is(greaterThan(5L * SEEDS)));
    }

    /** Guards the check itself: a group that detects a loss only after eight seconds must fail it. */
    @Test
    void theCheckFindsAGroupThatDetectsLossesTooLate() {
        String broken = null;
        for (long seed = 0; seed < SEEDS && broken == null; seed++) {
            broken = new GroupSimulation(seed, 1, DETECTION_MS + 6_500).run(DURATION_MS);
        }
        assertThat(broken, is(notNullValue()));
    }
}
