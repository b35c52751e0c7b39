package routerfleet.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;

/** Checks that a tenant's limit holds while control nodes are replaced, and that the simulation finds a violation of it. */
class QuotaReplacementSimulationTest {
    private static final long DURATION_MS = 120_000;
    private static final int SEEDS = 100;

    private static double maxGranted(QuotaReplacementSimulation.Fault fault) {
        double maxGranted = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            maxGranted = Math.max(maxGranted, new QuotaReplacementSimulation(seed, fault).run(DURATION_MS));
        }
        return maxGranted;
    }

    @Test
    void theLimitHoldsInEveryWindowWhileControlNodesAreReplaced() {
        assertThat(maxGranted(QuotaReplacementSimulation.Fault.NONE),
                lessThanOrEqualTo(QuotaReplacementSimulation.bound()));
    }

    @Test
    void aDisconnectedNodeThatTrustsItsOwnViewIsFound() {
        assertThat(maxGranted(QuotaReplacementSimulation.Fault.BELIEVES_ITSELF),
                greaterThan(QuotaReplacementSimulation.bound()));
    }
}
