package routerfleet.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rowanplank.agreement.Entry;
import rowanplank.agreement.PersistentState;
import rowanplank.agreement.Snapshot;
import rowanplank.agreement.Write;

/** Tests what a replica recovers from its disk after writes, torn writes and crashes. */
class ReplicaStorageTest {
    private static final List<String> VOTERS = List.of("a/0", "b/0", "c/0");

    @TempDir
    private Path directory;

    private static Entry entry(long index) {
        return Entry.command(index, 1, ("entry " + index).getBytes(StandardCharsets.UTF_8));
    }

    private static void store(ReplicaStorage storage, Write write) {
        CompletableFuture<Void> stored = new CompletableFuture<>();
        storage.store(write, () -> stored.complete(null));
        stored.join();
    }

    private void fill(int entries) throws IOException {
        try (ReplicaStorage storage = new ReplicaStorage(directory, Runnable::run)) {
            assertThat(storage.open(), is(nullValue()));
            storage.start("a/0", PersistentState.initial(VOTERS));
            store(storage, new Write.Vote(1, "b/0"));
            for (int i = 1; i <= entries; i++) {
                store(storage, new Write.Entries(List.of(entry(i))));
            }
        }
    }

    private ReplicaStorage.StoredReplica open() throws IOException {
        try (ReplicaStorage storage = new ReplicaStorage(directory, Runnable::run)) {
            return storage.open();
        }
    }

    private Path newestSlot() throws IOException {
        return Files.size(directory.resolve("slot-1")) > 0 ? directory.resolve("slot-1") : directory.resolve("slot-0");
    }

    @Test
    void storedStateIsRecovered() throws IOException {
        fill(5);
        ReplicaStorage.StoredReplica opened = open();
        assertThat(opened.replica(), is("a/0"));
        assertThat(opened.saved().vote(), is("b/0"));
        assertThat(opened.saved().entries().size(), is(5));
    }

    @Test
    void aTornLastWriteLosesNoEarlierOne() throws IOException {
        fill(3);
        byte[] before = Files.readAllBytes(newestSlot());
        try (ReplicaStorage storage = new ReplicaStorage(directory, Runnable::run)) {
            storage.open();
            storage.start("a/0", null);
            store(storage, new Write.Entries(List.of(entry(4))));
        }
        byte[] after = Files.readAllBytes(newestSlot());
        for (int length = before.length; length < after.length; length++) {
            Files.write(newestSlot(), Arrays.copyOf(after, length));
            assertThat(open().saved().entries().size(), is(3));
            byte[] zeros = Arrays.copyOf(Arrays.copyOf(after, length), after.length);
            Files.write(newestSlot(), zeros);
            assertThat(open().saved().entries().size(), is(greaterThanOrEqualTo(3)));
        }
    }

    @Test
    void aTornSnapshotLeavesTheOtherSlotCurrent() throws IOException {
        fill(3);
        Path old = newestSlot();
        byte[] oldBytes = Files.readAllBytes(old);
        Snapshot snapshot = new Snapshot(3, 1, VOTERS, new byte[] {1, 2, 3});
        try (ReplicaStorage storage = new ReplicaStorage(directory, Runnable::run)) {
            storage.open();
            storage.start("a/0", null);
            store(storage, new Write.FullState(new PersistentState(1, "b/0", snapshot, List.of())));
        }
        Path newSlot = directory.resolve(old.endsWith("slot-1") ? "slot-0" : "slot-1");
        byte[] newBytes = Files.readAllBytes(newSlot);
        assertThat(open().saved().snapshot().index(), is(3L));
        for (int length = 0; length < newBytes.length; length++) {
            Files.write(newSlot, Arrays.copyOf(newBytes, length));
            Files.write(old, oldBytes);
            ReplicaStorage.StoredReplica opened = open();
            assertThat(opened, is(notNullValue()));
            assertThat(opened.saved().entries().size(), is(3));
        }
    }

