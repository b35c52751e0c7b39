package routerfleet.data;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.math.BigDecimal;
import java.math.MathContext;
import org.junit.jupiter.api.Test;

/** The rate that keeps the tail of a second below its bound, computed by other means than the code's. */
class WarmupRateTest {
    private static final MathContext DIGITS = new MathContext(40);
    /** Slices that a second touches at most. */
    private static final int SLICES = 11;
    private static final double[] BOUNDS = {5, 7.25, 18.5, 38, 80, 400};

    /** P(Poisson > most), as the part of all terms that lies beyond it, with forty digits. */
    private static double exactTail(double mean, int most) {
        BigDecimal m = BigDecimal.valueOf(mean);
        BigDecimal term = BigDecimal.ONE;
        BigDecimal beyond = BigDecimal.ZERO;
        BigDecimal all = BigDecimal.ONE;
        for (int i = 1; i < 3_000; i++) {
            term = term.multiply(m, DIGITS).divide(BigDecimal.valueOf(i), DIGITS);
            all = all.add(term, DIGITS);
            beyond = i > most ? beyond.add(term, DIGITS) : beyond;
        }
        return beyond.divide(all, DIGITS).doubleValue();
    }

    /** P(Binomial > most), by its terms in logarithms. */
    private static double binomialTail(int trials, double chance, int most) {
        double logTerm = trials * Math.log1p(-chance);
        double sum = 0;
        for (int i = 0; i <= trials; i++) {
            sum += i > most ? Math.exp(logTerm) : 0;
            logTerm += Math.log((double) (trials - i) / (i + 1)) + Math.log(chance) - Math.log1p(-chance);
        }
        return sum;
    }

    @Test
    void theTailMatchesThePoissonDistribution() {
        for (double mean : new double[] {0.01, 1, 14.7, 60}) {
            for (int most : new int[] {0, 5, 38, 100}) {
                double exact = exactTail(mean, most);
                assertThat(WarmupRate.poissonTail(mean, most), is(closeTo(exact, exact * 1e-9 + 1e-300)));
            }
        }
    }

    @Test
    void theRateIsTheLargestWithinTheBound() {
        for (double most : BOUNDS) {
            double rate = WarmupRate.maxRate(most);
            assertThat(exactTail(rate, (int) most), is(lessThanOrEqualTo(1.000001e-7)));
            assertThat(exactTail(rate * 1.001, (int) most), is(greaterThan(1e-7)));
        }
        assertThat("22 a second, 1.5 times and 5", WarmupRate.maxRate(38), is(closeTo(14.7, 0.2)));
    }

    /** A sum of equal trials over any nodes and all slices that a second touches stays below the Poisson tail. */
    @Test
    void noNumberOfNodesExceedsTheBound() {
        for (double most : BOUNDS) {
            double rate = WarmupRate.maxRate(most);
            for (int nodes = 1; nodes <= 400; nodes++) {
                double chance = WarmupRate.permitProbability(rate, nodes);
                double tail = chance < 1 ? binomialTail(nodes * SLICES, chance, (int) most)
                        : nodes * SLICES > most ? 1 : 0;
                assertThat(most + " a second, " + nodes + " nodes", tail, is(lessThan(1e-7)));
            }
        }
    }

    /** The margin also covers an eighth more nodes than are known of. */
    @Test
    void nodesThatAreNotCountedYetAreAllowedFor() {
        double rate = WarmupRate.maxRate(38);
        for (int known = 8; known <= 400; known++) {
            int present = known + known / 8;
            double chance = WarmupRate.permitProbability(rate, known);
            assertThat(known + " known", binomialTail(present * SLICES, chance, 38), is(lessThan(1e-7)));
        }
    }

    @Test
    void thereAreNoPermitsWhileTheNodeCountIsUnknown() {
        assertThat(WarmupRate.permitProbability(14, 0), is(0.0));
        assertThat(WarmupRate.maxRate(0), is(lessThan(1e-6)));
    }

    /** Guards data nodes: a valid configuration with a huge bound must not keep the event loop busy, or for ever. */
    @Test
    void aHugeBoundIsClampedToTheLargestOne() {
        assertThat(WarmupRate.maxRate(1e300), is(WarmupRate.maxRate(10_000)));
        assertThat(WarmupRate.maxRate(4e9), is(WarmupRate.maxRate(10_000)));
    }
}
