package routerfleet.data;

/**
 * Decides whether this node sends long and short prompts to separate servers, and which fraction of the short ones goes to
 * the servers reserved for them. Both are adapted to the node's own requests: to the mix of long and short prompts, and to
 * the short requests of either group of servers that take more than half of their target latency.
 */
final class PromptSeparation {
    /** Weight of one request in the moving averages of the shares of long and short prompts. */
    private static final double SHARE_WEIGHT = 0.01;
    /** Below this share of long prompts, separation is not worthwhile. */
    private static final double MIN_LONG_SHARE = 0.002;
    /** Above this fraction, long prompts need all servers. */
    private static final double MAX_LONG_FRACTION = 0.5;

    private static final double MIN_PROBABILITY = 0.05;
    private static final double MAX_PROBABILITY = 0.95;
    /** One miss in sixteen responses leaves the probability unchanged: about the miss rate of a group at full load. */
    private static final double SHORT_GROUP_HIT_INCREASE = 0.01;
    private static final double SHORT_GROUP_MISS_DECREASE = 0.15;
    private static final double LONG_GROUP_MISS_INCREASE = 0.06;
    private static final double MISS_LATENCY_FRACTION = 0.5;

    private double longShare;
    private double shortShare;
    private double shortGroupProbability = MAX_PROBABILITY;

    /** Records an incoming request. */
    void requestArrived(boolean isLong) {
        longShare += SHARE_WEIGHT * ((isLong ? 1 : 0) - longShare);
        shortShare += SHARE_WEIGHT * ((isLong ? 0 : 1) - shortShare);
    }

    /** Whether there are both kinds of prompts, and not so many long ones that they need all servers. */
    boolean isActive() {
        return longShare > MIN_LONG_SHARE && longShare <= MAX_LONG_FRACTION * (longShare + shortShare);
    }

    /** The probability with which a short prompt is sent to the servers reserved for short prompts. */
    double shortGroupProbability() {
        return shortGroupProbability;
    }

    /** Records the latency of a short request; a failure is recorded as a long latency. */
    void recordLatency(boolean byShortGroup, double latencyMs, long targetLatencyMs) {
        boolean missed = latencyMs > MISS_LATENCY_FRACTION * targetLatencyMs;
        double change = 0;
        if (byShortGroup) {
            change = missed ? -SHORT_GROUP_MISS_DECREASE : SHORT_GROUP_HIT_INCREASE;
        } else if (missed) {
            change = LONG_GROUP_MISS_INCREASE;
        }
        shortGroupProbability = Math.max(MIN_PROBABILITY, Math.min(MAX_PROBABILITY, shortGroupProbability + change));
    }
}
