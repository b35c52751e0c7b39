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
 * <p>Tries are bounded by a share of first tries as well: a bucket of {@value #MOST_SAVED} tries that each first try
 * fills by the share. What holds at each node holds for all: in any time, tries beyond the first are no more than the share
 * of first tries, and {@value #MOST_SAVED} for each process that runs in it.
 *
 * <p>A look, four times a second, costs O(1), as each question does but for O(log budgets).
 */
final class RateLimiter implements FleetLimits {
    private static final Duration LOOK = Duration.ofMillis(250);
    private static final double LOOKS_A_SECOND = 4;
    private static final double FORGET = 0.9;
    private static final double MOST_SAVED = 10;
    /** Where nothing says when a use may begin. */
    private static final Duration AGAIN = Duration.ofMillis(200);

    private static final class Use {
        final String name;
        final long whole;
        long asked;
        boolean refused;
        double lately;

        Use(FleetConfig.Budget b) {
            name = b.name();
            whole = b.whole();
        }

        long wish() {
            return refused ? whole * Share.USE : Math.min(whole * Share.USE, (long) (Share.USE * Math.max(1, 2 * lately)));
        }
    }

    private final Loop loop;
    private final BudgetHolder holder;
    private final Use tries;
    private final Use calls;
    private final double share;
    private double saved = MOST_SAVED;
    private Instant nextLook;

    RateLimiter(FleetConfig.Sharing sharing, Loop loop, BudgetHolder holder) {
        this.loop = loop;
        this.holder = holder;
        tries = use(sharing, sharing.uses().tries());
        calls = use(sharing, sharing.uses().discovery());
        share = sharing.uses().triesShare();
        nextLook = loop.clock().now();
    }

    private static Use use(FleetConfig.Sharing sharing, String name) {
        return sharing.budgets().stream().filter(b -> b.name().equals(name)).findFirst().map(Use::new).orElse(null);
    }

    private List<Use> uses() {
        return Stream.of(tries, calls).filter(Objects::nonNull).toList();
    }

    @Override
    public void recordFirstAttempt() {
        saved = Math.min(MOST_SAVED, saved + share);
    }

    @Override
    public boolean mayRetry() {
        if (saved < 1) {
            return false;
        }
        Instant now = loop.clock().now();
        Instant ready = tries == null ? now : holder.ready(now, tries.name);
        return ready != null && !now.isBefore(ready) || begin(tries); // a refusal is counted
    }

    @Override
    public boolean tryAcquireRetry() {
        boolean begun = saved >= 1 && (tries == null || begin(tries));
        saved -= begun ? 1 : 0;
        return begun;
    }

    @Override
    public Duration tryAcquireDiscoveryCall() {
        if (calls == null || begin(calls)) {
            return Duration.ZERO;
        }
        Instant now = loop.clock().now();
        Instant ready = holder.ready(now, calls.name);
        return ready == null || !ready.isAfter(now) ? AGAIN : Duration.between(now, ready);
    }

    private boolean begin(Use use) {
        use.asked++;
        boolean begun = holder.begin(loop.clock().now(), use.name) >= 0;
        use.refused |= !begun;
        return begun;
    }

    /** Says what it would use of each. */
    void wish() {
        uses().forEach(u -> holder.wish(u.name, u.wish()));
    }

    Instant due() {
        return uses().isEmpty() ? null : nextLook;
    }

    void onTime(Instant now) {
        if (!now.isBefore(nextLook)) {
            nextLook = now.plus(LOOK);
            for (Use u : uses()) {
                u.lately = Math.max(u.asked * LOOKS_A_SECOND, u.lately * FORGET);
                holder.wish(u.name, u.wish());
                u.asked = 0;
                u.refused = false;
            }
        }
    }
}
