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

/** Budgets between the words of the operator's file, those of the ledger, and those that staff read. */
final class BudgetMapping {
    /** The budgets of page servers are called so, and their ids. */
    static final String SLOT_PREFIX = "place/";
    /** And those of page servers while they are cold, so. */
    static final String COLD_SLOT_PREFIX = "cold/";

    private BudgetMapping() { }

    /** Those of the file, as the ledger is to know them. */
    static List<Command.Define> definitions(FleetConfig.Sharing sharing) {
        List<Command.Define> defined = new ArrayList<>();
        for (FleetConfig.Budget b : sharing.budgets()) {
            defined.add(new Command.Define(b.name(), b.rate(), totalShare(b, b.whole(), sharing), fixedShare(b), b.nodes()));
        }
        return defined;
    }

    static Map<String, Command.Define> definitionsByName(FleetConfig.Sharing sharing) {
        Map<String, Command.Define> all = new TreeMap<>();
        definitions(sharing).forEach(d -> all.put(d.name(), d));
        return all;
    }

    /** Null where it is not a page server's, or places are not shared. */
    static Command.Define slotDefinition(FleetConfig.Sharing sharing, String name) {
        FleetConfig.Places p = sharing.places();
        if (p != null && p.cold() > 0 && name.startsWith(COLD_SLOT_PREFIX)) {
            return new Command.Define(name, false, new Share(p.cold(), 0), Share.NONE, 1);
        }
        return p == null || !name.startsWith(SLOT_PREFIX) ? null
                : new Command.Define(name, false, new Share(p.whole(), 0), new Share(p.fixed(), 0), p.nodes());
    }

    /** How the budget of that name is to be divided, by whoever leads. */
    static Division.Terms terms(FleetConfig.Sharing sharing, String name) {
        FleetConfig.Sharing.Terms t = name.startsWith(COLD_SLOT_PREFIX) ? FleetConfig.Sharing.Terms.NONE : sharing.terms(name);
        FleetConfig.Budget b = sharing.budgets().stream().filter(x -> x.name().equals(name)).findFirst().orElse(null);
        long unit = b != null && b.rate() ? Share.USE : 1;
        return new Division.Terms(t.floor() * unit, t.reserve() * unit, sharing.hold());
    }

    private static Share fixedShare(FleetConfig.Budget b) {
        return b.rate() ? new Share(b.fixed() * Share.USE, b.fixed() > 0 ? Share.USE : 0) : new Share(b.fixed(), 0);
    }

    /** Of a rate's burst, what its uses may begin late moves into a window that they were not looked at in. */
    static Share totalShare(FleetConfig.Budget b, long whole, FleetConfig.Sharing sharing) {
        double late = whole * (sharing.allowance(b.name()).toNanos() / 1e9);
        return b.rate() ? new Share(whole * Share.USE, (long) Math.floor((b.burst() - late) * Share.USE))
                : new Share(whole, 0);
    }

    private static double toUses(boolean rate, long amount) {
        return rate ? amount / (double) Share.USE : amount;
    }

    /** What a voter knows. */
    static JsonArray ledgerStatus(Ledger ledger) {
        JsonArray all = new JsonArray();
        Budgets budgets = ledger.budgets();
        for (Budgets.Whole w : budgets.wholes()) {
            Budgets.Figures f = budgets.figures(w);
            JsonArray parts = new JsonArray();
            for (Budgets.Part p : budgets.partsOf(w.name())) {
                Budgets.Member m = budgets.member(p.session());
                parts.add(new JsonObject().add("node", ledger.session(p.session()).node())
                        .add("amount", toUses(w.rate(), p.amount().amount())).add("target", toUses(w.rate(), p.target().amount()))
                        .add("epoch", m.epoch()));
            }
            JsonObject o = new JsonObject().add("name", w.name()).add("kind", w.rate() ? "rate" : "count")
                    .add("whole", toUses(w.rate(), f.whole().amount())).add("asked", toUses(w.rate(), w.asked().amount()))
                    .add("free", toUses(w.rate(), f.free().amount())).add("promised", toUses(w.rate(), f.promised().amount()))
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
        return sharing.budgets().stream().filter(b -> b.name().equals(budget)).mapToLong(FleetConfig.Budget::fixed).findFirst()
                .orElse(budget.startsWith(SLOT_PREFIX) && sharing.places() != null ? sharing.places().fixed() : 0);
    }

    /** Why it may use no more than it may; empty where it has its part. */
    private static String why(BudgetHolder.Has h, long fixed) {
        if (h.left().isZero()) {
            return fixed > 0 ? "reaches no leader: uses its fixed part, " + fixed
                    : "reaches no leader, and has no fixed part";
        }
        return h.target().amount() > 0 ? "" : fixed > 0 ? "has its fixed part alone, " + fixed
                : "others have all, or it asked for none";
    }

    /** What this node has. */
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
