package routerfleet.journal;

import java.util.Objects;

/**
 * Who numbers entries: a node for as long as it has one disk. A node that has lost its disk is another origin, so that no
 * number is used twice.
 *
 * @param node the node's address
 * @param life drawn at the disk's first start
 */
public record Origin(String node, long life) implements Comparable<Origin> {
    @Override
    public int compareTo(Origin other) {
        int byNode = node.compareTo(other.node);
        return byNode != 0 ? byNode : Long.compare(life, other.life);
    }

    // Written out: generated ones are linked at their first use, which takes a small machine tens of milliseconds.
    @Override
    public boolean equals(Object object) {
        return object instanceof Origin other && Objects.equals(node, other.node) && life == other.life;
    }

    @Override
    public int hashCode() {
        return Objects.hashCode(node) * 31 + Long.hashCode(life);
    }
}
