package rowanplank.subset;

/**
 * What may be asked of a server that started not long ago, from the settings alone: the least that it can do by then,
 * and how much of its warm limit that is. docs/fleet.md has the sum over all nodes.
 */
public final class ColdStart {
    private final double initialCapacity;
    private final double warmupMs;
    private final double overloadMultiple;

    /**
     * @param from share of its capacity that a server has at its start, at least
     * @param coldMs it has all of it after so long
     * @param fallMultiple it falls under more than so many times what it can do by then
     */
    public ColdStart(double from, double coldMs, double fallMultiple) {
        this.initialCapacity = from;
        this.warmupMs = coldMs;
        this.overloadMultiple = fallMultiple;
    }

    /** The lowest share of its capacity that a server started then can have now. */
    public double capacityFraction(double now, double startedAt) {
        double age = now - startedAt;
        return startedAt == 0 || age >= warmupMs ? 1 : initialCapacity + (1 - initialCapacity) * Math.max(0, age) / warmupMs;
    }

    public boolean isWarm(double now, double startedAt) {
        return capacityFraction(now, startedAt) == 1;
    }

    /** The part of a warm server's limit that one of this warmth may have. */
    public double limitFraction(double warmth) {
        return warmth < 1 ? Math.min(1, overloadMultiple / 2) * warmth : 1;
    }
}
