package rowanplank.subset;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests of {@link ColdStart}. */
class ColdStartTest {
    private static final ColdStart COLD = new ColdStart(0.2, 1000, 2.5);

    @Test
    void capacityGrowsFromTheInitialFractionToOneDuringWarmup() {
        assertEquals(0.2, COLD.capacityFraction(5000, 5000));
        assertEquals(0.6, COLD.capacityFraction(5500, 5000), 1e-9);
        assertEquals(1, COLD.capacityFraction(6000, 5000));
        assertEquals(1, COLD.capacityFraction(500, 0), "started long ago");
        assertTrue(COLD.isWarm(6000, 5000));
        assertFalse(COLD.isWarm(5999, 5000));
    }

    /** A start time in the future, by the clock of whoever listed the server, counts as a start now. */
    @Test
    void aStartInTheFutureCountsAsAStartNow() {
        assertEquals(0.2, COLD.capacityFraction(5000, 5300));
    }

    /**
     * A limit is half of what overloads a warm server. Where a server is overloaded by less, its limit while cold is
     * lower in proportion.
     */
    @Test
    void theLimitFollowsTheCapacityAndTheOverloadMultiple() {
        assertEquals(0.5, COLD.limitFraction(0.5));
        assertEquals(0.25, new ColdStart(0.2, 1000, 1).limitFraction(0.5));
        assertEquals(1, new ColdStart(0.2, 1000, 1).limitFraction(1));
    }
}
