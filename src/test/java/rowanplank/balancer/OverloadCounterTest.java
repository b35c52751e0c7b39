package rowanplank.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Tests of {@link OverloadCounter} by cases calculated by hand. N is 4 at the start, so the server can take 4 + 4 + 2
 * requests per window.
 */
class OverloadCounterTest {
    private static final OverloadCounter.ServerTerms TERMS =
            new OverloadCounter.ServerTerms(0.1, 1_000_000, 2, 1000, 0.02);

    private static OverloadCounter after(int informed, int uninformed, double gapMs) {
        OverloadCounter counter = new OverloadCounter(TERMS, 0);
        for (int i = 0; i < informed + uninformed; i++) {
            counter.arrived(1 + i * gapMs, 1, i < informed);
        }
        return counter;
    }

    @Test
    void isOverloadedByOneRequestAboveTheLimit() {
        assertEquals(10, new OverloadCounter(TERMS, 0).overloadLimit(0), 1e-9);
        assertFalse(after(10, 0, 1).overloaded);
        assertTrue(after(11, 0, 1).overloaded);
        assertTrue(after(11, 0, 1).ruleBroken);
    }

    @Test
    void requestsBeforeTheWindowDoNotCount() {
        assertFalse(after(100, 0, 100).overloaded);
        assertTrue(after(100, 0, 90).overloaded);
    }

    @Test
    void overloadBreaksTheRuleOnlyIfOverTwoThirdsCameFromInformedNodes() {
        assertTrue(after(7, 4, 1).overloaded);
        assertFalse(after(7, 4, 1).ruleBroken);
        assertTrue(after(8, 3, 1).ruleBroken);
    }

    @Test
    void countsWorkInsteadOfRequests() {
        OverloadCounter counter = new OverloadCounter(TERMS, 0);
        for (int i = 0; i < 20; i++) {
            counter.arrived(1 + i, 0.5, true);
        }
        assertFalse(counter.overloaded);
        counter.arrived(30, 0.5, true);
        assertTrue(counter.ruleBroken);
    }

    @Test
    void limitRisesDuringWarmupAndEndsAfterIt() {
        OverloadCounter counter = new OverloadCounter(TERMS, 0);
        assertTrue(counter.overloadLimit(500_000) > 2 * counter.overloadLimit(0));
        for (int i = 0; i < 500; i++) {
            counter.arrived(1_000_000 + i, 1, true);
        }
        assertFalse(counter.overloaded);
    }
}
