package rowanplank.subset;

import java.util.Set;
import java.util.SplittableRandom;

/**
 * Which of the listed servers a node uses, where nodes are more than the places of a server. Guards against parts of
 * less than one place (a node that may hold 0.3 of a request at each of 60 servers spaces its sends and hears of each
 * once a second) and against each node's connections to every server. docs/fleet.md has what it gains.
 *
 * <p>A server's nodes follow from its id and the nodes' numbers alone: they are the same at every node, in every
 * process and whatever else is listed. With N nodes and n wanted a server, each server is used by a part p = n / N of
 * the nodes. Where zones matter, a node has {@link #OWN_ZONE_SHARE} of its servers in its own zone: with Z zones it uses
 * the part OWN_SHARE p Z there and (1 - OWN_SHARE) p Z / (Z - 1) elsewhere, which still is n a server where each zone
 * has as many nodes. Which they are: a server's id draws an order of all nodes, node i at a + b i modulo N with b and
 * N coprime, and it is used by the first n of them. Each call costs a few operations.
 */
public final class Subset {
    /** So many servers are enough to choose from, also when some fail or a zone is cut. */
    private static final double MIN_SERVERS = 10;
    /** Part of a node's servers in its own zone: argued from the price of crossing, not from a curve. */
    private static final double OWN_ZONE_SHARE = 2.0 / 3;

    private final int nodes;
    private final int node;
    private final int own;
    private final boolean preferOwnZone;
    private final double targetNodesPerServer;
    private double fraction = 1;
    private double ownZoneFraction = 1;
    private double otherZoneFraction = 1;

    /**
     * @param node this node's number among all, from 0
     * @param ownFirst whether its own zone's servers are to be preferred
     * @param wanted how many nodes are to use a server: no more than it has places
     */
    public Subset(int nodes, int node, int ownZone, boolean ownFirst, double wanted) {
        this.nodes = nodes;
        this.node = node;
        own = ownZone;
        this.preferOwnZone = ownFirst;
        this.targetNodesPerServer = wanted;
    }

    /** Tells how many servers are listed, and in which zones; to be called before others as the list changes. */
    public void updateServers(int listed, Set<Integer> zones) {
        fraction = Math.min(1, Math.max(MIN_SERVERS / listed, targetNodesPerServer / nodes));
        ownZoneFraction = fraction;
        otherZoneFraction = fraction;
        if (preferOwnZone && zones.size() > 1 && zones.contains(own)) {
            ownZoneFraction = Math.min(1, OWN_ZONE_SHARE * fraction * zones.size());
            otherZoneFraction = (fraction * zones.size() - ownZoneFraction) / (zones.size() - 1);
        }
    }

    /** Whether this node uses a server; the first of a server's nodes does wherever it is, so that none has no node. */
    public boolean uses(long server, int zone) {
        SplittableRandom lots = new SplittableRandom(server);
        int step = 1 + lots.nextInt(nodes);
        while (greatestCommonDivisor(step, nodes) > 1) {
            step = 1 + lots.nextInt(nodes);
        }
        long rank = (lots.nextInt(nodes) + (long) step * node) % nodes;
        return rank + lots.nextDouble() < Math.max(1, nodes * (zone == own ? ownZoneFraction : otherZoneFraction));
    }

    private static int greatestCommonDivisor(int a, int b) {
        return b == 0 ? a : greatestCommonDivisor(b, a % b);
    }

    /** How many nodes use a server, on average. */
    public double nodesPerServer() {
        return nodes * fraction;
    }
}
