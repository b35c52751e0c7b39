package routerfleet.data;

/**
 * How many data nodes share what is allowed to all of them together, as control nodes tell.
 *
 * <p>A control node counts those that have asked it lately. One that has just started, or is cut off from some of them,
 * counts too few; if a data node believed that, all of them together would take more than there is. So what a starting
 * control node says does not count, and parts are measured by the most that was told within the last
 * {@value #RETENTION_MS} ms.
 */
final class FleetSize {
    /** For how long at least the largest count holds, in milliseconds. */
    static final long RETENTION_MS = 300_000;

    private int latest = 1;
    private int max;
    private int previousMax;
    private long periodStartMs;

    /**
     * A control node has told its count.
     *
     * @param warming whether it started so lately that it may not have heard of all
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

    /** How many there are now, as far as is known; at least 1. */
    int latest() {
        return latest;
    }

    /** By how many a common allowance is to be divided; 0 where no control node that knows has told yet. */
    int divisor() {
        return Math.max(max, previousMax);
    }
}
