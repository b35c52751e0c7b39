package routerfleet.control;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import rowanplank.agreement.Saved;
import rowanplank.agreement.Write;
import rowanplank.fleet.wire.DiskForm;

/**
 * A replica's state on disk: two slots that are written in turn, each a snapshot with a short log behind it. A new
 * snapshot goes whole into the slot that is not in use, is synced, and only then takes over; so whatever is interrupted,
 * one slot is whole. Each write is synced before the next one begins.
 *
 * <p>A thread of its own writes, so that a slow or hanging disk does not hold up the replica. A write that the disk
 * refuses is tried again until it succeeds; nothing behind it is told to be stored before.
 */
final class ReplicaStorage implements Closeable {
    private static final System.Logger LOG = System.getLogger("routerfleet.control.storage");
    private static final int SLOTS = 2;
    private static final long RETRY_MS = 100;

    /**
     * What a disk held at the start.
     *
     * @param replica the name of the replica whose state it is
     */
    record Opened(String replica, Saved saved) { }

    /** Makes the entries of a folder outlive a loss of power. */
    interface FolderSync {
        void sync(Path folder) throws IOException;
    }

    private record Job(Write write, Runnable stored) { }

    private final Path folder;
    private final Executor loop;
    private final FolderSync folderSync;
    /** Whether the folder's entry of a slot is known to be synced: else the slot may be lost whole with the power. */
    private final boolean[] entered = new boolean[SLOTS];
    private final LinkedBlockingQueue<Job> jobs = new LinkedBlockingQueue<>();
    private final Thread writer = new Thread(this::run, "replica-storage");
    private String replica;
    private int slot;
    private long slotSequence;
    private FileChannel channel;
    private long length;
    private int chain;
    private volatile boolean closed;

    /** @param loop where it is told that something is stored */
    ReplicaStorage(Path folder, Executor loop) {
        this(folder, loop, ReplicaStorage::syncFolder);
    }

    ReplicaStorage(Path folder, Executor loop, FolderSync folderSync) {
        this.folder = folder;
        this.loop = loop;
        this.folderSync = folderSync;
        writer.setDaemon(true);
    }

    /** @return what the newer whole slot holds; null where there is none: the disk is empty */
    Opened open() throws IOException {
        Files.createDirectories(folder);
        DiskForm.Recovered newest = null;
        for (int i = 0; i < SLOTS; i++) {
            Path file = slotFile(i);
            DiskForm.Recovered found = Files.exists(file) ? DiskForm.recover(Files.readAllBytes(file)) : null;
            if (found != null && (newest == null || sequence(found) > slotSequence)) {
                newest = found;
                slot = i;
                slotSequence = sequence(found);
            }
        }
        if (newest == null) {
            return null;
        }
        replica = newest.node();
        length = newest.length();
        chain = newest.chain();
        channel = FileChannel.open(slotFile(slot), StandardOpenOption.WRITE);
        return new Opened(replica, newest.saved());
    }

    /** Begins to write. @param name the replica's; @param initial written first where the disk was empty, else null */
    void start(String name, Saved initial) {
        replica = name;
        if (initial != null) {
            jobs.add(new Job(new Write.Whole(initial), () -> { }));
        }
        writer.start();
    }

    /** @param stored run on the loop once the write and all before it are synced */
    void store(Write write, Runnable stored) {
        jobs.add(new Job(write, stored));
    }

    /** How many writes wait for the disk. */
    int waiting() {
        return jobs.size();
    }

    private Path slotFile(int index) {
        return folder.resolve("slot-" + index);
    }

    private static long sequence(DiskForm.Recovered recovered) {
        return Long.parseLong(recovered.fleet());
    }

    private void run() {
        List<Job> batch = new ArrayList<>();
        try {
            while (!closed) {
                batch.clear();
                batch.add(jobs.take());
                jobs.drainTo(batch);
                writeUntilDone(batch);
                List<Job> done = List.copyOf(batch);
                loop.execute(() -> done.forEach(job -> job.stored().run()));
            }
        } catch (InterruptedException e) {
            // closed
        }
    }

    private void writeUntilDone(List<Job> batch) throws InterruptedException {
        int from = 0;
        for (int i = 0; i < batch.size(); i++) {
            if (batch.get(i).write() instanceof Write.Whole) {
                from = i; // it takes the place of all that was written before it
            }
        }
        boolean warned = false;
        while (!closed) {
            try {
                write(batch.subList(from, batch.size()));
                return;
            } catch (IOException e) {
                if (!warned) {
                    LOG.log(System.Logger.Level.WARNING, "disk refuses writes, trying again: " + e.getMessage());
                    warned = true;
                }
                Thread.sleep(RETRY_MS);
            }
        }
    }

    private void write(List<Job> batch) throws IOException {
        List<Job> rest = batch;
        if (batch.get(0).write() instanceof Write.Whole whole) {
            switchSlot(whole);
            rest = batch.subList(1, batch.size());
        }
        if (rest.isEmpty()) {
            return;
        }
        int newChain = chain;
        List<byte[]> records = new ArrayList<>();
        int size = 0;
        for (Job job : rest) {
            DiskForm.Written written = DiskForm.write(newChain, job.write());
            newChain = written.chain();
            records.add(written.bytes());
            size += written.bytes().length;
        }
        ByteBuffer bytes = ByteBuffer.allocate(size);
        records.forEach(bytes::put);
        writeAll(channel, bytes.flip(), length);
        channel.force(true);
        syncEntry(slot); // the process before may have ended between making the slot and syncing the folder
        length += size;
        chain = newChain;
    }

    private void switchSlot(Write.Whole whole) throws IOException {
        int other = (slot + 1) % SLOTS;
        Path file = slotFile(other);
        DiskForm.Written written = DiskForm.anew(Long.toString(slotSequence + 1), replica, whole);
        FileChannel fresh = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            fresh.truncate(0);
            writeAll(fresh, ByteBuffer.wrap(written.bytes()), 0);
            fresh.force(true);
            syncEntry(other);
        } catch (IOException e) {
            fresh.close();
            throw e;
        }
        if (channel != null) {
            channel.close();
        }
        channel = fresh;
        slot = other;
        slotSequence++;
        length = written.bytes().length;
        chain = written.chain();
    }

    private void syncEntry(int index) throws IOException {
        if (!entered[index]) {
            folderSync.sync(folder);
            entered[index] = true;
        }
    }

    private static void syncFolder(Path folder) throws IOException {
        try (FileChannel directory = FileChannel.open(folder)) {
            directory.force(true);
        }
    }

    private static void writeAll(FileChannel to, ByteBuffer bytes, long position) throws IOException {
        long at = position;
        while (bytes.hasRemaining()) {
            at += to.write(bytes, at);
        }
    }

    @Override
    public void close() {
        closed = true;
        writer.interrupt();
    }
}
