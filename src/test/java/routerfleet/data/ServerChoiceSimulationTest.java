package routerfleet.data;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the choice of servers on simulated deployments of all sizes, in virtual time. */
class ServerChoiceSimulationTest {
    private static final double WARM_UP_MS = 4_000;
    private static final double END_MS = 12_000;
    /** Short requests per second, of some 200 ms each, that occupy two fifths of an engine's slots. */
    private static final double SHORTS_PER_ENGINE_PER_S = 30;
    private static final int MAX_SHORTS_PER_S = 1_500;
    /** Maximum load of the busiest server relative to the mean; three standard deviations of random variation are added. */
    private static final double SPREAD_BOUND = 2;
    private static final int MAX_PROBES_PER_NODE = 8;
    private static final double FAILURE_DURATION_MS = 5_000;
    private static final double RECOVERY_DURATION_MS = 7_000;

    private static ServerChoiceSimulation.Deployment draw(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int nodes = 2 + random.nextInt(89);
        int engines = 2 + random.nextInt(59);
        int zones = 1 + random.nextInt(5);
        double perNode = 0.5 * Math.pow(100, random.nextDouble());
        double shorts = Math.min(MAX_SHORTS_PER_S, Math.min(nodes * perNode, engines * SHORTS_PER_ENGINE_PER_S));
        return new ServerChoiceSimulation.Deployment(nodes, engines, zones, shorts, 0, 1);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void loadIsSpread(long seed) {
        ServerChoiceSimulation.Deployment deployment = draw(seed);
        ServerChoiceSimulation simulation = new ServerChoiceSimulation(deployment, seed);
        simulation.runUntil(WARM_UP_MS);
        simulation.resetCounts();
        simulation.runUntil(END_MS);
        double mean = simulation.engines.stream().mapToInt(EmulatedEngine::arrivals).average().orElse(0);
        int max = simulation.engines.stream().mapToInt(EmulatedEngine::arrivals).max().orElse(0);
        assertThat(deployment.toString(), (double) max, is(lessThan(SPREAD_BOUND * mean + 3 * Math.sqrt(mean) + 1)));
        assertThat(deployment.toString(), simulation.shortsOnTarget(), is(greaterThan(0.985)));
    }

    /** Each node detects a failing server after a few of its own requests, and uses it again once it has recovered. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15, 16})
    void aFailingServerIsAvoidedAndUsedAgainAfterRecovery(long seed) {
        ServerChoiceSimulation.Deployment deployment = draw(seed);
        ServerChoiceSimulation simulation = new ServerChoiceSimulation(deployment, seed);
        simulation.runUntil(WARM_UP_MS);
        EmulatedEngine failing = simulation.engines.get(0);
        int before = failing.arrivals();
        failing.failing(true);
        simulation.runUntil(WARM_UP_MS + FAILURE_DURATION_MS);
        int sent = failing.arrivals() - before;
        assertThat(deployment.toString(), sent, is(lessThanOrEqualTo(MAX_PROBES_PER_NODE * deployment.nodes())));
        failing.failing(false);
        int beforeRecovery = failing.arrivals();
        simulation.runUntil(WARM_UP_MS + FAILURE_DURATION_MS + RECOVERY_DURATION_MS);
        assertThat(deployment.toString(), failing.arrivals(), is(greaterThan(beforeRecovery)));
    }

    /** A server that is four times slower than the others gets clearly fewer requests, if nodes see enough responses. */
    @Test
    void aSlowServerGetsLess() {
        ServerChoiceSimulation simulation = new ServerChoiceSimulation(
                new ServerChoiceSimulation.Deployment(4, 8, 1, 120, 0, 1), 1);
        EmulatedEngine slow = simulation.engines.get(0);
        slow.slowness(4);
        simulation.runUntil(WARM_UP_MS);
        int before = slow.arrivals();
        int others = simulation.engines.stream().mapToInt(EmulatedEngine::arrivals).sum();
        simulation.runUntil(END_MS);
        int all = simulation.engines.stream().mapToInt(EmulatedEngine::arrivals).sum() - others;
        assertThat((double) (slow.arrivals() - before) * simulation.engines.size() / all, is(lessThan(0.6)));
    }

    /** Simulates the same load with servers reserved for short prompts, and with one server per zone, so that none is. */
    private static ServerChoiceSimulation[] runSeparatedAndMixed(double shortsPerS, double longsPerS) {
        ServerChoiceSimulation separated = new ServerChoiceSimulation(
                new ServerChoiceSimulation.Deployment(75, 40, 5, shortsPerS, longsPerS, 400), 1);
        ServerChoiceSimulation mixed = new ServerChoiceSimulation(
                new ServerChoiceSimulation.Deployment(75, 40, 40, shortsPerS, longsPerS, 400), 1);
        for (ServerChoiceSimulation simulation : new ServerChoiceSimulation[] {separated, mixed}) {
            simulation.runUntil(WARM_UP_MS);
            simulation.resetCounts();
            simulation.runUntil(END_MS);
        }
        return new ServerChoiceSimulation[] {separated, mixed};
    }

    /**
     * Nearly all short requests meet their target beside long prompts, on many nodes with little traffic each; the long
     * ones lose some.
     */
    @Test
    void shortRequestsDoNotWaitBehindLongPrompts() {
        ServerChoiceSimulation[] results = runSeparatedAndMixed(450, 50);
        assertThat(results[0].shortsOnTarget() - results[1].shortsOnTarget(), is(greaterThan(0.06)));
        assertThat(results[0].shortsOnTarget(), is(greaterThan(0.95)));
        assertThat(results[0].longsOnTarget(), is(greaterThan(results[1].longsOnTarget() - 0.12)));
    }

    /**
     * With three times as many short requests, the other servers have to be used for them too. Separation has a cost in
     * this case, since each node finds out for itself what the servers can handle; the test bounds that cost.
     */
    @Test
    void shortRequestsUseAllServersUnderHighLoad() {
        ServerChoiceSimulation[] results = runSeparatedAndMixed(1_400, 20);
        assertThat(results[0].shortsOnTarget(), is(greaterThan(results[1].shortsOnTarget() - 0.1)));
    }
}
