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
 * Limits retries and calls to discovery by budgets of the fleet that the configuration names. Of each budget it
 * requests twice the rate at which it was recently asked, at least one use per second, and the total if a use was
 * refused.
 *
 * <p>Retries are also limited to a share of the first attempts by a token bucket of {@value #MAX_SAVED_RETRIES}
 * retries, to which each first attempt adds that share. As this holds at each node, it holds for the fleet: in any
 * period, retries are no more than the share of first attempts plus {@value #MAX_SAVED_RETRIES} for each process that
 * runs in it.
 *
 * <p>A review, four times a second, costs O(1); other calls cost O(log budgets).
 */
final class RateLimiter implements FleetLimits {
    private static final Duration REVIEW_INTERVAL = Duration.ofMillis(250);
    private static final double REVIEWS_PER_SECOND = 4;
    private static final double DECAY = 0.9;
    private static final double MAX_SAVED_RETRIES = 10;
    /** The delay reported if it is not known when a use may start. */
    private static final Duration DEFAULT_RETRY_DELAY = Duration.ofMillis(200);

    /** The usage of one budget. */
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
            return refused ? total * Share.USE
                    : Math.min(total * Share.USE, (long) (Share.USE * Math.max(1, 2 * recentRate)));
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
        // begin() records a refusal, which raises the requested share
        return ready != null && !now.isBefore(ready) || begin(retries);
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

    /** Requests shares of both budgets. */
    void requestShares() {
        uses().forEach(u -> holder.wish(u.name, u.requestedShare()));
    }

    /** When {@link #onTime} has to be called next; null if no budget is configured. */
    Instant due() {
        return uses().isEmpty() ? null : nextReview;
    }

    /** Reviews usage if that is due, and updates the requested shares. */
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
