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
 * A disk in virtual time. What a process has written outlives it; a loss of power keeps what was synced, and of each later
 * write and each later entry of the folder all, nothing or a part. It may be full, slow, or hang; and the power may be set
 * to fail at one of its operations.
 */
final class SimulatedDisk implements Disk {
    /** A file's synced bytes, and what was done to it since. */
    private static final class Content {
        private byte[] synced = new byte[0];
        private byte[] current = new byte[0];
        private final List<Change> changes = new ArrayList<>();
    }

    /** A write, or a clearing where there are no bytes. */
    private record Change(int position, byte[] bytes) { }

    private final Random random;
    private final Map<String, Content> files = new TreeMap<>();
    private final Map<String, Content> entered = new TreeMap<>();
    private boolean full;
    private int powerFailsAfter = -1;
    private int snapshotFailsAfter = -1;
    /** Planted fault: a sync tells that it is done and does nothing. */
    private final boolean syncsNothing;
    /** Planted fault: the folder is never synced. */
    private final boolean forgetsFolder;

    SimulatedDisk(Random random, boolean syncsNothing, boolean forgetsFolder) {
        this.random = random;
        this.syncsNothing = syncsNothing;
        this.forgetsFolder = forgetsFolder;
    }

    void setFull(boolean isFull) {
        full = isFull;
    }

    /** Sets the power to fail at the operation after so many. */
    void failPowerAfter(int operations) {
        powerFailsAfter = operations;
    }

    /** Sets the power to fail so many operations after the next snapshot's slot is cleared; negative for never. */
    void failPowerInSnapshotAfter(int operations) {
        snapshotFailsAfter = operations;
    }

    /** The power has failed: what was not synced is there, gone or torn. */
    void losePower() {
        powerFailsAfter = -1;
        snapshotFailsAfter = -1;
        Map<String, Content> after = new TreeMap<>(entered);
        files.forEach((name, content) -> {
            if (random.nextBoolean()) {
                after.put(name, content);
            }
        });
        files.clear();
        files.putAll(after);
        entered.clear();
        entered.putAll(after);
        boolean allGone = random.nextInt(4) == 0;
        files.values().forEach(content -> tear(content, allGone));
    }

    private void tear(Content content, boolean allGone) {
        byte[] bytes = content.synced;
        for (Change change : content.changes) {
            int lot = allGone ? 0 : random.nextInt(3);
            if (lot == 1 && change.bytes().length > 0) {
                bytes = applied(bytes, new Change(change.position(),
                        Arrays.copyOf(change.bytes(), random.nextInt(change.bytes().length))));
            } else if (lot == 2) {
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

    private void operate(boolean needsRoom) throws IOException {
        if (powerFailsAfter >= 0 && powerFailsAfter-- == 0) {
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
            operate(true);
            files.put(name, new Content());
        }
        return new OpenFile(files.get(name), name.startsWith("slot-"));
    }

    @Override
    public void syncDirectory() throws IOException {
        operate(false);
        if (!forgetsFolder) {
            entered.clear();
            entered.putAll(files);
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
            operate(true);
            byte[] copy = new byte[bytes.remaining()];
            bytes.get(copy);
            change(new Change((int) position, copy));
        }

        @Override
        public void truncate() throws IOException {
            operate(false);
            change(new Change(0, new byte[0]));
            if (isSlot && snapshotFailsAfter >= 0) {
                powerFailsAfter = snapshotFailsAfter;
            }
        }

        private void change(Change change) {
            content.changes.add(change);
            content.current = applied(content.current, change);
        }

        @Override
        public void sync() throws IOException {
            operate(false);
            if (!syncsNothing) {
                content.synced = content.current;
                content.changes.clear();
            }
        }

        @Override
        public void close() {
            // nothing to give back
        }
    }

    /** The thread that writes to this disk, for one life of a process. */
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

        /** Each write takes so long. */
        void setLatencyMs(long changed) {
            latencyMs = changed;
        }

        /** Answers nothing, or goes on. */
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
