package routerfleet.control;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import routerfleet.simulation.VirtualProcess;
import routerfleet.simulation.VirtualWorld;

/**
 * A disk in virtual time. Writes survive the process that made them. A power loss keeps synced data; each later write
 * survives completely, partly or not at all, and each later directory entry survives or not. The disk may be full, slow or
 * hanging, and power can be set to fail at a certain operation.
 */
final class SimulatedDisk implements Disk {
    /** A file's synced bytes, its current bytes, and the changes since the last sync. */
    private static final class Content {
        private byte[] synced = new byte[0];
        private byte[] current = new byte[0];
        private final List<Change> changes = new ArrayList<>();
    }

    /** A write; without bytes, a truncation. */
    private record Change(int position, byte[] bytes) { }

    private final Random random;
    private final Map<String, Content> files = new TreeMap<>();
    private final Map<String, Content> syncedEntries = new TreeMap<>();
    private boolean full;
    private int operationsUntilPowerLoss = -1;
    private int snapshotOperationsUntilPowerLoss = -1;
    /** Injected fault: a file sync reports success and does nothing. */
    private final boolean syncDoesNothing;
    /** Injected fault: a directory sync reports success and does nothing. */
    private final boolean directorySyncDoesNothing;

    SimulatedDisk(Random random, boolean syncDoesNothing, boolean directorySyncDoesNothing) {
        this.random = random;
        this.syncDoesNothing = syncDoesNothing;
        this.directorySyncDoesNothing = directorySyncDoesNothing;
    }

    void setFull(boolean isFull) {
        full = isFull;
    }

    /** Makes power fail at an operation. @param operations how many succeed before; negative for never */
    void failPowerAfter(int operations) {
        operationsUntilPowerLoss = operations;
    }

    /**
     * Makes power fail during the next snapshot.
     *
     * @param operations how many succeed after the truncation; negative for never
     */
    void failPowerInSnapshotAfter(int operations) {
        snapshotOperationsUntilPowerLoss = operations;
    }

    /** Simulates a power loss: unsynced changes are kept, lost or torn at random. */
    void losePower() {
        operationsUntilPowerLoss = -1;
        snapshotOperationsUntilPowerLoss = -1;
        Map<String, Content> after = new TreeMap<>(syncedEntries);
        files.forEach((name, content) -> {
            if (random.nextBoolean()) {
                after.put(name, content);
            }
        });
        files.clear();
        files.putAll(after);
        syncedEntries.clear();
        syncedEntries.putAll(after);
        boolean allLost = random.nextInt(4) == 0;
        files.values().forEach(content -> tear(content, allLost));
    }

    private void tear(Content content, boolean allLost) {
        byte[] bytes = content.synced;
        for (Change change : content.changes) {
            int choice = allLost ? 0 : random.nextInt(3);
            if (choice == 1 && change.bytes().length > 0) {
                bytes = applied(bytes, new Change(change.position(),
                        Arrays.copyOf(change.bytes(), random.nextInt(change.bytes().length))));
            } else if (choice == 2) {
                bytes = applied(bytes, change);
            }
        }
        content.synced = bytes;
        content.current = bytes;
        content.changes.clear();
    }

    private static byte[] applied(byte[] before, Change change) {
        if (change.bytes().length == 0) {
            return new byte[0];
        }
        byte[] after = Arrays.copyOf(before, Math.max(before.length, change.position() + change.bytes().length));
        System.arraycopy(change.bytes(), 0, after, change.position(), change.bytes().length);
        return after;
    }

    private void checkOperation(boolean needsRoom) throws IOException {
        if (operationsUntilPowerLoss >= 0 && operationsUntilPowerLoss-- == 0) {
            throw new VirtualProcess.PowerLossException();
        }
        if (full && needsRoom) {
            throw new IOException("no space left on device");
        }
    }

    @Override
    public byte[] read(String name) {
        Content content = files.get(name);
        return content == null ? null : content.current.clone();
    }

    @Override
    public DiskFile open(String name) throws IOException {
        if (!files.containsKey(name)) {
            checkOperation(true);
            files.put(name, new Content());
        }
        return new OpenFile(files.get(name), name.startsWith("slot-"));
    }

    @Override
    public void syncDirectory() throws IOException {
        checkOperation(false);
        if (!directorySyncDoesNothing) {
            syncedEntries.clear();
            syncedEntries.putAll(files);
        }
    }

    private final class OpenFile implements DiskFile {
        private final Content content;
        private final boolean isSlot;

        OpenFile(Content content, boolean isSlot) {
            this.content = content;
            this.isSlot = isSlot;
        }

        @Override
        public void write(long position, ByteBuffer bytes) throws IOException {
            checkOperation(true);
            byte[] copy = new byte[bytes.remaining()];
            bytes.get(copy);
            change(new Change((int) position, copy));
        }

        @Override
        public void truncate() throws IOException {
            checkOperation(false);
            change(new Change(0, new byte[0]));
            if (isSlot && snapshotOperationsUntilPowerLoss >= 0) {
                operationsUntilPowerLoss = snapshotOperationsUntilPowerLoss;
            }
        }

        private void change(Change change) {
            content.changes.add(change);
            content.current = applied(content.current, change);
        }

        @Override
        public void sync() throws IOException {
            checkOperation(false);
            if (!syncDoesNothing) {
                content.synced = content.current;
                content.changes.clear();
            }
        }

        @Override
        public void close() {
            // no resources to release
        }
    }

    /** The disk writer thread of one process. */
    static final class Writer implements DiskWriter {
        private final VirtualWorld world;
        private final VirtualProcess process;
        private final Deque<Runnable> waiting = new ArrayDeque<>();
        private long latencyMs = 2;
        private boolean hanging;
        private boolean busy;

        Writer(VirtualWorld world, VirtualProcess process) {
            this.world = world;
            this.process = process;
        }

        /** Sets the duration of each write. */
        void setLatencyMs(long changed) {
            latencyMs = changed;
        }

        /** Makes the disk hang, or resumes it. */
        void setHanging(boolean hangs) {
            hanging = hangs;
            next();
        }

        private void next() {
            if (!busy && !hanging && !waiting.isEmpty()) {
                busy = true;
                process.schedule(this::runFirst, latencyMs, java.util.concurrent.TimeUnit.MILLISECONDS);
            }
        }

        private void runFirst() {
            busy = false;
            if (hanging) {
                return;
            }
            Runnable task = waiting.poll();
            if (task != null) {
                task.run();
            }
            next();
        }

        @Override
        public void execute(Runnable task) {
            waiting.add(task);
            next();
        }

        @Override
        public void executeAfter(long delayMs, Runnable task) {
            process.schedule(() -> execute(task), delayMs, java.util.concurrent.TimeUnit.MILLISECONDS);
        }

        @Override
        public long monotonicMs() {
            return world.nowMs();
        }

        @Override
        public void close() {
            waiting.clear();
        }
    }
}
