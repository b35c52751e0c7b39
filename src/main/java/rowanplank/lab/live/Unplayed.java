package rowanplank.lab.live;

import java.util.Locale;
import java.util.stream.Collectors;
import rowanplank.lab.day.Day;
import rowanplank.lab.day.DayEdit;
import rowanplank.lab.day.Fault.Kind;

/** Faults that are not played in real time. */
enum Unplayed {
    /** Loopback is not cut, lossy or silent; a process's core is the system's; no signal but its end is sent to one. */
    WITH_NODES,
    /** And nodes and clients are somebody else's. */
    BY_THE_SITE_ALONE;

    boolean holds(Kind kind) {
        return switch (kind) {
            case SERVER_VANISHED, NODE_VANISHED, NODE_PAUSED, NODE_SHORT, NODE_RELOADED, NODE_DRAINED, DISCOVERY_MOVED,
                    CUT, LOSS, DELAY -> true;
            case NODE_KILLED, NODE_RESTARTED, SPIKE, SKEW, BAD_CLIENTS, SILENT_CLIENTS -> this == BY_THE_SITE_ALONE;
            default -> false;
        };
    }

    /** The day without them. */
    Day without(Day day) {
        return DayEdit.withFaults(day, day.faults().stream().filter(f -> !holds(f.kind())).toList());
    }

    /** A line that says which of the day's faults are not played; null if all are. */
    String line(Day day) {
        String kinds = day.faults().stream().filter(f -> holds(f.kind()))
                .map(f -> f.kind().name().toLowerCase(Locale.ROOT)).distinct().collect(Collectors.joining(", "));
        return kinds.isEmpty() ? null : "not played here: " + kinds;
    }
}
