package routerfleet.control;

import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * On how many disks an add has to be before it is acknowledged: one more than may be lost, in one more zone than may be
 * lost, as far as the control nodes that are known stand in so many.
 *
 * <p>Where so many can't be reached, nothing is acknowledged, unless this node is cut off: then all that it can reach, its
 * own disk at least, is enough. It takes itself for cut off once it has been up for {@value #SETTLED_MS} ms and has had too
 * few connected for {@value #SILENT_MS} ms without a break: processes that restart are back by then, so this is not taken
 * for a cut. As soon as enough are connected again, the full number holds.
 */
class TallyAckPolicy {
    private static final System.Logger LOG = routerfleet.log.Loggers.get("routerfleet.control.tallies");
    private static final long SETTLED_MS = 4_000;
    private static final long SILENT_MS = 2_000;

    private final int copies;
    private final int zones;
    private final String selfIp;
    private final String selfZone;
    private final ControlPeers peers;
    private long startedNanos;
    /** Since when too few are connected, and none. */
    private boolean few = true;
    private long fewSinceNanos;
    private boolean none = true;
    private long noneSinceNanos;
    private boolean cutOff;

    /** @param copies disks that have to hold an add; @param zones in which they have to stand */
    TallyAckPolicy(int copies, int zones, String selfIp, String selfZone, ControlPeers peers) {
        this.copies = copies;
        this.zones = zones;
        this.selfIp = selfIp;
        this.selfZone = selfZone;
        this.peers = peers;
    }

    /** Begins to count times. */
    void start(long nowNanos) {
        startedNanos = nowNanos;
        fewSinceNanos = nowNanos;
        noneSinceNanos = nowNanos;
    }

    /** Looks which nodes are connected; as often as that may change. */
    void update(long nowNanos) {
        boolean fewNow = !isFull(peers.connectedBothWays());
        if (fewNow && !few) {
            fewSinceNanos = nowNanos;
        }
        few = fewNow;
        boolean noneNow = peers.connectedBothWays().isEmpty();
        if (noneNow && !none) {
            noneSinceNanos = nowNanos;
        }
        none = noneNow;
        boolean cutOffNow = few && millis(nowNanos - fewSinceNanos) >= minOutageMs()
                && millis(nowNanos - startedNanos) >= minUptimeMs();
        if (cutOffNow != cutOff) {
            cutOff = cutOffNow;
            LOG.log(System.Logger.Level.WARNING, cutOff
                    ? "cut off: tallies are acknowledged on the disks of " + reachable() + " alone"
                    : "no longer cut off: tallies are acknowledged on " + copies + " disks again");
        }
    }

    /** For how long too few have to be missing. */
    long minOutageMs() {
        return SILENT_MS;
    }

    /** How long this node has to be up. */
    long minUptimeMs() {
        return SETTLED_MS;
    }

    private String reachable() {
        Set<String> all = new TreeSet<>(peers.connectedBothWays());
        all.add(selfIp);
        return String.join(", ", all);
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    /** Whether an add can be acknowledged at all with the nodes that are connected. */
    boolean canAcknowledge() {
        return !few || cutOff;
    }

    /** Whether no other node has been connected for so long. */
    boolean isIsolatedFor(long ms, long nowNanos) {
        return none && millis(nowNanos - noneSinceNanos) >= ms;
    }

    /** Whether an add may be acknowledged. @param others the nodes that hold it on disk, beside this one */
    boolean isDurable(Set<String> others) {
        return isFull(others) || cutOff && others.containsAll(peers.connectedBothWays());
    }

    private boolean isFull(Set<String> others) {
        Set<String> holders = new TreeSet<>(others);
        holders.add(selfIp);
        return holders.size() >= Math.min(copies, peers.knownAddresses().size()) && peers.spanZones(holders, selfZone, zones);
    }
}
