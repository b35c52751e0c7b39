package routerfleet.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** What operators ordered about evacuations, one order after the other for each zone, and whether a state fits that. */
final class EvacuationHistory {
    /** An order; times are on the world's clock in nanoseconds. */
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

    private final Map<String, List<Request>> orders = new TreeMap<>();

    Request recordRequest(String zone, boolean start, long nanos) {
        Request order = new Request(start, nanos);
        orders.computeIfAbsent(zone, z -> new ArrayList<>()).add(order);
        return order;
    }

    /** The last order about a zone, if it was acknowledged; else null: what holds is open. */
    Request lastAcknowledged(String zone) {
        List<Request> all = orders.getOrDefault(zone, List.of());
        Request last = all.isEmpty() ? null : all.get(all.size() - 1);
        return last == null || last.acknowledgedNanos == Long.MAX_VALUE ? null : last;
    }

    int acknowledged(long sinceNanos) {
        return (int) orders.values().stream().flatMap(List::stream)
                .filter(o -> o.acknowledgedNanos != Long.MAX_VALUE && o.acknowledgedNanos > sinceNanos).count();
    }

    /** Why a read state can't be; null where it can. @param asked when it was asked for, @param told when it was told */
    String violation(Set<String> zones, long asked, long told) {
        for (Map.Entry<String, List<Request>> of : orders.entrySet()) {
            boolean shown = zones.contains(of.getKey());
            if (!possible(of.getValue(), asked, told).contains(shown)) {
                return "zone " + of.getKey() + (shown ? " evacuated" : " not evacuated") + ", read from "
                        + asked / 1_000_000 + " to " + told / 1_000_000 + " ms";
            }
        }
        return null;
    }

    /** What holds after the last order acknowledged before the question, and what later ones may have made of it. */
    private static List<Boolean> possible(List<Request> all, long asked, long told) {
        List<Boolean> possible = new ArrayList<>(List.of(false));
        for (Request order : all) {
            if (order.acknowledgedNanos < asked) {
                possible.clear();
            }
            if (order.sentNanos <= told) {
                possible.add(order.start);
            }
        }
        return possible;
    }
}
