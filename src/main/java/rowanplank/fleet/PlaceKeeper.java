package rowanplank.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rowanplank.balancer.BalancerApi.Lifecycle;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.config.FleetConfig;
import rowanplank.decision.Places;
import rowanplank.ledger.BudgetHolder;
import rowanplank.ledger.Command;
import rowanplank.ledger.Division;
import rowanplank.net.Loop;

/**
 * Places at page servers as budgets of the fleet, one for each server that discovery lists: a try takes one from its
 * sending to its first answer. One that was given up holds it for {@code linger} more, since the server goes on with it
 * until it hears of that.
 *
 * <p>What it wishes for: one place more than were in use at once lately; all of them where its part was full; none at
 * a server that no choice has looked at in the last {@value #UNUSED} looks. So parts go where tries are.
 *
 * <p>Bound: {@value #MOST} servers; others have no places here. A look, four times a second, costs O(servers); a try
 * O(log servers).
 */
final class PlaceKeeper implements Places {
    private static final int MOST = 800;
    private static final Duration LOOK = Duration.ofMillis(250);
    /** Of what was in use at once, so much is forgotten with each look, once nothing like it has been since. */
    private static final double FORGET = 0.8;
    /** A server that no choice has looked at for so many looks is not used by this node. */
    private static final int UNUSED = 40;
    private static final double WORTH_GAIN = 0.05;
    private static final double WORTH_STEP = 1.25;
    private static final double LEAST_WORTH = 0.01;

    private static final class Place {
        final String name;
        int open;
        int most;
        boolean full;
        /** Not listed any more; its last tries are still out. */
        boolean gone;
        double lately;
        double worth = 1;
        /** Whether a choice has looked at it since the last look. */
        boolean looked;
        int looksSince;

        Place(long server) {
            name = Sharing.PLACES + Long.toUnsignedString(server, Character.MAX_RADIX);
        }
    }

    private final FleetConfig.Places config;
    private final Loop loop;
    private final BudgetHolder holder;
    private final Runnable listed;
    private final Runnable fits;
    private final Map<Long, Place> places = new TreeMap<>();
    private Instant nextLook;

    /**
     * @param listed run when there are other servers than before
     * @param fits run when something may be given back
     */
    PlaceKeeper(FleetConfig.Places config, Loop loop, BudgetHolder holder, Runnable listed, Runnable fits) {
        this.config = config;
        this.loop = loop;
        this.holder = holder;
        this.listed = listed;
        this.fits = fits;
        nextLook = loop.clock().now();
    }

    /** The budgets that it uses. */
    Map<String, Command.Define> budgets(FleetConfig.Sharing sharing) {
        Map<String, Command.Define> all = new TreeMap<>();
        places.values().forEach(p -> all.put(p.name, Sharing.placesOf(sharing, p.name)));
        return all;
    }

    @Override
    public double at(long server) {
        Place p = places.get(server);
        if (p != null) {
            p.looked = true;
        }
        return p == null || p.gone ? 0 : Math.max(0, holder.limit(loop.clock().now(), p.name));
    }

    @Override
    public boolean begin(long server, double worth) {
        Place p = places.get(server);
        if (p == null) {
            return false;
        }
        p.worth += WORTH_GAIN * (worth - p.worth);
        boolean begun = holder.begin(loop.clock().now(), p.name) >= 0;
        p.open += begun ? 1 : 0;
        p.most = Math.max(p.most, p.open);
        p.full |= !begun || p.open >= holder.limit(loop.clock().now(), p.name);
        return begun;
    }

    @Override
    public void end(long server, boolean heard) {
        Place p = places.get(server);
        if (p == null) {
            return;
        }
        if (heard || config.linger().isZero()) {
            ended(p);
        } else {
            loop.schedule(config.linger(), () -> ended(p));
        }
    }

    private void ended(Place p) {
        p.open--;
        if (holder.end(p.name)) {
            fits.run();
        }
    }

    @Override
    public void servers(List<Server> changed, boolean complete) {
        places.values().forEach(p -> p.gone |= complete);
        for (Server s : changed) {
            Place p = places.get(s.id());
            if (s.lifecycle() == Lifecycle.READY && (p != null || places.size() < MOST)) {
                places.computeIfAbsent(s.id(), Place::new).gone = false;
            } else if (p != null) {
                p.gone = true;
            }
        }
        places.values().removeIf(p -> p.gone && p.open == 0);
        listed.run();
    }

    /** Says what it would use of each. */
    void wish() {
        places.values().forEach(this::wish);
    }

    Instant due() {
        return places.isEmpty() ? null : nextLook;
    }

    void onTime(Instant now) {
        if (!now.isBefore(nextLook)) {
            nextLook = now.plus(LOOK);
            for (Place p : places.values()) {
                p.lately = Math.max(p.most, p.lately * FORGET);
                p.looksSince = p.looked ? 0 : Math.min(UNUSED, p.looksSince + 1);
                p.looked = false;
                wish(p);
                p.most = p.open;
                p.full = false;
            }
        }
    }

    private void wish(Place p) {
        boolean unused = p.gone || p.looksSince == UNUSED;
        long more = Math.min(config.whole(), 1 + (long) Math.ceil(p.lately));
        holder.wish(p.name, unused ? 0 : p.full ? config.whole() : more, config.byWorth() ? weight(p.worth) : Division.NORMAL);
    }

    /** In steps, so that not each request is news: a quarter more or less is the same. */
    private static int weight(double worth) {
        double step = Math.round(Math.log(Math.max(LEAST_WORTH, worth)) / Math.log(WORTH_STEP));
        return (int) Math.round(Division.NORMAL * Math.pow(WORTH_STEP, step));
    }
}
