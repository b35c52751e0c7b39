package routerfleet.data;

/**
 * Whether this node keeps long and short prompts apart, and which part of the short ones goes to the servers that are kept
 * for them. It follows the node's own requests and answers: kinds of prompt as they come, and short requests that miss
 * half of their objective in either group.
 */
final class PromptSeparation {
    /** Weight of one request in the shares of long and short prompts. */
    private static final double SHARE_WEIGHT = 0.01;
    /** Below this share of long prompts nothing is to be kept from the others. */
    private static final double MIN_LONG_SHARE = 0.002;
    private static final double MAX_LONG_FRACTION = 0.5;

    private static final double MIN_PROBABILITY = 0.05;
    private static final double MAX_PROBABILITY = 0.95;
    /** One miss in sixteen answers keeps the share as it is: about what a group without room left shows. */
    private static final double SHORT_GROUP_HIT_INCREASE = 0.01;
    private static final double SHORT_GROUP_MISS_DECREASE = 0.15;
    private static final double LONG_GROUP_MISS_INCREASE = 0.06;
    private static final double MISS_LATENCY_FRACTION = 0.5;

    private double longShare;
    private double shortShare;
    private double shortGroupProbability = MAX_PROBABILITY;

    /** A request came in. */
    void requestArrived(boolean isLong) {
        longShare += SHARE_WEIGHT * ((isLong ? 1 : 0) - longShare);
        shortShare += SHARE_WEIGHT * ((isLong ? 0 : 1) - shortShare);
    }

    /** Whether there are both kinds of prompts, and not so many long ones that they need all servers. */
    boolean isActive() {
        return longShare > MIN_LONG_SHARE && longShare <= MAX_LONG_FRACTION * (longShare + shortShare);
    }

    /** The part of short prompts that goes to the servers kept for them. */
    double shortGroupProbability() {
        return shortGroupProbability;
    }

    /** A short request has been answered, or has failed, which counts as a long time. */
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
