package routerfleet.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The requests that operators made about evacuations, one after the other for each zone, and whether a state that was
 * read is consistent with them.
 */
final class EvacuationHistory {
    /** A request to start or end an evacuation; times are on the simulation's clock, in nanoseconds. */
    static final class Request {
        private final boolean start;
        private final long sentNanos;
        private long acknowledgedNanos = Long.MAX_VALUE;

        Request(boolean start, long sentNanos) {
            this.start = start;
            this.sentNanos = sentNanos;
        }

        boolean start() {
            return start;
        }

        long acknowledgedNanos() {
            return acknowledgedNanos;
        }

        void acknowledged(long nanos) {
            acknowledgedNanos = Math.min(acknowledgedNanos, nanos);
        }
    }

    private final Map<String, List<Request>> requests = new TreeMap<>();

    /** Records that a request about a zone is sent for the first time. */
    Request recordRequest(String zone, boolean start, long nanos) {
        Request request = new Request(start, nanos);
        requests.computeIfAbsent(zone, z -> new ArrayList<>()).add(request);
        return request;
    }

    /** Returns the last request about a zone if it was acknowledged; else null, since the state is not determined. */
    Request lastAcknowledged(String zone) {
        List<Request> all = requests.getOrDefault(zone, List.of());
        Request last = all.isEmpty() ? null : all.get(all.size() - 1);
        return last == null || last.acknowledgedNanos == Long.MAX_VALUE ? null : last;
    }

    /** Counts the requests that were acknowledged after a moment. */
    int acknowledged(long sinceNanos) {
        return (int) requests.values().stream().flatMap(List::stream)
                .filter(o -> o.acknowledgedNanos != Long.MAX_VALUE && o.acknowledgedNanos > sinceNanos).count();
    }

    /**
     * Returns why a state that was read is impossible; null if it is possible.
     *
     * @param sentNanos when the read was sent
     * @param receivedNanos when its response arrived
     */
    String violation(Set<String> zones, long sentNanos, long receivedNanos) {
        for (Map.Entry<String, List<Request>> of : requests.entrySet()) {
            boolean shown = zones.contains(of.getKey());
            if (!possibleStates(of.getValue(), sentNanos, receivedNanos).contains(shown)) {
                return "zone " + of.getKey() + (shown ? " evacuated" : " not evacuated") + ", read from "
                        + sentNanos / 1_000_000 + " to " + receivedNanos / 1_000_000 + " ms";
            }
        }
        return null;
    }

    /**
     * Returns the possible states after the last request that was acknowledged before the read, including those that
     * later requests may have led to.
     */
    private static List<Boolean> possibleStates(List<Request> all, long sentNanos, long receivedNanos) {
        List<Boolean> possibleStates = new ArrayList<>(List.of(false));
        for (Request request : all) {
            if (request.acknowledgedNanos < sentNanos) {
                possibleStates.clear();
            }
            if (request.sentNanos <= receivedNanos) {
                possibleStates.add(request.start);
            }
        }
        return possibleStates;
    }
}
