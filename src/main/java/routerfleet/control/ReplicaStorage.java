package routerfleet.control;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Executor;
import rowanplank.agreement.PersistentState;
import rowanplank.agreement.Write;
import rowanplank.fleet.wire.VoterFileCodec;
import routerfleet.log.Loggers;
import routerfleet.wire.PeerCodec;

/**
 * A replica's state on disk. There are two slot files, used alternately, each with a snapshot followed by a short log. A
 * new snapshot is written completely into the slot that is not in use and synced before that slot becomes the current one,
 * so that one slot is intact whatever is interrupted. Each write is synced before the next one begins.
 *
 * <p>Writes run on a thread of their own ({@link DiskWriter}), so that a slow or hanging disk does not block the replica. A
 * failed write is retried until it succeeds; no later write is reported as stored before it.
 *
 * <p>Bound: callers must not add writes while {@link #isFull} is true.
 */
class ReplicaStorage implements Closeable {
    private static final System.Logger LOG = Loggers.get("routerfleet.control.storage");
    private static final int SLOTS = 2;
    private static final long RETRY_MS = 100;
    private static final int MAX_PENDING = 256;
    private static final long MAX_PENDING_BYTES = 16L << 20;

    /**
     * The state found on disk at startup.
     *
     * @param replica the name of the replica that wrote the state
     */
    record StoredReplica(String replica, PersistentState saved) { }

    private record PendingWrite(Write write, Runnable onStored) { }

    private final Disk disk;
    private final Executor loop;
    private final DiskWriter writer;
    /** Whether a slot's directory entry is known to be synced; otherwise a power loss may remove the whole slot. */
    private final boolean[] directoryEntrySynced = new boolean[SLOTS];
    /** Its monitor guards it and the next three fields. */
    private final Deque<PendingWrite> pending = new ArrayDeque<>();
    private long pendingBytes;
    private boolean writing;
    /** When the write in progress began, in milliseconds of the writer's clock; negative if there is none. */
    private long writingSinceMs = -1;
    private volatile boolean closed;

    /** This and the following fields are used by the writer thread only, once it has started. */
    private String replica;
    private int slot;
    private long slotSequence;
    private Disk.DiskFile file;
    private long length;
    private int lastChecksum;
    private boolean warned;

    /** @param loop runs the callbacks for completed writes */
    ReplicaStorage(Path directory, Executor loop) {
        this(new DirectoryDisk(directory), loop, new DiskWriter.SingleThread());
    }

    ReplicaStorage(Disk disk, Executor loop, DiskWriter writer) {
        this.disk = disk;
        this.loop = loop;
        this.writer = writer;
    }

