package routerfleet.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Judges what was seen of a control plane: whether it can have been one configuration that changed one order at a time. It
 * knows observations only, and shares no code with what it judges.
 */
final class HistoryChecker {
    private final Observations seen;
    private final Map<Long, List<Observations.Update>> byGeneration = new HashMap<>();
    /** Which order made a generation, where a read or an acknowledgement shows it. */
    private final Map<Long, Observations.Update> inForce = new HashMap<>();

    /** Up to which moment which generation was the newest acknowledged one. */
    private final TreeMap<Long, Long> acknowledged = new TreeMap<>();

    private HistoryChecker(Observations seen) {
        this.seen = seen;
        seen.updates.values().stream().filter(o -> o.acknowledgedNanos() >= 0)
                .sorted((a, b) -> Long.compare(a.acknowledgedNanos(), b.acknowledgedNanos()))
                .forEach(o -> acknowledged.put(o.acknowledgedNanos(),
                        Math.max(o.generation, newestAcknowledgedBefore(o.acknowledgedNanos()))));
    }

    private long newestAcknowledgedBefore(long nanos) {
        Map.Entry<Long, Long> newest = acknowledged.lowerEntry(nanos);
        return newest == null ? 0 : newest.getValue();
    }

    /** @return what is wrong, in one line; null where nothing is */
    static String check(Observations seen) {
        if (!seen.violations.isEmpty()) {
            return seen.violations.get(0);
        }
        HistoryChecker checker = new HistoryChecker(seen);
        String wrong = checker.ordersInForce();
        wrong = wrong != null ? wrong : checker.oneChain();
        wrong = wrong != null ? wrong : checker.answers();
        wrong = wrong != null ? wrong : checker.reads();
        return wrong != null ? wrong : checker.dataNodes();
    }

    private String ordersInForce() {
        seen.updates.values().forEach(o -> byGeneration.computeIfAbsent(o.generation, g -> new ArrayList<>()).add(o));
        for (Observations.Update order : seen.updates.values()) {
            if (order.acknowledgedNanos() >= 0) {
                Observations.Update other = inForce.putIfAbsent(order.generation, order);
                if (other != null) {
                    return "both acknowledged as generation " + order.generation + ": " + order.marker + ", "
                            + other.marker;
                }
            }
        }
        for (Observations.Read read : seen.reads) {
            if (read.generation() == 0) {
                continue;
            }
            Observations.Update order = orderOf(read);
            if (order == null) {
                return "read at " + read.node() + " of what nobody sent: generation " + read.generation();
            }
            Observations.Update other = inForce.putIfAbsent(read.generation(), order);
            if (other != null && other != order) {
                return "two configurations under one number: " + order.marker + ", " + other.marker;
            }
        }
        return null;
    }

    private Observations.Update orderOf(Observations.Read read) {
        for (Observations.Update order : byGeneration.getOrDefault(read.generation(), List.of())) {
            if (read.document().contains("\"" + order.marker + "\"")) {
                return order;
            }
        }
        return null;
    }

    /** Each configuration in force builds on another one, and no two on the same. */
    private String oneChain() {
        Map<Long, Observations.Update> byBase = new HashMap<>();
        for (Observations.Update order : inForce.values()) {
            Observations.Update other = byBase.put(order.base, order);
            if (other != null) {
                return "two in force on the same base " + order.base + ": " + order.marker + ", " + other.marker;
            }
        }
        return null;
    }

    private String answers() {
        for (Observations.Update order : seen.updates.values()) {
            boolean refused = order.responses.stream().anyMatch(a -> a.status() / 100 == 4);
            if (refused && inForce.get(order.generation) == order) {
                return "refused, and in force or acknowledged: " + order.marker;
            }
            for (Observations.Response answer : order.responses) {
                if (answer.status() == 412 && wasCurrent(order, answer)) {
                    return "refused as built on an old version, which was current: " + order.marker;
                }
                if (answer.status() / 100 == 4 && answer.status() != 412) {
                    return "a valid order was refused with " + answer.status() + ": " + order.marker;
                }
            }
        }
        return null;
    }

    /** Whether an order's base was in force, and nothing else can have been, for as long as it was being answered. */
    private boolean wasCurrent(Observations.Update order, Observations.Response answer) {
        boolean baseKnown = order.base == 0 || inForce.containsKey(order.base)
                && inForce.get(order.base).acknowledgedNanos() >= 0
                && inForce.get(order.base).acknowledgedNanos() < answer.sentNanos();
        if (!baseKnown) {
            return false;
        }
        return seen.updates.values().stream().noneMatch(other -> other != order && other.generation > order.base
                && other.firstSentNanos < answer.receivedNanos());
    }

    private String reads() {
        for (Observations.Read read : seen.reads) {
            long acknowledged = newestAcknowledgedBefore(read.sentNanos());
            if (acknowledged > read.generation()) {
                return "read at " + read.node() + " of generation " + read.generation() + " after " + acknowledged
                        + " was acknowledged";
            }
            Observations.Update made = inForce.get(read.generation());
            if (made != null && made.firstSentNanos > read.answeredNanos()) {
                return "generation " + read.generation() + " was read before it was sent";
            }
        }
        return readsInOrder();
    }

    /** No read that began after another one had been answered is of an older configuration. */
    private String readsInOrder() {
        List<Observations.Read> byEnd = seen.reads.stream()
                .sorted((a, b) -> Long.compare(a.answeredNanos(), b.answeredNanos())).toList();
        List<Observations.Read> byStart = seen.reads.stream()
                .sorted((a, b) -> Long.compare(a.sentNanos(), b.sentNanos())).toList();
        int next = 0;
        long newest = 0;
        for (Observations.Read read : byStart) {
            while (next < byEnd.size() && byEnd.get(next).answeredNanos() < read.sentNanos()) {
                newest = Math.max(newest, byEnd.get(next++).generation());
            }
            if (read.generation() < newest) {
                return "read at " + read.node() + " of generation " + read.generation() + " after " + newest + " was read";
            }
        }
        return null;
    }

    /** What a data node takes for known to be the newest has to hold all that was acknowledged up to that point. */
    private String dataNodes() {
        for (Observations.DataNodeState known : seen.dataNodeStates) {
            if (known.staleMs() > 1_000_000) {
                continue;
            }
            long upTo = known.atNanos() - known.staleMs() * 1_000_000 - 1_000_000;
            long acknowledged = newestAcknowledgedBefore(upTo);
            if (acknowledged > known.generation()) {
                return known.node() + " takes generation " + known.generation() + " for the newest as of "
                        + known.staleMs() + " ms ago, and " + acknowledged + " was acknowledged before";
            }
        }
        return null;
    }
}
