package rowanplank.lab.trial;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.tomlj.Toml;
import rowanplank.config.ConfigException;
import rowanplank.config.TomlFile;
import rowanplank.config.TomlSection;

/** A trial as a TOML file and back: what is written is read as the same one. */
public final class TrialFile {
    private static final int MOST_FAULTS = 10_000;
    private static final int MOST_MS = 3_600_000;
    private static final String NODE = "n[1-9][0-9]?[0-9]?|" + TrialFault.LEADER + "|" + TrialFault.HOLDER;
    private static final List<String> WHATS = Arrays.stream(TrialFault.What.values()).map(TrialFile::name).toList();

    private TrialFile() { }

    /** Whether the text is meant to be one, and no day. */
    public static boolean isOne(String text) {
        return text.lines().anyMatch(l -> l.strip().equals("[trial]"));
    }

    private static String name(TrialFault.What what) {
        return what.name().toLowerCase(Locale.ROOT);
    }

    public static String write(TrialCase c) {
        StringBuilder t = new StringBuilder(String.format(Locale.ROOT, "[trial]%nkind = \"%s\"%nnodes = %d%nseed = %d%nlength = \"%dms\"%n"
                + "lease = \"%dms\"%ndrift = %s%nplant = \"%s\"%nrule = \"%s\"%n", c.kind(), c.nodes(), c.seed(), c.length().toMillis(),
                c.lease().toMillis(), c.drift(), c.plant(), c.rule()));
        for (TrialFault f : c.faults()) {
            t.append(String.format(Locale.ROOT, "%n[[fault]]%nat_ms = %d%nwhat = \"%s\"%nms = %d%n", f.atMs(), name(f.what()),
                    f.ms()));
            t.append(f.node().isEmpty() ? "ways = [" + String.join(", ", f.ways().stream().map(w -> "\"" + w + "\"").toList()) + "]\n"
                    : "node = \"" + f.node() + "\"\n");
            List<Double> v = f.figures();
            if (f.what() == TrialFault.What.SICK) {
                t.append("lost = " + v.get(0) + "\ndoubled = " + v.get(1) + "\ncut_short = " + v.get(2) + "\ndelay_ms = "
                        + v.get(3) + "\nspread_ms = " + v.get(4) + "\n");
            } else if (f.what() == TrialFault.What.SLOW_DISK) {
                t.append("by_ms = ").append(v.get(0)).append('\n');
            }
            t.append("note = \"").append(Toml.tomlEscape(f.note())).append("\"\n");
        }
        return t.toString();
    }

    /**
     * @param name what faults call the file
     * @throws ConfigException with one line for each fault
     */
    public static TrialCase read(String name, String text) {
        TomlFile file = TomlFile.parse(name, text);
        TomlSection trial = file.root().section("trial");
        Duration length = trial.duration("length", TrialCase.SHORTEST, Duration.ofHours(1), Duration.ofSeconds(20));
        TrialKind kind = TrialKind.valueOf(trial.oneOf("kind", List.of("leases", "budgets"), "leases").toUpperCase(Locale.ROOT));
        int nodes = trial.integer("nodes", 1, 100, 3);
        String plant = trial.text("plant", "");
        if (!plant.isEmpty() && !Plants.all().containsKey(plant)) {
            trial.fault("plant", "no fault of that name: " + plant);
        }
        List<TrialFault> faults = new ArrayList<>();
        List<TomlSection> all = file.root().sections("fault");
        for (TomlSection f : all.subList(0, Math.min(MOST_FAULTS, all.size()))) {
            faults.add(fault(f, faults.isEmpty() ? 0 : faults.get(faults.size() - 1).atMs()));
        }
        TrialCase read = new TrialCase(kind, nodes, trial.whole("seed", 0, Long.MAX_VALUE, 1), length,
                trial.duration("lease", Duration.ofMillis(500), Duration.ofMinutes(1), Duration.ofSeconds(1)),
                trial.number("drift", 0, 0.5, 0.01), plant, trial.text("rule", ""), faults);
        file.finish();
        return read;
    }

    private static TrialFault fault(TomlSection s, long after) {
        s.require("what");
        s.require("at_ms");
        String name = s.oneOf("what", WHATS, WHATS.get(0));
        TrialFault.What what = TrialFault.What.valueOf(name.toUpperCase(Locale.ROOT));
        boolean lies = what == TrialFault.What.CUT || what == TrialFault.What.SICK;
        s.require(lies ? "ways" : "node");
        List<String> ways = lies ? s.texts("ways", List.of()) : List.of();
        if (!ways.stream().allMatch(w -> w.matches("(\\*|" + NODE + ")>(\\*|" + NODE + ")"))) {
            s.fault("ways", "each must be two of n1 to n999, leader, holder and *, with > between them");
        }
        String node = lies ? "" : s.text("node", "n1");
        if (!lies && !node.matches(NODE)) {
            s.fault("node", "must be one of n1 to n999, leader and holder");
        }
        List<Double> figures = switch (what) {
            case SICK -> List.of(s.number("lost", 0, 1, 0), s.number("doubled", 0, 1, 0), s.number("cut_short", 0, 1, 0),
                    s.number("delay_ms", 0, MOST_MS, 0), s.number("spread_ms", 0, MOST_MS, 0));
            case SLOW_DISK -> List.of(s.number("by_ms", 0, MOST_MS, 100));
            default -> List.of();
        };
        return new TrialFault(s.whole("at_ms", after, MOST_MS, after), what, node, s.whole("ms", 0, MOST_MS, 0), ways, figures,
                s.text("note", ""));
    }
}
