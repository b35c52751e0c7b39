package routerfleet.wire;

/**
 * When a connection between two processes counts as lost.
 *
 * @param askAfterMs silence after which the other side is asked whether it is there, in milliseconds
 * @param lostAfterMs silence after which the connection is closed, in milliseconds
 */
public record LinkTiming(long askAfterMs, long lostAfterMs) {
    /** Between control nodes: a lost one has to be replaced soon. */
    public static final LinkTiming CONTROL = new LinkTiming(500, 1_300);
    /**
     * Between a data node and a control node. There are many of these connections, and regular questions on them; what a
     * lost one would have brought comes from the other control nodes.
     */
    public static final LinkTiming DATA = new LinkTiming(2_000, 4_500);
}
