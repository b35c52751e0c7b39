package routerfleet.data;

/**
 * Computes how fast all data nodes together may send to one cold server, so that the number of requests in any second stays
 * within a bound.
 *
 * <p>In each slice of {@value #SLICE_MS} ms, each node has a permit for the server with a certain probability. The number
 * of requests that arrive in a second is then at most a sum of independent trials, whose tail above mean + 1 is below that
 * of a Poisson variable with the same mean (Hoeffding 1956; Anderson and Samuels 1967), for any number of nodes and any
 * phases of their clocks. The rate is the largest for which the probability of exceeding the bound is below
 * {@value #MAX_TAIL_PROBABILITY}.
 */
final class WarmupRate {
    /** Length of a slice of time, in milliseconds. */
    static final long SLICE_MS = 100;
    /** Maximum probability that a second holds more requests than the bound. */
    static final double MAX_TAIL_PROBABILITY = 1e-7;
    /**
     * Factor on the known number of nodes. A second overlaps eleven slices, not ten, which uses 10 % of it; the rest allows
     * for nodes that are not counted yet.
     */
    static final double NODE_COUNT_MARGIN = 1.25;
    private static final int MS_PER_SECOND = 1_000;
    /** Higher bounds are clamped to this one, to limit the time of the search. */
    private static final int MAX_BOUND = 10_000;
    private static final int BISECTIONS = 60;

    private WarmupRate() { }

    /**
     * The largest mean rate, in requests per second, that keeps to a bound.
     *
     * @param maxPerSecond the maximum number of requests in any second
     */
    static double maxRate(double maxPerSecond) {
        int bound = (int) Math.min(MAX_BOUND, Math.floor(maxPerSecond));
        double low = 0;
        double high = Math.max(0, bound);
        for (int i = 0; i < BISECTIONS; i++) {
            double mid = (low + high) / 2;
            if (poissonTail(mid, bound) < MAX_TAIL_PROBABILITY) {
                low = mid;
            } else {
                high = mid;
            }
        }
        return low;
    }

    /** The probability that a Poisson variable is larger than {@code threshold}. */
    static double poissonTail(double mean, int threshold) {
        if (threshold < 0 || mean <= 0) {
            return threshold < 0 ? 1 : 0;
        }
        double logTerm = -mean;
        for (int i = 1; i <= threshold + 1; i++) {
            logTerm += Math.log(mean / i);
        }
        double term = Math.exp(logTerm);
        double sum = 0;
        for (int i = threshold + 1; term > sum * Math.ulp(1.0) || i <= mean; i++) {
            sum += term;
            term *= mean / (i + 1);
        }
        return Math.min(1, sum);
    }

    /**
     * The probability with which one node has a permit in one slice.
     *
     * @param rate of all nodes together, in requests per second
     * @param nodes the number of nodes; 0 if it is not known, for which the probability is 0
     */
    static double permitProbability(double rate, int nodes) {
        return nodes <= 0 ? 0 : Math.min(1, rate * SLICE_MS / MS_PER_SECOND / (nodes * NODE_COUNT_MARGIN));
    }
}
