package routerfleet.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import routerfleet.journal.Journal;
import routerfleet.journal.JournalEntry;
import routerfleet.journal.Origin;
import routerfleet.journal.OriginState;
import routerfleet.wire.JournalForm;
import routerfleet.wire.Scheduler;

/**
 * Puts adds, and entries of other nodes, on disk and then into the journal: all that waits goes into one record with one
 * sync. So the journal holds only what outlives a loss of power, and an own number is given away only once it is synced.
 */
final class TallyWriter {
    private static final int MOST_ADDS = 4_096;
    private static final int MOST_ENTRIES = 16_384;
    /** A disk whose write has not come back for so long is taken for one that hangs. */
    private static final long STALLED_MS = 100;
    private static final long LEAST_REWRITTEN_BYTES = 256 << 10;

    /**
     * An add that waits for the disk.
     *
     * @param onWriteStarted run as its write begins
     * @param onStored told its entry once it is in the journal
     * @param onRefused run where nothing of it was done
     */
    record QueuedAdd(String tally, String uid, long amount, Runnable onWriteStarted, Consumer<JournalEntry> onStored, Runnable onRefused) { }

    private record Foreign(List<JournalEntry> entries, Runnable stored) { }

    private final Scheduler scheduler;
    private final TallyStorage storage;
    private final Journal journal;
    private final TallyLimits bounds;
    private final Origin self;
    private final Consumer<List<JournalEntry>> ownStored;
    private Deque<QueuedAdd> adds = new ArrayDeque<>();
    private Deque<Foreign> foreign = new ArrayDeque<>();
    private int foreignEntries;
    private List<OriginState> bases;
    private Runnable basesStored;
    private boolean writing = true;
    private long writes;
    private long writingSinceNanos;
    private long snapshotBytes;

    /** @param ownStored told this node's new entries once they are in the journal */
    TallyWriter(Scheduler scheduler, TallyStorage storage, Journal journal, TallyLimits bounds, Origin self,
            Consumer<List<JournalEntry>> ownStored) {
        this.bounds = bounds;
        this.scheduler = scheduler;
        this.storage = storage;
        this.journal = journal;
        this.self = self;
        this.ownStored = ownStored;
    }

    /** Begins to write. @param ready run once what was read is known to be on disk */
    void start(Runnable ready) {
        writingSinceNanos = scheduler.nanoTime();
        storage.start(JournalForm.storedState(self, journal.state()), () -> {
            writing = false;
            ready.run();
            next();
        });
    }

    /** Whether the disk hangs, or so much waits for it that nothing more is taken. */
    boolean isStalled() {
        boolean hangs = writing && scheduler.nanoTime() - writingSinceNanos > TimeUnit.MILLISECONDS.toNanos(STALLED_MS);
        return hangs || adds.size() >= MOST_ADDS;
    }

    void add(QueuedAdd add) {
        adds.add(add);
        next();
    }

    /** Gives up an add. @return whether its write has not begun: nothing of it was done */
    boolean cancel(QueuedAdd add) {
        return adds.remove(add);
    }

    /** Takes entries of other nodes. @param stored run once they are in the journal; not where they can't be taken now */
    void merge(List<JournalEntry> entries, Runnable stored) {
        boolean fits = journal.size() + foreignEntries + entries.size() <= bounds.maxEntriesForMerges();
        if (foreignEntries + entries.size() <= MOST_ENTRIES && fits) {
            foreign.add(new Foreign(entries, stored));
            foreignEntries += entries.size();
            next();
        }
    }

    /** Takes another node's bases; those that come while others wait are dropped. */
    void mergeBases(List<OriginState> told, Runnable stored) {
        if (bases == null) {
            bases = told;
            basesStored = stored;
            next();
        }
    }

    private void next() {
        if (writing) {
            return;
        }
        if (bases != null) {
            writeBases();
        } else if (!adds.isEmpty() || !foreign.isEmpty()) {
            writeWaiting();
        } else if (storage.length() > Math.max(LEAST_REWRITTEN_BYTES, 2 * snapshotBytes)) {
            rewrite(journal.state(), stored -> { });
        }
    }

