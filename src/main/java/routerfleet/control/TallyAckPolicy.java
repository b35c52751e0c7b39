package routerfleet.control;

import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * Decides on how many disks an add has to be before it is acknowledged: one more than may be lost, in one more zone than
 * may be lost, as far as the known control nodes are that many and in that many zones.
 *
 * <p>If too few nodes for that are connected, nothing is acknowledged, unless this node is cut off. Then the disks of the
 * nodes that it reaches suffice, or its own alone. A node considers itself cut off once it has been up for
 * {@value #MIN_UPTIME_MS} ms and has had too few nodes connected for {@value #MIN_OUTAGE_MS} ms without interruption:
 * restarting processes are back by then, so that a restart is not mistaken for a partition. As soon as enough nodes are
 * connected, the full requirement applies again.
 */
class TallyAckPolicy {
    private static final System.Logger LOG = routerfleet.log.Loggers.get("routerfleet.control.tallies");
    private static final long MIN_UPTIME_MS = 4_000;
    private static final long MIN_OUTAGE_MS = 2_000;

    private final int requiredDisks;
    private final int requiredZones;
    private final String selfIp;
    private final String selfZone;
    private final ControlPeers peers;
    private long startedNanos;
    /** Whether too few other nodes are connected, whether none are, and since when. */
    private boolean tooFew = true;
    private long tooFewSinceNanos;
    private boolean isolated = true;
    private long isolatedSinceNanos;
    private boolean cutOff;

    /**
     * @param requiredDisks number of disks that have to hold an add
     * @param requiredZones number of zones that these have to be in
     */
    TallyAckPolicy(int requiredDisks, int requiredZones, String selfIp, String selfZone, ControlPeers peers) {
        this.requiredDisks = requiredDisks;
        this.requiredZones = requiredZones;
        this.selfIp = selfIp;
        this.selfZone = selfZone;
        this.peers = peers;
    }

    /** Starts to measure the uptime and the time without enough connections. */
    void start(long nowNanos) {
        startedNanos = nowNanos;
        tooFewSinceNanos = nowNanos;
        isolatedSinceNanos = nowNanos;
    }

    /** Updates the state from the connected nodes; to be called whenever these may have changed, and regularly. */
    void update(long nowNanos) {
        boolean tooFewNow = !meetsRequirement(peers.connectedBothWays());
        if (tooFewNow && !tooFew) {
            tooFewSinceNanos = nowNanos;
        }
        tooFew = tooFewNow;
        boolean isolatedNow = peers.connectedBothWays().isEmpty();
        if (isolatedNow && !isolated) {
            isolatedSinceNanos = nowNanos;
        }
        isolated = isolatedNow;
        boolean cutOffNow = tooFew && millis(nowNanos - tooFewSinceNanos) >= minOutageMs()
                && millis(nowNanos - startedNanos) >= minUptimeMs();
        if (cutOffNow != cutOff) {
            cutOff = cutOffNow;
            LOG.log(System.Logger.Level.WARNING, cutOff
                    ? "cut off: tallies are acknowledged on the disks of " + reachableNames() + " alone"
                    : "no longer cut off: tallies are acknowledged on " + requiredDisks + " disks again");
        }
    }

    /** How long too few nodes have to be connected before this node counts as cut off, in milliseconds. */
    long minOutageMs() {
        return MIN_OUTAGE_MS;
    }

    /** How long this node has to be up before it can count as cut off, in milliseconds. */
    long minUptimeMs() {
        return MIN_UPTIME_MS;
    }

    private String reachableNames() {
        Set<String> all = new TreeSet<>(peers.connectedBothWays());
        all.add(selfIp);
        return String.join(", ", all);
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    /** Whether adds can be acknowledged with the nodes that are connected now. */
    boolean canAcknowledge() {
        return !tooFew || cutOff;
    }

    /** Whether no other node has been connected for a number of milliseconds. */
    boolean isIsolatedFor(long ms, long nowNanos) {
        return isolated && millis(nowNanos - isolatedSinceNanos) >= ms;
    }

    /** Whether an add may be acknowledged. @param others the other nodes that hold it on disk */
    boolean isDurable(Set<String> others) {
        return meetsRequirement(others) || cutOff && others.containsAll(peers.connectedBothWays());
    }

    private boolean meetsRequirement(Set<String> others) {
        Set<String> holders = new TreeSet<>(others);
        holders.add(selfIp);
        return holders.size() >= Math.min(requiredDisks, peers.knownAddresses().size())
                && peers.spanZones(holders, selfZone, requiredZones);
    }
}
