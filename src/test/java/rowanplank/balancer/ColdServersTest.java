package rowanplank.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import rowanplank.balancer.ColdFleet.Cold;
import rowanplank.balancer.ColdFleet.Fault;
import rowanplank.balancer.ColdFleet.Plan;

/**
 * Rule 4 for the sum of all nodes: one to thirty modules that know nothing of each other, and servers that join and come
 * back cold, under a burst, while nodes die, come back and hear late. What counts is {@link FallCounter}'s, apart from the
 * module.
 */
class ColdServersTest {
    /** Some nodes use nearly every server; or up to 7 use a server that 3 are wanted for; or few do, with whole places. */
    private static final Plan[] FLEETS = {plan(30, 12, 85), plan(24, 60, 85), plan(24, 60, 400), plan(3, 10, 400),
        plan(1, 4, 85), plan(1, 4, 400)};
    private static final int SEEDS = 2;

    private static Plan plan(int nodes, int servers, double workMs) {
        return new Plan(nodes, servers, workMs, 0.55, 1.6, Cold.SERVES, 0, false, Fault.NONE);
    }

    private static void bears(Plan plan, long seed) {
        ColdFleet fleet = new ColdFleet(plan, seed).run();
        assertEquals(0, fleet.broken(), () -> "servers pushed over: " + plan + ", seed " + seed);
        assertTrue(fleet.mostByTold() < 1, () -> fleet.mostByTold() + " of what it bears: " + plan + ", seed " + seed);
    }

    @ParameterizedTest
    @EnumSource(Cold.class)
    void nodesThatWereToldDoNotPushAColdServerOver(Cold how) {
        for (Plan fleet : FLEETS) {
            for (long seed = 1; seed <= SEEDS; seed++) {
                bears(fleet.with(how), seed);
            }
        }
    }

    /** With errors everywhere, ejection takes more of them, and is ignored once most servers are ejected. */
    @ParameterizedTest
    @EnumSource(Cold.class)
    void norWhileOthersFailToo(Cold how) {
        for (Plan fleet : FLEETS) {
            bears(fleet.with(how).failing(0.35), 1);
            bears(fleet.with(how).failing(0.8), 1);
        }
    }

    /** What nodes save up while nothing is asked of them is not spent at once. */
    @ParameterizedTest
    @EnumSource(Cold.class)
    void norInABurstAfterAQuietTime(Cold how) {
        for (Plan fleet : FLEETS) {
            bears(fleet.with(how).quietUntilTheBurst(), 1);
        }
    }

    private static long broken(Plan plan) {
        return new ColdFleet(plan, 1).run().broken() + new ColdFleet(plan, 2).run().broken();
    }

    /** Planted: so the checks above can fail. */
    @Test
    void rampsForOneProcessOrNoneWouldPushThemOver() {
        Plan busy = new Plan(24, 24, 400, 0.9, 1.6, Cold.SERVES, 0, false, Fault.NONE);
        assertEquals(0, broken(busy));
        assertTrue(broken(busy.with(Fault.RAMP_OF_ONE)) > 0);
        assertTrue(broken(busy.with(Fault.NO_RAMP)) > 0);
    }

    /** Guards the ramp against being so careful that servers stay cold and at rest. */
    @Test
    void coldServersTakePartInTheWork() {
        ColdFleet fleet = new ColdFleet(plan(24, 60, 85), 1).run();
        assertTrue(fleet.served > 0.95 * fleet.asked, fleet.served + " of " + fleet.asked + " served");
        assertTrue(fleet.servedCold > 0.05 * fleet.served, fleet.servedCold + " of " + fleet.served + " by cold servers");
    }
}
