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
 * Limits concurrent attempts at back-end servers. The slots of each server that discovery lists are a budget of the
 * fleet; an attempt uses one from when it is sent until its first response. An abandoned attempt keeps its slot for
 * {@code linger} longer, since the server goes on working until it notices.
 *
 * <p>A node requests slots at {@value #MIN_SERVERS} servers, or at twice as many as it recently had attempts open if
 * that is more; two thirds of them are in its own zone. Each node prefers servers in an order of its own that never
 * changes, so nodes spread over the servers, and a node with much traffic has slots at more of them. Per server it
 * requests one slot more than were recently used at the same time, or all of them if its share was exhausted. So slots
 * go where attempts are, and the balancer chooses among servers that have free ones.
 *
 * <p>Limit: {@value #MAX_SERVERS} servers; others have no slots here. A review, four times a second, costs O(servers),
 * an attempt O(log servers).
 */
final class SlotLimiter implements ServerSlots {
    private static final int MAX_SERVERS = 800;
    private static final Duration REVIEW_INTERVAL = Duration.ofMillis(250);
    /** The factor by which the recent peak of used slots decays per review while usage stays below it. */
    private static final double DECAY = 0.8;
    /**
     * The minimum number of servers to have slots at, so that there is a choice, and the number for each recently open
     * attempt.
     */
    private static final int MIN_SERVERS = 8;
    private static final double SERVERS_PER_ATTEMPT = 2;
    /** How many of three servers are to be in the node's own zone. */
    private static final int OWN_ZONE_OF_THREE = 2;
    private static final int THREE = 3;
    private static final double WORTH_SMOOTHING = 0.05;
    private static final double WORTH_STEP = 1.25;
    private static final double MIN_WORTH = 0.01;

    /** The slots at one server. */
    private static final class Slots {
        final String budget;
        /**
         * The budget that applies in addition while the server is cold, and until when it is cold. {@code coldUntil}
         * is null if it is not.
         */
        final String coldBudget;
        Instant coldUntil;
        /** Uses of the cold budget: at least the open attempts that started while the server was cold. */
        int coldOpen;
        int open;
        int peakOpen;
        boolean full;
        /** Whether the server is no longer listed, but attempts are still open. */
        boolean removed;
        double recentPeak;
        double worth = 1;
        /** Whether this node wants slots at the server. */
        boolean wanted;
        boolean usable;
        final boolean ownZone;
        /** Servers with lower ranks are preferred; ranks differ between nodes, but never change at one node. */
        final double rank;

        Slots(long server, boolean ownZone, double rank) {
            this.ownZone = ownZone;
            this.rank = rank;
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
    /** The listed servers in this node's order of preference. */
    private List<Slots> order = List.of();
    private final long node;
    private Runnable onUsable = () -> { };
    private Instant nextReview;

    /**
     * Creates a limiter without servers.
     *
     * @param node the name of this node
     * @param onServersChanged run when the servers have changed
     * @param onReleasable run when part of a share may have become releasable
     */
    SlotLimiter(FleetConfig.Places config, String node, Loop loop, BudgetHolder holder, Runnable onServersChanged,
            Runnable onReleasable) {
        this.config = config;
        this.node = LongHashFunction.xx().hashChars(node);
        this.loop = loop;
        this.holder = holder;
        this.onServersChanged = onServersChanged;
        this.onReleasable = onReleasable;
        nextReview = loop.clock().now();
    }

    /** The budgets of all servers with slots, by name. */
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
        long limit = p.removed ? 0 : holder.limit(now, p.budget);
        return Math.max(0, isCold(now, p) ? Math.min(limit, holder.limit(now, p.coldBudget)) : limit);
    }

    private static boolean isCold(Instant now, Slots p) {
        return p.coldUntil != null && now.isBefore(p.coldUntil);
    }

    /** Takes a slot. At a cold server it needs a use of both budgets. */
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
        boolean releasable = holder.end(p.budget);
        if (p.coldOpen > p.open) {
            p.coldOpen--;
            releasable |= holder.end(p.coldBudget);
        }
        if (releasable) {
            onReleasable.run();
        }
    }

    @Override
    public void updateServers(List<Server> changed, boolean complete, Settings site) {
        slotsById.values().forEach(p -> p.removed |= complete);
        for (Server s : changed) {
            Slots p = slotsById.get(s.id());
            if (s.lifecycle() == Lifecycle.READY && (p != null || slotsById.size() < MAX_SERVERS)) {
                Slots slots = slotsById.computeIfAbsent(s.id(), id -> new Slots(id, s.zone() == site.zone(), rank(id)));
                slots.removed = false;
                slots.coldUntil = config.cold() == 0 || s.startedAtMs() == 0 ? null
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

    /**
     * Chooses the wanted servers: two thirds in the node's own zone as far as there are any, and the most preferred
     * ones of each kind.
     */
    private void chooseWanted() {
        double openAttempts = 0;
        for (Slots p : order) {
            openAttempts += p.recentPeak;
            p.wanted = p.open > 0;
        }
        long wanted = Math.max(MIN_SERVERS, Math.round(Math.ceil(SERVERS_PER_ATTEMPT * openAttempts)));
        int ownChosen = 0;
        int othersChosen = 0;
        long ownZoneServers = order.stream().filter(p -> p.ownZone).count();
        for (Slots p : order) {
            long quota = p.ownZone
                    ? Math.max(wanted * OWN_ZONE_OF_THREE / THREE, wanted - (order.size() - ownZoneServers))
                    : wanted - Math.min(ownZoneServers, wanted * OWN_ZONE_OF_THREE / THREE);
            p.wanted |= (p.ownZone ? ownChosen++ : othersChosen++) < quota;
        }
    }

    @Override
    public void onSlotsAvailable(Runnable changed) {
        onUsable = changed;
    }

    /** Adds the slots in use and the listed servers to the service counts. */
    Ask.Service withSlots(Ask.Service s) {
        return new Ask.Service(s.served(), s.refused(), s.failed(), s.open(),
                slotsById.values().stream().mapToLong(p -> p.open).sum(),
                slotsById.values().stream().filter(p -> !p.removed).count());
    }

    /** Requests shares of all budgets. */
    void requestShares() {
        slotsById.values().forEach(this::requestShares);
    }

    /** When {@link #onTime} has to be called next; null if there are no servers. */
    Instant due() {
        return slotsById.isEmpty() ? null : nextReview;
    }

    /** Reviews usage if that is due, and updates the requested shares. */
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

    /** Converts a worth to a weight in steps of a quarter, so that small changes do not cause new requests. */
    private static int weight(double worth) {
        double step = Math.round(Math.log(Math.max(MIN_WORTH, worth)) / Math.log(WORTH_STEP));
        return (int) Math.round(Division.NORMAL * Math.pow(WORTH_STEP, step));
    }
}
