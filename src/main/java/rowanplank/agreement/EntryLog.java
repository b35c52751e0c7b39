package rowanplank.agreement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * The log in memory: a snapshot, the entries behind it, and a few of those that the snapshot took the place of, so that a
 * voter that is a moment late need not be sent the whole snapshot. Asking for an entry costs O(1).
 *
 * <p>Bound: {@value #MAX_TRAILING_ENTRIES} entries before the snapshot, and so many of their bytes as its owner allows.
 */
final class EntryLog {
    private static final int MAX_TRAILING_ENTRIES = 256;

    private final int maxTrailingBytes;
    private Snapshot snapshot;
    private final List<Entry> entries;
    /** Entries up to the snapshot's, without gaps. */
    private final Deque<Entry> trailing = new ArrayDeque<>();
    private int trailingBytes;
    /** The term of the entry before the first that is kept. */
    private long termBefore;

    /** @param mostTrailingBytes of the entries that are kept before the snapshot */
    EntryLog(Snapshot snapshot, List<Entry> entries, int mostTrailingBytes) {
        this.snapshot = snapshot;
        this.entries = new ArrayList<>(entries);
        this.maxTrailingBytes = mostTrailingBytes;
        termBefore = snapshot.term();
    }

    Snapshot snapshot() {
        return snapshot;
    }

    long first() {
        return snapshot.index() + 1;
    }

    /** The first entry that can still be sent. */
    long firstRetained() {
        return first() - trailing.size();
    }

    long last() {
        return snapshot.index() + entries.size();
    }

    long lastTerm() {
        return term(last());
    }

    int size() {
        return entries.size();
    }

    Entry get(long index) {
        return entries.get((int) (index - first()));
    }

    /** @return -1 where it is not known: too long before the snapshot's entry, or behind the last */
    long term(long index) {
        if (index == snapshot.index()) {
            return snapshot.term();
        }
        if (index < first()) {
            return trailingTerm(index);
        }
        return index > last() ? -1 : get(index).term();
    }

    private long trailingTerm(long index) {
        if (index == firstRetained() - 1) {
            return termBefore;
        }
        for (Entry entry : trailing) {
            if (entry.index() == index) {
                return entry.term();
            }
        }
        return -1;
    }

    void append(Entry entry) {
        if (entry.index() != last() + 1) {
            throw new IllegalArgumentException("entry " + entry.index() + " behind " + last());
        }
        entries.add(entry);
    }

    /** Drops this entry and all behind it. */
    void truncateFrom(long index) {
        entries.subList((int) (index - first()), entries.size()).clear();
    }

    /** From this entry on, so many as fit, at least one if there is one. */
    List<Entry> entriesFrom(long index, int mostBytes) {
        List<Entry> found = new ArrayList<>();
        int bytes = 0;
        Iterator<Entry> old = trailing.iterator();
        while (old.hasNext() && bytes <= mostBytes) {
            Entry entry = old.next();
            if (entry.index() >= index) {
                bytes += entry.bytes();
                addIfFits(found, entry, bytes, mostBytes);
            }
        }
        for (long i = Math.max(index, first()); i <= last() && bytes <= mostBytes; i++) {
            bytes += get(i).bytes();
            addIfFits(found, get(i), bytes, mostBytes);
        }
        return found;
    }

    private static void addIfFits(List<Entry> found, Entry entry, int bytes, int mostBytes) {
        if (bytes <= mostBytes || found.isEmpty()) {
            found.add(entry);
        }
    }

    /** All entries behind the snapshot. */
    List<Entry> entriesAfterSnapshot() {
        return List.copyOf(entries);
    }

    /** The snapshot takes the place of the entries up to it; those behind it stay where they follow from it. */
    void replaceSnapshot(Snapshot newer) {
        if (newer.index() >= snapshot.index() && term(newer.index()) == newer.term()) {
            List<Entry> replaced = entries.subList(0, (int) (newer.index() - snapshot.index()));
            replaced.forEach(this::retainTrailing);
            replaced.clear();
        } else {
            entries.clear();
            trailing.clear();
            trailingBytes = 0;
            termBefore = newer.term();
        }
        snapshot = newer;
    }

    private void retainTrailing(Entry entry) {
        trailing.add(entry);
        trailingBytes += entry.bytes();
        while (trailingBytes > maxTrailingBytes || trailing.size() > MAX_TRAILING_ENTRIES) {
            Entry oldest = trailing.poll();
            trailingBytes -= oldest.bytes();
            termBefore = oldest.term();
        }
    }

    /** Who votes by the last entry that says so, decided or not. */
    VoterConfig voterConfig() {
        return voterConfigAfter(last());
    }

    /** Who votes after this entry, which is not older than the snapshot. */
    VoterConfig voterConfigAfter(long index) {
        for (long i = index; i >= first(); i--) {
            if (get(i).membership() != null) {
                return get(i).membership();
            }
        }
        return VoterConfig.of(snapshot.voters());
    }

    /** The last entry that changes the voters; 0 if there is none behind the snapshot. */
    long lastVoterChange() {
        for (long i = last(); i >= first(); i--) {
            if (get(i).membership() != null) {
                return i;
            }
        }
        return 0;
    }
}
