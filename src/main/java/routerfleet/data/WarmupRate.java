package routerfleet.data;

/**
 * How fast all data nodes together may send to one cold server, so that no second holds more requests than it bears.
 *
 * <p>In each slice of {@value #SLICE_MS} ms, each node has one permission for the server by chance. What arrives in a
 * second is then at most a sum of independent trials, and its tail above mean + 1 lies below that of a Poisson variable
 * with the same mean (Hoeffding 1956; Anderson and Samuels 1967), for any number of nodes and any phases of their clocks.
 * The rate is the largest whose tail beyond the bound is below {@value #MAX_TAIL_PROBABILITY}.
 */
final class WarmupRate {
    /** Length of a slice of time, in milliseconds. */
    static final long SLICE_MS = 100;
    /** Of a second that holds more requests than the bound. */
    static final double MAX_TAIL_PROBABILITY = 1e-7;
    /**
     * By how much the number of nodes is taken for larger than it is known to be. A second touches eleven slices, not ten,
     * which takes 10 % of it; the rest covers nodes that are not counted yet.
     */
    static final double NODE_COUNT_MARGIN = 1.25;
    private static final int MS_PER_SECOND = 1_000;
    /** A higher bound counts as this one, so that the search for the rate stays short. */
    private static final int MAX_BOUND = 10_000;
    private static final int BISECTIONS = 60;

    private WarmupRate() { }

    /**
     * The largest mean, in requests a second.
     *
     * @param maxPerSecond how many requests a second may hold
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

    /** The chance that a Poisson variable is larger than {@code most}. */
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
     * The chance of a permission for one node in one slice.
     *
     * @param rate of all nodes together, in requests a second
     * @param nodes how many nodes there are; 0 where that is not known, which leaves no chance
     */
    static double permitProbability(double rate, int nodes) {
        return nodes <= 0 ? 0 : Math.min(1, rate * SLICE_MS / MS_PER_SECOND / (nodes * NODE_COUNT_MARGIN));
    }
}
