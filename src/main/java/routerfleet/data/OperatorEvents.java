package routerfleet.data;

import java.util.EnumMap;
import java.util.Map;

/** When this node last received a signal or a configuration: tells the log what a request's end stands beside. */
final class OperatorEvents {
    /** An intervention of the operator or the platform. */
    enum Kind {
        SIGTERM, SIGHUP, CONFIGURATION
    }

    private final Map<Kind, Long> lastMs = new EnumMap<>(Kind.class);

    /** Records an event. @param nowMs time on the monotonic clock in milliseconds */
    void record(Kind kind, long nowMs) {
        lastMs.put(kind, nowMs);
    }

    /** Describes how long ago the last event of each kind was; empty if there was none. */
    String describe(long nowMs) {
        StringBuilder text = new StringBuilder();
        lastMs.forEach((kind, atMs) -> text.append(", ").append(nowMs - atMs).append(" ms after ").append(kind));
        return text.toString();
    }
}
