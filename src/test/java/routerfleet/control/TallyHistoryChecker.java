package routerfleet.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import routerfleet.control.TallyHistory.Add;
import routerfleet.control.TallyHistory.Attempt;
import routerfleet.control.TallyHistory.Read;

/**
 * Checks a {@link TallyHistory} against the rules TWICE, STALE and LOST for tallies, whether calls that had to succeed
 * did (UNSERVED), and whether all machines report the same totals at the end (DIFFERS). It shares no code with the
 * implementation that it checks.
 *
 * <p>If each uid of a tally has one amount and these are different powers of two, a total determines which adds it
 * counts, and each add is checked individually; otherwise totals are compared with the minimum and maximum that can be
 * counted.
 */
final class TallyHistoryChecker {
    private final TallyHistory history;
    private final long mergeNanos;
    private final long settledNanos;
    private final Map<String, Tally> tallies = new HashMap<>();

    /** The adds to one tally. */
    private static final class Tally {
        private final Map<String, List<Add>> byUid = new HashMap<>();

        boolean isDecodable() {
            Set<Long> amounts = new HashSet<>();
            return byUid.values().stream()
                    .allMatch(same -> same.size() == 1 && Long.bitCount(same.get(0).amount) == 1
                            && amounts.add(same.get(0).amount));
        }

        long maxTotal(long nanos) {
            return byUid.values().stream().mapToLong(same -> same.stream().filter(a -> a.couldCountBy(nanos))
                    .mapToLong(a -> a.amount).max().orElse(0)).sum();
        }

        /** Returns the minimum that a uid adds once it is counted. */
        long minAmount(String uid, long nanos) {
            return byUid.get(uid).stream().filter(a -> a.couldCountBy(nanos)).mapToLong(a -> a.amount).min().orElse(0);
        }
    }

    private TallyHistoryChecker(TallyHistory history, long mergeMs, long settledMs) {
        this.history = history;
        mergeNanos = TimeUnit.MILLISECONDS.toNanos(mergeMs);
        settledNanos = TimeUnit.MILLISECONDS.toNanos(settledMs);
        for (Add add : history.adds) {
            tally(add.tally).byUid.computeIfAbsent(add.uid, u -> new ArrayList<>()).add(add);
        }
    }

    /**
     * Checks a history.
     *
     * @param mergeMs time without disruptions until every machine counts what any of them has acknowledged
     * @param settledMs time until each machine responds to each call, if nothing changes except within a lasting
     * partition
     * @return the violation, in one line that begins with the rule; null if there is none
     */
    static String check(TallyHistory history, long mergeMs, long settledMs) {
        TallyHistoryChecker checker = new TallyHistoryChecker(history, mergeMs, settledMs);
        String violation = checker.checkReads();
        violation = violation != null ? violation : checker.checkFinalReads();
        return violation != null ? violation : checker.checkCalls();
    }

    private Tally tally(String name) {
        return tallies.computeIfAbsent(name, n -> new Tally());
    }

    // ---- totals

    private String checkReads() {
        for (Read read : history.reads) {
            if (read.attempt().isAcknowledged()) {
                boolean calm = isCalm(read.attempt().sentNanos() - mergeNanos, read.attempt().answeredNanos());
                String violation = checkRead(read, "STALE", calm);
                if (violation != null) {
                    return violation;
                }
            }
        }
        return null;
    }

    private String checkFinalReads() {
        for (Read read : history.finalReads) {
            if (!read.attempt().isAcknowledged()) {
                return "LOST: " + read.tally() + " can't be read at " + read.attempt().machine() + " in the end, status "
                        + read.attempt().status();
            }
            String violation = checkRead(read, "LOST", true);
            if (violation != null) {
                return violation;
            }
        }
        return checkThatFinalReadsAgree();
    }

    private String checkThatFinalReadsAgree() {
        Map<String, Read> first = new HashMap<>();
        for (Read read : history.finalReads) {
            long quietNanos = read.attempt().sentNanos() - mergeNanos;
            boolean quiet = history.adds.stream().filter(a -> a.tally.equals(read.tally()))
                    .allMatch(a -> a.attempts.stream().allMatch(t -> t.answeredNanos() < quietNanos));
            Read other = first.putIfAbsent(read.tally(), read);
            if (quiet && other != null && other.total() != read.total()) {
                return "DIFFERS: " + describe(read) + ", and " + describe(other);
            }
        }
        return null;
    }

    /** @param merged whether the read has to include what any machine has acknowledged */
    private String checkRead(Read read, String rule, boolean merged) {
        Tally tally = tally(read.tally());
        long seenNanos = read.attempt().answeredNanos();
        boolean decodable = tally.isDecodable();
        long maxTotal = tally.maxTotal(seenNanos);
        if (decodable ? (read.total() & ~maxTotal) != 0 || read.total() < 0 : read.total() > maxTotal) {
            return "TWICE: " + describe(read) + ", at most " + maxTotal + " can have been counted"
                    + (decodable ? ", in the parts " + amounts(maxTotal) + " and not "
                    + amounts(read.total() & ~maxTotal) : "");
        }
        long minTotal = 0;
        for (Map.Entry<String, List<Add>> same : tally.byUid.entrySet()) {
            Attempt requiredBy = requiredBy(same.getValue(), read, merged);
            if (requiredBy != null) {
                long amount = tally.minAmount(same.getKey(), seenNanos);
                minTotal += amount;
                if (decodable && (read.total() & amount) == 0) {
                    return rule + ": " + describe(read) + ", lacks " + same.getValue().get(0) + ", acknowledged by "
                            + describe(requiredBy);
                }
            }
        }
        return read.total() >= minTotal ? null : rule + ": " + describe(read) + ", at least " + minTotal + " is owed";
    }

