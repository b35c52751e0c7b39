package routerfleet.control;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.zip.CRC32;
import routerfleet.log.Loggers;
import routerfleet.wire.PeerCodec;
import routerfleet.wire.PeerMessage;
import routerfleet.wire.SessionRecord;

/**
 * The servers that a control node last knew to be ready, and those that it knew to drain or be gone, kept on its disk
 * beside the log for the first moments after all machines were lost. That a server is ready is only a hint; that one
 * drains or is gone stays true, since a name stands for one incarnation, and is acknowledged only once it is kept on enough
 * disks. It is written into two files in turn, so that a write that is interrupted leaves the one before.
 *
 * <p>A file holds a CRC-32 of four bytes and a {@link PeerMessage.Sessions} whose id counts the writes. Bound: as many
 * sessions as {@link SessionTable} holds, and {@value #MOST_WAITING} that wait for a write. For the node's thread but for
 * {@link #read}.
 */
class SessionStorage {
    private static final System.Logger LOG = Loggers.get("routerfleet.control.storage");
    private static final int SLOTS = 2;
    private static final int CHECKSUM_BYTES = 4;
    private static final int MOST_WAITING = 4_096;

    private final Disk disk;
    private final DiskWriter writer;
    private final Executor loop;
    private final PeerCodec codec;
    /** Of the last write that succeeded: one that fails is tried again in the same slot, the other one is whole. */
    private long sequence;
    private Set<Known> written = Set.of();
    private boolean writing;
    private List<Runnable> waiting = new ArrayList<>();
    private Supplier<List<SessionRecord>> servers = List::of;

    /** What counts of a server: the rest of its record changes with each heartbeat. */
    private record Known(String uid, SessionRecord.Phase phase) { }

    /**
     * @param writer the thread on which the disk is written
     * @param loop the node's thread
     */
    SessionStorage(Disk disk, DiskWriter writer, Executor loop, PeerCodec codec) {
        this.disk = disk;
        this.writer = writer;
        this.loop = loop;
        this.codec = codec;
    }

    /** Reads what was written last; nothing where the disk holds none. Before the first write, on any thread. */
    List<SessionRecord> read() {
        List<SessionRecord> newest = List.of();
        for (int i = 0; i < SLOTS; i++) {
            PeerMessage.Sessions found = read(i);
            if (found != null && found.id() > sequence) {
                sequence = found.id();
                newest = found.sessions();
            }
        }
        return newest;
    }

    private PeerMessage.Sessions read(int slot) {
        try {
            byte[] bytes = disk.read(slotName(slot));
            if (bytes == null || bytes.length < CHECKSUM_BYTES) {
                return null;
            }
            byte[] message = new byte[bytes.length - CHECKSUM_BYTES];
            System.arraycopy(bytes, CHECKSUM_BYTES, message, 0, message.length);
            boolean whole = ByteBuffer.wrap(bytes).getInt() == checksum(message);
            return whole ? codec.decode(message, PeerMessage.Sessions.class) : null;
        } catch (IOException | PeerCodec.MalformedMessageException e) {
            LOG.log(System.Logger.Level.INFO, "no servers known from " + slotName(slot) + ": " + e.getMessage());
            return null;
        }
    }

    /** @param current tells the servers to keep at the moment of a write */
    void setSource(Supplier<List<SessionRecord>> current) {
        servers = current;
    }

    /** Writes the servers as they are now, unless they are at the phases that were written last. */
    void saveIfChanged() {
        if (!writing && !known(servers.get()).equals(written)) {
            begin();
        }
    }

    /**
     * Writes the servers as they are now.
     *
     * @param kept run once they are on disk; not run where the disk refuses, or too many wait for it
     */
    void save(Runnable kept) {
        if (waiting.size() < MOST_WAITING) {
            waiting.add(kept);
        }
        if (!writing) {
            begin();
        }
    }

    private void begin() {
        writing = true;
        List<Runnable> told = waiting;
        waiting = new ArrayList<>();
        List<SessionRecord> current = servers.get();
        long next = sequence + 1;
        byte[] message = codec.encode(new PeerMessage.Sessions(next, current));
        writer.execute(() -> {
            boolean done = write((int) (next % SLOTS), message);
            loop.execute(() -> ended(done, known(current), told));
        });
    }

    private void ended(boolean done, Set<Known> current, List<Runnable> told) {
        writing = false;
        if (done) {
            sequence++;
            written = current;
            told.forEach(Runnable::run);
        }
        if (!waiting.isEmpty() && !writing) {
            begin();
        }
    }

    private boolean write(int slot, byte[] message) {
        ByteBuffer bytes = ByteBuffer.allocate(CHECKSUM_BYTES + message.length);
        bytes.putInt(checksum(message)).put(message).flip();
        try (Disk.DiskFile file = disk.open(slotName(slot))) {
            file.truncate();
            file.write(0, bytes);
            file.sync();
            disk.syncDirectory();
            return true;
        } catch (IOException e) {
            LOG.log(System.Logger.Level.DEBUG, "the known servers could not be kept", e);
            return false;
        }
    }

    private static Set<Known> known(List<SessionRecord> sessions) {
        return sessions.stream().map(s -> new Known(s.uid(), s.phase())).collect(Collectors.toSet());
    }

    private static int checksum(byte[] bytes) {
        CRC32 crc = new CRC32();
        crc.update(bytes);
        return (int) crc.getValue();
    }

    private static String slotName(int slot) {
        return "sessions-" + slot;
    }
}
