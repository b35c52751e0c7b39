package rowanplank.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.openhft.hashing.LongHashFunction;
import rowanplank.balancer.BalancerApi.Lifecycle;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.balancer.BalancerApi.Settings;
import rowanplank.config.FleetConfig;
import rowanplank.decision.ServerSlots;
import rowanplank.ledger.Ask;
import rowanplank.ledger.BudgetHolder;
import rowanplank.ledger.Command;
import rowanplank.ledger.Division;
import rowanplank.net.Loop;

/**
 * Places at page servers as budgets of the fleet, one for each server that discovery lists: a try takes one from its
 * sending to its first answer. One that was given up holds it for {@code linger} more, since the server goes on with it
 * until it hears of that.
 *
 * <p>Where it wishes for some: at {@value #MIN_SERVERS} servers, or twice as many as it had tries out lately, two in three
 * in its own hall, in an order that is its own and always the same; so nodes spread over the servers, and one with much to
 * send has places at more of them. For how many: one more than were in use at once lately; all of them where its part was
 * full. So parts go where tries are, and the module chooses among the servers at which there are any.
 *
 * <p>Bound: {@value #MAX_SERVERS} servers; others have no places here. A look, four times a second, costs O(servers); a try
 * O(log servers).
 */
final class SlotLimiter implements ServerSlots {
    private static final int MAX_SERVERS = 800;
    private static final Duration REVIEW_INTERVAL = Duration.ofMillis(250);
    /** Of what was in use at once, so much is forgotten with each look, once nothing like it has been since. */
    private static final double DECAY = 0.8;
    /** Servers that a node has places at: so many at the least, to choose from, and so many for each try out lately. */
    private static final int MIN_SERVERS = 8;
    private static final double SERVERS_PER_ATTEMPT = 2;
    /** Of three, so many in its own hall. */
    private static final int OWN_ZONE_OF_THREE = 2;
    private static final int THREE = 3;
    private static final double WORTH_SMOOTHING = 0.05;
    private static final double WORTH_STEP = 1.25;
    private static final double MIN_WORTH = 0.01;

    private static final class Slots {
        final String budget;
        /** Of the budget that bounds it while it is cold, and until when that is; null where nothing does. */
        final String coldBudget;
        Instant coldUntil;
        /** Uses of that one, no fewer than tries that began while it was cold and are out. */
        int coldOpen;
        int open;
        int peakOpen;
        boolean full;
        /** Not listed any more; its last tries are still out. */
        boolean removed;
        double recentPeak;
        double worth = 1;
        /** Among those that this node has places at, if it can. */
        boolean wanted;
        boolean usable;
        final boolean ownZone;
        /** It comes the earlier among them the less this is; another order at each node, and always the same there. */
        final double rank;

        Slots(long server, boolean own, double lot) {
            this.ownZone = own;
            this.rank = lot;
            coldBudget = BudgetMapping.COLD_SLOT_PREFIX + Long.toUnsignedString(server, Character.MAX_RADIX);
            budget = BudgetMapping.SLOT_PREFIX + Long.toUnsignedString(server, Character.MAX_RADIX);
        }
    }

    private final FleetConfig.Places config;
    private final Loop loop;
    private final BudgetHolder holder;
    private final Runnable onServersChanged;
    private final Runnable onReleasable;
    private final Map<Long, Slots> slotsById = new TreeMap<>();
    /** Those that are listed, in this node's order. */
    private List<Slots> order = List.of();
    private final long node;
    private Runnable onUsable = () -> { };
    private Instant nextReview;

    /**
     * @param node its name
     * @param listed run when there are other servers than before
     * @param fits run when something may be given back
     */
    SlotLimiter(FleetConfig.Places config, String node, Loop loop, BudgetHolder holder, Runnable listed, Runnable fits) {
        this.config = config;
        this.node = LongHashFunction.xx().hashChars(node);
        this.loop = loop;
        this.holder = holder;
        this.onServersChanged = listed;
        this.onReleasable = fits;
        nextReview = loop.clock().now();
    }

    /** The budgets that it uses. */
    Map<String, Command.Define> budgets(FleetConfig.Sharing sharing) {
        Map<String, Command.Define> all = new TreeMap<>();
        Instant now = loop.clock().now();
        for (Slots p : slotsById.values()) {
            all.put(p.budget, BudgetMapping.slotDefinition(sharing, p.budget));
            if (p.coldOpen > 0 || isCold(now, p)) {
                all.put(p.coldBudget, BudgetMapping.slotDefinition(sharing, p.coldBudget));
            }
        }
        return all;
    }

    @Override
    public double limit(long server) {
        Slots p = slotsById.get(server);
        return p == null ? 0 : at(p);
    }

    private double at(Slots p) {
        Instant now = loop.clock().now();
        long most = p.removed ? 0 : holder.limit(now, p.budget);
        return Math.max(0, isCold(now, p) ? Math.min(most, holder.limit(now, p.coldBudget)) : most);
    }

    private static boolean isCold(Instant now, Slots p) {
        return p.coldUntil != null && now.isBefore(p.coldUntil);
    }

    /** One that is cold needs a use of both. */
    private boolean begin(Instant now, Slots p) {
        boolean cold = isCold(now, p);
        if (cold && holder.begin(now, p.coldBudget) < 0) {
            return false;
        }
        boolean begun = holder.begin(now, p.budget) >= 0;
        p.coldOpen += cold && begun ? 1 : 0;
        if (cold && !begun) {
            holder.end(p.coldBudget);
        }
        return begun;
    }

