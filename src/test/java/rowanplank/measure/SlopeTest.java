package rowanplank.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SlopeTest {
    private static final double NEAR = 1e-9;

    @Test
    void pointsOnALineGiveThatLine() {
        Slope line = Slope.of(new double[] {60, 240, 960}, new double[] {10 + 2 * 60, 10 + 2 * 240, 10 + 2 * 960});
        assertEquals(10, line.base(), NEAR);
        assertEquals(2, line.each(), NEAR);
        assertEquals(0, line.worst(), NEAR);
        assertEquals(10 + 2 * 7200, line.at(7200), NEAR);
    }

    /** By hand: means 2 and 3, (-1 * -2 + 0 * 1 + 1 * 1) / 2 = 1.5. */
    @Test
    void pointsBesideALineGiveTheLeastSquares() {
        Slope line = Slope.of(new double[] {1, 2, 3}, new double[] {1, 4, 4});
        assertEquals(1.5, line.each(), NEAR);
        assertEquals(0, line.base(), NEAR);
        assertEquals(1.0 / 4, line.worst(), NEAR); // at 2 the line is 3, the value 4
    }

    @Test
    void tellsHowFarItIsExtrapolated() {
        Slope line = Slope.of(new double[] {25, 100, 200}, new double[] {1, 1, 1});
        assertEquals(1.9, line.beyond(380), NEAR);
        assertEquals(0.5, line.beyond(100), NEAR);
    }

    @Test
    void tellsWhereALimitIsReached() {
        Slope line = Slope.of(new double[] {0, 10, 20}, new double[] {5, 6, 7});
        assertEquals(50, line.reaches(10), NEAR);
        assertTrue(Double.isInfinite(Slope.of(new double[] {1, 2, 3}, new double[] {3, 2, 1}).reaches(10)));
        assertTrue(Double.isInfinite(Slope.of(new double[] {1, 2, 3}, new double[] {2, 2, 2}).reaches(10)));
    }

    @Test
    void twoPointsAreNoSlope() {
        assertThrows(IllegalArgumentException.class, () -> Slope.of(new double[] {1, 2}, new double[] {1, 2}));
        assertThrows(IllegalArgumentException.class, () -> Slope.of(new double[] {1, 2, 3}, new double[] {1, 2}));
        assertThrows(IllegalArgumentException.class, () -> Slope.of(new double[] {4, 4, 4}, new double[] {1, 2, 3}));
    }
}
