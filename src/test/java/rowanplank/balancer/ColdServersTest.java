package rowanplank.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import rowanplank.balancer.ColdFleet.ColdBehavior;
import rowanplank.balancer.ColdFleet.InjectedFault;
import rowanplank.balancer.ColdFleet.Scenario;

/**
 * Rule 4, that cold servers must not be overloaded, for the sum of all nodes: one to thirty independent modules, and
 * servers that join and restart cold, under a burst, while nodes fail, restart and hear of starts late. The load is
 * counted by {@link OverloadCounter}, independently of the module.
 */
class ColdServersTest {
    /**
     * Fleets in which nodes use nearly every server; in which up to 7 nodes use a server that 3 are wanted for; and
     * in which few nodes use a server, with whole slots.
     */
    private static final Scenario[] FLEETS = {plan(30, 12, 85), plan(24, 60, 85), plan(24, 60, 400), plan(3, 10, 400),
        plan(1, 4, 85), plan(1, 4, 400)};
    private static final int SEEDS = 2;

    private static Scenario plan(int nodes, int servers, double workMs) {
        return new Scenario(nodes, servers, workMs, 0.55, 1.6, ColdBehavior.SERVES, 0, false, InjectedFault.NONE);
    }

    private static void assertNotOverloaded(Scenario plan, long seed) {
        ColdFleet fleet = new ColdFleet(plan, seed).run();
        assertEquals(0, fleet.rulesBroken(), () -> "servers overloaded: " + plan + ", seed " + seed);
        assertTrue(fleet.maxInformedLoad() < 1,
                () -> fleet.maxInformedLoad() + " of the overload limit: " + plan + ", seed " + seed);
    }

    @ParameterizedTest
    @EnumSource(ColdBehavior.class)
    void informedNodesDoNotOverloadAColdServer(ColdBehavior behavior) {
        for (Scenario fleet : FLEETS) {
            for (long seed = 1; seed <= SEEDS; seed++) {
                assertNotOverloaded(fleet.with(behavior), seed);
            }
        }
    }

    /**
     * With errors from other servers too, ejection removes more of them, and is ignored once most servers are
     * ejected.
     */
    @ParameterizedTest
    @EnumSource(ColdBehavior.class)
    void norWhileOtherServersFailToo(ColdBehavior behavior) {
        for (Scenario fleet : FLEETS) {
            assertNotOverloaded(fleet.with(behavior).failing(0.35), 1);
            assertNotOverloaded(fleet.with(behavior).failing(0.8), 1);
        }
    }

    /** Send credit that nodes accumulate while no requests arrive must not be spent at once. */
    @ParameterizedTest
    @EnumSource(ColdBehavior.class)
    void norInABurstAfterAQuietPeriod(ColdBehavior behavior) {
        for (Scenario fleet : FLEETS) {
            assertNotOverloaded(fleet.with(behavior).quietUntilTheBurst(), 1);
        }
    }

    private static long rulesBroken(Scenario plan) {
        return new ColdFleet(plan, 1).run().rulesBroken() + new ColdFleet(plan, 2).run().rulesBroken();
    }

    /** Shows that the checks above can fail, by injected faults. */
    @Test
    void warmupSizedForOneNodeOrNoneOverloadsServers() {
        Scenario busy = new Scenario(24, 24, 400, 0.9, 1.6, ColdBehavior.SERVES, 0, false, InjectedFault.NONE);
        assertEquals(0, rulesBroken(busy));
        assertTrue(rulesBroken(busy.with(InjectedFault.WARMUP_FOR_ONE_NODE)) > 0);
        assertTrue(rulesBroken(busy.with(InjectedFault.NO_WARMUP)) > 0);
    }

    /** The warm-up must not be so careful that cold servers get almost no work. */
    @Test
    void coldServersGetTheirShareOfTheWork() {
        ColdFleet fleet = new ColdFleet(plan(24, 60, 85), 1).run();
        assertTrue(fleet.served > 0.95 * fleet.requested, fleet.served + " of " + fleet.requested + " served");
        assertTrue(fleet.servedCold > 0.05 * fleet.served,
                fleet.servedCold + " of " + fleet.served + " by cold servers");
    }
}
