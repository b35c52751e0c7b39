package routerfleet.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;

/** That a tenant's limit holds while control nodes are replaced, and that the simulation would show it if it did not. */
class QuotaReplacementSimulationTest {
    private static final long LENGTH_MS = 120_000;
    private static final int SEEDS = 100;

    private static double most(QuotaReplacementSimulation.Fault fault) {
        double most = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            most = Math.max(most, new QuotaReplacementSimulation(seed, fault).run(LENGTH_MS));
        }
        return most;
    }

    @Test
    void aLimitHoldsInEveryWindowWhileItsHoldersAreReplaced() {
        assertThat(most(QuotaReplacementSimulation.Fault.NONE), lessThanOrEqualTo(QuotaReplacementSimulation.bound()));
    }

    @Test
    void aHolderThatIsCutOffAndBelievesItselfIsFound() {
        assertThat(most(QuotaReplacementSimulation.Fault.BELIEVES_ITSELF), greaterThan(QuotaReplacementSimulation.bound()));
    }
}
