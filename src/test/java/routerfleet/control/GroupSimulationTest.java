package routerfleet.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards the group's majority and what it has acknowledged, through losses that it has to bear. */
class GroupSimulationTest {
    private static final int SEEDS = 500;
    private static final long PLAYED_MS = 60_000;
    /** Silence after which a connection between control nodes is closed. */
    private static final long NOTICE_MS = 1_300;

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void theGroupBearsTheLossesThatItHasTo(int tolerated) {
        long losses = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            GroupSimulation group = new GroupSimulation(seed, tolerated, NOTICE_MS);
            assertThat("seed " + seed, group.run(PLAYED_MS), is(nullValue()));
            losses += group.losses();
        }
        assertThat(losses, is(greaterThan(5L * SEEDS)));
    }

    /** Guards the check: a group that notices a loss only after eight seconds must not pass. */
    @Test
    void theCheckFindsAGroupThatKeepsWhatIsGone() {
        String broken = null;
        for (long seed = 0; seed < SEEDS && broken == null; seed++) {
            broken = new GroupSimulation(seed, 1, NOTICE_MS + 6_500).run(PLAYED_MS);
        }
        assertThat(broken, is(notNullValue()));
    }
}
