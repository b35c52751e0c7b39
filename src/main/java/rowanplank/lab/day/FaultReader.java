package rowanplank.lab.day;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import rowanplank.config.TomlSection;
import rowanplank.config.Units;
import rowanplank.lab.day.Day.Servers;
import rowanplank.lab.day.Fault.At;
import rowanplank.lab.day.Fault.Kind;

/** Reads a day's faults and holds them against its nodes, servers and halls, and against each other. */
final class FaultReader {
    private static final int MOST_FAULTS = 2000;
    /** What happens in an instant and has no length. */
    private static final Set<Kind> INSTANT =
            EnumSet.of(Kind.SERVER_REPLACED, Kind.DISCOVERY_MOVED, Kind.NODE_RELOADED);
    /** What may be over at once, or ends in its own time. */
    private static final Set<Kind> MAY_BE_SHORT =
            EnumSet.of(Kind.SERVER_KILLED, Kind.SERVER_DRAINED, Kind.NODE_KILLED, Kind.NODE_RESTARTED);
    /** Each takes its target away, so that another such one at the same time has nothing to be at. */
    private static final List<Set<Kind>> TAKE_AWAY = List.of(
            EnumSet.of(Kind.SERVER_KILLED, Kind.SERVER_VANISHED, Kind.SERVER_DRAINED, Kind.SERVER_REPLACED),
            EnumSet.of(Kind.NODE_KILLED, Kind.NODE_RESTARTED, Kind.NODE_VANISHED, Kind.NODE_DRAINED));
    /** Sizes that say yes or no. */
    private static final Set<Kind> FLAGGED = EnumSet.of(Kind.SERVER_REPLACED, Kind.NODE_RELOADED);
    private static final List<String> KINDS = Arrays.stream(Kind.values()).map(FaultReader::name).toList();

    private final Duration length;
    private final List<String> halls;
    private final int nodes;
    private final Servers servers;
    private final List<Fault> read = new ArrayList<>();
    private final List<TomlSection> sections = new ArrayList<>();

    private FaultReader(Duration length, List<String> halls, int nodes, Servers servers) {
        this.length = length;
        this.halls = halls;
        this.nodes = nodes;
        this.servers = servers;
    }

    /** Whether it happens in an instant and has no length. */
    static boolean isInstant(Kind kind) {
        return INSTANT.contains(kind);
    }

    /** Whether it takes its target away. */
    static boolean takesAway(Kind kind) {
        return TAKE_AWAY.stream().anyMatch(s -> s.contains(kind));
    }

    static String name(Kind kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }

    static List<Fault> read(TomlSection day, Duration length, List<String> halls, int nodes, Servers servers) {
        FaultReader reader = new FaultReader(length, halls, nodes, servers);
        List<TomlSection> all = day.sections("fault");
        if (all.size() > MOST_FAULTS) {
            day.fault("fault", "at most " + MOST_FAULTS);
        }
        for (TomlSection s : all.subList(0, Math.min(MOST_FAULTS, all.size()))) {
            reader.one(s);
        }
        reader.compare();
        return reader.read;
    }

    private void one(TomlSection s) {
        s.require("kind");
        s.require("at");
        String name = s.oneOf("kind", KINDS, null);
        Duration at = s.duration("at", Duration.ZERO, length, Duration.ZERO);
        Duration lasts = s.duration("length", Duration.ZERO, length, Duration.ZERO);
        if (name == null) {
            s.number("size", -Double.MAX_VALUE, Double.MAX_VALUE, 0);
            targets(s, At.SERVER, At.NODE, At.PAIR_OF_HALLS);
            return;
        }
        Kind kind = Kind.valueOf(name.toUpperCase(Locale.ROOT));
        lasts(s, kind, at, lasts);
        int target = targets(s, kind.at());
        Fault fault = new Fault(kind, at, lasts, target, size(s, kind));
        read.add(fault);
        sections.add(s);
    }

    private void lasts(TomlSection s, Kind kind, Duration at, Duration lasts) {
        if (isInstant(kind)) {
            if (!lasts.isZero()) {
                s.fault("length", name(kind) + " happens in an instant");
            }
        } else if (lasts.isZero() && !MAY_BE_SHORT.contains(kind)) {
            s.fault("length", name(kind) + " must have one");
        }
        if (at.plus(lasts).compareTo(length) > 0) {
            s.fault("length", "it would end after the day, at " + Units.format(at.plus(lasts)));
        }
    }

    private double size(TomlSection s, Kind kind) {
        if (kind.sizeless()) {
            if (s.has("size")) {
                s.fault("size", name(kind) + " has none");
            }
            return 0;
        }
        s.require("size");
        double size = s.number("size", kind.least(), kind.most(), kind.least());
        if (FLAGGED.contains(kind) && size != 0 && size != 1) {
            s.fault("size", "must be 0 or 1");
        }
        return size;
    }

    private int targets(TomlSection s, At... at) {
        int target = Fault.ALL;
        for (At each : at) {
            target = switch (each) {
                case SERVER -> s.integer("server", 0, servers.count() - 1, Fault.ALL);
                case NODE, DISCOVERY -> s.integer("node", 0, nodes - 1, Fault.ALL);
                case PAIR_OF_HALLS -> pair(s);
                case HALL, CLIENTS -> Fault.ALL;
            };
        }
        return target;
    }

    private int pair(TomlSection s) {
        int from = halls.indexOf(s.oneOf("from", halls, ""));
        int to = halls.indexOf(s.oneOf("to", halls, ""));
        if (s.has("from") != s.has("to")) {
            s.fault(s.has("from") ? "from" : "to", "needs the other one of from and to");
        }
        return from < 0 || to < 0 ? Fault.ALL : from * halls.size() + to;
    }

    private void compare() {
        for (int i = 0; i < read.size(); i++) {
            for (int j = 0; j < i; j++) {
                if (clash(read.get(i), read.get(j), servers.restartAfter())) {
                    sections.get(i).fault("at", "overlaps the " + name(read.get(j).kind()) + " that begins at "
                            + Units.format(read.get(j).at()));
                    break;
                }
            }
        }
    }

    /**
     * Whether two faults can't both be: they are of one kind, or both take away what they are at, and overlap in time
     * and target.
     *
     * @param restartAfter how long a server that is killed stays away where the fault does not say
     */
    static boolean clash(Fault a, Fault b, Duration restartAfter) {
        boolean target = a.target() == b.target() || a.target() == Fault.ALL || b.target() == Fault.ALL;
        boolean kind = a.kind() == b.kind()
                || TAKE_AWAY.stream().anyMatch(s -> s.contains(a.kind()) && s.contains(b.kind()));
        Duration endOfA = end(a, restartAfter);
        Duration endOfB = end(b, restartAfter);
        return target && kind && (a.at().equals(b.at())
                || a.at().compareTo(endOfB) < 0 && b.at().compareTo(endOfA) < 0);
    }

    private static Duration end(Fault f, Duration restartAfter) {
        return f.at().plus(f.kind() == Kind.SERVER_KILLED && f.length().isZero() ? restartAfter : f.length());
    }
}
