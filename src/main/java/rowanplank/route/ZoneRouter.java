package rowanplank.route;

import java.util.Set;

/**
 * Determines in which zones a request may be served, and which share of a server's slots belongs to this node, where
 * requests that cross zones have a cost. It offers servers; which of them gets the request is the balancer's choice.
 *
 * <p>Without a cost, or if all servers are in one zone, all servers are offered alike and all shares are even.
 * Each call takes a few operations except {@link #updateZones}, which is to be called when the list changes.
 */
public final class ZoneRouter {
    /**
     * The largest share that a node takes of a server in its own zone, in units of the even share. Nodes of other
     * zones rarely need their shares there. With even shares, 14 % of the requests of a day with little load crossed
     * zones because no slot was free, while cores in the own zone were idle.
     */
    private static final double MAX_OWN_ZONE_SHARE = 1.5;
    /**
     * Weight of one response in the own zone's slowness. It averages over some seconds, so that shares do not follow
     * each burst.
     */
    private static final double SLOWNESS_GAIN = 0.02;
    /** Shares change in steps of this size, since each step changes the slots of a whole zone. */
    private static final double SHARE_STEP = 1.0 / 16;

    private final int nodes;
    private final int ownZone;
    private final double crossZoneCost;
    /** Number of zones with servers, which are the zones of the nodes; 1 while there is nothing to share. */
    private int zoneCount = 1;
    private double ownZoneShare = MAX_OWN_ZONE_SHARE;
    private double slowness;
    private long samples;

    /**
     * Creates a router.
     *
     * @param nodes the number of nodes
     * @param ownZone this node's zone
     * @param crossZoneCost the fraction of all worth that is lost if every request crosses zones once; 0 for none
     */
    public ZoneRouter(int nodes, int ownZone, double crossZoneCost) {
        this.nodes = nodes;
        this.ownZone = ownZone;
        this.crossZoneCost = crossZoneCost;
    }

    /** Sets the zones in which there are servers now. */
    public void updateZones(Set<Integer> zonesWithServers) {
        zoneCount = crossZoneCost > 0 && nodes > 1 && zonesWithServers.contains(ownZone) ? zonesWithServers.size() : 1;
    }

    /**
     * Records the latency of an attempt that has ended.
     *
     * @param relativeLatency latency / target latency
     */
    public void recordLatency(int zone, double relativeLatency) {
        if (zone != ownZone || crossZoneCost == 0) {
            return;
        }
        slowness += Math.max(SLOWNESS_GAIN, 1.0 / ++samples) * (relativeLatency - slowness);
        double share = 1 + (MAX_OWN_ZONE_SHARE - 1) * Math.max(0, 1 - marginalLoss(slowness) / crossZoneCost);
        if (Math.abs(share - ownZoneShare) >= SHARE_STEP) {
            ownZoneShare = share;
        }
    }

    /**
     * Returns how many more responses are late if one more request is sent to a zone of this slowness (mean latency /
     * target latency). With exponential latencies whose mean is proportional to the number n of requests held
     * (processor sharing), n exp(-1/s) of n are late, where s = n s1. The derivative with respect to n is (1 + 1/s)
     * exp(-1/s). Where it exceeds the cost of crossing, the request is cheaper elsewhere: at s = 0.23 for a cost of
     * 0.08.
     */
    private static double marginalLoss(double slowness) {
        double x = 1 / Math.max(1e-3, slowness);
        return (1 + x) * Math.exp(-x);
    }

    /** Returns the rank of a zone: a request goes to a zone of the lowest rank in which a server has a free slot. */
    public int zonePreference(int zone) {
        return crossZoneCost == 0 || zone == ownZone ? 0 : 1;
    }

    /**
     * Returns this node's share of each server in a zone, in units of the even share of all nodes. Nodes of other
     * zones leave to the zone's own nodes what these may take in addition: with a share of at most p for the N/Z own
     * nodes and (Z - p)/(Z - 1) for each of the N - N/Z others, the shares of a server sum to N. So no zone gets more
     * than with even shares, even if all others spill into it. That holds for nodes spread evenly over zones. With k
     * of N nodes in one zone, it gets f + (p - f) k/N of that, where f is the others' share: at worst p times as
     * much, until its slowness shows that it is too much.
     */
    public double serverShare(int zone) {
        if (zoneCount == 1) {
            return 1;
        }
        return zone == ownZone ? ownZoneShare : (zoneCount - MAX_OWN_ZONE_SHARE) / (zoneCount - 1);
    }
}
