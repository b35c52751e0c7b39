package routerfleet.control;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import java.util.zip.CRC32;
import routerfleet.log.Loggers;
import routerfleet.wire.PeerCodec;
import routerfleet.wire.PeerMessage;
import routerfleet.wire.SessionRecord;

/**
 * Stores the sessions that a control node knows on its disk, for the first moments after all machines were lost: those of
 * ready servers, and of servers that drain or have ended. That a server is ready is only a hint. That one drains or has
 * ended stays true, since a uid stands for one incarnation of a server, and is acknowledged only once it is on enough
 * disks. Two files are written in turn, so that an interrupted write leaves the previous one intact.
 *
 * <p>A file holds a CRC-32 of four bytes and a {@link PeerMessage.Sessions} whose id counts the writes. Limits: as many
 * sessions as {@link SessionTable} holds, and {@value #MAX_WAITING} callers that wait for a write. For the node's thread,
 * except for {@link #read}.
 */
class SessionStorage {
    private static final System.Logger LOG = Loggers.get("routerfleet.control.storage");
    private static final int SLOTS = 2;
    private static final int CHECKSUM_BYTES = 4;
    private static final int MAX_WAITING = 4_096;

    private final Disk disk;
    private final DiskWriter writer;
    private final Executor eventLoop;
    private final PeerCodec codec;
    /** Number of the last write that succeeded. A failed one is repeated in the same slot; the other slot stays valid. */
    private long sequence;
    private Map<String, SessionRecord.Phase> written = Map.of();
    private boolean writing;
    private List<Runnable> callbacks = new ArrayList<>();
    private Supplier<List<SessionRecord>> currentSessions = List::of;

    /**
     * @param writer the thread that writes the disk
     * @param eventLoop the node's thread
     */
    SessionStorage(Disk disk, DiskWriter writer, Executor eventLoop, PeerCodec codec) {
        this.disk = disk;
        this.writer = writer;
        this.eventLoop = eventLoop;
        this.codec = codec;
    }

    /**
     * Reads the sessions that were written last; none if the disk holds none. To be called before the first write, on any
     * thread.
     */
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
            boolean valid = ByteBuffer.wrap(bytes).getInt() == checksum(message);
            return valid ? codec.decode(message, PeerMessage.Sessions.class) : null;
        } catch (IOException | PeerCodec.MalformedMessageException e) {
            LOG.log(System.Logger.Level.INFO, "no servers known from " + slotName(slot) + ": " + e.getMessage());
            return null;
        }
    }

    /** @param current supplies the sessions to write at the moment of a write */
    void setSource(Supplier<List<SessionRecord>> current) {
        currentSessions = current;
    }

    /** Starts a write of the current sessions, unless their phases are those that were written last. */
    void saveIfChanged() {
        if (!writing && !phasesOf(currentSessions.get()).equals(written)) {
            startWrite();
        }
    }

    /**
     * Writes the current sessions.
     *
     * @param onSaved run once they are on disk; not run if the write fails or too many callers wait
     */
    void save(Runnable onSaved) {
        if (callbacks.size() < MAX_WAITING) {
            callbacks.add(onSaved);
        }
        if (!writing) {
            startWrite();
        }
    }

    private void startWrite() {
        writing = true;
        List<Runnable> notified = callbacks;
        callbacks = new ArrayList<>();
        List<SessionRecord> current = currentSessions.get();
        long next = sequence + 1;
        byte[] message = codec.encode(new PeerMessage.Sessions(next, current));
        writer.execute(() -> {
            boolean succeeded = write((int) (next % SLOTS), message);
            eventLoop.execute(() -> writeFinished(succeeded, phasesOf(current), notified));
        });
    }

    private void writeFinished(boolean succeeded, Map<String, SessionRecord.Phase> current, List<Runnable> notified) {
        writing = false;
        if (succeeded) {
            sequence++;
            written = current;
            notified.forEach(Runnable::run);
        }
        if (!callbacks.isEmpty() && !writing) {
            startWrite();
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
            LOG.log(System.Logger.Level.DEBUG, "the known sessions could not be stored", e);
            return false;
        }
    }

    private static Map<String, SessionRecord.Phase> phasesOf(List<SessionRecord> sessions) {
        Map<String, SessionRecord.Phase> phases = new HashMap<>();
        sessions.forEach(session -> phases.put(session.uid(), session.phase()));
        return phases;
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
