package routerfleet.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;

/** That a tenant's limit holds while control nodes are replaced, and that the simulation would show it if it did not. */
class ReplacementSimulationTest {
    private static final long LENGTH_MS = 120_000;
    private static final int SEEDS = 100;

    private static double most(ReplacementSimulation.Fault fault) {
        double most = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            most = Math.max(most, new ReplacementSimulation(seed, fault).play(LENGTH_MS));
        }
        return most;
    }

    @Test
    void aLimitHoldsInEveryWindowWhileItsHoldersAreReplaced() {
        assertThat(most(ReplacementSimulation.Fault.NONE), lessThanOrEqualTo(ReplacementSimulation.bound()));
    }

    @Test
    void aHolderThatIsCutOffAndBelievesItselfIsFound() {
        assertThat(most(ReplacementSimulation.Fault.BELIEVES_ITSELF), greaterThan(ReplacementSimulation.bound()));
    }
}
