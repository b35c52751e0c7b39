package routerfleet.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks whether the observations of a control plane's clients are consistent with a single configuration that changes by
 * one update at a time. It works on observations only and shares no code with the implementation under test.
 */
final class HistoryChecker {
    private final Observations observations;
    private final Map<Long, List<Observations.Update>> byGeneration = new HashMap<>();
    /** The update that produced a generation, as far as a read or an acknowledgement shows it. */
    private final Map<Long, Observations.Update> committed = new HashMap<>();

    /** The newest acknowledged generation by the time of its acknowledgement, in nanoseconds. */
    private final TreeMap<Long, Long> acknowledged = new TreeMap<>();

    private HistoryChecker(Observations observations) {
        this.observations = observations;
        observations.updates.values().stream().filter(o -> o.acknowledgedNanos() >= 0)
                .sorted((a, b) -> Long.compare(a.acknowledgedNanos(), b.acknowledgedNanos()))
                .forEach(o -> acknowledged.put(o.acknowledgedNanos(),
                        Math.max(o.generation, newestAcknowledgedBefore(o.acknowledgedNanos()))));
    }

    private long newestAcknowledgedBefore(long nanos) {
        Map.Entry<Long, Long> newest = acknowledged.lowerEntry(nanos);
        return newest == null ? 0 : newest.getValue();
    }

    /** @return the first violation, in one line; null if there is none */
    static String check(Observations observations) {
        if (!observations.violations.isEmpty()) {
            return observations.violations.get(0);
        }
        HistoryChecker checker = new HistoryChecker(observations);
        String violation = checker.checkCommitted();
        violation = violation != null ? violation : checker.checkSingleChain();
        violation = violation != null ? violation : checker.checkResponses();
        violation = violation != null ? violation : checker.checkReads();
        return violation != null ? violation : checker.checkDataNodes();
    }

    private String checkCommitted() {
        observations.updates.values()
                .forEach(o -> byGeneration.computeIfAbsent(o.generation, g -> new ArrayList<>()).add(o));
        for (Observations.Update update : observations.updates.values()) {
            if (update.acknowledgedNanos() >= 0) {
                Observations.Update other = committed.putIfAbsent(update.generation, update);
                if (other != null) {
                    return "two updates acknowledged as generation " + update.generation + ": " + update.marker + ", "
                            + other.marker;
                }
            }
        }
        for (Observations.Read read : observations.reads) {
            if (read.generation() == 0) {
                continue;
            }
            Observations.Update update = updateOf(read);
            if (update == null) {
                return "read at " + read.node() + " of a configuration that nobody sent: generation " + read.generation();
            }
            Observations.Update other = committed.putIfAbsent(read.generation(), update);
            if (other != null && other != update) {
                return "two configurations of one generation: " + update.marker + ", " + other.marker;
            }
        }
        return null;
    }

    private Observations.Update updateOf(Observations.Read read) {
        for (Observations.Update update : byGeneration.getOrDefault(read.generation(), List.of())) {
            if (read.document().contains("\"" + update.marker + "\"")) {
                return update;
            }
        }
        return null;
    }

    /** Checks that no two committed configurations build on the same base. */
    private String checkSingleChain() {
        Map<Long, Observations.Update> byBase = new HashMap<>();
        for (Observations.Update update : committed.values()) {
            Observations.Update other = byBase.put(update.base, update);
            if (other != null) {
                return "two committed on the same base " + update.base + ": " + update.marker + ", " + other.marker;
            }
        }
        return null;
    }

    private String checkResponses() {
        for (Observations.Update update : observations.updates.values()) {
            boolean refused = update.responses.stream().anyMatch(a -> a.status() / 100 == 4);
            if (refused && committed.get(update.generation) == update) {
                return "refused, but committed or acknowledged: " + update.marker;
            }
            for (Observations.Response response : update.responses) {
                if (response.status() == 412 && wasCurrent(update, response)) {
                    return "refused as based on an old version, although it was current: " + update.marker;
                }
                if (response.status() / 100 == 4 && response.status() != 412) {
                    return "a valid update was refused with " + response.status() + ": " + update.marker;
                }
            }
        }
        return null;
    }

    /** Whether the base of an update was certainly current for the whole time between its request and the response. */
    private boolean wasCurrent(Observations.Update update, Observations.Response response) {
        boolean baseKnown = update.base == 0 || committed.containsKey(update.base)
                && committed.get(update.base).acknowledgedNanos() >= 0
                && committed.get(update.base).acknowledgedNanos() < response.sentNanos();
        if (!baseKnown) {
            return false;
        }
        return observations.updates.values().stream().noneMatch(other -> other != update && other.generation > update.base
                && other.firstSentNanos < response.receivedNanos());
    }

    private String checkReads() {
        for (Observations.Read read : observations.reads) {
            long acknowledged = newestAcknowledgedBefore(read.sentNanos());
            if (acknowledged > read.generation()) {
                return "read at " + read.node() + " of generation " + read.generation() + " after " + acknowledged
                        + " was acknowledged";
            }
            Observations.Update committedUpdate = committed.get(read.generation());
            if (committedUpdate != null && committedUpdate.firstSentNanos > read.answeredNanos()) {
                return "generation " + read.generation() + " was read before it was sent";
            }
        }
        return checkReadOrder();
    }

    /** Checks that no read returns an older configuration than a read that ended before it began. */
    private String checkReadOrder() {
        List<Observations.Read> byEnd = observations.reads.stream()
                .sorted((a, b) -> Long.compare(a.answeredNanos(), b.answeredNanos())).toList();
        List<Observations.Read> byStart = observations.reads.stream()
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

    /** Checks that the configuration of a data node is as recent as the node believes it to be. */
    private String checkDataNodes() {
        for (Observations.DataNodeState state : observations.dataNodeStates) {
            if (state.staleMs() > 1_000_000) {
                continue;
            }
            long upTo = state.atNanos() - state.staleMs() * 1_000_000 - 1_000_000;
            long acknowledged = newestAcknowledgedBefore(upTo);
            if (acknowledged > state.generation()) {
                return state.node() + " takes generation " + state.generation() + " for the newest as of "
                        + state.staleMs() + " ms ago, and " + acknowledged + " was acknowledged before";
            }
        }
        return null;
    }
}
