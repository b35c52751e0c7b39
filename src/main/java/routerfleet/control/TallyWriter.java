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
 * Writes adds and entries of other nodes to disk and then to the journal; everything that waits goes into one record with
 * one sync. So the journal holds only what survives a power loss, and no entry of this node is sent before its sync.
 */
final class TallyWriter {
    private static final int MAX_WAITING_ADDS = 4_096;
    private static final int MAX_WAITING_ENTRIES = 16_384;
    /** A disk is considered to hang if a write takes longer than this. */
    private static final long STALL_TIMEOUT_MS = 100;
    private static final long MIN_COMPACTION_BYTES = 256 << 10;

    /**
     * An add that waits for the disk.
     *
     * @param onWriteStarted run when its write starts
     * @param onStored receives its entry once it is in the journal
     * @param onRefused run if the add has had no effect
     */
    record QueuedAdd(String tally, String uid, long amount, Runnable onWriteStarted, Consumer<JournalEntry> onStored,
            Runnable onRefused) { }

    /** Entries of other nodes that wait for the disk. */
    private record RemoteEntries(List<JournalEntry> entries, Runnable onStored) { }

    private final Scheduler scheduler;
    private final TallyStorage storage;
    private final Journal journal;
    private final TallyLimits limits;
    private final Origin self;
    private final Consumer<List<JournalEntry>> ownStored;
    private Deque<QueuedAdd> adds = new ArrayDeque<>();
    private Deque<RemoteEntries> remoteEntries = new ArrayDeque<>();
    private int remoteEntryCount;
    private List<OriginState> bases;
    private Runnable onBasesStored;
    private boolean writing = true;
    private long writeCount;
    private long writingSinceNanos;
    private long snapshotBytes;

    /** @param ownStored receives this node's new entries once they are in the journal */
    TallyWriter(Scheduler scheduler, TallyStorage storage, Journal journal, TallyLimits limits, Origin self,
            Consumer<List<JournalEntry>> ownStored) {
        this.limits = limits;
        this.scheduler = scheduler;
        this.storage = storage;
        this.journal = journal;
        this.self = self;
        this.ownStored = ownStored;
    }

    /** Starts writing. @param ready run once what was read at the start is known to be on disk */
    void start(Runnable ready) {
        writingSinceNanos = scheduler.nanoTime();
        storage.start(JournalForm.storedState(self, journal.state()), () -> {
            writing = false;
            ready.run();
            startNextWrite();
        });
    }

    /** Whether no more adds are accepted, because the disk hangs or too many wait for it. */
    boolean isStalled() {
        boolean hangs = writing
                && scheduler.nanoTime() - writingSinceNanos > TimeUnit.MILLISECONDS.toNanos(STALL_TIMEOUT_MS);
        return hangs || adds.size() >= MAX_WAITING_ADDS;
    }

    /** Queues an add for the next write. */
    void add(QueuedAdd add) {
        adds.add(add);
        startNextWrite();
    }

    /** Cancels an add. @return whether its write had not started, so that it has no effect */
    boolean cancel(QueuedAdd add) {
        return adds.remove(add);
    }

    /**
     * Accepts entries of other nodes.
     *
     * @param stored run once they are in the journal; not run if they can't be accepted now
     */
    void merge(List<JournalEntry> entries, Runnable stored) {
        boolean fits = journal.size() + remoteEntryCount + entries.size() <= limits.maxEntriesForMerges();
        if (remoteEntryCount + entries.size() <= MAX_WAITING_ENTRIES && fits) {
            remoteEntries.add(new RemoteEntries(entries, stored));
            remoteEntryCount += entries.size();
            startNextWrite();
        }
    }

    /** Accepts another node's bases. While others wait, further ones are dropped. */
    void mergeBases(List<OriginState> received, Runnable stored) {
        if (bases == null) {
            bases = received;
            onBasesStored = stored;
            startNextWrite();
        }
    }

