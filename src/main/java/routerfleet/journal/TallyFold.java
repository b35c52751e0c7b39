package routerfleet.journal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One tally: its total, and the entries that count in it by their uids, with those that lost against them. */
final class TallyFold {
    private final String name;
    private long total;
    private final Map<String, JournalEntry> counted = new HashMap<>();
    private final Map<String, List<JournalEntry>> losers = new HashMap<>();

    TallyFold(String name) {
        this.name = name;
    }

    String name() {
        return name;
    }

    long total() {
        return total;
    }

    /** The entry that counts for a uid; null for none. */
    JournalEntry find(String uid) {
        return counted.get(uid);
    }

    boolean counts(JournalEntry entry) {
        return counted.get(entry.uid()) == entry;
    }

    /** Changes the total by what a base brings or took away. */
    void addBase(long amount) {
        total += amount;
    }

    void add(JournalEntry entry) {
        JournalEntry before = counted.get(entry.uid());
        if (before == null) {
            counted.put(entry.uid(), entry);
            total += entry.amount();
        } else if (entry.winsOver(before)) {
            counted.put(entry.uid(), entry);
            total += entry.amount() - before.amount();
            losers(entry.uid()).add(before);
        } else {
            losers(entry.uid()).add(entry);
        }
    }

    private List<JournalEntry> losers(String uid) {
        return losers.computeIfAbsent(uid, u -> new ArrayList<>(1));
    }

    /** An entry that counts stays in the total for good. @return the entries of its uid that never will count */
    List<JournalEntry> settle(JournalEntry entry) {
        counted.remove(entry.uid());
        List<JournalEntry> never = losers.remove(entry.uid());
        return never == null ? List.of() : never;
    }

    /** Takes an entry back; where others of its uid are there, the best of those counts. */
    void remove(JournalEntry entry) {
        List<JournalEntry> others = losers.get(entry.uid());
        if (!counts(entry)) {
            if (others != null && others.remove(entry) && others.isEmpty()) {
                losers.remove(entry.uid());
            }
            return;
        }
        counted.remove(entry.uid());
        total -= entry.amount();
        losers.remove(entry.uid());
        if (others != null) {
            others.forEach(this::add);
        }
    }
}
