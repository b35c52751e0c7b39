package routerfleet.data;

import routerfleet.settings.Bounds;

/**
 * This node's part of what all nodes together may send a second time to the servers of a service. Each request earns a
 * part of a repeat; the fixed slack is divided by the number of nodes. No message is exchanged on a request's path.
 */
final class RetryBudget {
    /** Part of what is allowed that is used, so that rounding and nodes that come and go do not add up to more. */
    private static final double RATIO_USED_FRACTION = 0.7;
    private static final double SLACK_USED_FRACTION = 0.5;
    private static final double MIN_MAX_TOKENS = 1;

    private final Bounds bounds;
    private double tokens;

    RetryBudget(Bounds bounds) {
        this.bounds = bounds;
    }

    /** A request came in. @param nodes how many data nodes there are */
    void requestReceived(int nodes) {
        tokens = Math.min(maxTokens(nodes), tokens + bounds.retryBudgetRatio() * RATIO_USED_FRACTION);
    }

    private double maxTokens(int nodes) {
        return Math.max(MIN_MAX_TOKENS, bounds.retrySlack() * SLACK_USED_FRACTION / Math.max(1, nodes));
    }

    /** Takes one repeat, if there is one left. */
    boolean tryAcquire() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
