package routerfleet.journal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** The entries of one origin: a base of those that were folded, and the ones behind it. */
final class OriginLog {
    private final Origin origin;
    private long folded;
    private Map<String, Long> sums = new TreeMap<>();
    private final TreeSet<Long> voided = new TreeSet<>();
    private final Deque<JournalEntry> entries = new ArrayDeque<>();

    OriginLog(Origin origin) {
        this.origin = origin;
    }

    Origin origin() {
        return origin;
    }

    long folded() {
        return folded;
    }

    /** The number of the newest entry; 0 for none. */
    long last() {
        return folded + entries.size();
    }

    int size() {
        return entries.size();
    }

    Map<String, Long> sums() {
        return sums;
    }

    void add(JournalEntry entry) {
        entries.add(entry);
    }

    JournalEntry oldest() {
        return entries.peekFirst();
    }

    boolean isVoided(long number) {
        return voided.contains(number);
    }

    /** An entry of this number does not count, here or when it comes. */
    void voidEntry(long number) {
        if (number > folded) {
            voided.add(number);
        }
    }

    /** Takes the oldest entry away. @param counted whether it goes into the sums */
    JournalEntry fold(boolean counted) {
        JournalEntry entry = entries.removeFirst();
        folded++;
        voided.remove(entry.number());
        if (counted) {
            sums.merge(entry.tally(), entry.amount(), Long::sum);
        }
        return entry;
    }

    /** Takes another base, that goes further. The entries that it holds were dropped before. */
    void base(long newFolded, Map<String, Long> newSums) {
        folded = newFolded;
        sums = new TreeMap<>(newSums);
        voided.headSet(newFolded, true).clear();
    }

    JournalEntry drop() {
        folded++;
        return entries.removeFirst();
    }

    /** Up to so many entries behind a number. @param after at least {@link #folded} */
    List<JournalEntry> behind(long after, long upTo, int most) {
        List<JournalEntry> found = new ArrayList<>();
        Iterator<JournalEntry> newest = entries.descendingIterator();
        long skip = Math.max(0, last() - Math.min(upTo, after + most));
        while (newest.hasNext()) {
            JournalEntry entry = newest.next();
            if (entry.number() <= after) {
                break;
            }
            if (skip > 0) {
                skip--;
            } else {
                found.add(entry);
            }
        }
        Collections.reverse(found);
        return found;
    }

    /** All but the entries. */
    OriginState base() {
        return new OriginState(origin, folded, Map.copyOf(sums), List.copyOf(voided), List.of());
    }

    OriginState state() {
        return new OriginState(origin, folded, Map.copyOf(sums), List.copyOf(voided), List.copyOf(entries));
    }
}
