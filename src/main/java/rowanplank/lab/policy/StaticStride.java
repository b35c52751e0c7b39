package rowanplank.lab.policy;

/**
 * gRPC's scheduler of weighted round robin (gRFC A58, Static stride scheduler). Weights are scaled so that the highest
 * is {@value #MOST}. A running number gives a place and a round; in it the place is picked unless
 * <pre>
 *   (weight * round + place * MOST / 2) mod MOST &lt; MOST - weight
 * </pre>
 * so that in MOST rounds each place is picked as often as its weight says, spread evenly. A weight of 0 stands for one
 * not known and counts as the mean of the others; with fewer than two known ones all are equal. As the implementations
 * have it, known weights are held between a tenth and ten times their mean.
 *
 * <p>A pick takes n / 2 steps on average with equal weights, and 100 n at the most.
 */
final class StaticStride {
    static final int MOST = 65_535;
    private static final double HIGHEST_OF_MEAN = 10;
    private static final double LOWEST_OF_MEAN = 0.1;

    private final int[] weights;

    StaticStride(double[] known) {
        weights = scaled(known);
    }

    private static int[] scaled(double[] known) {
        int count = 0;
        double sum = 0;
        double highest = 0;
        for (double w : known) {
            count += w > 0 ? 1 : 0;
            sum += w;
            highest = Math.max(highest, w);
        }
        int[] scaled = new int[known.length];
        double mean = count < 2 ? 1 : sum / count;
        highest = count < 2 ? 1 : Math.min(highest, HIGHEST_OF_MEAN * mean);
        for (int i = 0; i < known.length; i++) {
            double weight = count < 2 || known[i] <= 0 ? mean
                    : Math.max(LOWEST_OF_MEAN * mean, Math.min(HIGHEST_OF_MEAN * mean, known[i]));
            scaled[i] = Math.max(1, (int) Math.round(weight / highest * MOST));
        }
        return scaled;
    }

    int size() {
        return weights.length;
    }

    /** Whether the number's place is picked in the number's round. */
    boolean picks(long number) {
        int place = (int) (number % weights.length);
        long round = number / weights.length;
        long offset = (long) (MOST / 2) * place;
        return (weights[place] * round + offset) % MOST >= MOST - weights[place];
    }
}
