package rowanplank.lab.trace;

import rowanplank.lab.trace.Event.Kind;

/** Where events are told, in the order in which they happen. */
public interface Trace {
    void tell(Event event);

    default void tell(long at, Kind kind, int node, int server, long request, long value, String text) {
        tell(new Event(at, kind, node, server, request, value, text));
    }
}
