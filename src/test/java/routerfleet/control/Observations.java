package routerfleet.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What operators, servers and data nodes of a simulation saw, with the times at which they saw it, in nanoseconds. */
final class Observations {
    /** One answer to an order; status 0 where none came. */
    record Answer(long sentNanos, long answeredNanos, int status) { }

    /** An order and all answers to it: the same bytes each time. */
    static final class Order {
        final String marker;
        final long base;
        final long generation;
        final long firstSentNanos;
        final List<Answer> answers = new ArrayList<>();

        Order(String marker, long base, long generation, long firstSentNanos) {
            this.marker = marker;
            this.base = base;
            this.generation = generation;
            this.firstSentNanos = firstSentNanos;
        }

        /** When it was first acknowledged; negative where it never was. */
        long acknowledgedNanos() {
            for (Answer answer : answers) {
                if (answer.status() == 200) {
                    return answer.answeredNanos(); // they stand in the order in which they came
                }
            }
            return -1;
        }
    }

    /** A configuration that was read. */
    record Read(String node, long sentNanos, long answeredNanos, long generation, String document) { }

    /** A data node's state at one moment. */
    record DataNodeState(String node, long atNanos, long generation, long staleMs) { }

    final Map<String, Order> orders = new TreeMap<>();
    final List<Read> reads = new ArrayList<>();
    final List<DataNodeState> dataNodeStates = new ArrayList<>();
    /** What was seen to be wrong at once, without looking at the whole. */
    final List<String> violations = new ArrayList<>();
    int drainsAcknowledged;
    int injectedFaults;

    /** The newest acknowledged configuration; 0 for none. */
    long newestAcknowledged() {
        return orders.values().stream().filter(o -> o.acknowledgedNanos() >= 0).mapToLong(o -> o.generation).max()
                .orElse(0);
    }
}
