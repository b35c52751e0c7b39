package rowanplank.lab.client;

import java.time.Duration;
import java.time.Instant;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Event.Kind;
import rowanplank.lab.trace.Trace;
import rowanplank.net.Clock;

/** Tells what clients see, at the time of the loop that they are on. */
public record Witness(Clock clock, Instant beginning, Trace trace) {
    /** Nanoseconds since the beginning. */
    long now() {
        return Duration.between(beginning, clock.now()).toNanos();
    }

    void tell(Kind kind, int node, long request, long value, String text) {
        trace.tell(now(), kind, node, Event.NONE, request, value, text);
    }
}
