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

/** What the choice among servers comes to on deployments of all sizes, in virtual time. */
class ServerChoiceSimulationTest {
    private static final double WARM_UP_MS = 4_000;
    private static final double END_MS = 12_000;
    /** Short requests that an engine takes a second at two fifths of its slots, each of some 200 ms. */
    private static final double SHORTS_PER_ENGINE_PER_S = 30;
    private static final int MAX_SHORTS_PER_S = 1_500;
    /** Busiest server against the mean; chance alone, by three standard deviations, comes on top. */
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
        int most = simulation.engines.stream().mapToInt(EmulatedEngine::arrivals).max().orElse(0);
        assertThat(deployment.toString(), (double) most, is(lessThan(SPREAD_BOUND * mean + 3 * Math.sqrt(mean) + 1)));
        assertThat(deployment.toString(), simulation.shortsOnTarget(), is(greaterThan(0.985)));
    }

    /** A server that fails is found out within a few of each node's own requests, and used again once it is well. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15, 16})
    void aFailingServerIsAvoidedAndUsedAgainAfterRecovery(long seed) {
        ServerChoiceSimulation.Deployment deployment = draw(seed);
        ServerChoiceSimulation simulation = new ServerChoiceSimulation(deployment, seed);
        simulation.runUntil(WARM_UP_MS);
        EmulatedEngine bad = simulation.engines.get(0);
        int before = bad.arrivals();
        bad.failing(true);
        simulation.runUntil(WARM_UP_MS + FAILURE_DURATION_MS);
        int sent = bad.arrivals() - before;
        assertThat(deployment.toString(), sent, is(lessThanOrEqualTo(MAX_PROBES_PER_NODE * deployment.nodes())));
        bad.failing(false);
        int well = bad.arrivals();
        simulation.runUntil(WARM_UP_MS + FAILURE_DURATION_MS + RECOVERY_DURATION_MS);
        assertThat(deployment.toString(), bad.arrivals(), is(greaterThan(well)));
    }

    /** Servers that are four times slower than the others get clearly less, where a node has answers enough to see it. */
    @Test
    void aSlowServerGetsLess() {
        ServerChoiceSimulation simulation = new ServerChoiceSimulation(new ServerChoiceSimulation.Deployment(4, 8, 1, 120, 0, 1), 1);
        EmulatedEngine slow = simulation.engines.get(0);
        slow.slowness(4);
        simulation.runUntil(WARM_UP_MS);
        int before = slow.arrivals();
        int others = simulation.engines.stream().mapToInt(EmulatedEngine::arrivals).sum();
        simulation.runUntil(END_MS);
        int all = simulation.engines.stream().mapToInt(EmulatedEngine::arrivals).sum() - others;
        assertThat((double) (slow.arrivals() - before) * simulation.engines.size() / all, is(lessThan(0.6)));
    }

    /** Plays the same requests with servers kept for short prompts, and with zones of one server, which keep none apart. */
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

    /** Short requests beside long prompts, on many thin nodes: nearly all are in time, while long ones lose some. */
    @Test
    void shortRequestsDoNotWaitBehindLongPrompts() {
        ServerChoiceSimulation[] results = runSeparatedAndMixed(450, 50);
        assertThat(results[0].shortsOnTarget() - results[1].shortsOnTarget(), is(greaterThan(0.06)));
        assertThat(results[0].shortsOnTarget(), is(greaterThan(0.95)));
        assertThat(results[0].longsOnTarget(), is(greaterThan(results[1].longsOnTarget() - 0.12)));
    }

    /**
     * Three times as many short requests go to the other servers as well. Keeping servers apart has a cost there, which is
     * bounded: the nodes find out one by one what those servers can take.
     */
    @Test
    void shortRequestsUseAllServersUnderHighLoad() {
        ServerChoiceSimulation[] results = runSeparatedAndMixed(1_400, 20);
        assertThat(results[0].shortsOnTarget(), is(greaterThan(results[1].shortsOnTarget() - 0.1)));
    }
}
