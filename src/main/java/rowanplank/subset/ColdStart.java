package rowanplank.subset;

/**
 * The load that a recently started (cold) server may get, derived from the settings: the lowest capacity that it may
 * have at its age, and the fraction of a warm server's limit that it may get.
 */
public final class ColdStart {
    private final double initialCapacity;
    private final double warmupMs;
    private final double overloadMultiple;

    /**
     * Creates the rules for cold servers.
     *
     * @param initialCapacity the fraction of its capacity that a server has at its start, at least
     * @param warmupMs how long after its start it has its full capacity, in milliseconds
     * @param overloadMultiple the multiple of its present capacity that overloads it
     */
    public ColdStart(double initialCapacity, double warmupMs, double overloadMultiple) {
        this.initialCapacity = initialCapacity;
        this.warmupMs = warmupMs;
        this.overloadMultiple = overloadMultiple;
    }

    /**
     * Returns the lowest fraction of its capacity that a server started at {@code startedAt} can have now, in (0, 1].
     * Times are in milliseconds; a start time of 0 means long ago.
     */
    public double capacityFraction(double now, double startedAt) {
        double age = now - startedAt;
        return startedAt == 0 || age >= warmupMs ? 1
                : initialCapacity + (1 - initialCapacity) * Math.max(0, age) / warmupMs;
    }

    /** Returns whether the server has its full capacity. */
    public boolean isWarm(double now, double startedAt) {
        return capacityFraction(now, startedAt) == 1;
    }

    /**
     * Returns the fraction of a warm server's limit that a server of this capacity fraction may have; it is lower
     * still where less than twice its capacity overloads a server.
     */
    public double limitFraction(double capacityFraction) {
        return capacityFraction < 1 ? Math.min(1, overloadMultiple / 2) * capacityFraction : 1;
    }
}
