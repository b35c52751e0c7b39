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

/** What a replica finds on its disk after writes, torn writes and crashes. */
class ReplicaStorageTest {
    private static final List<String> VOTERS = List.of("a/0", "b/0", "c/0");

    @TempDir
    private Path folder;

    private static Entry entry(long index) {
        return Entry.command(index, 1, ("entry " + index).getBytes(StandardCharsets.UTF_8));
    }

    private static void store(ReplicaStorage storage, Write write) {
        CompletableFuture<Void> stored = new CompletableFuture<>();
        storage.store(write, () -> stored.complete(null));
        stored.join();
    }

    private void fill(int entries) throws IOException {
        try (ReplicaStorage storage = new ReplicaStorage(folder, Runnable::run)) {
            assertThat(storage.open(), is(nullValue()));
            storage.start("a/0", PersistentState.initial(VOTERS));
            store(storage, new Write.Vote(1, "b/0"));
            for (int i = 1; i <= entries; i++) {
                store(storage, new Write.Entries(List.of(entry(i))));
            }
        }
    }

    private ReplicaStorage.StoredReplica open() throws IOException {
        try (ReplicaStorage storage = new ReplicaStorage(folder, Runnable::run)) {
            return storage.open();
        }
    }

    private Path newestSlot() throws IOException {
        return Files.size(folder.resolve("slot-1")) > 0 ? folder.resolve("slot-1") : folder.resolve("slot-0");
    }

    @Test
    void whatWasStoredIsThereAgain() throws IOException {
        fill(5);
        ReplicaStorage.StoredReplica opened = open();
        assertThat(opened.replica(), is("a/0"));
        assertThat(opened.saved().vote(), is("b/0"));
        assertThat(opened.saved().entries().size(), is(5));
    }

    @Test
    void aTornLastWriteCostsNoEarlierOneWhereverItIsTorn() throws IOException {
        fill(3);
        byte[] before = Files.readAllBytes(newestSlot());
        try (ReplicaStorage storage = new ReplicaStorage(folder, Runnable::run)) {
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
    void aTornSnapshotLeavesTheOtherSlotInForce() throws IOException {
        fill(3);
        Path old = newestSlot();
        byte[] oldBytes = Files.readAllBytes(old);
        Snapshot snapshot = new Snapshot(3, 1, VOTERS, new byte[] {1, 2, 3});
        try (ReplicaStorage storage = new ReplicaStorage(folder, Runnable::run)) {
            storage.open();
            storage.start("a/0", null);
            store(storage, new Write.FullState(new PersistentState(1, "b/0", snapshot, List.of())));
        }
        Path fresh = folder.resolve(old.endsWith("slot-1") ? "slot-0" : "slot-1");
        byte[] freshBytes = Files.readAllBytes(fresh);
        assertThat(open().saved().snapshot().index(), is(3L));
        for (int length = 0; length < freshBytes.length; length++) {
            Files.write(fresh, Arrays.copyOf(freshBytes, length));
            Files.write(old, oldBytes);
            ReplicaStorage.StoredReplica opened = open();
            assertThat(opened, is(notNullValue()));
            assertThat(opened.saved().entries().size(), is(3));
        }
    }

    @Test
    void writesGoOnBehindATornTail() throws IOException {
        fill(2);
        Path slot = newestSlot();
        byte[] torn = Arrays.copyOf(Files.readAllBytes(slot), (int) Files.size(slot) + 7);
        Files.write(slot, torn);
        try (ReplicaStorage storage = new ReplicaStorage(folder, Runnable::run)) {
            storage.open();
            storage.start("a/0", null);
            store(storage, new Write.Entries(List.of(entry(3))));
        }
        assertThat(open().saved().entries().size(), is(3));
    }

    /** Guards what was acknowledged: without its folder's sync a slot may be lost whole with the power. */
    @Test
    void nothingIsToldToBeStoredBeforeTheFolderOfItsSlotIsSynced() {
        AtomicInteger syncs = new AtomicInteger();
        DirectoryDisk.DirectorySync refusesOnce = synced -> {
            if (syncs.getAndIncrement() == 0) {
                throw new IOException("no space left on device");
            }
        };
        try (ReplicaStorage storage = new ReplicaStorage(new DirectoryDisk(folder, refusesOnce), Runnable::run,
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

    /** Guards memory: a disk that hangs is seen, and what waits for it is bounded by who asks. */
    @Test
    void aDiskThatHangsIsSeenAndFull() throws Exception {
        CompletableFuture<Void> hanging = new CompletableFuture<>();
        CompletableFuture<Void> goesOn = new CompletableFuture<>();
        DirectoryDisk.DirectorySync hangs = synced -> {
            hanging.complete(null);
            goesOn.join();
        };
        try (ReplicaStorage storage = new ReplicaStorage(new DirectoryDisk(folder, hangs), Runnable::run,
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
            goesOn.complete(null);
            last.get(20, TimeUnit.SECONDS);
            assertThat(storage.isFull(), is(false));
        }
    }

    /** Guards founders: killed once it has begun, one comes back as the same replica. */
    @Test
    void aFoundersFirstStateIsOnDiskBeforeItBegins() throws IOException {
        try (ReplicaStorage storage = new ReplicaStorage(folder, Runnable::run)) {
            storage.open();
            storage.storeInitial("a/0", PersistentState.initial(VOTERS));
            assertThat(open().replica(), is("a/0"));
        }
    }

    @Test
    void aSlotOfTheProcessBeforeIsSyncedWithTheFirstWrite() throws IOException {
        fill(2);
        AtomicInteger syncs = new AtomicInteger();
        try (ReplicaStorage storage = new ReplicaStorage(
                new DirectoryDisk(folder, synced -> syncs.incrementAndGet()), Runnable::run, new DiskWriter.SingleThread())) {
            assertThat(storage.open().saved().entries().size(), is(2));
            storage.start("a/0", null);
            store(storage, new Write.Entries(List.of(entry(3))));
            store(storage, new Write.Entries(List.of(entry(4))));
            assertThat(syncs.get(), is(1));
        }
    }
}
