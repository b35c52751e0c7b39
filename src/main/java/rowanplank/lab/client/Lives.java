package rowanplank.lab.client;

import java.util.BitSet;

/** Which nodes a front has seen ready in their present life; shared by all fronts of a day. */
public final class Lives {
    private final BitSet seen = new BitSet();

    /** A process of the node starts: it is yet to be seen ready. */
    public void started(int node) {
        seen.clear(node);
    }

    /** @return whether nobody saw it ready before in this life */
    boolean firstSeen(int node) {
        boolean first = !seen.get(node);
        seen.set(node);
        return first;
    }
}
