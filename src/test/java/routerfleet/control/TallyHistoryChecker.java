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
 * Judges what was seen of tallies by the operators' rules TWICE, STALE and LOST, by what calls are owed (UNSERVED), and
 * by whether all machines tell the same in the end (DIFFERS). It knows a
 * {@link TallyHistory} only, and shares no code with what it judges.
 *
 * <p>Where each uid of a tally has one amount and these are different powers of two, a total tells which adds it counts,
 * and each add is judged by itself; elsewhere totals are held against the least and the most that can be counted.
 */
final class TallyHistoryChecker {
    private final TallyHistory history;
    private final long mergeNanos;
    private final long settledNanos;
    private final Map<String, Tally> tallies = new HashMap<>();

    /** The adds of one name. */
    private static final class Tally {
        private final Map<String, List<Add>> byUid = new HashMap<>();

        boolean isDecodable() {
            Set<Long> amounts = new HashSet<>();
            return byUid.values().stream()
                    .allMatch(same -> same.size() == 1 && Long.bitCount(same.get(0).amount) == 1
                            && amounts.add(same.get(0).amount));
        }

        long most(long nanos) {
            return byUid.values().stream().mapToLong(same -> same.stream().filter(a -> a.couldCountBy(nanos))
                    .mapToLong(a -> a.amount).max().orElse(0)).sum();
        }

