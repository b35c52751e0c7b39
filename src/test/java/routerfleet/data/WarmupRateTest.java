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

/** Tests the rate for cold servers against tail probabilities that are computed independently. */
class WarmupRateTest {
    private static final MathContext DIGITS = new MathContext(40);
    /** Maximum number of slices that a second overlaps. */
    private static final int SLICES = 11;
    private static final double[] BOUNDS = {5, 7.25, 18.5, 38, 80, 400};

    /** P(Poisson > threshold), as a fraction of the sum of all terms, with forty digits. */
    private static double exactTail(double mean, int threshold) {
        BigDecimal m = BigDecimal.valueOf(mean);
        BigDecimal term = BigDecimal.ONE;
        BigDecimal beyond = BigDecimal.ZERO;
        BigDecimal all = BigDecimal.ONE;
        for (int i = 1; i < 3_000; i++) {
            term = term.multiply(m, DIGITS).divide(BigDecimal.valueOf(i), DIGITS);
            all = all.add(term, DIGITS);
            beyond = i > threshold ? beyond.add(term, DIGITS) : beyond;
        }
        return beyond.divide(all, DIGITS).doubleValue();
    }

    /** P(Binomial > threshold), with the terms computed as logarithms. */
    private static double binomialTail(int trials, double probability, int threshold) {
        double logTerm = trials * Math.log1p(-probability);
        double sum = 0;
        for (int i = 0; i <= trials; i++) {
            sum += i > threshold ? Math.exp(logTerm) : 0;
            logTerm += Math.log((double) (trials - i) / (i + 1)) + Math.log(probability) - Math.log1p(-probability);
        }
        return sum;
    }

    @Test
    void theTailMatchesThePoissonDistribution() {
        for (double mean : new double[] {0.01, 1, 14.7, 60}) {
            for (int threshold : new int[] {0, 5, 38, 100}) {
                double exact = exactTail(mean, threshold);
                assertThat(WarmupRate.poissonTail(mean, threshold), is(closeTo(exact, exact * 1e-9 + 1e-300)));
            }
        }
    }

    @Test
    void theRateIsTheLargestWithinTheBound() {
        for (double bound : BOUNDS) {
            double rate = WarmupRate.maxRate(bound);
            assertThat(exactTail(rate, (int) bound), is(lessThanOrEqualTo(1.000001e-7)));
            assertThat(exactTail(rate * 1.001, (int) bound), is(greaterThan(1e-7)));
        }
        assertThat("22 a second, 1.5 times and 5", WarmupRate.maxRate(38), is(closeTo(14.7, 0.2)));
    }

    /** For any number of nodes, the sum of equal trials over all slices of a second stays within the Poisson tail. */
    @Test
    void noNumberOfNodesExceedsTheBound() {
        for (double bound : BOUNDS) {
            double rate = WarmupRate.maxRate(bound);
            for (int nodes = 1; nodes <= 400; nodes++) {
                double probability = WarmupRate.permitProbability(rate, nodes);
                double tail = probability < 1 ? binomialTail(nodes * SLICES, probability, (int) bound)
                        : nodes * SLICES > bound ? 1 : 0;
                assertThat(bound + " per second, " + nodes + " nodes", tail, is(lessThan(1e-7)));
            }
        }
    }

    /** The margin also allows for an eighth more nodes than are known. */
    @Test
    void nodesThatAreNotCountedYetAreAllowedFor() {
        double rate = WarmupRate.maxRate(38);
        for (int known = 8; known <= 400; known++) {
            int present = known + known / 8;
            double probability = WarmupRate.permitProbability(rate, known);
            assertThat(known + " known", binomialTail(present * SLICES, probability, 38), is(lessThan(1e-7)));
        }
    }

    @Test
    void thereAreNoPermitsWhileTheNodeCountIsUnknown() {
        assertThat(WarmupRate.permitProbability(14, 0), is(0.0));
        assertThat(WarmupRate.maxRate(0), is(lessThan(1e-6)));
    }

    /** Guards the event loop: a valid configuration with a huge bound must not keep it busy for long, or forever. */
    @Test
    void aHugeBoundIsClampedToTheLargestOne() {
        assertThat(WarmupRate.maxRate(1e300), is(WarmupRate.maxRate(10_000)));
        assertThat(WarmupRate.maxRate(4e9), is(WarmupRate.maxRate(10_000)));
    }
}
