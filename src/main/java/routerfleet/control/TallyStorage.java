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
 * A journal on disk: two slots that are written in turn, each a snapshot with records behind it. A new snapshot goes whole
 * into the slot that is not in use, is synced, and only then takes over.
 *
 * <p>Each record has its length and a CRC-32, which goes on from that of the record before: what is torn at the end, and
 * what an earlier use of the file has left behind it, is cut. One write at a time is under way, on the disk's own thread,
 * and each is synced before it is told to be stored. A write for which there is no room is refused, and nothing of it
 * stays; one whose sync fails may have reached the disk, and is tried again until it does.
 */
class TallyStorage {
    private static final System.Logger LOG = Loggers.get("routerfleet.control.storage");
    private static final int SLOTS = 2;
    private static final int HEAD = 2 * Integer.BYTES;
    private static final long RETRY_MS = 100;

    /** What the disk held: the newest whole slot's snapshot, and the records behind it. */
    record Opened(byte[] snapshot, List<byte[]> records) { }

    /** A slot as it was read. */
    private record Slot(long sequence, Opened opened, long length, int chain) { }

    /** A write that can be tried again as a whole. */
    private interface Work {
        /** @throws RefusedException if nothing of it stays; @throws IOException if that is not known */
        void run() throws IOException;
    }

    private static final class RefusedException extends IOException {
        private static final long serialVersionUID = 1;

        RefusedException(IOException cause) {
            super(cause.getMessage(), cause);
        }
    }

    private final Disk disk;
    private final DiskWriter writer;
    private final Executor loop;
    /** Written before the first record where the disk is empty. */
    private byte[] initial;

    /** What follows is used by the writer only, once it has begun. */
    private Disk.DiskFile file;
    private int slot;
    private long sequence;
    private int chain;
    private volatile long length;
    private volatile boolean warned;

    TallyStorage(Disk disk, DiskWriter writer, Executor loop) {
        this.disk = disk;
        this.writer = writer;
        this.loop = loop;
    }

    /** @return what the newer whole slot holds; null where there is none: the disk is empty */
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
        while (in.remaining() >= HEAD) {
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
        crc.update(ByteBuffer.allocate(HEAD).putInt(chain).putInt(content.length).flip());
        crc.update(content);
        return (int) crc.getValue();
    }

    private static String slotName(int index) {
        return "tallies-" + index;
    }

    /**
     * Makes what was read outlive a loss of power: a process that ended may have written without a sync.
     *
     * @param snapshot written before the first record where the disk is empty
     * @param done run on the loop
     */
    void start(byte[] snapshot, Runnable done) {
        initial = snapshot;
        if (file == null) {
            loop.execute(done);
            return;
        }
        run(() -> {
            file.sync();
            disk.syncDirectory();
        }, stored -> done.run());
    }

    /** How many bytes the slot in use holds. */
    long length() {
        return length;
    }

    /** Adds a record. @param ended told on the loop whether it is stored, or else refused */
    void append(byte[] record, Consumer<Boolean> ended) {
        run(() -> {
            if (file == null) {
                switchSlot(initial);
            }
            write(file, length, chain, record);
            file.sync();
            chain = checksum(chain, record);
            length += HEAD + record.length;
        }, ended);
    }

    /** Puts a snapshot in the place of all that was written. @param ended told on the loop whether it is stored */
    void rewrite(byte[] snapshot, Consumer<Boolean> ended) {
        run(() -> switchSlot(snapshot), ended);
    }

    private static void write(Disk.DiskFile to, long position, int chainBefore, byte[] content) throws RefusedException {
        ByteBuffer bytes = ByteBuffer.allocate(HEAD + content.length);
        bytes.putInt(content.length).putInt(checksum(chainBefore, content)).put(content).flip();
        try {
            to.write(position, bytes);
        } catch (IOException e) {
            throw new RefusedException(e); // a part of it at most is there, and its checksum does not fit
        }
    }

    private void switchSlot(byte[] snapshot) throws IOException {
        int other = (slot + 1) % SLOTS;
        byte[] content = ByteBuffer.allocate(Long.BYTES + snapshot.length).putLong(sequence + 1).put(snapshot).array();
        Disk.DiskFile fresh = cleared(other);
        try {
            write(fresh, 0, 0, content);
            fresh.sync();
            disk.syncDirectory();
        } catch (IOException e) {
            fresh.close();
            throw e;
        }
        if (file != null) {
            file.close();
        }
        file = fresh;
        slot = other;
        sequence++;
        chain = checksum(0, content);
        length = HEAD + content.length;
    }

    private Disk.DiskFile cleared(int index) throws RefusedException {
        try {
            Disk.DiskFile fresh = disk.open(slotName(index));
            fresh.truncate();
            return fresh;
        } catch (IOException e) {
            throw new RefusedException(e);
        }
    }

    private void run(Work work, Consumer<Boolean> ended) {
        writer.execute(() -> runUntilKnown(work, ended));
    }

    private void runUntilKnown(Work work, Consumer<Boolean> ended) {
        boolean stored = false;
        try {
            work.run();
            stored = true;
        } catch (RefusedException e) {
            warn(e);
        } catch (IOException e) {
            warn(e);
            writer.executeAfter(RETRY_MS, () -> runUntilKnown(work, ended));
            return;
        }
        if (stored && warned) {
            warned = false;
            LOG.log(System.Logger.Level.INFO, "disk takes tallies again");
        }
        boolean result = stored;
        loop.execute(() -> ended.accept(result));
    }

    private void warn(IOException e) {
        if (!warned) {
            LOG.log(System.Logger.Level.WARNING, "disk refuses tallies: " + e.getMessage());
        }
        warned = true;
    }
}