    private static List<Long> amounts(long total) {
        List<Long> amounts = new ArrayList<>();
        for (long rest = total; rest != 0; rest &= rest - 1) {
            amounts.add(Long.lowestOneBit(rest));
        }
        return amounts;
    }

    /** Returns the acknowledgement that obliges a read to include an add; null if there is none. */
    private Attempt requiredBy(List<Add> same, Read read, boolean merged) {
        Attempt call = read.attempt();
        for (Add add : same) {
            for (Attempt acknowledged : add.attempts) {
                if (!acknowledged.isAcknowledged()) {
                    continue;
                }
                boolean own = acknowledged.machine().equals(call.machine()) && acknowledged.life() == call.life()
                        && acknowledged.answeredNanos() < call.sentNanos();
                if (own || merged && acknowledged.answeredNanos() < call.sentNanos() - mergeNanos
                        && !isExcused(acknowledged)) {
                    return acknowledged;
                }
            }
        }
        return null;
    }

    private boolean isCalm(long fromNanos, long untilNanos) {
        return history.disruptions.stream()
                .noneMatch(d -> d.fromNanos() <= untilNanos && d.untilNanos() >= fromNanos);
    }

    /**
     * Whether an acknowledgement is excused: its machine had a broken connection, and lost its disk before the entries
     * could be merged.
     */
    private boolean isExcused(Attempt acknowledged) {
        List<TallyHistory.Cut> cuts = history.cuts.stream().filter(c -> c.touches(acknowledged.machine())).toList();
        boolean cutOff = cuts.stream().anyMatch(c -> c.fromNanos() <= acknowledged.answeredNanos()
                && c.untilNanos() >= acknowledged.sentNanos());
        long mergedNanos = mergedAt(cuts, acknowledged.answeredNanos());
        return cutOff && history.diskLosses.stream().anyMatch(l -> l.machine().equals(acknowledged.machine())
                && l.atNanos() >= acknowledged.sentNanos() && l.atNanos() < mergedNanos);
    }

    /**
     * Returns when the merge time after healing is over; a partition that begins before then keeps the connection broken.
     */
    private long mergedAt(List<TallyHistory.Cut> cuts, long sinceNanos) {
        long healedNanos = sinceNanos - mergeNanos;
        for (long before = Long.MIN_VALUE; healedNanos != before && healedNanos != TallyHistory.OPEN;) {
            before = healedNanos;
            long openUntil = healedNanos + mergeNanos;
            healedNanos = Math.max(before, cuts.stream().filter(c -> c.fromNanos() <= openUntil)
                    .mapToLong(TallyHistory.Cut::untilNanos).max().orElse(before));
        }
        return healedNanos == TallyHistory.OPEN ? healedNanos : healedNanos + mergeNanos;
    }

    // ---- calls that must succeed

    private String checkCalls() {
        for (Add add : history.adds) {
            for (Attempt call : add.attempts) {
                if (mustSucceed(call)) {
                    return "UNSERVED: " + add + " to " + add.tally + " at " + describe(call);
                }
            }
        }
        for (Read read : history.reads) {
            if (mustSucceed(read.attempt())) {
                return "UNSERVED: read of " + read.tally() + " at " + describe(read.attempt());
            }
        }
        return null;
    }

    private boolean mustSucceed(Attempt call) {
        long from = call.sentNanos() - settledNanos;
        return !call.isAcknowledged() && call.answeredNanos() != TallyHistory.OPEN
                && history.disruptions.stream().noneMatch(d -> disturbs(d, from, call.answeredNanos()))
                && history.callerCuts.stream().noneMatch(c -> c.touches(call.caller()) && c.touches(call.machine())
                        && c.fromNanos() <= call.answeredNanos() && c.untilNanos() >= from);
    }

    private static boolean disturbs(TallyHistory.Disruption disruption, long fromNanos, long untilNanos) {
        boolean overlaps = disruption.fromNanos() <= untilNanos && disruption.untilNanos() >= fromNanos;
        boolean lasts = disruption.fromNanos() < fromNanos && disruption.untilNanos() > untilNanos;
        return overlaps && !(disruption.isCut() && lasts);
    }

    private static String describe(Read read) {
        return read.tally() + " reads " + read.total() + " at " + describe(read.attempt());
    }

    private static String describe(Attempt call) {
        return call.machine() + " in its life " + call.life() + ", sent from " + call.caller() + " at "
                + TimeUnit.NANOSECONDS.toMillis(call.sentNanos()) + " ms, status " + call.status() + " at "
                + TimeUnit.NANOSECONDS.toMillis(call.answeredNanos()) + " ms";
    }
}
