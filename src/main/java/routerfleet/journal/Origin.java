package routerfleet.journal;

import java.util.Comparator;

/**
 * Who numbers entries: a node for as long as it has one disk. A node that has lost its disk is another origin, so that no
 * number is used twice.
 *
 * @param node the node's address
 * @param life drawn at the disk's first start
 */
public record Origin(String node, long life) implements Comparable<Origin> {
    private static final Comparator<Origin> ORDER = Comparator.comparing(Origin::node).thenComparingLong(Origin::life);

    @Override
    public int compareTo(Origin other) {
        return ORDER.compare(this, other);
    }
}
