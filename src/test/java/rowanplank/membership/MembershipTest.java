package rowanplank.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class MembershipTest {
    private final Membership members = new Membership(3, 0);
    private Instant now = Instant.EPOCH;

    private void pass(Duration time, int... alive) {
        Instant until = now.plus(time);
        while (now.isBefore(until)) {
            for (int node : alive) {
                members.onAlive(now, node);
            }
            now = now.plus(members.pace());
        }
    }

    /** Guards servers from nodes that start: until it could have heard the others, none takes more than its part. */
    @Example
    void whoHasListenedForTooShortATimeCountsAll() {
        assertEquals(3, members.living(now));
        members.onListening(now);
        now = now.plus(members.patience()).minusMillis(1);
        assertEquals(3, members.living(now));
        now = now.plusMillis(1);
        assertEquals(1, members.living(now));
        members.onDeaf();
        assertEquals(3, members.living(now));
    }

    @Example
    void whoFallsSilentOrLeavesDoesNotCountAndWhoComesBackDoesAtOnce() {
        members.onListening(now);
        pass(members.patience().multipliedBy(2), 1, 2);
        assertEquals(3, members.living(now));
        pass(members.patience().plus(members.pace()), 1);
        assertEquals(2, members.living(now));
        members.onLeaving(1);
        assertEquals(1, members.living(now));
        members.onAlive(now, 2);
        assertEquals(2, members.living(now));
    }

    @Example
    void oneLostDatagramIsNoDeath() {
        members.onListening(now);
        pass(members.patience().multipliedBy(2), 1, 2);
        now = now.plus(members.pace().multipliedBy(2));
        assertEquals(3, members.living(now));
    }

    /** All datagrams together grow with the nodes, not with their square. */
    @Property(seed = "41")
    void thePaceFallsWithTheNodes(@ForAll @IntRange(min = 1, max = 5000) int nodes) {
        double each = 1e9 / new Membership(nodes, 0).pace().toNanos();
        assertTrue(each <= 4 && each * nodes <= 40.0001, each + " a second");
    }

    /** Whatever is heard, from whatever number: at least this one lives, and no more than all. */
    @Property(seed = "42")
    void theCountStaysWithinTheTier(@ForAll @Size(max = 60) List<@IntRange(min = -2, max = 5) Integer> heard) {
        members.onListening(now);
        for (int from : heard) {
            now = now.plusMillis(400);
            if (from == 5) {
                members.onLeaving(1);
            } else {
                members.onAlive(now, from);
            }
            int living = members.living(now);
            assertTrue(living >= 1 && living <= 3, living + " of 3");
        }
    }
}
