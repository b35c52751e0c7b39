package rowanplank.route;

import java.util.Set;

/**
 * Which zones a request may go to, and which part of a server's room is this node's, where crossing zones has a price.
 * It offers; which of the offered servers gets the request is the balancer's choice. docs/routing.md has the reasons.
 *
 * <p>Without a price, or where all servers are in one zone, every server is offered alike and every part is even.
 * No call costs more than a few operations, but for {@link #updateZones}, which is to be called as the list changes.
 */
public final class ZoneRouter {
    /**
     * What a node takes of a server in its own zone at most, in even parts. Others' nodes seldom need theirs there,
     * and with even parts 14 % of a quiet day's requests crossed for want of room, with cores at rest at home.
     */
    private static final double MAX_OWN_ZONE_SHARE = 1.5;
    /** Weight of one answer in the own zone's slowness: some seconds, so that parts do not follow each burst. */
    private static final double SLOWNESS_GAIN = 0.02;
    /** Parts change in steps of this size, since each step changes the room of a whole zone. */
    private static final double SHARE_STEP = 1.0 / 16;

    private final int nodes;
    private final int own;
    private final double crossZoneCost;
    /** Zones that nodes may come from; 1 while there is nothing to share out. */
    private int zoneCount = 1;
    private double ownZoneShare = MAX_OWN_ZONE_SHARE;
    private double slowness;
    private long samples;

    /** @param price what is lost if every request crosses zones once, as a part of all worth; 0 for none */
    public ZoneRouter(int nodes, int ownZone, double price) {
        this.nodes = nodes;
        own = ownZone;
        this.crossZoneCost = price;
    }

    /** Tells the zones in which there are servers now. */
    public void updateZones(Set<Integer> zonesWithServers) {
        zoneCount = crossZoneCost > 0 && nodes > 1 && zonesWithServers.contains(own) ? zonesWithServers.size() : 1;
    }

    /** @param relativeLatency latency of a try that ended, as a part of its aim */
    public void recordLatency(int zone, double relativeLatency) {
        if (zone != own || crossZoneCost == 0) {
            return;
        }
        slowness += Math.max(SLOWNESS_GAIN, 1.0 / ++samples) * (relativeLatency - slowness);
        double parts = 1 + (MAX_OWN_ZONE_SHARE - 1) * Math.max(0, 1 - marginalLoss(slowness) / crossZoneCost);
        if (Math.abs(parts - ownZoneShare) >= SHARE_STEP) {
            ownZoneShare = parts;
        }
    }

    /**
     * Requests lost for one more at a zone where answers take this part of their aim. With latencies exponential, of a
     * mean in proportion to the number n of requests held (processor sharing), n exp(-1/s) of n are late; s = n s1.
     * The derivative by n is (1 + 1/s) exp(-1/s). Above the price the request is cheaper elsewhere: s = 0.23 for 0.08.
     */
    private static double marginalLoss(double slowness) {
        double x = 1 / Math.max(1e-3, slowness);
        return (1 + x) * Math.exp(-x);
    }

    /** The request goes to a zone of the lowest rank in which a server has room. */
    public int zonePreference(int zone) {
        return crossZoneCost == 0 || zone == own ? 0 : 1;
    }

    /**
     * This node's part of each server in a zone, in even parts of all nodes. Nodes of other zones leave to the own ones
     * what these may take beyond: with p parts at most for N/Z own nodes and (Z - p)/(Z - 1) for each of the N - N/Z
     * others, a server's parts sum to N, so no zone takes more than with even parts, even if all others spill into it.
     * That holds for nodes spread evenly; with k of N in one zone it takes f + (p - f) k/N of that, f being the others'
     * part: p times as much at worst, until its slowness shows that it is too much.
     */
    public double serverShare(int zone) {
        if (zoneCount == 1) {
            return 1;
        }
        return zone == own ? ownZoneShare : (zoneCount - MAX_OWN_ZONE_SHARE) / (zoneCount - 1);
    }
}
