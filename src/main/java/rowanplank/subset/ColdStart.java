package rowanplank.subset;

/**
 * What may be asked of a server that started not long ago, from the settings alone: the least that it can do by then,
 * and how much of its warm limit that is. docs/fleet.md has the sum over all nodes.
 */
public final class ColdStart {
    private final double from;
    private final double coldMs;
    private final double fallMultiple;

    /**
     * @param from share of its capacity that a server has at its start, at least
     * @param coldMs it has all of it after so long
     * @param fallMultiple it falls under more than so many times what it can do by then
     */
    public ColdStart(double from, double coldMs, double fallMultiple) {
        this.from = from;
        this.coldMs = coldMs;
        this.fallMultiple = fallMultiple;
    }

    /** The lowest share of its capacity that a server started then can have now. */
    public double warmth(double now, double startedAt) {
        double age = now - startedAt;
        return startedAt == 0 || age >= coldMs ? 1 : from + (1 - from) * Math.max(0, age) / coldMs;
    }

    public boolean isWarm(double now, double startedAt) {
        return warmth(now, startedAt) == 1;
    }

    /** The part of a warm server's limit that one of this warmth may have. */
    public double part(double warmth) {
        return warmth < 1 ? Math.min(1, fallMultiple / 2) * warmth : 1;
    }
}
