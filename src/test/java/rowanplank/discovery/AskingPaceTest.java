package rowanplank.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class AskingPaceTest {
    private static final int LONG_DOWN = 100;

    /** Guards discovery, down for long, from the whole fleet: no more than a single node's 5 to 10 calls a second. */
    @Property(seed = "93", tries = 100)
    void allNodesTogetherAskNoMoreOftenThanOneMay(@ForAll @IntRange(min = 1, max = 200) int nodes) {
        double callsASecond = 0;
        for (int node = 0; node < nodes; node++) {
            AskingPace pace = new AskingPace(nodes, node);
            Duration spent = Duration.ZERO;
            for (int i = 0; i < LONG_DOWN; i++) {
                pace.failed();
            }
            for (int i = 0; i < LONG_DOWN; i++) {
                spent = spent.plus(pace.failed());
            }
            callsASecond += LONG_DOWN / (spent.toNanos() / 1e9);
        }
        assertTrue(callsASecond >= 5 && callsASecond <= 10, callsASecond + " calls a second by " + nodes + " nodes");
    }

    /** Guards against nodes that start together, are refused together and ask together again. */
    @Example
    void nodesThatAreRefusedTogetherDoNotAskTogetherAgain() {
        assertNotEquals(new AskingPace(14, 1).failed(), new AskingPace(14, 2).failed());
    }

    /** Guards the watch: the call after a first failure still continues the last one, within 200 ms. */
    @Property(seed = "94", tries = 100)
    void oneFailureIsNoReasonToWait(@ForAll long seed) {
        Duration first = new AskingPace(200, seed).failed();
        assertTrue(first.toMillis() >= 25 && first.toMillis() <= 50, first.toString());
    }

    /** Guards the place in discovery's queue: a slow answer is not given up and asked for again at once. */
    @Example
    void whatIsLateIsWaitedForLongerWithinBounds() {
        AskingPace pace = new AskingPace(14, 1);
        assertEquals(Duration.ofSeconds(2), pace.watchWait());
        assertEquals(Duration.ofSeconds(1), pace.listPatience());
        pace.failed();
        assertEquals(Duration.ofSeconds(4), pace.watchWait());
        assertEquals(Duration.ofSeconds(2), pace.listPatience());
        for (int i = 0; i < LONG_DOWN; i++) {
            pace.failed();
        }
        assertEquals(Duration.ofSeconds(30), pace.watchWait());
        assertEquals(Duration.ofSeconds(4), pace.listPatience());
        pace.answered();
        assertEquals(Duration.ofSeconds(2), pace.watchWait());
        assertTrue(pace.failed().toMillis() <= 50);
    }
}