    @Test
    void writesContinueAfterATornTail() throws IOException {
        fill(2);
        Path slot = newestSlot();
        byte[] torn = Arrays.copyOf(Files.readAllBytes(slot), (int) Files.size(slot) + 7);
        Files.write(slot, torn);
        try (ReplicaStorage storage = new ReplicaStorage(directory, Runnable::run)) {
            storage.open();
            storage.start("a/0", null);
            store(storage, new Write.Entries(List.of(entry(3))));
        }
        assertThat(open().saved().entries().size(), is(3));
    }

    /** Guards acknowledged writes: without a sync of its directory a power loss may remove the whole slot. */
    @Test
    void noWriteIsReportedBeforeTheDirectoryIsSynced() {
        AtomicInteger syncs = new AtomicInteger();
        DirectoryDisk.DirectorySync failsOnce = synced -> {
            if (syncs.getAndIncrement() == 0) {
                throw new IOException("no space left on device");
            }
        };
        try (ReplicaStorage storage = new ReplicaStorage(new DirectoryDisk(directory, failsOnce), Runnable::run,
                new DiskWriter.SingleThread())) {
            storage.start("a/0", null);
            store(storage, new Write.FullState(PersistentState.initial(VOTERS)));
            assertThat(syncs.get(), is(2));
            store(storage, new Write.FullState(PersistentState.initial(VOTERS)));
            assertThat("the other slot", syncs.get(), is(3));
            store(storage, new Write.FullState(PersistentState.initial(VOTERS)));
            assertThat("the first slot again", syncs.get(), is(3));
        }
    }

    /** Guards memory: a hanging disk is detected, and callers can bound the writes that wait for it. */
    @Test
    void aHangingDiskIsReportedAsStalledAndFull() throws Exception {
        CompletableFuture<Void> hanging = new CompletableFuture<>();
        CompletableFuture<Void> resume = new CompletableFuture<>();
        DirectoryDisk.DirectorySync hangs = synced -> {
            hanging.complete(null);
            resume.join();
        };
        try (ReplicaStorage storage = new ReplicaStorage(new DirectoryDisk(directory, hangs), Runnable::run,
                new DiskWriter.SingleThread())) {
            storage.open();
            storage.start("a/0", PersistentState.initial(VOTERS));
            hanging.get(20, TimeUnit.SECONDS);
            CompletableFuture<Void> last = new CompletableFuture<>();
            int writes = 0;
            while (!storage.isFull() && writes < 10_000) {
                storage.store(new Write.Vote(++writes, null), () -> last.complete(null));
            }
            assertThat(storage.isFull(), is(true));
            assertThat(storage.pendingWrites(), is(writes));
            assertThat(last.isDone(), is(false));
            assertThat(storage.stalledMs(), is(greaterThanOrEqualTo(0L)));
            resume.complete(null);
            last.get(20, TimeUnit.SECONDS);
            assertThat(storage.isFull(), is(false));
        }
    }

    /** Guards the first start: a node that is killed after it returns as the same replica. */
    @Test
    void theInitialStateIsStoredSynchronously() throws IOException {
        try (ReplicaStorage storage = new ReplicaStorage(directory, Runnable::run)) {
            storage.open();
            storage.storeInitial("a/0", PersistentState.initial(VOTERS));
            assertThat(open().replica(), is("a/0"));
        }
    }

    @Test
    void aSlotOfAPreviousProcessIsSyncedWithTheFirstWrite() throws IOException {
        fill(2);
        AtomicInteger syncs = new AtomicInteger();
        try (ReplicaStorage storage = new ReplicaStorage(
                new DirectoryDisk(directory, synced -> syncs.incrementAndGet()), Runnable::run,
                new DiskWriter.SingleThread())) {
            assertThat(storage.open().saved().entries().size(), is(2));
            storage.start("a/0", null);
            store(storage, new Write.Entries(List.of(entry(3))));
            store(storage, new Write.Entries(List.of(entry(4))));
            assertThat(syncs.get(), is(1));
        }
    }
}
