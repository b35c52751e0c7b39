package routerfleet.data;

import routerfleet.settings.Bounds;

/**
 * This node's part of what all nodes together may send a second time to the servers of a service. Each request earns a
 * part of a repeat; the fixed slack is divided by the number of nodes. No message is exchanged on a request's path.
 */
final class RetryBudget {
    /** Part of what is allowed that is used, so that rounding and nodes that come and go do not add up to more. */
    private static final double USED_RATIO = 0.7;
    private static final double USED_SLACK = 0.5;
    private static final double LEAST_MOST = 1;

    private final Bounds bounds;
    private double tokens;

    RetryBudget(Bounds bounds) {
        this.bounds = bounds;
    }

    /** A request came in. @param nodes how many data nodes there are */
    void earned(int nodes) {
        tokens = Math.min(most(nodes), tokens + bounds.retryBudgetRatio() * USED_RATIO);
    }

    private double most(int nodes) {
        return Math.max(LEAST_MOST, bounds.retrySlack() * USED_SLACK / Math.max(1, nodes));
    }

    /** Takes one repeat, if there is one left. */
    boolean take() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
