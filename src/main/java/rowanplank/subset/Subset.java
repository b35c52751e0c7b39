package rowanplank.subset;

import java.util.Set;
import java.util.SplittableRandom;

/**
 * Selects the listed servers that a node uses where there are more nodes than slots at a server. Without it, a node's
 * share of a server would be less than one slot (a node that may have 0.3 of a request in flight at each of 60
 * servers spaces its sends, and hears of each server only once a second), and each node would have connections to
 * every server.
 *
 * <p>The nodes of a server follow from its id and the nodes' indices alone, so they are the same at every node, in
 * every process and whatever else is listed. With N nodes and n wanted for each server, each server is used by the
 * fraction p = n / N of the nodes. Where zones matter, a node has {@link #OWN_ZONE_SHARE} of its servers in its own
 * zone: with Z zones it uses the fraction OWN_ZONE_SHARE p Z of the servers there and (1 - OWN_ZONE_SHARE) p Z / (Z -
 * 1) elsewhere, which still gives n nodes per server if each zone has as many nodes. To select the nodes, a random
 * generator seeded with the server's id draws an order of all nodes: node i is at position a + b i modulo N, with b
 * and N coprime, and the first n nodes use the server. Each call takes a few operations.
 */
public final class Subset {
    /** The number of servers that is enough to choose from, also when some fail or a zone is cut off. */
    private static final double MIN_SERVERS = 10;
    /**
     * Fraction of a node's servers that are in its own zone. It was derived from the cost of crossing zones, not from
     * a measured curve.
     */
    private static final double OWN_ZONE_SHARE = 2.0 / 3;

    private final int nodes;
    private final int node;
    private final int ownZone;
    private final boolean preferOwnZone;
    private final double targetNodesPerServer;
    private double fraction = 1;
    private double ownZoneFraction = 1;
    private double otherZoneFraction = 1;

    /**
     * Creates the subset of a node.
     *
     * @param nodes the number of nodes
     * @param node this node's index among them, from 0
     * @param ownZone this node's zone
     * @param preferOwnZone whether servers of its own zone are to be preferred
     * @param targetNodesPerServer how many nodes are to use a server: no more than it has slots
     */
    public Subset(int nodes, int node, int ownZone, boolean preferOwnZone, double targetNodesPerServer) {
        this.nodes = nodes;
        this.node = node;
        this.ownZone = ownZone;
        this.preferOwnZone = preferOwnZone;
        this.targetNodesPerServer = targetNodesPerServer;
    }

    /**
     * Sets how many servers are listed and in which zones. It must be called before other methods whenever the list
     * changes.
     */
    public void updateServers(int listed, Set<Integer> zones) {
        fraction = Math.min(1, Math.max(MIN_SERVERS / listed, targetNodesPerServer / nodes));
        ownZoneFraction = fraction;
        otherZoneFraction = fraction;
        if (preferOwnZone && zones.size() > 1 && zones.contains(ownZone)) {
            ownZoneFraction = Math.min(1, OWN_ZONE_SHARE * fraction * zones.size());
            otherZoneFraction = (fraction * zones.size() - ownZoneFraction) / (zones.size() - 1);
        }
    }

    /**
     * Returns whether this node uses a server. The first of a server's nodes uses it whatever its zone, so that every
     * server has a node.
     */
    public boolean uses(long server, int zone) {
        SplittableRandom random = new SplittableRandom(server);
        int step = 1 + random.nextInt(nodes);
        while (greatestCommonDivisor(step, nodes) > 1) {
            step = 1 + random.nextInt(nodes);
        }
        long rank = (random.nextInt(nodes) + (long) step * node) % nodes;
        return rank + random.nextDouble()
                < Math.max(1, nodes * (zone == ownZone ? ownZoneFraction : otherZoneFraction));
    }

    private static int greatestCommonDivisor(int a, int b) {
        return b == 0 ? a : greatestCommonDivisor(b, a % b);
    }

    /** Returns how many nodes use a server on average. */
    public double nodesPerServer() {
        return nodes * fraction;
    }
}
