package routerfleet.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What operators, servers and data nodes of a simulation saw, with the times at which they saw it, in nanoseconds. */
final class Observations {
    /** One answer to an order; status 0 where none came. */
    record Response(long sentNanos, long receivedNanos, int status) { }

    /** An order and all answers to it: the same bytes each time. */
    static final class Update {
        final String marker;
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

        /** When it was first acknowledged; negative where it never was. */
        long acknowledgedNanos() {
            for (Response answer : responses) {
                if (answer.status() == 200) {
                    return answer.receivedNanos(); // they stand in the order in which they came
                }
            }
            return -1;
        }
    }

    /** A configuration that was read. */
    record Read(String node, long sentNanos, long answeredNanos, long generation, String document) { }

    /** A data node's state at one moment. */
    record DataNodeState(String node, long atNanos, long generation, long staleMs) { }

    final Map<String, Update> updates = new TreeMap<>();
    final List<Read> reads = new ArrayList<>();
    final List<DataNodeState> dataNodeStates = new ArrayList<>();
    /** What was seen to be wrong at once, without looking at the whole. */
    final List<String> violations = new ArrayList<>();
    int drainsAcknowledged;
    int injectedFaults;

    /** The newest acknowledged configuration; 0 for none. */
    long newestAcknowledged() {
        return updates.values().stream().filter(o -> o.acknowledgedNanos() >= 0).mapToLong(o -> o.generation).max()
                .orElse(0);
    }
}
