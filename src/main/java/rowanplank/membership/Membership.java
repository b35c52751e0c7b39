package rowanplank.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;

/**
 * How many nodes of the tier live, from what each has heard of the others. It does no I/O and knows no clock: what was
 * heard comes with its time. A node that has listened for too short a time to miss one counts all as living, so that one
 * that has just started takes no more than its part.
 *
 * <p>Cost: to hear O(1), to count O(n) for n nodes, once a pace. Memory: an instant a node.
 */
public final class Membership {
    private static final Duration LEAST_PACE = Duration.ofMillis(250);
    /** So that all datagrams together grow with the nodes, not with their square. */
    private static final Duration PACE_A_NODE = Duration.ofMillis(25);
    /** Some datagrams are lost, and a node that is short of its core is late. */
    private static final int MISSED = 4;

    private final int node;
    private final Instant[] heard;
    private Instant since;

    /** @param nodes of the tier, this one included @param node its number among them, from 0 */
    public Membership(int nodes, int node) {
        this.node = node;
        heard = new Instant[nodes];
    }

    /** How often each node tells that it lives. */
    public Duration pace() {
        Duration pace = PACE_A_NODE.multipliedBy(heard.length);
        return pace.compareTo(LEAST_PACE) < 0 ? LEAST_PACE : pace;
    }

    /** A node that was not heard for so long does not count as living. */
    public Duration patience() {
        return pace().multipliedBy(MISSED);
    }

    /** From now on the others can be heard. */
    public void onListening(Instant now) {
        since = now;
    }

    /** Nothing can be heard any more, or not yet: all count as living. */
    public void onDeaf() {
        since = null;
        Arrays.fill(heard, null);
    }

    /** @param from whose number is none of the tier's is no concern */
    public void onAlive(Instant now, int from) {
        if (from >= 0 && from < heard.length) {
            heard[from] = now;
        }
    }

    /** It ends, and says so. */
    public void onLeaving(int from) {
        if (from >= 0 && from < heard.length) {
            heard[from] = null;
        }
    }

    /** How many live, this one included. */
    public int living(Instant now) {
        Instant before = now.minus(patience());
        if (since == null || since.isAfter(before)) {
            return heard.length;
        }
        int living = 1;
        for (int i = 0; i < heard.length; i++) {
            living += i != node && heard[i] != null && heard[i].isAfter(before) ? 1 : 0;
        }
        return living;
    }
}
