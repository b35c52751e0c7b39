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
 * Rule 4 for the sum of all nodes: one to thirty modules that know nothing of each other, and servers that join and come
 * back cold, under a burst, while nodes die, come back and hear late. What counts is {@link OverloadCounter}'s, apart from the
 * module.
 */
class ColdServersTest {
    /** Some nodes use nearly every server; or up to 7 use a server that 3 are wanted for; or few do, with whole places. */
    private static final Scenario[] FLEETS = {plan(30, 12, 85), plan(24, 60, 85), plan(24, 60, 400), plan(3, 10, 400),
        plan(1, 4, 85), plan(1, 4, 400)};
    private static final int SEEDS = 2;

    private static Scenario plan(int nodes, int servers, double workMs) {
        return new Scenario(nodes, servers, workMs, 0.55, 1.6, ColdBehavior.SERVES, 0, false, InjectedFault.NONE);
    }

    private static void bears(Scenario plan, long seed) {
        ColdFleet fleet = new ColdFleet(plan, seed).run();
        assertEquals(0, fleet.rulesBroken(), () -> "servers pushed over: " + plan + ", seed " + seed);
        assertTrue(fleet.maxInformedLoad() < 1, () -> fleet.maxInformedLoad() + " of what it bears: " + plan + ", seed " + seed);
    }

    @ParameterizedTest
    @EnumSource(ColdBehavior.class)
    void nodesThatWereToldDoNotPushAColdServerOver(ColdBehavior how) {
        for (Scenario fleet : FLEETS) {
            for (long seed = 1; seed <= SEEDS; seed++) {
                bears(fleet.with(how), seed);
            }
        }
    }

    /** With errors everywhere, ejection takes more of them, and is ignored once most servers are ejected. */
    @ParameterizedTest
    @EnumSource(ColdBehavior.class)
    void norWhileOthersFailToo(ColdBehavior how) {
        for (Scenario fleet : FLEETS) {
            bears(fleet.with(how).failing(0.35), 1);
            bears(fleet.with(how).failing(0.8), 1);
        }
    }

    /** What nodes save up while nothing is asked of them is not spent at once. */
    @ParameterizedTest
    @EnumSource(ColdBehavior.class)
    void norInABurstAfterAQuietTime(ColdBehavior how) {
        for (Scenario fleet : FLEETS) {
            bears(fleet.with(how).quietUntilTheBurst(), 1);
        }
    }

    private static long broken(Scenario plan) {
        return new ColdFleet(plan, 1).run().rulesBroken() + new ColdFleet(plan, 2).run().rulesBroken();
    }

    /** Planted: so the checks above can fail. */
    @Test
    void rampsForOneProcessOrNoneWouldPushThemOver() {
        Scenario busy = new Scenario(24, 24, 400, 0.9, 1.6, ColdBehavior.SERVES, 0, false, InjectedFault.NONE);
        assertEquals(0, broken(busy));
        assertTrue(broken(busy.with(InjectedFault.WARMUP_FOR_ONE_NODE)) > 0);
        assertTrue(broken(busy.with(InjectedFault.NO_WARMUP)) > 0);
    }

    /** Guards the ramp against being so careful that servers stay cold and at rest. */
    @Test
    void coldServersTakePartInTheWork() {
        ColdFleet fleet = new ColdFleet(plan(24, 60, 85), 1).run();
        assertTrue(fleet.served > 0.95 * fleet.requested, fleet.served + " of " + fleet.requested + " served");
        assertTrue(fleet.servedCold > 0.05 * fleet.served, fleet.servedCold + " of " + fleet.served + " by cold servers");
    }
}
