package rowanplank.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import rowanplank.config.FleetConfig.Budget;
import rowanplank.config.FleetConfig.Places;
import rowanplank.config.FleetConfig.Sharing;
import rowanplank.config.FleetConfig.Worker;

/** Reads {@code [fleet.budgets]}, {@code [[budget]]} and {@code [[worker]]}; faults are the file's. */
final class SharingReader {
    private static final String NAME = "[A-Za-z0-9._/-]{1,32}";
    private static final int MOST = 100;
    private static final int MOST_COPIES = 100;
    private static final long MOST_WHOLE = 1_000_000_000;
    private static final int MOST_NODES = 1000;

    private SharingReader() { }

    static Sharing read(TomlSection root, TomlSection fleet) {
        TomlSection own = fleet.section("budgets");
        Duration part = own.duration("part", Duration.ofMillis(200), Duration.ofHours(1), Sharing.NONE.part());
        List<TomlSection> sections = root.sections("budget");
        List<Budget> budgets = new ArrayList<>();
        TreeSet<String> names = new TreeSet<>();
        for (TomlSection s : sections) {
            Budget b = budget(s);
            if (!names.add(b.name()) && s.has("name")) {
                s.fault("name", "stands twice: " + b.name());
            }
            budgets.add(b);
        }
        List<Worker> workers = new ArrayList<>();
        for (TomlSection s : root.sections("worker")) {
            workers.add(worker(s, names));
        }
        if (budgets.size() > MOST || workers.size() > MOST) {
            root.fault(budgets.size() > MOST ? "budget" : "worker", "more than " + MOST);
        }
        Duration hold = own.duration("hold", Duration.ZERO, Duration.ofMinutes(10), Sharing.NONE.hold());
        Sharing sharing = new Sharing(part, hold, budgets, workers, places(own, own.has("places")), uses(own, budgets));
        for (int i = 0; i < budgets.size(); i++) {
            burst(sections.get(i), budgets.get(i), sharing.allowance(budgets.get(i).name()));
        }
        return sharing;
    }

    /** A try lasts as long as a client may wait, and its node may stand still. */
    private static Places places(TomlSection s, boolean wanted) {
        long whole = s.whole("places", 1, MOST_WHOLE, 1);
        long fixed = s.whole("places_fixed", 0, MOST_WHOLE, 0);
        int nodes = s.integer("nodes", 1, MOST_NODES, 1);
        Duration linger = s.duration("linger", Duration.ZERO, Duration.ofSeconds(10), Duration.ofMillis(50));
        Duration longest = s.duration("longest_try", Duration.ofMillis(50), Duration.ofHours(1), Duration.ofSeconds(4));
        if (fixed * nodes > whole) {
            s.fault("places_fixed", "for " + nodes + " nodes it is more than the whole");
        }
        Sharing.Terms terms = terms(s, "places_floor", "places_reserve", whole - fixed * nodes);
        long cold = s.whole("places_cold", 0, MOST_WHOLE, 0);
        if (cold > whole) {
            s.fault("places_cold", "is more than the whole of " + whole);
        }
        boolean byWorth = s.flag("places_by_worth", false);
        return wanted ? new Places(whole, fixed, nodes, linger, longest, terms, byWorth, cold) : null;
    }

    private static Sharing.Uses uses(TomlSection s, List<Budget> budgets) {
        return new Sharing.Uses(rate(s, "tries", budgets), s.number("tries_share", 0, 1000, Sharing.Uses.NONE.triesShare()),
                rate(s, "discovery", budgets));
    }

    /** The name of a budget that is a rate; null where the key is not there. */
    private static String rate(TomlSection s, String key, List<Budget> budgets) {
        String name = s.text(key, null);
        if (name != null && budgets.stream().noneMatch(b -> b.rate() && b.name().equals(name))) {
            s.fault(key, "there is no [[budget]] of that name and kind rate: " + name);
        }
        return name;
    }

    /** @param divided what is not set aside */
    private static Sharing.Terms terms(TomlSection s, String floor, String reserve, long divided) {
        Sharing.Terms terms = new Sharing.Terms(s.whole(floor, 0, MOST_WHOLE, 0), s.whole(reserve, 0, MOST_WHOLE, 0));
        if (terms.reserve() > 0 && terms.reserve() >= divided) {
            s.fault(reserve, "leaves nothing to divide: beside what is fixed the whole is " + Math.max(0, divided));
        } else if (terms.floor() > 0 && terms.floor() > divided - terms.reserve()) {
            s.fault(floor, "is more than there is to divide: " + Math.max(0, divided - terms.reserve()));
        }
        return terms;
    }

    private static Budget budget(TomlSection s) {
        s.require("name");
        s.require("whole");
        String name = s.text("name", "budget");
        if (!name.matches(NAME)) {
            s.fault("name", "must be of 1 to 32 letters, digits, dots, dashes, strokes and underlines");
        }
        boolean rate = s.oneOf("kind", List.of("count", "rate"), "count").equals("rate");
        long whole = s.whole("whole", 0, MOST_WHOLE, 0);
        long fixed = s.whole("fixed", 0, MOST_WHOLE, 0);
        int nodes = s.integer("nodes", 1, MOST_NODES, 1);
        if (rate) {
            s.require("burst");
        } else if (s.has("burst")) {
            s.fault("burst", "only a rate has one");
        }
        if (fixed > 0) {
            s.require("nodes");
        }
        if (fixed * nodes > whole) {
            s.fault("fixed", "for " + nodes + " nodes it is more than the whole");
        }
        return new Budget(name, rate, whole, rate ? s.whole("burst", 1, MOST_WHOLE, 1) : 0, fixed, nodes,
                terms(s, "floor", "reserve", whole - fixed * nodes));
    }

    /** What a node may begin late moves into a window that it was not looked at in: that much of the burst is held back. */
    private static void burst(TomlSection s, Budget b, Duration allowance) {
        double late = b.whole() * (allowance.toNanos() / 1e9);
        long fixed = b.fixed() > 0 ? b.nodes() : 0;
        if (b.rate() && s.has("burst") && b.burst() < late + Math.max(1, fixed)) {
            s.fault("burst", "must be at least " + (long) Math.ceil(late + Math.max(1, fixed))
                    + ": the rate times its workers' allowance, and one use for each fixed part");
        }
    }

    private static Worker worker(TomlSection s, TreeSet<String> budgets) {
        s.require("name");
        s.require("budget");
        s.require("command");
        String budget = s.text("budget", "");
        if (s.has("budget") && !budgets.contains(budget)) {
            s.fault("budget", "there is no [[budget]] of that name: " + budget);
        }
        return new Worker(FleetConfig.name(s, "name", "worker"), budget, s.integer("copies", 0, MOST_COPIES, 1),
                s.duration("pause", Duration.ofMillis(1), Duration.ofHours(1), Duration.ofSeconds(1)),
                s.duration("longest", Duration.ofMillis(10), Duration.ofHours(1), Duration.ofSeconds(10)),
                s.duration("allowance", Duration.ZERO, Duration.ofMinutes(1), Duration.ofMillis(200)),
                FleetConfig.command(s));
    }
}
