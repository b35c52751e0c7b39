package routerfleet.data;

import routerfleet.settings.Bounds;

/**
 * This node's share of the retries that all nodes together may send to the servers of a service. Each request adds a
 * fraction of a retry; the fixed slack is divided by the number of nodes. No message is exchanged on a request's path.
 */
final class RetryBudget {
    /** Fractions of the allowance that are used, so that rounding and changes in the number of nodes do not exceed it. */
    private static final double RATIO_USED_FRACTION = 0.7;
    private static final double SLACK_USED_FRACTION = 0.5;
    private static final double MIN_MAX_TOKENS = 1;

    private final Bounds bounds;
    private double tokens;

    RetryBudget(Bounds bounds) {
        this.bounds = bounds;
    }

    /** Records a request, which adds to the budget. @param nodes the number of data nodes */
    void requestReceived(int nodes) {
        tokens = Math.min(maxTokens(nodes), tokens + bounds.retryBudgetRatio() * RATIO_USED_FRACTION);
    }

    private double maxTokens(int nodes) {
        return Math.max(MIN_MAX_TOKENS, bounds.retrySlack() * SLACK_USED_FRACTION / Math.max(1, nodes));
    }

    /** Takes one retry from the budget. @return false if there is none left */
    boolean tryAcquire() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Returns a retry that was taken from the budget and not used. */
    void release() {
        tokens++;
    }
}
