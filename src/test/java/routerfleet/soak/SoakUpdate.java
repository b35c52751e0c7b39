package routerfleet.soak;

/**
 * An update of the configuration as the operator saw it. Times are on the monotonic clock in nanoseconds.
 *
 * @param generation that the update makes
 * @param routes how many it has
 * @param valid whether it may be acknowledged
 * @param endNanos when a clear answer came, or when the operator gave up
 * @param status of the clear answer; 0 if none came
 * @param calls how often it was sent
 */
record SoakUpdate(long generation, int routes, boolean valid, long firstSentNanos, long endNanos, int status, int calls) {
    private static final int OK = 200;

    boolean isAcknowledged() {
        return status == OK;
    }

    /** A line for reports. @param fromNanos what its times are counted from */
    String describe(long fromNanos) {
        return "update to generation " + generation + " (" + routes + " routes" + (valid ? "" : ", invalid") + "), sent at "
                + (firstSentNanos - fromNanos) / 1_000_000 + " ms, " + (status == 0 ? "unanswered" : "status " + status)
                + " after " + (endNanos - firstSentNanos) / 1_000_000 + " ms and " + calls + " calls";
    }
}
