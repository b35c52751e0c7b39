package rowanplank.lab.check;

import java.util.List;
import rowanplank.lab.trace.Event;

/**
 * A rule was broken.
 *
 * @param seed the day's
 * @param at nanoseconds since the beginning, when it was broken; it may have been seen later
 * @param node {@link Event#NONE} where none is concerned, as are server and request
 * @param before the last events up to then that concern its request, node and server, the oldest first
 */
public record Break(Rule rule, long seed, long at, int node, int server, long request, String text,
        List<Event> before) {
    public Break {
        before = List.copyOf(before);
    }

    /** One line, without the events before. */
    @Override
    public String toString() {
        return String.format("%s at %.6f s, seed %d%s%s%s: %s", rule, at / 1e9, seed,
                node == Event.NONE ? "" : ", node " + node, server == Event.NONE ? "" : ", server " + server,
                request == Event.NONE ? "" : ", request " + request, text);
    }
}
