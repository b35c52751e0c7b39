package routerfleet.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import routerfleet.config.TenantConfig;
import routerfleet.settings.Bounds;
import routerfleet.wire.PeerMessage;
import routerfleet.wire.QuotaDivision;

/**
 * This control node's shares of the tenants' limits: a token bucket for each tenant of which it holds a share. Data nodes
 * ask for each request, and what is granted is taken from the bucket. A bucket starts empty, since it is not known what
 * was granted before this node started.
 *
 * <p>A node that may have been replaced grants nothing: its view of the replica group must have been confirmed by a
 * majority within {@link #LEASE_MS}. A share that is taken over while this node runs starts to fill only after that time,
 * when its former holder has stopped granting.
 *
 * <p>If a tenant asks for more than its limit, small requests would always be granted first and large ones never. So a
 * request of any size is granted only if the bucket holds enough for a large request of the tenant.
 *
 * <p>Limit: one bucket per configured tenant. A request costs O(1).
 */
public final class QuotaGrantor {
    /** Maximum age of the confirmation of this node's view, in milliseconds. */
    static final long LEASE_MS = 4_500;
    /** Decay of the size of a tenant's largest request, per request. */
    private static final double SIZE_DECAY = 1.0 / 1_024;
    /**
     * Small requests are denied below the size of the largest one times this factor, which leaves room for large ones.
     */
    private static final double FAIR_MARGIN = 1.15;
    /** Maximum fraction of the limit's total depth that is demanded for a small request. */
    private static final double MAX_FAIR_FRACTION = 0.5;
    private static final double MS_PER_SECOND = 1_000;
    private static final long MAX_WAIT_MS = 10_000;

    /** The token bucket of one tenant at this node. */
    private static final class Bucket {
        private double depth;
        private double ratePerMs;
        private double level;
        /** Until when it has been refilled; in the future while a former holder may still grant. */
        private long refilledUntilMs;
        private int shareCount;
        /** Size of the largest recent request. */
        private double largestSize;

        void refill(long nowMs) {
            if (nowMs > refilledUntilMs) {
                level = Math.min(depth, level + ratePerMs * (nowMs - refilledUntilMs));
                refilledUntilMs = nowMs;
            }
        }

        void recordRequest(double amount) {
            double size = Math.min(amount, depth * shareCount); // no request needs more than the maximum level
            largestSize = Math.max(size, largestSize - SIZE_DECAY * (largestSize - size));
        }

        /** What all shares together have to hold so that a request of any size is granted. */
        double fairLevel() {
            return Math.min(MAX_FAIR_FRACTION * depth * shareCount, FAIR_MARGIN * largestSize);
        }
    }

    private final String selfIp;
    private final Bounds bounds;
    private final Map<String, Bucket> buckets = new HashMap<>();
    private List<TenantConfig> tenants = List.of();
    private List<String> controlNodes = List.of();
    private boolean started;
    /** Until when a former holder of a share may still grant, after a change of the control nodes. */
    private long handoverUntilMs;
    /** Number of shares into which a limit is divided now. */
    private int shareCount;

    /** @param selfIp this node's address, by which replicas are named */
    public QuotaGrantor(String selfIp, Bounds bounds) {
        this.selfIp = selfIp;
        this.bounds = bounds;
    }

    /**
     * Sets the configured tenants and the control nodes among which limits are divided; to be called regularly. Buckets
     * that stay keep their level, new ones are empty. If control nodes change while this node runs, no share is taken
     * over or grows before its former holder has stopped granting.
     */
    public void configure(List<TenantConfig> changedTenants, List<String> changedNodes, long nowMs) {
        boolean nodesChanged = started && !controlNodes.equals(changedNodes);
        if (nodesChanged) {
            handoverUntilMs = nowMs + LEASE_MS;
        }
        int targetShares = Math.min(QuotaDivision.HOLDERS, changedNodes.size());
        int wantedShares = nowMs < handoverUntilMs ? Math.max(shareCount, targetShares) : targetShares;
        if (started && !nodesChanged && tenants.equals(changedTenants) && shareCount == wantedShares) {
            return;
        }
        started = true;
        tenants = changedTenants;
        controlNodes = List.copyOf(changedNodes);
        shareCount = wantedShares;
        Map<String, Bucket> previous = new HashMap<>(buckets);
        buckets.clear();
        for (TenantConfig tenant : tenants) {
            if (tenant.ratePerS() > 0 && QuotaDivision.holders(tenant.name(), controlNodes).contains(selfIp)) {
                buckets.put(tenant.name(), bucket(previous.get(tenant.name()), tenant, shareCount,
                        Math.max(nowMs, handoverUntilMs), nowMs));
            }
        }
    }

    /** @param startsMs when a share that is new here starts to fill */
    private Bucket bucket(Bucket previous, TenantConfig tenant, int shares, long startsMs, long nowMs) {
        Bucket bucket = previous == null ? new Bucket() : previous;
        if (previous == null) {
            bucket.refilledUntilMs = startsMs;
        } else {
            bucket.refill(nowMs);
        }
        bucket.shareCount = shares;
        bucket.depth = QuotaDivision.depth(tenant, bounds) / shares;
        bucket.ratePerMs = tenant.ratePerS() / MS_PER_SECOND / shares;
        bucket.level = Math.min(bucket.level, bucket.depth);
        return bucket;
    }

    /**
     * Answers a data node's request for quota.
     *
     * @param confirmedAgeMs how long ago a majority confirmed this node's view, in milliseconds; negative if it never did
     */
    public PeerMessage.QuotaAnswer answer(PeerMessage.QuotaAsk ask, long confirmedAgeMs, long nowMs) {
        Bucket bucket = buckets.get(ask.tenant());
        boolean validAmount = Double.isFinite(ask.amount()) && ask.amount() >= 0;
        if (bucket == null || !validAmount || confirmedAgeMs < 0 || confirmedAgeMs > LEASE_MS) {
            return PeerMessage.QuotaAnswer.notHere(ask.id());
        }
        bucket.refill(nowMs);
        if (!ask.part()) {
            bucket.recordRequest(ask.amount());
        }
        double fair = ask.part() ? 0 : bucket.fairLevel() / bucket.shareCount;
        // A request larger than the bucket is granted once the bucket is full, and leaves a negative level.
        double needed = Math.min(bucket.depth, Math.max(ask.amount(), fair));
        if (bucket.level >= needed) {
            bucket.level -= ask.amount();
            return PeerMessage.QuotaAnswer.granted(ask.id());
        }
        long waitMs = (long) Math.ceil((needed - bucket.level) / bucket.ratePerMs);
        return PeerMessage.QuotaAnswer.denied(ask.id(), Math.min(MAX_WAIT_MS, Math.max(1, waitMs)),
                Math.max(0, bucket.level), bucket.fairLevel());
    }
}
