package routerfleet.data;

/**
 * The number of data nodes that share common limits, as reported by control nodes.
 *
 * <p>A control node counts the data nodes that have polled it recently. If it has just started, or is partitioned from some
 * data nodes, the count is too small, and shares computed from it would add up to more than the limit. Therefore counts
 * from a starting control node are ignored, and limits are divided by the largest count reported within the last
 * {@value #RETENTION_MS} ms.
 */
final class FleetSize {
    /** Minimum time for which the largest count is kept, in milliseconds. */
    static final long RETENTION_MS = 300_000;

    private int latest = 1;
    private int max;
    private int previousMax;
    private long periodStartMs;

    /**
     * Records the count that a control node reports.
     *
     * @param present how many data nodes the control node has heard from recently
     * @param warming whether the control node has started so recently that it may not know all of them
     * @param nowMs the monotonic clock in milliseconds
     */
    void countReported(int present, boolean warming, long nowMs) {
        if (warming) {
            return;
        }
        if (nowMs - periodStartMs > RETENTION_MS) {
            previousMax = nowMs - periodStartMs > 2 * RETENTION_MS ? 0 : max;
            max = 0;
            periodStartMs = nowMs;
        }
        latest = Math.max(1, present);
        max = Math.max(max, latest);
    }

    /** The count that was reported last; at least 1. */
    int latest() {
        return latest;
    }

    /** The number by which a common limit is divided; 0 while no control node has reported a reliable count. */
    int divisor() {
        return Math.max(max, previousMax);
    }
}