    @Override
    public boolean tryAcquire(long server, double worth) {
        Slots p = slotsById.get(server);
        if (p == null) {
            return false;
        }
        p.worth += WORTH_SMOOTHING * (worth - p.worth);
        boolean begun = begin(loop.clock().now(), p);
        p.open += begun ? 1 : 0;
        p.peakOpen = Math.max(p.peakOpen, p.open);
        p.full |= !begun || p.open >= holder.limit(loop.clock().now(), p.budget);
        return begun;
    }

    @Override
    public void release(long server, boolean heard) {
        Slots p = slotsById.get(server);
        if (p == null) {
            return;
        }
        if (heard || config.linger().isZero()) {
            ended(p);
        } else {
            loop.schedule(config.linger(), () -> ended(p));
        }
    }

    private void ended(Slots p) {
        p.open--;
        boolean fit = holder.end(p.budget);
        if (p.coldOpen > p.open) {
            p.coldOpen--;
            fit |= holder.end(p.coldBudget);
        }
        if (fit) {
            onReleasable.run();
        }
    }

    @Override
    public void updateServers(List<Server> changed, boolean complete, Settings site) {
        slotsById.values().forEach(p -> p.removed |= complete);
        for (Server s : changed) {
            Slots p = slotsById.get(s.id());
            if (s.lifecycle() == Lifecycle.READY && (p != null || slotsById.size() < MAX_SERVERS)) {
                Slots listedNow = slotsById.computeIfAbsent(s.id(), id -> new Slots(id, s.zone() == site.zone(), rank(id)));
                listedNow.removed = false;
                listedNow.coldUntil = config.cold() == 0 || s.startedAtMs() == 0 ? null
                        : Instant.ofEpochMilli((long) Math.ceil(s.startedAtMs() + site.rules().warmupMs()));
            } else if (p != null) {
                p.removed = true;
            }
        }
        slotsById.values().removeIf(p -> p.removed && p.open == 0);
        order = slotsById.values().stream().filter(p -> !p.removed)
                .sorted(Comparator.comparingDouble((Slots p) -> p.rank)).toList();
        chooseWanted();
        onServersChanged.run();
    }

    private double rank(long server) {
        return new SplittableRandom(server ^ node).nextDouble();
    }

    /** Of three wanted, two in the own hall, while there are such; the first ones in this node's order of each. */
    private void chooseWanted() {
        double tries = 0;
        for (Slots p : order) {
            tries += p.recentPeak;
            p.wanted = p.open > 0;
        }
        long wanted = Math.max(MIN_SERVERS, Math.round(Math.ceil(SERVERS_PER_ATTEMPT * tries)));
        int own = 0;
        int others = 0;
        long owns = order.stream().filter(p -> p.ownZone).count();
        for (Slots p : order) {
            long room = p.ownZone ? Math.max(wanted * OWN_ZONE_OF_THREE / THREE, wanted - (order.size() - owns))
                    : wanted - Math.min(owns, wanted * OWN_ZONE_OF_THREE / THREE);
            p.wanted |= (p.ownZone ? own++ : others++) < room;
        }
    }

    @Override
    public void onSlotsAvailable(Runnable changed) {
        onUsable = changed;
    }

    /** With the places that are in use now. */
    Ask.Service withSlots(Ask.Service s) {
        return new Ask.Service(s.served(), s.refused(), s.failed(), s.open(), slotsById.values().stream().mapToLong(p -> p.open).sum(),
                slotsById.values().stream().filter(p -> !p.removed).count());
    }

    /** Says what it would use of each. */
    void requestShares() {
        slotsById.values().forEach(this::requestShares);
    }

    Instant due() {
        return slotsById.isEmpty() ? null : nextReview;
    }

    void onTime(Instant now) {
        if (!now.isBefore(nextReview)) {
            nextReview = now.plus(REVIEW_INTERVAL);
            boolean more = false;
            boolean warm = false;
            chooseWanted();
            for (Slots p : slotsById.values()) {
                boolean before = p.usable;
                p.usable = at(p) > 0;
                more |= p.usable && !before;
                if (p.coldUntil != null && !now.isBefore(p.coldUntil) && p.coldOpen == 0) {
                    p.coldUntil = null;
                    warm = true;
                }
                p.recentPeak = Math.max(p.peakOpen, p.recentPeak * DECAY);
                requestShares(p);
                p.peakOpen = p.open;
                p.full = false;
            }
            if (warm) {
                onServersChanged.run();
            }
            if (more) {
                loop.execute(onUsable);
            }
        }
    }

    private void requestShares(Slots p) {
        boolean unused = p.removed || !p.wanted;
        long more = Math.min(config.whole(), 1 + (long) Math.ceil(p.recentPeak));
        holder.wish(p.budget, unused ? 0 : p.full ? config.whole() : more,
                config.byWorth() ? weight(p.worth) : Division.NORMAL);
        if (p.coldUntil != null) {
            holder.wish(p.coldBudget, unused ? 0 : Math.min(config.cold(), more));
        }
    }

    /** In steps, so that not each request is news: a quarter more or less is the same. */
    private static int weight(double worth) {
        double step = Math.round(Math.log(Math.max(MIN_WORTH, worth)) / Math.log(WORTH_STEP));
        return (int) Math.round(Division.NORMAL * Math.pow(WORTH_STEP, step));
    }
}
