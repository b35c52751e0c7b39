package routerfleet.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What the operators, readers, servers and data nodes of a simulation observed; times are virtual, in nanoseconds. */
final class Observations {
    /** One response to an update request; status 0 if none arrived. */
    record Response(long sentNanos, long receivedNanos, int status) { }

    /** An update with the responses to all its requests, which are byte for byte the same. */
    static final class Update {
        /** Text in the document that identifies the update. */
        final String marker;
        /** The generation that the update is based on; 0 for none. */
        final long base;
        final long generation;
        final long firstSentNanos;
        final List<Response> responses = new ArrayList<>();

        Update(String marker, long base, long generation, long firstSentNanos) {
            this.marker = marker;
            this.base = base;
            this.generation = generation;
            this.firstSentNanos = firstSentNanos;
        }

        /** When the update was first acknowledged; negative if it never was. */
        long acknowledgedNanos() {
            for (Response answer : responses) {
                if (answer.status() == 200) {
                    return answer.receivedNanos(); // responses are in the order of their arrival
                }
            }
            return -1;
        }
    }

    /** A configuration read from a control node. */
    record Read(String node, long sentNanos, long answeredNanos, long generation, String document) { }

    /** The configuration that a data node has at a point in time, and how stale it may be by its own account. */
    record DataNodeState(String node, long atNanos, long generation, long staleMs) { }

    final Map<String, Update> updates = new TreeMap<>();
    final List<Read> reads = new ArrayList<>();
    final List<DataNodeState> dataNodeStates = new ArrayList<>();
    /** Violations detected while the simulation was running. */
    final List<String> violations = new ArrayList<>();
    int drainsAcknowledged;
    int injectedFaults;

    /** The newest acknowledged generation; 0 if there is none. */
    long newestAcknowledged() {
        return updates.values().stream().filter(o -> o.acknowledgedNanos() >= 0).mapToLong(o -> o.generation).max()
                .orElse(0);
    }
}