        /** The least that a uid adds once it is counted. */
        long least(String uid, long nanos) {
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
     * Judges a history.
     *
     * @param mergeMs without trouble, the time until every machine counts what any has acknowledged
     * @param settledMs without any change but in a cut that lasts, the time until each machine answers each call
     * @return what is wrong, in one line that begins with the rule; null where nothing is
     */
    static String check(TallyHistory history, long mergeMs, long settledMs) {
        TallyHistoryChecker checker = new TallyHistoryChecker(history, mergeMs, settledMs);
        String wrong = checker.reads();
        wrong = wrong != null ? wrong : checker.finalReads();
        return wrong != null ? wrong : checker.unserved();
    }

    private Tally tally(String name) {
        return tallies.computeIfAbsent(name, n -> new Tally());
    }

    // ---- totals

    private String reads() {
        for (Read read : history.reads) {
            if (read.attempt().isAcknowledged()) {
                boolean calm = isCalm(read.attempt().sentNanos() - mergeNanos, read.attempt().answeredNanos());
                String wrong = judge(read, "STALE", calm);
                if (wrong != null) {
                    return wrong;
                }
            }
        }
        return null;
    }

    private String finalReads() {
        for (Read read : history.finalReads) {
            if (!read.attempt().isAcknowledged()) {
                return "LOST: " + read.tally() + " can't be read at " + read.attempt().machine() + " in the end, status "
                        + read.attempt().status();
            }
            String wrong = judge(read, "LOST", true);
            if (wrong != null) {
                return wrong;
            }
        }
        return inTheEndAllAgree();
    }

    private String inTheEndAllAgree() {
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

    /** @param merged whether it has to hold what any machine has acknowledged */
    private String judge(Read read, String rule, boolean merged) {
        Tally tally = tally(read.tally());
        long seenNanos = read.attempt().answeredNanos();
        boolean decodable = tally.isDecodable();
        long most = tally.most(seenNanos);
        if (decodable ? (read.total() & ~most) != 0 || read.total() < 0 : read.total() > most) {
            return "TWICE: " + describe(read) + ", at most " + most + " can have been counted"
                    + (decodable ? ", in the parts " + parts(most) + " and not " + parts(read.total() & ~most) : "");
        }
        long least = 0;
        for (Map.Entry<String, List<Add>> same : tally.byUid.entrySet()) {
            Attempt owedBy = owedBy(same.getValue(), read, merged);
            if (owedBy != null) {
                long amount = tally.least(same.getKey(), seenNanos);
                least += amount;
                if (decodable && (read.total() & amount) == 0) {
                    return rule + ": " + describe(read) + ", lacks " + same.getValue().get(0) + ", acknowledged by "
                            + describe(owedBy);
                }
            }
        }
        return read.total() >= least ? null : rule + ": " + describe(read) + ", at least " + least + " is owed";
    }

    private static List<Long> parts(long total) {
        List<Long> parts = new ArrayList<>();
        for (long rest = total; rest != 0; rest &= rest - 1) {
            parts.add(Long.lowestOneBit(rest));
        }
        return parts;
    }

    /** The acknowledgement for which a read has to hold an add; null where there is none. */
    private Attempt owedBy(List<Add> same, Read read, boolean merged) {
        Attempt call = read.attempt();
        for (Add add : same) {
            for (Attempt acknowledged : add.attempts) {
                if (!acknowledged.isAcknowledged()) {
                    continue;
                }
                boolean own = acknowledged.machine().equals(call.machine()) && acknowledged.life() == call.life()
                        && acknowledged.answeredNanos() < call.sentNanos();
                if (own || merged && acknowledged.answeredNanos() < call.sentNanos() - mergeNanos
                        && !isNotOwed(acknowledged)) {
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

    /** Whether a machine acknowledged during a broken connection, and lost its disk before that was made up for. */
    private boolean isNotOwed(Attempt acknowledged) {
        List<TallyHistory.Cut> cuts = history.cuts.stream().filter(c -> c.touches(acknowledged.machine())).toList();
        boolean cutOff = cuts.stream().anyMatch(c -> c.fromNanos() <= acknowledged.answeredNanos()
                && c.untilNanos() >= acknowledged.sentNanos());
        long madeUpForNanos = madeUpFor(cuts, acknowledged.answeredNanos());
        return cutOff && history.diskLosses.stream().anyMatch(l -> l.machine().equals(acknowledged.machine())
                && l.atNanos() >= acknowledged.sentNanos() && l.atNanos() < madeUpForNanos);
    }

    /** When the merging time has passed past the healing; a cut that begins earlier keeps the connection broken. */
    private long madeUpFor(List<TallyHistory.Cut> cuts, long sinceNanos) {
        long healedNanos = sinceNanos - mergeNanos;
        for (long before = Long.MIN_VALUE; healedNanos != before && healedNanos != TallyHistory.OPEN;) {
            before = healedNanos;
            long openUntil = healedNanos + mergeNanos;
            healedNanos = Math.max(before, cuts.stream().filter(c -> c.fromNanos() <= openUntil)
                    .mapToLong(TallyHistory.Cut::untilNanos).max().orElse(before));
        }
        return healedNanos == TallyHistory.OPEN ? healedNanos : healedNanos + mergeNanos;
    }

    // ---- what calls are owed

    private String unserved() {
        for (Add add : history.adds) {
            for (Attempt call : add.attempts) {
                if (isOwedAnAnswer(call)) {
                    return "UNSERVED: " + add + " to " + add.tally + " at " + describe(call);
                }
            }
        }
        for (Read read : history.reads) {
            if (isOwedAnAnswer(read.attempt())) {
                return "UNSERVED: read of " + read.tally() + " at " + describe(read.attempt());
            }
        }
        return null;
    }

    private boolean isOwedAnAnswer(Attempt call) {
        long from = call.sentNanos() - settledNanos;
        return !call.isAcknowledged() && call.answeredNanos() != TallyHistory.OPEN
                && history.disruptions.stream().noneMatch(d -> unsettles(d, from, call.answeredNanos()))
                && history.callerCuts.stream().noneMatch(c -> c.touches(call.caller()) && c.touches(call.machine())
                        && c.fromNanos() <= call.answeredNanos() && c.untilNanos() >= from);
    }

    private static boolean unsettles(TallyHistory.Disruption trouble, long fromNanos, long untilNanos) {
        boolean overlaps = trouble.fromNanos() <= untilNanos && trouble.untilNanos() >= fromNanos;
        boolean lasts = trouble.fromNanos() < fromNanos && trouble.untilNanos() > untilNanos;
        return overlaps && !(trouble.isCut() && lasts);
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