    /** Reads the newest intact slot. @return null if there is none, so that the disk counts as empty */
    StoredReplica open() throws IOException {
        VoterFileCodec.Recovered newest = null;
        for (int i = 0; i < SLOTS; i++) {
            byte[] bytes = disk.read(slotName(i));
            VoterFileCodec.Recovered found = bytes == null ? null : VoterFileCodec.recover(bytes);
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
        lastChecksum = newest.chain();
        file = disk.open(slotName(slot));
        return new StoredReplica(replica, newest.saved());
    }

    /** The storage of the last known servers, on the same disk and written by the same thread. */
    SessionStorage sessionHints(PeerCodec codec) {
        return new SessionStorage(disk, writer, loop, codec);
    }

    /** The storage of tallies, on the same disk and written by the same thread. */
    TallyStorage tallyStorage() {
        return new TallyStorage(disk, writer, loop);
    }

    /**
     * Starts accepting writes.
     *
     * @param name the replica's name
     * @param initial the state to write first if the disk was empty, otherwise null
     */
    void start(String name, PersistentState initial) {
        replica = name;
        if (initial != null) {
            store(new Write.FullState(initial), () -> { });
        }
    }

    /**
     * Starts accepting writes, and stores the initial state synchronously. A node that is killed after its first start thus
     * returns as the same replica.
     *
     * @throws IOException if the state could not be stored; the call may be repeated
     */
    void storeInitial(String name, PersistentState initial) throws IOException {
        replica = name;
        write(List.of(new PendingWrite(new Write.FullState(initial), () -> { })));
    }

    /** Queues a write. @param onStored run on the loop once this write and all earlier ones are synced */
    void store(Write write, Runnable onStored) {
        synchronized (pending) {
            pending.add(new PendingWrite(write, onStored));
            pendingBytes += write.bytes();
            if (writing) {
                return;
            }
            writing = true;
        }
        writer.execute(this::writePending);
    }

    /** The number of queued writes that the disk has not started. */
    int pendingWrites() {
        synchronized (pending) {
            return pending.size();
        }
    }

    /** Whether the limit on the number or total size of queued writes is reached. */
    boolean isFull() {
        synchronized (pending) {
            return pending.size() >= MAX_PENDING || pendingBytes >= MAX_PENDING_BYTES;
        }
    }

    /** For how long the write in progress has been running, in milliseconds; 0 if there is none. */
    long stalledMs() {
        synchronized (pending) {
            return writingSinceMs < 0 ? 0 : writer.monotonicMs() - writingSinceMs;
        }
    }

    private static String slotName(int index) {
        return "slot-" + index;
    }

    private static long sequence(VoterFileCodec.Recovered recovered) {
        return Long.parseLong(recovered.fleet());
    }

    private void writePending() {
        List<PendingWrite> batch;
        synchronized (pending) {
            batch = new ArrayList<>(pending);
            pending.clear();
            pendingBytes = 0;
            writingSinceMs = writer.monotonicMs();
        }
        writeWithRetries(batch);
    }

    private void writeWithRetries(List<PendingWrite> batch) {
        if (closed) {
            return;
        }
        try {
            write(batch);
        } catch (IOException e) {
            if (!warned) {
                LOG.log(System.Logger.Level.WARNING, "disk refuses writes, trying again: " + e.getMessage());
            }
            warned = true;
            writer.executeAfter(RETRY_MS, () -> writeWithRetries(batch));
            return;
        }
        if (warned) {
            LOG.log(System.Logger.Level.INFO, "disk takes writes again");
            warned = false;
        }
        loop.execute(() -> batch.forEach(queued -> queued.onStored().run()));
        boolean more;
        synchronized (pending) {
            writingSinceMs = -1;
            writing = !pending.isEmpty();
            more = writing;
        }
        if (more) {
            writer.execute(this::writePending);
        }
    }

    private void write(List<PendingWrite> batch) throws IOException {
        int from = 0;
        for (int i = 0; i < batch.size(); i++) {
            if (batch.get(i).write() instanceof Write.FullState) {
                from = i; // a full state replaces all earlier writes
            }
        }
        List<PendingWrite> rest = batch.subList(from, batch.size());
        if (rest.get(0).write() instanceof Write.FullState state) {
            switchSlot(state);
            rest = rest.subList(1, rest.size());
        }
        if (!rest.isEmpty()) {
            append(rest);
        }
    }

    private void append(List<PendingWrite> writes) throws IOException {
        int newChecksum = lastChecksum;
        List<byte[]> records = new ArrayList<>();
        int size = 0;
        for (PendingWrite queued : writes) {
            VoterFileCodec.Encoded written = VoterFileCodec.write(newChecksum, queued.write());
            newChecksum = written.chain();
            records.add(written.bytes());
            size += written.bytes().length;
        }
        ByteBuffer bytes = ByteBuffer.allocate(size);
        records.forEach(bytes::put);
        file.write(length, bytes.flip());
        file.sync();
        syncDirectoryEntry(slot); // a previous process may have ended before syncing the directory
        length += size;
        lastChecksum = newChecksum;
    }

    private void switchSlot(Write.FullState state) throws IOException {
        int other = nextSlot(slot);
        VoterFileCodec.Encoded written = VoterFileCodec.replacement(Long.toString(slotSequence + 1), replica, state);
        Disk.DiskFile newFile = disk.open(slotName(other));
        try {
            newFile.truncate();
            newFile.write(0, ByteBuffer.wrap(written.bytes()));
            newFile.sync();
            syncDirectoryEntry(other);
        } catch (IOException e) {
            newFile.close();
            throw e;
        }
        if (file != null) {
            file.close();
        }
        file = newFile;
        slot = other;
        slotSequence++;
        length = written.bytes().length;
        lastChecksum = written.chain();
    }

    /** The slot that the next snapshot is written to. @param inUse the slot with the newest intact state */
    int nextSlot(int inUse) {
        return (inUse + 1) % SLOTS;
    }

    private void syncDirectoryEntry(int index) throws IOException {
        if (!directoryEntrySynced[index]) {
            disk.syncDirectory();
            directoryEntrySynced[index] = true;
        }
    }

    @Override
    public void close() {
        closed = true;
        writer.close();
    }
}
