package rowanplank.fleet;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rowanplank.config.FleetConfig;
import rowanplank.ledger.BudgetHolder;
import rowanplank.ledger.Budgets;
import rowanplank.ledger.Command;
import rowanplank.ledger.Division;
import rowanplank.ledger.Ledger;
import rowanplank.ledger.Share;

/** Maps budgets between the configuration, the ledger and the status that operators read. */
final class BudgetMapping {
    /** The prefix of the budgets of slots at back-end servers; the server's id follows. */
    static final String SLOT_PREFIX = "place/";
    /** The prefix of the budgets that apply in addition while a back-end server is cold, that is, recently started. */
    static final String COLD_SLOT_PREFIX = "cold/";

    private BudgetMapping() { }

    /** The configured budgets as defined in the ledger. */
    static List<Command.Define> definitions(FleetConfig.Sharing sharing) {
        List<Command.Define> defined = new ArrayList<>();
        for (FleetConfig.Budget b : sharing.budgets()) {
            defined.add(new Command.Define(b.name(), b.rate(), totalShare(b, b.whole(), sharing), fixedShare(b),
                    b.nodes()));
        }
        return defined;
    }

    static Map<String, Command.Define> definitionsByName(FleetConfig.Sharing sharing) {
        Map<String, Command.Define> all = new TreeMap<>();
        definitions(sharing).forEach(d -> all.put(d.name(), d));
        return all;
    }

    /** The definition of a back-end server's slot budget; null if the name is not one, or slots are not shared. */
    static Command.Define slotDefinition(FleetConfig.Sharing sharing, String name) {
        FleetConfig.Places p = sharing.places();
        if (p != null && p.cold() > 0 && name.startsWith(COLD_SLOT_PREFIX)) {
            return new Command.Define(name, false, new Share(p.cold(), 0), Share.NONE, 1);
        }
        return p == null || !name.startsWith(SLOT_PREFIX) ? null
                : new Command.Define(name, false, new Share(p.whole(), 0), new Share(p.fixed(), 0), p.nodes());
    }

    /** The terms by which a leader divides a budget among the nodes. */
    static Division.Terms terms(FleetConfig.Sharing sharing, String name) {
        FleetConfig.Sharing.Terms t = name.startsWith(COLD_SLOT_PREFIX) ? FleetConfig.Sharing.Terms.NONE
                : sharing.terms(name);
        FleetConfig.Budget b = sharing.budgets().stream().filter(x -> x.name().equals(name)).findFirst().orElse(null);
        long unit = b != null && b.rate() ? Share.USE : 1;
        return new Division.Terms(t.floor() * unit, t.reserve() * unit, sharing.hold());
    }

    private static Share fixedShare(FleetConfig.Budget b) {
        return b.rate() ? new Share(b.fixed() * Share.USE, b.fixed() > 0 ? Share.USE : 0) : new Share(b.fixed(), 0);
    }

    /**
     * The total of a budget. The burst of a rate is reduced by the uses that may start late, and so fall into a later
     * window than the one in which they were counted.
     */
    static Share totalShare(FleetConfig.Budget b, long total, FleetConfig.Sharing sharing) {
        double late = total * (sharing.allowance(b.name()).toNanos() / 1e9);
        return b.rate() ? new Share(total * Share.USE, (long) Math.floor((b.burst() - late) * Share.USE))
                : new Share(total, 0);
    }

    private static double toUses(boolean rate, long amount) {
        return rate ? amount / (double) Share.USE : amount;
    }

    /** The budgets as a voter knows them. */
    static JsonArray ledgerStatus(Ledger ledger) {
        JsonArray all = new JsonArray();
        Budgets budgets = ledger.budgets();
        for (Budgets.Whole w : budgets.wholes()) {
            Budgets.Figures f = budgets.figures(w);
            JsonArray parts = new JsonArray();
            for (Budgets.Part p : budgets.partsOf(w.name())) {
                Budgets.Member m = budgets.member(p.session());
                parts.add(new JsonObject().add("node", ledger.session(p.session()).node())
                        .add("amount", toUses(w.rate(), p.amount().amount()))
                        .add("target", toUses(w.rate(), p.target().amount()))
                        .add("epoch", m.epoch()));
            }
            JsonObject o = new JsonObject().add("name", w.name()).add("kind", w.rate() ? "rate" : "count")
                    .add("whole", toUses(w.rate(), f.whole().amount()))
                    .add("asked", toUses(w.rate(), w.asked().amount()))
                    .add("free", toUses(w.rate(), f.free().amount()))
                    .add("promised", toUses(w.rate(), f.promised().amount()))
                    .add("giving_back", toUses(w.rate(), f.givingBack().amount()))
                    .add("set_aside", toUses(w.rate(), f.setAside().amount())).add("parts", parts);
            if (w.rate()) {
                o.add("burst", toUses(true, f.whole().burst())).add("burst_free", toUses(true, f.free().burst()));
            }
            all.add(o);
        }
        return all;
    }

    private static long fixedOf(FleetConfig.Sharing sharing, String budget) {
        return sharing.budgets().stream().filter(b -> b.name().equals(budget)).mapToLong(FleetConfig.Budget::fixed)
                .findFirst()
                .orElse(budget.startsWith(SLOT_PREFIX) && sharing.places() != null ? sharing.places().fixed() : 0);
    }

    /** Why a node is limited to what it has; empty if it has its allocated share. */
    private static String why(BudgetHolder.Has h, long fixed) {
        if (h.left().isZero()) {
            return fixed > 0 ? "reaches no leader: uses its fixed part, " + fixed
                    : "reaches no leader, and has no fixed part";
        }
        return h.target().amount() > 0 ? "" : fixed > 0 ? "has its fixed part alone, " + fixed
                : "others have all, or it asked for none";
    }

    /** The shares of this node. */
    static JsonArray nodeStatus(BudgetHolder holder, FleetConfig.Sharing sharing, Instant now) {
        JsonArray all = new JsonArray();
        for (BudgetHolder.Has h : holder.has(now)) {
            boolean rate = sharing.budgets().stream().anyMatch(b -> b.rate() && b.name().equals(h.budget()));
            all.add(new JsonObject().add("budget", h.budget()).add("epoch", h.epoch())
                    .add("amount", toUses(rate, h.amount().amount())).add("usable", toUses(rate, h.target().amount()))
                    .add("open", h.open()).add("refused", h.refused()).add("left_ms", h.left().toMillis())
                    .add("why", why(h, fixedOf(sharing, h.budget()))));
        }
        return all;
    }
}
