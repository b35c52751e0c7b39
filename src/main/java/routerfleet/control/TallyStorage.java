package routerfleet.control;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.zip.CRC32;
import routerfleet.log.Loggers;

/**
 * Stores a journal of tallies on disk, in two slots that are used in turn. Each slot holds a snapshot followed by
 * records. A new snapshot is written and synced completely in the unused slot before that slot replaces the other.
 *
 * <p>Each record has its length and a CRC-32 that includes the checksum of the record before it: a torn record at the
 * end, and what an earlier use of the file has left behind, is cut off. One write at a time is in progress, on the disk's
 * own thread, and is synced before it is reported as stored. A write for which there is no space is refused and has no
 * effect; one whose sync fails may have reached the disk, and is repeated until it succeeds.
 */
class TallyStorage {
    private static final System.Logger LOG = Loggers.get("routerfleet.control.storage");
    private static final int SLOTS = 2;
    private static final int HEADER_BYTES = 2 * Integer.BYTES;
    private static final long RETRY_MS = 100;

    /** What the disk held: the snapshot and the records of the newest valid slot. */
    record Opened(byte[] snapshot, List<byte[]> records) { }

    /** A slot as it was read. @param chain the checksum of its last record */
    private record Slot(long sequence, Opened opened, long length, int chain) { }

    /** A write that can be repeated as a whole. */
    private interface WriteOperation {
        /** @throws RefusedException if the write has had no effect; @throws IOException if that is not known */
        void run() throws IOException;
    }

    /** The disk has refused a write, which has had no effect. */
    private static final class RefusedException extends IOException {
        private static final long serialVersionUID = 1;

        RefusedException(IOException cause) {
            super(cause.getMessage(), cause);
        }
    }

    private final Disk disk;
    private final DiskWriter writer;
    private final Executor loop;
    /** The snapshot to write before the first record if the disk is empty. */
    private byte[] initialSnapshot;

    /** The fields from here on are used by the writer's thread only, once it has started. */
    private Disk.DiskFile file;
    private int slot;
    private long sequence;
    private int chain;
    private volatile long length;
    private volatile boolean refusalLogged;

    TallyStorage(Disk disk, DiskWriter writer, Executor loop) {
        this.disk = disk;
        this.writer = writer;
        this.loop = loop;
    }

    /** @return what the newest valid slot holds; null if there is none, since the disk is empty */
    Opened open() throws IOException {
        Slot newest = null;
        for (int i = 0; i < SLOTS; i++) {
            Slot found = read(disk.read(slotName(i)));
            if (found != null && (newest == null || found.sequence() > newest.sequence())) {
                newest = found;
                slot = i;
            }
        }
        if (newest == null) {
            return null;
        }
        sequence = newest.sequence();
        chain = newest.chain();
        length = newest.length();
        file = disk.open(slotName(slot));
        return newest.opened();
    }

    private static Slot read(byte[] bytes) {
        if (bytes == null) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        List<byte[]> records = new ArrayList<>();
        int chain = 0;
        long length = 0;
        while (in.remaining() >= HEADER_BYTES) {
            int size = in.getInt();
            int sum = in.getInt();
            if (size < 0 || size > in.remaining()) {
                break;
            }
            byte[] content = new byte[size];
            in.get(content);
            if (checksum(chain, content) != sum) {
                break;
            }
            records.add(content);
            chain = sum;
            length = in.position();
        }
        if (records.isEmpty() || records.get(0).length < Long.BYTES) {
            return null;
        }
        ByteBuffer first = ByteBuffer.wrap(records.remove(0));
        long sequence = first.getLong();
        byte[] snapshot = new byte[first.remaining()];
        first.get(snapshot);
        return new Slot(sequence, new Opened(snapshot, records), length, chain);
    }

    private static int checksum(int chain, byte[] content) {
        CRC32 crc = new CRC32();
        crc.update(ByteBuffer.allocate(HEADER_BYTES).putInt(chain).putInt(content.length).flip());
        crc.update(content);
        return (int) crc.getValue();
    }

    private static String slotName(int index) {
        return "tallies-" + index;
    }

    /**
     * Makes what was read durable: a process that ended may have written without a sync.
     *
     * @param snapshot written before the first record if the disk is empty
     * @param done run on the event loop
     */
    void start(byte[] snapshot, Runnable done) {
        initialSnapshot = snapshot;
        if (file == null) {
            loop.execute(done);
            return;
        }
        submit(() -> {
            file.sync();
            disk.syncDirectory();
        }, stored -> done.run());
    }

    /** Returns the number of bytes in the current slot. */
    long length() {
        return length;
    }

    /** Appends a record. @param ended receives on the event loop whether it is stored, or else refused */
    void append(byte[] record, Consumer<Boolean> ended) {
        submit(() -> {
            if (file == null) {
                switchSlot(initialSnapshot);
            }
            write(file, length, chain, record);
            file.sync();
            chain = checksum(chain, record);
            length += HEADER_BYTES + record.length;
        }, ended);
    }

    /** Replaces everything written so far by a snapshot. @param ended receives on the event loop whether it is stored */
    void rewrite(byte[] snapshot, Consumer<Boolean> ended) {
        submit(() -> switchSlot(snapshot), ended);
    }

    private static void write(Disk.DiskFile to, long position, int chainBefore, byte[] content) throws RefusedException {
        ByteBuffer bytes = ByteBuffer.allocate(HEADER_BYTES + content.length);
        bytes.putInt(content.length).putInt(checksum(chainBefore, content)).put(content).flip();
        try {
            to.write(position, bytes);
        } catch (IOException e) {
            throw new RefusedException(e); // at most a part of it was written, whose checksum does not match
        }
    }

    private void switchSlot(byte[] snapshot) throws IOException {
        int other = (slot + 1) % SLOTS;
        byte[] content = ByteBuffer.allocate(Long.BYTES + snapshot.length).putLong(sequence + 1).put(snapshot).array();
        Disk.DiskFile newFile = openCleared(other);
        try {
            write(newFile, 0, 0, content);
            newFile.sync();
            disk.syncDirectory();
        } catch (IOException e) {
            newFile.close();
            throw e;
        }
        if (file != null) {
            file.close();
        }
        file = newFile;
        slot = other;
        sequence++;
        chain = checksum(0, content);
        length = HEADER_BYTES + content.length;
    }

    private Disk.DiskFile openCleared(int index) throws RefusedException {
        try {
            Disk.DiskFile newFile = disk.open(slotName(index));
            newFile.truncate();
            return newFile;
        } catch (IOException e) {
            throw new RefusedException(e);
        }
    }

    private void submit(WriteOperation operation, Consumer<Boolean> ended) {
        writer.execute(() -> retryUntilKnown(operation, ended));
    }

    private void retryUntilKnown(WriteOperation operation, Consumer<Boolean> ended) {
        boolean stored = false;
        try {
            operation.run();
            stored = true;
        } catch (RefusedException e) {
            warn(e);
        } catch (IOException e) {
            warn(e);
            writer.executeAfter(RETRY_MS, () -> retryUntilKnown(operation, ended));
            return;
        }
        if (stored && refusalLogged) {
            refusalLogged = false;
            LOG.log(System.Logger.Level.INFO, "disk takes tallies again");
        }
        boolean result = stored;
        loop.execute(() -> ended.accept(result));
    }

    private void warn(IOException e) {
        if (!refusalLogged) {
            LOG.log(System.Logger.Level.WARNING, "disk refuses tallies: " + e.getMessage());
        }
        refusalLogged = true;
    }
}