    private void writeBases() {
        List<OriginState> taken = bases;
        Runnable stored = basesStored;
        bases = null;
        Journal after = new Journal();
        after.merge(journal.state());
        after.merge(taken);
        rewrite(after.state(), done -> {
            if (done) {
                journal.merge(taken);
                stored.run();
            }
        });
    }

    private void rewrite(List<OriginState> state, Consumer<Boolean> ended) {
        byte[] snapshot = JournalForm.storedState(self, state);
        beginWrite();
        storage.rewrite(snapshot, done -> {
            writing = false;
            snapshotBytes = done ? snapshot.length : storage.length(); // refused: not at once again
            ended.accept(done);
            next();
        });
    }

    private void beginWrite() {
        writing = true;
        writingSinceNanos = scheduler.nanoTime();
        long write = ++writes;
        scheduler.schedule(() -> {
            if (writing && writes == write) {
                refuseWaiting();
            }
        }, STALLED_MS, TimeUnit.MILLISECONDS);
    }

    private void refuseWaiting() {
        Deque<QueuedAdd> refused = adds;
        adds = new ArrayDeque<>();
        refused.forEach(add -> add.onRefused().run());
    }

    private void writeWaiting() {
        List<QueuedAdd> own = unknown();
        List<Foreign> others = List.copyOf(foreign);
        foreign = new ArrayDeque<>();
        foreignEntries = 0;
        own.forEach(add -> add.onWriteStarted().run());
        List<JournalEntry> ownEntries = numbered(own);
        List<JournalEntry> all = new ArrayList<>(following(others));
        all.addAll(ownEntries);
        if (all.isEmpty()) {
            others.forEach(other -> other.stored().run());
            return;
        }
        beginWrite();
        storage.append(JournalForm.storedEntries(all), stored -> {
            writing = false;
            if (stored) {
                all.forEach(journal::append);
                taken(own, ownEntries, others);
            } else {
                own.forEach(add -> add.onRefused().run());
            }
            next();
        });
    }

    /** The adds that wait, but for those whose uid has come from another node meanwhile: these are held already. */
    private List<QueuedAdd> unknown() {
        Deque<QueuedAdd> waiting = adds;
        adds = new ArrayDeque<>();
        List<QueuedAdd> own = new ArrayList<>();
        for (QueuedAdd add : waiting) {
            JournalEntry held = journal.find(add.tally(), add.uid());
            if (held == null) {
                own.add(add);
            } else {
                add.onWriteStarted().run();
                add.onStored().accept(held);
            }
        }
        return own;
    }

    private void taken(List<QueuedAdd> own, List<JournalEntry> ownEntries, List<Foreign> others) {
        for (int i = 0; i < own.size(); i++) {
            own.get(i).onStored().accept(ownEntries.get(i));
        }
        if (!ownEntries.isEmpty()) {
            ownStored.accept(ownEntries);
        }
        others.forEach(other -> other.stored().run());
    }

    private List<JournalEntry> numbered(List<QueuedAdd> own) {
        List<JournalEntry> entries = new ArrayList<>(own.size());
        long number = journal.last(self);
        for (QueuedAdd add : own) {
            entries.add(new JournalEntry(self, ++number, add.tally(), add.uid(), add.amount()));
        }
        return entries;
    }

    /** Those entries that come next of their origins. */
    private List<JournalEntry> following(List<Foreign> others) {
        Map<Origin, Long> last = new HashMap<>();
        List<JournalEntry> taken = new ArrayList<>();
        for (Foreign other : others) {
            for (JournalEntry entry : other.entries()) {
                long before = last.computeIfAbsent(entry.origin(), journal::last);
                boolean fits = before > 0 || journal.origins() < bounds.maxOrigins();
                if (entry.number() == before + 1 && fits && !entry.origin().equals(self)) {
                    taken.add(entry);
                    last.put(entry.origin(), entry.number());
                }
            }
        }
        return taken;
    }
}
