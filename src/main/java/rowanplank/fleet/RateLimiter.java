package rowanplank.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;
import rowanplank.config.FleetConfig;
import rowanplank.decision.FleetLimits;
import rowanplank.ledger.BudgetHolder;
import rowanplank.ledger.Share;
import rowanplank.net.Loop;

/**
 * Tries beyond the first and calls to discovery as uses of budgets that the operator's file names. What it wishes for of
 * each: twice the rate at which it was asked lately, one use a second at the least, all of it where one was refused.
 *
 * <p>Tries are bounded by a share of first tries as well: a bucket of {@value #MAX_SAVED_RETRIES} tries that each first try
 * fills by the share. What holds at each node holds for all: in any time, tries beyond the first are no more than the share
 * of first tries, and {@value #MAX_SAVED_RETRIES} for each process that runs in it.
 *
 * <p>A look, four times a second, costs O(1), as each question does but for O(log budgets).
 */
final class RateLimiter implements FleetLimits {
    private static final Duration REVIEW_INTERVAL = Duration.ofMillis(250);
    private static final double REVIEWS_PER_SECOND = 4;
    private static final double DECAY = 0.9;
    private static final double MAX_SAVED_RETRIES = 10;
    /** Where nothing says when a use may begin. */
    private static final Duration DEFAULT_RETRY_DELAY = Duration.ofMillis(200);

    private static final class Use {
        final String name;
        final long total;
        long requested;
        boolean refused;
        double recentRate;

        Use(FleetConfig.Budget b) {
            name = b.name();
            total = b.whole();
        }

        long requestedShare() {
            return refused ? total * Share.USE : Math.min(total * Share.USE, (long) (Share.USE * Math.max(1, 2 * recentRate)));
        }
    }

    private final Loop loop;
    private final BudgetHolder holder;
    private final Use retries;
    private final Use discoveryCalls;
    private final double retryShare;
    private double savedRetries = MAX_SAVED_RETRIES;
    private Instant nextReview;

    RateLimiter(FleetConfig.Sharing sharing, Loop loop, BudgetHolder holder) {
        this.loop = loop;
        this.holder = holder;
        retries = use(sharing, sharing.uses().tries());
        discoveryCalls = use(sharing, sharing.uses().discovery());
        retryShare = sharing.uses().triesShare();
        nextReview = loop.clock().now();
    }

    private static Use use(FleetConfig.Sharing sharing, String name) {
        return sharing.budgets().stream().filter(b -> b.name().equals(name)).findFirst().map(Use::new).orElse(null);
    }

    private List<Use> uses() {
        return Stream.of(retries, discoveryCalls).filter(Objects::nonNull).toList();
    }

    @Override
    public void recordFirstAttempt() {
        savedRetries = Math.min(MAX_SAVED_RETRIES, savedRetries + retryShare);
    }

    @Override
    public boolean mayRetry() {
        if (savedRetries < 1) {
            return false;
        }
        Instant now = loop.clock().now();
        Instant ready = retries == null ? now : holder.ready(now, retries.name);
        return ready != null && !now.isBefore(ready) || begin(retries); // a refusal is counted
    }

    @Override
    public boolean tryAcquireRetry() {
        boolean begun = savedRetries >= 1 && (retries == null || begin(retries));
        savedRetries -= begun ? 1 : 0;
        return begun;
    }

    @Override
    public Duration tryAcquireDiscoveryCall() {
        if (discoveryCalls == null || begin(discoveryCalls)) {
            return Duration.ZERO;
        }
        Instant now = loop.clock().now();
        Instant ready = holder.ready(now, discoveryCalls.name);
        return ready == null || !ready.isAfter(now) ? DEFAULT_RETRY_DELAY : Duration.between(now, ready);
    }

    private boolean begin(Use use) {
        use.requested++;
        boolean begun = holder.begin(loop.clock().now(), use.name) >= 0;
        use.refused |= !begun;
        return begun;
    }

    /** Says what it would use of each. */
    void requestShares() {
        uses().forEach(u -> holder.wish(u.name, u.requestedShare()));
    }

    Instant due() {
        return uses().isEmpty() ? null : nextReview;
    }

    void onTime(Instant now) {
        if (!now.isBefore(nextReview)) {
            nextReview = now.plus(REVIEW_INTERVAL);
            for (Use u : uses()) {
                u.recentRate = Math.max(u.requested * REVIEWS_PER_SECOND, u.recentRate * DECAY);
                holder.wish(u.name, u.requestedShare());
                u.requested = 0;
                u.refused = false;
            }
        }
    }
}
