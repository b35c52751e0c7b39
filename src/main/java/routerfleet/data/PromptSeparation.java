package routerfleet.data;

/**
 * Whether this node keeps long and short prompts apart, and which part of the short ones goes to the servers that are kept
 * for them. It follows the node's own requests and answers: kinds of prompt as they come, and short requests that miss
 * half of their objective in either group.
 */
final class PromptSeparation {
    /** Weight of one request in the shares of long and short prompts. */
    private static final double MIX_GAIN = 0.01;
    /** Below this share of long prompts nothing is to be kept from the others. */
    private static final double LEAST_LONG = 0.002;
    private static final double MOST_LONG = 0.5;

    private static final double LEAST_SHARE = 0.05;
    private static final double MOST_SHARE = 0.95;
    /** One miss in sixteen answers keeps the share as it is: about what a group without room left shows. */
    private static final double SHORT_HIT_GAIN = 0.01;
    private static final double SHORT_MISS_LOSS = 0.15;
    private static final double LONG_MISS_GAIN = 0.06;
    private static final double MISSED_AIMS = 0.5;

    private double longShare;
    private double shortShare;
    private double toShortGroup = MOST_SHARE;

    /** A request came in. */
    void came(boolean isLong) {
        longShare += MIX_GAIN * ((isLong ? 1 : 0) - longShare);
        shortShare += MIX_GAIN * ((isLong ? 0 : 1) - shortShare);
    }

    /** Whether there are both kinds of prompts, and not so many long ones that they need all servers. */
    boolean isWanted() {
        return longShare > LEAST_LONG && longShare <= MOST_LONG * (longShare + shortShare);
    }

    /** The part of short prompts that goes to the servers kept for them. */
    double toShortGroup() {
        return toShortGroup;
    }

    /** A short request has been answered, or has failed, which counts as a long time. */
    void answered(boolean byShortGroup, double latencyMs, long aimMs) {
        boolean missed = latencyMs > MISSED_AIMS * aimMs;
        double change = 0;
        if (byShortGroup) {
            change = missed ? -SHORT_MISS_LOSS : SHORT_HIT_GAIN;
        } else if (missed) {
            change = LONG_MISS_GAIN;
        }
        toShortGroup = Math.max(LEAST_SHARE, Math.min(MOST_SHARE, toShortGroup + change));
    }
}
