package rowanplank.lab.live;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import rowanplank.lab.day.Day;
import rowanplank.lab.day.Fault;
import rowanplank.lab.run.NodeText;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Trace;

/** What is going on, in words: troubles that are there, and nodes on their way back. */
final class LiveScene implements Trace {
    private final Day day;
    /** By their place in the day. */
    private final Map<Long, String> troubles = new LinkedHashMap<>();
    private final Map<Integer, String> nodes = new LinkedHashMap<>();
    private final List<Integer> back = new ArrayList<>();
    private boolean begun;

    LiveScene(Day day) {
        this.day = day;
    }

    @Override
    public void tell(Event e) {
        switch (e.kind()) {
            case DAY_BEGAN -> {
                begun = true;
                nodes.clear();
                back.clear();
            }
            case FAULT_BEGAN -> troubles.put(e.value(), words(day.faults().get((int) e.value())));
            case FAULT_ENDED -> troubles.remove(e.value());
            case NODE_STARTED -> nodes.put(e.node(), "starts");
            case NODE_TOLD_TO_STOP -> nodes.put(e.node(), "was told to stop");
            case NODE_KILLED -> nodes.put(e.node(), "is down");
            case NODE_ENDED -> nodes.put(e.node(), "has ended, status " + e.value());
            case NODE_READY -> {
                nodes.put(e.node(), "serves again");
                back.add(e.node());
            }
            default -> { }
        }
    }

    /** What there is now; that a node is back is said once. */
    String text() {
        List<String> words = new ArrayList<>(troubles.values());
        if (begun) {
            nodes.forEach((node, state) -> words.add("node " + NodeText.name(node) + " " + state));
        }
        back.forEach(nodes::remove);
        back.clear();
        return words.isEmpty() ? "all is well" : String.join("; ", words);
    }

    private static String words(Fault f) {
        String who = f.target() == Fault.ALL ? "all " + (f.kind().at() == Fault.At.SERVER ? "servers" : "nodes")
                : f.kind().at() == Fault.At.SERVER ? "server " + (f.target() + 1)
                : "node " + NodeText.name(f.target());
        return switch (f.kind()) {
            case SLOW -> who + " is " + number(f.size()) + " times slower";
            case PAUSES -> who + " stands still now and then";
            case ERRORS -> who + " fails " + percent(f) + " of its requests";
            case SPOILT -> who + " spoils " + percent(f) + " of its answers";
            case RESETS -> who + " resets " + percent(f) + " of its connections";
            case SILENT -> who + " never answers " + percent(f) + " of its requests";
            case SERVER_KILLED -> who + " was killed";
            case SERVER_DRAINED -> who + " drains";
            case SERVER_REPLACED -> who + " is replaced";
            case NODE_KILLED -> who + " was killed";
            case NODE_RESTARTED -> who + " restarts as planned";
            case SPIKE -> "clients ask " + number(f.size()) + " times as much";
            case BAD_CLIENTS, SILENT_CLIENTS -> "bad clients, " + number(f.size()) + " a second";
            default -> f.kind().name().toLowerCase(Locale.ROOT).replace('_', ' ');
        };
    }

    private static String percent(Fault f) {
        return number(100 * f.size()) + " %";
    }

    private static String number(double size) {
        return size == Math.rint(size) ? Long.toString((long) size) : Double.toString(size);
    }
}
