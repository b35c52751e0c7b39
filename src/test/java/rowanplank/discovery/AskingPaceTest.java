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
    private static final Duration MOMENT = Duration.ofMillis(50);
    /** What discovery has counts as told so long after it could be reached. */
    private static final Duration TOLD = Duration.ofSeconds(6);
    /** Of that, what is left for the connection and for discovery's own queue. */
    private static final Duration FOR_THE_ANSWER = Duration.ofSeconds(2);

    private static AskingPace asked(int nodes, long seed) {
        return new AskingPace(nodes, false, seed);
    }

    private static AskingPace longDown(AskingPace pace) {
        for (int i = 0; i < LONG_DOWN; i++) {
            pace.failed(Duration.ZERO);
        }
        return pace;
    }

    /**
     * Guards discovery, down for long and refusing, from the whole fleet: no more than a single node's 5 to 10 calls a
     * second, or where that would be too slow for the 6 s, no more than one call in 2 to 4 s of each node.
     */
    @Property(seed = "93", tries = 100)
    void allNodesTogetherAskNoMoreOftenThanOneMayOrThanTheRuleWants(@ForAll @IntRange(min = 1, max = 400) int nodes) {
        double callsASecond = 0;
        for (int node = 0; node < nodes; node++) {
            AskingPace pace = longDown(asked(nodes, node));
            Duration spent = Duration.ZERO;
            for (int i = 0; i < LONG_DOWN; i++) {
                spent = spent.plus(pace.failed(Duration.ZERO));
            }
            callsASecond += LONG_DOWN / (spent.toNanos() / 1e9);
        }
        double fleet = callsASecond * Math.min(1, 20.0 / nodes);
        assertTrue(fleet >= 5 && fleet <= 10, callsASecond + " calls a second by " + nodes + " nodes");
    }

    /** Guards against nodes that start together, are refused together and ask together again. */
    @Example
    void nodesThatAreRefusedTogetherDoNotAskTogetherAgain() {
        assertNotEquals(asked(14, 1).failed(Duration.ZERO), asked(14, 2).failed(Duration.ZERO));
    }

    /** Guards the watch: the call after a first failure still continues the last one, within 200 ms. */
    @Property(seed = "94", tries = 100)
    void oneFailureIsNoReasonToWait(@ForAll long seed) {
        Duration first = asked(200, seed).failed(Duration.ZERO);
        assertTrue(first.toMillis() >= 25 && first.toMillis() <= 50, first.toString());
    }

    /**
     * Guards what discovery has to tell when it is back: a call that began just before and is lost, whatever became of
     * it, and however many nodes there are and calls failed before, is followed by one that has 2 s to be answered.
     */
    @Property(seed = "95", tries = 200)
    void afterAnyFailuresTheNextCallHasTimeToBeAnsweredWithinSixSeconds(@ForAll @IntRange(min = 1, max = 400) int nodes,
            @ForAll @IntRange(max = LONG_DOWN) int failures, @ForAll boolean pushed, @ForAll boolean silent,
            @ForAll long seed) {
        AskingPace pace = new AskingPace(nodes, pushed, seed);
        for (int i = 0; i < failures; i++) {
            pace.failed(Duration.ZERO);
        }
        Duration spent = silent ? pace.patience(pace.watchWait()) : Duration.ZERO;
        Duration gap = spent.plus(pace.failed(spent));
        assertTrue(gap.plus(FOR_THE_ANSWER).compareTo(TOLD) <= 0, gap.toString());
    }

    /** Guards discovery that falls silent for all at once: calls that are given up together are not made together again. */
    @Example
    void nodesThatGiveUpTogetherDrawLotsForTheNextCall() {
        double least = 10;
        double most = 0;
        for (int node = 0; node < 100; node++) {
            AskingPace pace = longDown(asked(100, node));
            double pause = pace.failed(pace.patience(pace.watchWait())).toNanos() / 1e9;
            least = Math.min(least, pause);
            most = Math.max(most, pause);
        }
        assertTrue(least < 0.1 && most > 1.4 && most <= 1.5, least + " to " + most);
    }

    /** Guards what an agent gets at discovery's return: it counts at once, and to ask it costs nothing. */
    @Property(seed = "96", tries = 100)
    void anAgentIsAskedAgainAtOnceHoweverLongItWasSilent(@ForAll @IntRange(min = 1, max = 400) int nodes) {
        AskingPace pace = longDown(new AskingPace(nodes, true, nodes));
        assertTrue(pace.failed(Duration.ZERO).compareTo(MOMENT) <= 0);
        assertEquals(Duration.ZERO, pace.watchWait(), "silence shows at once where nothing is waited for");
        assertEquals(Duration.ofSeconds(1), pace.patience(Duration.ZERO));
        pace.answered();
        assertEquals(Duration.ofMillis(250), pace.patience(Duration.ZERO));
        assertEquals(Duration.ofMillis(2250), pace.patience(pace.watchWait()));
    }

    /** Guards the place in discovery's queue: a slow answer is not given up and asked for again at once. */
    @Example
    void whatIsLateIsWaitedForLongerWithinBounds() {
        AskingPace pace = asked(14, 1);
        assertEquals(Duration.ofSeconds(2), pace.watchWait());
        assertEquals(Duration.ofSeconds(3), pace.patience(pace.watchWait()));
        assertEquals(Duration.ofSeconds(1), pace.patience(Duration.ZERO));
        pace.failed(Duration.ZERO);
        assertEquals(Duration.ofSeconds(2), pace.patience(Duration.ZERO));
        longDown(pace);
        assertEquals(Duration.ofSeconds(1), pace.watchWait());
        assertEquals(Duration.ofMillis(2500), pace.patience(pace.watchWait()));
        assertEquals(Duration.ofMillis(2500), pace.patience(Duration.ZERO));
        pace.answered();
        assertEquals(Duration.ofSeconds(1), pace.patience(Duration.ZERO));
        assertTrue(pace.failed(Duration.ZERO).toMillis() <= 50);
    }

    /** Guards a node whose discovery is slow: an answer that comes drop by drop is whole some time. */
    @Example
    void anAnswerThatStopsAgainAndAgainIsWaitedForLonger() {
        AskingPace pace = asked(14, 1);
        for (int i = 0; i < 3; i++) {
            assertEquals(Duration.ofMillis(80), pace.stall());
            pace.stalled();
        }
        pace.stalled();
        assertEquals(Duration.ofMillis(160), pace.stall());
        for (int i = 0; i < LONG_DOWN; i++) {
            pace.stalled();
        }
        assertEquals(Duration.ofSeconds(1), pace.stall());
        assertEquals(Duration.ofSeconds(1), pace.patienceForRest(Duration.ofMillis(100)));
        longDown(pace);
        assertEquals(Duration.ofMillis(2500), pace.patienceForRest(Duration.ofMillis(100)));
        assertEquals(Duration.ofMillis(1500), pace.patienceForRest(Duration.ofMillis(2500)));
        pace.answered();
        assertEquals(Duration.ofMillis(80), pace.stall());
    }
}
