package rowanplank.agreement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * The log in memory: a snapshot, the entries after it, and some of the entries that the snapshot covers, so that a
 * voter that lags a little does not need the whole snapshot. Access to an entry after the snapshot costs O(1).
 *
 * <p>Limits: {@value #MAX_TRAILING_ENTRIES} covered entries, and as many bytes of them as the owner allows.
 */
final class EntryLog {
    private static final int MAX_TRAILING_ENTRIES = 256;

    private final int maxTrailingBytes;
    private Snapshot snapshot;
    private final List<Entry> entries;
    /** The last entries that the snapshot covers, without gaps. */
    private final Deque<Entry> trailing = new ArrayDeque<>();
    private int trailingBytes;
    /** The term of the entry before the first retained one. */
    private long termBefore;

    /** @param maxTrailingBytes limit of the retained entries that the snapshot covers */
    EntryLog(Snapshot snapshot, List<Entry> entries, int maxTrailingBytes) {
        this.snapshot = snapshot;
        this.entries = new ArrayList<>(entries);
        this.maxTrailingBytes = maxTrailingBytes;
        termBefore = snapshot.term();
    }

    Snapshot snapshot() {
        return snapshot;
    }

    /** The index of the first entry after the snapshot. */
    long first() {
        return snapshot.index() + 1;
    }

    /** The index of the first entry that can still be sent. */
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

    /** @return the term of an entry; -1 if it is unknown because it is no longer retained or does not exist yet */
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
            throw new IllegalArgumentException("entry " + entry.index() + " does not follow entry " + last());
        }
        entries.add(entry);
    }

    /** Removes this entry and all later ones. */
    void truncateFrom(long index) {
        entries.subList((int) (index - first()), entries.size()).clear();
    }

    /** Entries from this index on, as many as fit into the limit, but at least one if there is one. */
    List<Entry> entriesFrom(long index, int maxBytes) {
        List<Entry> found = new ArrayList<>();
        int bytes = 0;
        Iterator<Entry> old = trailing.iterator();
        while (old.hasNext() && bytes <= maxBytes) {
            Entry entry = old.next();
            if (entry.index() >= index) {
                bytes += entry.bytes();
                addIfFits(found, entry, bytes, maxBytes);
            }
        }
        for (long i = Math.max(index, first()); i <= last() && bytes <= maxBytes; i++) {
            bytes += get(i).bytes();
            addIfFits(found, get(i), bytes, maxBytes);
        }
        return found;
    }

    private static void addIfFits(List<Entry> found, Entry entry, int bytes, int maxBytes) {
        if (bytes <= maxBytes || found.isEmpty()) {
            found.add(entry);
        }
    }

    /** All entries after the snapshot. */
    List<Entry> entriesAfterSnapshot() {
        return List.copyOf(entries);
    }

    /**
     * Installs a snapshot in place of the entries that it covers. Later entries are kept if they follow from it,
     * otherwise all are dropped.
     */
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

    /** The voter configuration of the latest entry that has one, committed or not. */
    VoterConfig voterConfig() {
        return voterConfigAfter(last());
    }

    /** The voter configuration after this entry, which must not be older than the snapshot. */
    VoterConfig voterConfigAfter(long index) {
        for (long i = index; i >= first(); i--) {
            if (get(i).membership() != null) {
                return get(i).membership();
            }
        }
        return VoterConfig.of(snapshot.voters());
    }

    /** The index of the last entry that changes the voters; 0 if there is none after the snapshot. */
    long lastVoterChange() {
        for (long i = last(); i >= first(); i--) {
            if (get(i).membership() != null) {
                return i;
            }
        }
        return 0;
    }
}