    private void startNextWrite() {
        if (writing) {
            return;
        }
        if (bases != null) {
            writeBases();
        } else if (!adds.isEmpty() || !remoteEntries.isEmpty()) {
            writeWaiting();
        } else if (storage.length() > Math.max(MIN_COMPACTION_BYTES, 2 * snapshotBytes)) {
            rewrite(journal.state(), stored -> { });
        }
    }

    private void writeBases() {
        List<OriginState> takenBases = bases;
        Runnable stored = onBasesStored;
        bases = null;
        Journal after = new Journal();
        after.merge(journal.state());
        after.merge(takenBases);
        rewrite(after.state(), done -> {
            if (done) {
                journal.merge(takenBases);
                stored.run();
            }
        });
    }

    private void rewrite(List<OriginState> state, Consumer<Boolean> ended) {
        byte[] snapshot = JournalForm.storedState(self, state);
        beginWrite();
        storage.rewrite(snapshot, done -> {
            writing = false;
            snapshotBytes = done ? snapshot.length : storage.length(); // if it failed, not again at once
            ended.accept(done);
            startNextWrite();
        });
    }

    private void beginWrite() {
        writing = true;
        writingSinceNanos = scheduler.nanoTime();
        long write = ++writeCount;
        scheduler.schedule(() -> {
            if (writing && writeCount == write) {
                refuseWaitingAdds();
            }
        }, STALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void refuseWaitingAdds() {
        Deque<QueuedAdd> refused = adds;
        adds = new ArrayDeque<>();
        refused.forEach(add -> add.onRefused().run());
    }

    private void writeWaiting() {
        List<QueuedAdd> own = takeUnknownAdds();
        List<RemoteEntries> others = List.copyOf(remoteEntries);
        remoteEntries = new ArrayDeque<>();
        remoteEntryCount = 0;
        own.forEach(add -> add.onWriteStarted().run());
        List<JournalEntry> ownEntries = assignNumbers(own);
        List<JournalEntry> all = new ArrayList<>(withoutGaps(others));
        all.addAll(ownEntries);
        if (all.isEmpty()) {
            others.forEach(other -> other.onStored().run());
            return;
        }
        beginWrite();
        storage.append(JournalForm.storedEntries(all), stored -> {
            writing = false;
            if (stored) {
                all.forEach(journal::append);
                notifyStored(own, ownEntries, others);
            } else {
                own.forEach(add -> add.onRefused().run());
            }
            startNextWrite();
        });
    }

    /**
     * Takes the waiting adds, except those whose uid has arrived from another node meanwhile: their entries are held
     * already.
     */
    private List<QueuedAdd> takeUnknownAdds() {
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

    private void notifyStored(List<QueuedAdd> own, List<JournalEntry> ownEntries, List<RemoteEntries> others) {
        for (int i = 0; i < own.size(); i++) {
            own.get(i).onStored().accept(ownEntries.get(i));
        }
        if (!ownEntries.isEmpty()) {
            ownStored.accept(ownEntries);
        }
        others.forEach(other -> other.onStored().run());
    }

    private List<JournalEntry> assignNumbers(List<QueuedAdd> own) {
        List<JournalEntry> entries = new ArrayList<>(own.size());
        long number = journal.last(self);
        for (QueuedAdd add : own) {
            entries.add(new JournalEntry(self, ++number, add.tally(), add.uid(), add.amount()));
        }
        return entries;
    }

    /** Returns the entries that follow without a gap on those of their origins. */
    private List<JournalEntry> withoutGaps(List<RemoteEntries> others) {
        Map<Origin, Long> last = new HashMap<>();
        List<JournalEntry> accepted = new ArrayList<>();
        for (RemoteEntries other : others) {
            for (JournalEntry entry : other.entries()) {
                long before = last.computeIfAbsent(entry.origin(), journal::last);
                boolean fits = before > 0 || journal.origins() < limits.maxOrigins();
                if (entry.number() == before + 1 && fits && !entry.origin().equals(self)) {
                    accepted.add(entry);
                    last.put(entry.origin(), entry.number());
                }
            }
        }
        return accepted;
    }
}
