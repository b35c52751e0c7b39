package routerfleet.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import routerfleet.config.TenantConfig;
import routerfleet.settings.Bounds;
import routerfleet.wire.PeerMessage;
import routerfleet.wire.QuotaDivision;

/**
 * This control node's parts of the tenants' limits: a token bucket for each tenant that it holds a part of. Data nodes ask
 * for each request, and what is granted is gone from the bucket. A bucket starts empty, as nobody knows what was granted
 * before this node started. Nothing is granted by a node that may have been replaced: its view of the replicas has to be
 * confirmed by a majority within {@link #LEASE_MS}; and a part that is taken over while this node runs starts to fill only
 * after that time, when its former holder has stopped.
 *
 * <p>Where a tenant asks for more than its limit, small requests would always find room first and large ones never. So a
 * request of any size is granted only where there is what a large one of the tenant needs.
 *
 * <p>Bound: one bucket a configured tenant. A question costs O(1).
 */
public final class QuotaGrantor {
    /** How old the confirmation of this node's view may be. */
    static final long LEASE_MS = 4_500;
    /** How fast the size of a tenant's largest request is forgotten, a question. */
    private static final double FORGETTING = 1.0 / 1_024;
    /** A large request finds room where there is more than it needs by this factor when small ones find none. */
    private static final double FAIR_MARGIN = 1.15;
    /** Most of the limit's whole depth that has to be there for a small request. */
    private static final double MOST_FAIR_PART = 0.5;
    private static final double MS_A_SECOND = 1_000;
    private static final long LONGEST_WAIT_MS = 10_000;

    /** One tenant's bucket here. */
    private static final class Bucket {
        private double depth;
        private double ratePerMs;
        private double level;
        /** Until when it is filled; in the future where a former holder may still grant. */
        private long filledAtMs;
        private int holders;
        /** Size of the largest request of late. */
        private double largestSize;

        void fill(long nowMs) {
            if (nowMs > filledAtMs) {
                level = Math.min(depth, level + ratePerMs * (nowMs - filledAtMs));
                filledAtMs = nowMs;
            }
        }

        void asked(double amount) {
            double size = Math.min(amount, depth * holders); // nobody needs more than there can be
            largestSize = Math.max(size, largestSize - FORGETTING * (largestSize - size));
        }

        /** What all holders together have to hold for a request of any size. */
        double fairLevel() {
            return Math.min(MOST_FAIR_PART * depth * holders, FAIR_MARGIN * largestSize);
        }
    }

    private final String selfIp;
    private final Bounds bounds;
    private final Map<String, Bucket> buckets = new HashMap<>();
    private List<TenantConfig> tenants = List.of();
    private List<String> controlNodes = List.of();
    private boolean started;
    /** Until when a former holder of a part may still grant, after the control nodes have changed. */
    private long handoverUntilMs;
    /** Into how many parts a limit is divided now. */
    private int parts;

    /** @param selfIp this node's address, as replicas are named by it */
    public QuotaGrantor(String selfIp, Bounds bounds) {
        this.selfIp = selfIp;
        this.bounds = bounds;
    }

    /**
     * Takes the configured tenants and the control nodes among which limits are divided; called regularly. Buckets that go
     * on keep their level; new ones are empty. Where control nodes change while this node runs, no part is taken over or
     * grows before its former holder has stopped.
     */
    public void configure(List<TenantConfig> changedTenants, List<String> changedNodes, long nowMs) {
        boolean nodesChanged = started && !controlNodes.equals(changedNodes);
        if (nodesChanged) {
            handoverUntilMs = nowMs + LEASE_MS;
        }
        int holders = Math.min(QuotaDivision.HOLDERS, changedNodes.size());
        int wantedParts = nowMs < handoverUntilMs ? Math.max(parts, holders) : holders;
        if (started && !nodesChanged && tenants.equals(changedTenants) && parts == wantedParts) {
            return;
        }
        started = true;
        tenants = changedTenants;
        controlNodes = List.copyOf(changedNodes);
        parts = wantedParts;
        Map<String, Bucket> before = new HashMap<>(buckets);
        buckets.clear();
        for (TenantConfig tenant : tenants) {
            if (tenant.ratePerS() > 0 && QuotaDivision.holders(tenant.name(), controlNodes).contains(selfIp)) {
                buckets.put(tenant.name(), bucket(before.get(tenant.name()), tenant, parts,
                        Math.max(nowMs, handoverUntilMs), nowMs));
            }
        }
    }

    /** @param startsMs when a part that is new here starts to fill */
    private Bucket bucket(Bucket before, TenantConfig tenant, int holders, long startsMs, long nowMs) {
        Bucket bucket = before == null ? new Bucket() : before;
        if (before == null) {
            bucket.filledAtMs = startsMs;
        } else {
            bucket.fill(nowMs);
        }
        bucket.holders = holders;
        bucket.depth = QuotaDivision.depth(tenant, bounds) / holders;
        bucket.ratePerMs = tenant.ratePerS() / MS_A_SECOND / holders;
        bucket.level = Math.min(bucket.level, bucket.depth);
        return bucket;
    }

    /**
     * Answers a data node's question.
     *
     * @param confirmedAgeMs how long ago a majority has confirmed this node's view; negative where it never has
     */
    public PeerMessage.QuotaAnswer answer(PeerMessage.QuotaAsk ask, long confirmedAgeMs, long nowMs) {
        Bucket bucket = buckets.get(ask.tenant());
        boolean countable = Double.isFinite(ask.amount()) && ask.amount() >= 0;
        if (bucket == null || !countable || confirmedAgeMs < 0 || confirmedAgeMs > LEASE_MS) {
            return PeerMessage.QuotaAnswer.notHere(ask.id());
        }
        bucket.fill(nowMs);
        if (!ask.part()) {
            bucket.asked(ask.amount());
        }
        double fair = ask.part() ? 0 : bucket.fairLevel() / bucket.holders;
        // A request larger than the bucket may go once the bucket is full, and leaves a debt.
        double needed = Math.min(bucket.depth, Math.max(ask.amount(), fair));
        if (bucket.level >= needed) {
            bucket.level -= ask.amount();
            return PeerMessage.QuotaAnswer.granted(ask.id());
        }
        long waitMs = (long) Math.ceil((needed - bucket.level) / bucket.ratePerMs);
        return PeerMessage.QuotaAnswer.denied(ask.id(), Math.min(LONGEST_WAIT_MS, Math.max(1, waitMs)),
                Math.max(0, bucket.level), bucket.fairLevel());
    }
}
