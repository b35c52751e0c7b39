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
 * A replica's state on disk: two slots that are written in turn, each a snapshot with a short log behind it. A new
 * snapshot goes whole into the slot that is not in use, is synced, and only then takes over; so whatever is interrupted,
 * one slot is whole. Each write is synced before the next one begins.
 *
 * <p>Writes are made on a thread of their own ({@link DiskWriter}), so that a slow or hanging disk does not hold up the
 * replica. A write that the disk refuses is tried again until it succeeds; nothing behind it is told to be stored before.
 *
 * <p>Bound: who finds {@link #isFull} asks for no more writes until it is not.
 */
class ReplicaStorage implements Closeable {
    private static final System.Logger LOG = Loggers.get("routerfleet.control.storage");
    private static final int SLOTS = 2;
    private static final long RETRY_MS = 100;
    private static final int MOST_WAITING = 256;
    private static final long MOST_WAITING_BYTES = 16L << 20;

    /**
     * What a disk held at the start.
     *
     * @param replica the name of the replica whose state it is
     */
    record StoredReplica(String replica, PersistentState saved) { }

    private record Job(Write write, Runnable stored) { }

    private final Disk disk;
    private final Executor loop;
    private final DiskWriter writer;
    /** Whether the folder's entry of a slot is known to be synced: else the slot may be lost whole with the power. */
    private final boolean[] entered = new boolean[SLOTS];
    /** Guarded by itself, as what follows it. */
    private final Deque<Job> waiting = new ArrayDeque<>();
    private long waitingBytes;
    private boolean writing;
    /** Since when the write that is under way has not come back, on the writer's clock; negative for none. */
    private long writingSinceMs = -1;
    private volatile boolean closed;

    /** What follows is used by the writer only, once it has begun. */
    private String replica;
    private int slot;
    private long slotSequence;
    private Disk.DiskFile file;
    private long length;
    private int chain;
    private boolean warned;

    /** @param loop where it is told that something is stored */
    ReplicaStorage(Path folder, Executor loop) {
        this(new DirectoryDisk(folder), loop, new DiskWriter.SingleThread());
    }

    ReplicaStorage(Disk disk, Executor loop, DiskWriter writer) {
        this.disk = disk;
        this.loop = loop;
        this.writer = writer;
    }

    /** @return what the newer whole slot holds; null where there is none: the disk is empty */
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
        chain = newest.chain();
        file = disk.open(slotName(slot));
        return new StoredReplica(replica, newest.saved());
    }

    /** The servers last known, on the same disk and written by the same thread. */
    SessionStorage sessionHints(PeerCodec codec) {
        return new SessionStorage(disk, writer, loop, codec);
    }

    /** The journal of tallies, on the same disk and written by the same thread. */
    TallyStorage tallyStorage() {
        return new TallyStorage(disk, writer, loop);
    }

    /** Begins to write. @param name the replica's; @param initial written first where the disk was empty, else null */
    void start(String name, PersistentState initial) {
        replica = name;
        if (initial != null) {
            store(new Write.FullState(initial), () -> { });
        }
    }

    /**
     * Begins to write, and has the first state on disk before it returns: a founder that is killed after that comes back as
     * the same replica.
     *
     * @throws IOException if the disk refuses it; may be tried again
     */
    void storeInitial(String name, PersistentState initial) throws IOException {
        replica = name;
        write(List.of(new Job(new Write.FullState(initial), () -> { })));
    }

    /** @param stored run on the loop once the write and all before it are synced */
    void store(Write write, Runnable stored) {
        synchronized (waiting) {
            waiting.add(new Job(write, stored));
            waitingBytes += write.bytes();
            if (writing) {
                return;
            }
            writing = true;
        }
        writer.execute(this::writeWaiting);
    }

    /** How many writes wait for the disk. */
    int pendingWrites() {
        synchronized (waiting) {
            return waiting.size();
        }
    }

    /** Whether so much waits for the disk that nothing more is to be added. */
    boolean isFull() {
        synchronized (waiting) {
            return waiting.size() >= MOST_WAITING || waitingBytes >= MOST_WAITING_BYTES;
        }
    }

    /** For how long the write that is under way has not come back, in milliseconds; 0 where none is. */
    long stalledMs() {
        synchronized (waiting) {
            return writingSinceMs < 0 ? 0 : writer.monotonicMs() - writingSinceMs;
        }
    }

    private static String slotName(int index) {
        return "slot-" + index;
    }

    private static long sequence(VoterFileCodec.Recovered recovered) {
        return Long.parseLong(recovered.fleet());
    }

    private void writeWaiting() {
        List<Job> batch;
        synchronized (waiting) {
            batch = new ArrayList<>(waiting);
            waiting.clear();
            waitingBytes = 0;
            writingSinceMs = writer.monotonicMs();
        }
        writeUntilDone(batch);
    }

    private void writeUntilDone(List<Job> batch) {
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
            writer.executeAfter(RETRY_MS, () -> writeUntilDone(batch));
            return;
        }
        if (warned) {
            LOG.log(System.Logger.Level.INFO, "disk takes writes again");
            warned = false;
        }
        loop.execute(() -> batch.forEach(job -> job.stored().run()));
        boolean more;
        synchronized (waiting) {
            writingSinceMs = -1;
            writing = !waiting.isEmpty();
            more = writing;
        }
        if (more) {
            writer.execute(this::writeWaiting);
        }
    }

    private void write(List<Job> batch) throws IOException {
        int from = 0;
        for (int i = 0; i < batch.size(); i++) {
            if (batch.get(i).write() instanceof Write.FullState) {
                from = i; // it takes the place of all that was written before it
            }
        }
        List<Job> rest = batch.subList(from, batch.size());
        if (rest.get(0).write() instanceof Write.FullState whole) {
            switchSlot(whole);
            rest = rest.subList(1, rest.size());
        }
        if (!rest.isEmpty()) {
            append(rest);
        }
    }

    private void append(List<Job> jobs) throws IOException {
        int newChain = chain;
        List<byte[]> records = new ArrayList<>();
        int size = 0;
        for (Job job : jobs) {
            VoterFileCodec.Encoded written = VoterFileCodec.write(newChain, job.write());
            newChain = written.chain();
            records.add(written.bytes());
            size += written.bytes().length;
        }
        ByteBuffer bytes = ByteBuffer.allocate(size);
        records.forEach(bytes::put);
        file.write(length, bytes.flip());
        file.sync();
        syncEntry(slot); // the process before may have ended between making the slot and syncing the folder
        length += size;
        chain = newChain;
    }

    private void switchSlot(Write.FullState whole) throws IOException {
        int other = nextSlot(slot);
        VoterFileCodec.Encoded written = VoterFileCodec.replacement(Long.toString(slotSequence + 1), replica, whole);
        Disk.DiskFile fresh = disk.open(slotName(other));
        try {
            fresh.truncate();
            fresh.write(0, ByteBuffer.wrap(written.bytes()));
            fresh.sync();
            syncEntry(other);
        } catch (IOException e) {
            fresh.close();
            throw e;
        }
        if (file != null) {
            file.close();
        }
        file = fresh;
        slot = other;
        slotSequence++;
        length = written.bytes().length;
        chain = written.chain();
    }

    /** The slot that a snapshot goes into. @param inUse the one that holds the newest whole state */
    int nextSlot(int inUse) {
        return (inUse + 1) % SLOTS;
    }

    private void syncEntry(int index) throws IOException {
        if (!entered[index]) {
            disk.syncDirectory();
            entered[index] = true;
        }
    }

    @Override
    public void close() {
        closed = true;
        writer.close();
    }
}
