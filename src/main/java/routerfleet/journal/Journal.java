package routerfleet.journal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Journals of adds to tallies by several origins, as one node holds them, and their fold: of each tally the sum of the
 * amounts over distinct uids. Two nodes that hold the same entries tell the same totals, in whatever order these came.
 *
 * <p>It has no clock, thread, disk or network: who embeds it stores what is to be appended, appends it, and exchanges
 * {@link #vector vectors} and {@link #behind entries} with other nodes.
 *
 * <p>Of what all nodes hold, the oldest entries may be folded into a base ({@link #fold}) and are gone then: that bounds
 * what is remembered. A uid whose entry was folded is not known any more; an add with it counts once more. For one thread.
 */
public final class Journal {
    private final TreeMap<Origin, OriginLog> logs = new TreeMap<>();
    private final Map<String, TallyFold> tallies = new HashMap<>();
    private int size;

    /** How many entries are remembered, with their uids. */
    public int size() {
        return size;
    }

    /** How many tallies there are. */
    public int tallies() {
        return tallies.size();
    }

    /** How many origins there are. */
    public int origins() {
        return logs.size();
    }

    /** Whether anything was ever added to a tally. */
    public boolean knows(String tally) {
        return tallies.containsKey(tally);
    }

    /** The fold of a tally; 0 for one that nothing was added to. */
    public long total(String tally) {
        TallyFold found = tallies.get(tally);
        return found == null ? 0 : found.total();
    }

    /** The entry that counts for a uid; null where none is remembered. */
    public JournalEntry find(String tally, String uid) {
        TallyFold found = tallies.get(tally);
        return found == null ? null : found.find(uid);
    }

    /** The number of an origin's newest entry; 0 for none. */
    public long last(Origin origin) {
        OriginLog log = logs.get(origin);
        return log == null ? 0 : log.last();
    }

    /** How far it goes. */
    public JournalVector vector() {
        SortedMap<Origin, Long> upTo = new TreeMap<>();
        logs.forEach((origin, log) -> upTo.put(origin, log.last()));
        return new JournalVector(upTo);
    }

    /**
     * Takes an entry in.
     *
     * @return whether it is the next one of its origin; one that is held already changes nothing, and so does one before
     *     which others are missing
     */
    public boolean append(JournalEntry entry) {
        if (entry.number() != last(entry.origin()) + 1) {
            return false;
        }
        OriginLog log = logs.computeIfAbsent(entry.origin(), OriginLog::new);
        TallyFold tally = tally(entry.tally());
        JournalEntry kept = new JournalEntry(log.origin(), entry.number(), tally.name(), entry.uid(), entry.amount());
        log.add(kept);
        size++;
        if (!log.isVoided(kept.number())) {
            tally.add(kept);
        }
        return true;
    }

    private TallyFold tally(String name) {
        return tallies.computeIfAbsent(name, TallyFold::new);
    }

    /**
     * What another node lacks, each origin's in the order of its numbers; an origin of which it lacks what was folded here
     * is left out: it needs {@link #bases} first.
     *
     * @param held what the other node holds
     * @param upTo what of this journal it may be given
     * @param first the origin whose entries go before others'
     * @param most how many entries
     */
    public List<JournalEntry> behind(JournalVector held, JournalVector upTo, Origin first, int most) {
        List<JournalEntry> found = new ArrayList<>();
        if (logs.containsKey(first)) {
            behind(logs.get(first), held, upTo, most, found);
        }
        for (OriginLog log : logs.values()) {
            if (!log.origin().equals(first)) {
                behind(log, held, upTo, most, found);
            }
        }
        return found;
    }

    private static void behind(OriginLog log, JournalVector held, JournalVector upTo, int most, List<JournalEntry> found) {
        long after = held.of(log.origin());
        long end = Math.min(upTo.of(log.origin()), log.last());
        if (found.size() < most && after < end && after >= log.folded()) {
            found.addAll(log.behind(after, end, most - found.size()));
        }
    }

    /** Whether another node lacks entries that are folded here. */
    public boolean needsBases(JournalVector held) {
        return logs.values().stream().anyMatch(log -> held.of(log.origin()) < log.folded());
    }

    /** The bases of all origins, without entries. They belong together: what one counts, another may leave out. */
    public List<OriginState> bases() {
        return logs.values().stream().map(OriginLog::base).toList();
    }

    /** All that is held. */
    public List<OriginState> state() {
        return logs.values().stream().map(OriginLog::state).toList();
    }

    /**
     * Takes in another node's bases, or a whole state. Of each origin the base that goes further stays; entries that it
     * holds are dropped here.
     */
    public void merge(List<OriginState> states) {
        for (OriginState state : states) {
            OriginLog log = logs.computeIfAbsent(state.origin(), OriginLog::new);
            state.voided().forEach(number -> voidEntry(log, number));
        }
        for (OriginState state : states) {
            OriginLog log = logs.get(state.origin());
            if (state.folded() > log.folded()) {
                takeBase(log, state);
            }
            state.entries().forEach(this::append);
        }
    }

    private void voidEntry(OriginLog log, long number) {
        if (number > log.folded() && !log.isVoided(number)) {
            log.voidEntry(number);
            log.behind(number - 1, number, 1).forEach(entry -> tally(entry.tally()).remove(entry));
        }
    }

    private void takeBase(OriginLog log, OriginState state) {
        while (log.size() > 0 && log.folded() < state.folded()) {
            JournalEntry dropped = log.drop();
            size--;
            if (!log.isVoided(dropped.number())) {
                tally(dropped.tally()).remove(dropped);
            }
        }
        log.sums().forEach((name, sum) -> tally(name).addBase(-sum));
        log.base(state.folded(), state.sums());
        log.sums().forEach((name, sum) -> tally(name).addBase(sum));
    }

    /**
     * Folds the oldest entries of each origin into its base, so that about so many are left.
     *
     * @param heldByAll up to where every node holds all entries. All that each of these nodes had taken as an origin before
     *     it held these has to be in this journal: else a uid that two origins took could be folded while only one is known
     * @param keep entries to remember
     */
    public void fold(JournalVector heldByAll, int keep) {
        long foldable = 0;
        for (OriginLog log : logs.values()) {
            foldable += foldable(log, heldByAll);
        }
        long excess = Math.min(foldable, (long) size - keep);
        if (excess <= 0) {
            return;
        }
        for (OriginLog log : logs.values()) {
            long part = foldable(log, heldByAll) * excess / foldable;
            for (long i = 0; i < part; i++) {
                foldOldest(log);
            }
        }
    }

    private static long foldable(OriginLog log, JournalVector heldByAll) {
        return Math.max(0, Math.min(heldByAll.of(log.origin()), log.last()) - log.folded());
    }

    private void foldOldest(OriginLog log) {
        JournalEntry entry = log.oldest();
        TallyFold tally = tally(entry.tally());
        boolean counts = tally.counts(entry);
        if (counts) {
            for (JournalEntry never : tally.settle(entry)) {
                logs.get(never.origin()).voidEntry(never.number());
            }
        } else {
            tally.remove(entry);
        }
        log.fold(counts);
        size--;
    }
}
