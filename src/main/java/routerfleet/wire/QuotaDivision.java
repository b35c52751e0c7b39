package routerfleet.wire;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import routerfleet.config.TenantConfig;
import routerfleet.settings.Bounds;

/**
 * How a tenant's limit is divided: equal parts at a few control nodes, found by rendezvous hashing of the tenant's name
 * over the replicas of the configuration shard (Thaler and Ravishankar, 1998), and a small reserve at every data node for
 * while no control node answers.
 *
 * <p>What may be admitted in a window of the rules is rate * window + burst, and the tolerated slack above that. Token
 * buckets of total depth burst + {@link #DEPTH_PART} * slack, and reserves of {@link #RESERVE_PART} * slack a window, add
 * up to less than that; the rest covers the moments in which two control nodes hold one part, while replicas change.
 */
public final class QuotaDivision {
    /** Parts of a limit: a lost control node takes a third of the rate with it until replicas are replaced. */
    public static final int HOLDERS = 3;
    private static final double DEPTH_PART = 0.45;
    private static final double RESERVE_PART = 0.35;

    private QuotaDivision() { }

    /** The control nodes that hold a part of the tenant's limit, in no meaningful order; all where there are few. */
    public static List<String> holders(String tenant, List<String> controlNodes) {
        if (controlNodes.size() <= HOLDERS) {
            return controlNodes;
        }
        long hash = HashMix.of(tenant);
        List<String> ranked = new ArrayList<>(controlNodes);
        ranked.sort(Comparator.comparingLong(node -> HashMix.mix(hash ^ HashMix.of(node))));
        return List.copyOf(ranked.subList(0, HOLDERS));
    }

    /** Depth of the token buckets of all holders together, in the tenant's unit. */
    public static double depth(TenantConfig tenant, Bounds bounds) {
        return tenant.burst() + DEPTH_PART * slack(tenant, bounds);
    }

    /** What a data node may admit in any window without asking, in the tenant's unit. */
    public static double reserve(TenantConfig tenant, Bounds bounds, int dataNodes) {
        return RESERVE_PART * slack(tenant, bounds) / Math.max(1, dataNodes);
    }

    private static double slack(TenantConfig tenant, Bounds bounds) {
        double window = tenant.ratePerS() * bounds.quotaWindowS() + tenant.burst();
        return bounds.quotaSlack() + bounds.quotaOvershoot() * window;
    }
}
