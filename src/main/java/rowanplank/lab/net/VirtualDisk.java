package rowanplank.lab.net;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import rowanplank.net.Loop;
import rowanplank.net.StateFile;

/**
 * A node's disk in virtual time: what is not synced when its process is killed is lost, or there in part. A kill between
 * a write and the telling of it leaves it there, told of to nobody.
 */
public final class VirtualDisk implements StateFile.Files {
    private static final int FASTEST_MICROS = 50;
    private static final int SLOWEST_MICROS = 4000;

    private record Job(byte[] bytes, boolean whole) { }

    private final UniformRandomProvider chance;
    private byte[] content;
    private List<Job> unsynced = new ArrayList<>();
    /** Everything takes so much longer, while the disk is slow. */
    private Duration slower = Duration.ZERO;
    private boolean full;

    public VirtualDisk(UniformRandomProvider chance, byte[] content) {
        this.chance = chance;
        this.content = content;
    }

    public void slower(Duration by) {
        slower = by;
    }

    public void full(boolean now) {
        full = now;
    }

    public byte[] content() {
        return content == null ? null : content.clone();
    }

    public void put(byte[] bytes) {
        content = bytes;
    }

    public void lose() {
        content = null;
    }

    /** Its process was killed: of what was being written a part may be there. */
    public void killed() {
        List<Job> left = unsynced;
        unsynced = new ArrayList<>();
        for (Job j : left) {
            if (j.whole()) {
                if (chance.nextBoolean()) {
                    content = j.bytes();
                    continue;
                }
                return;
            }
            int part = chance.nextInt(j.bytes().length + 1);
            append(Arrays.copyOf(j.bytes(), part));
            if (part < j.bytes().length) {
                return;
            }
        }
    }

    private void append(byte[] bytes) {
        ByteArrayOutputStream all = new ByteArrayOutputStream(content.length + bytes.length);
        all.writeBytes(content);
        all.writeBytes(bytes);
        content = all.toByteArray();
    }

    @Override
    public void create(String directory, byte[] bytes) throws IOException {
        content = bytes;
    }

    @Override
    public StateFile open(String directory, Loop loop, StateFile.Failed failed) throws IOException {
        if (content == null) {
            throw new NoSuchFileException(directory);
        }
        List<Job> own = unsynced;
        return new StateFile() {
            private boolean closed;
            private long busyMicros;

            @Override
            public byte[] content() {
                return content.clone();
            }

            @Override
            public void cut(int length) {
                content = Arrays.copyOf(content, length);
            }

            @Override
            public void append(byte[] bytes, Runnable synced) {
                add(new Job(bytes, false), synced);
            }

            @Override
            public void replace(byte[] bytes, Runnable synced) {
                add(new Job(bytes, true), synced);
            }

            private void add(Job job, Runnable synced) {
                if (closed) {
                    return;
                }
                if (full) {
                    closed = true;
                    loop.execute(() -> failed.failed(new IOException("No space left on device")));
                    return;
                }
                own.add(job);
                // Of one file, what was asked for first is there first.
                busyMicros = Math.max(0, busyMicros) + FASTEST_MICROS + chance.nextInt(SLOWEST_MICROS);
                Duration takes = slower.plusNanos(busyMicros * 1000);
                loop.schedule(takes, () -> {
                    busyMicros = own.size() <= 1 ? 0 : busyMicros;
                    if (!closed && own == unsynced) {
                        done(job);
                        synced.run();
                    }
                });
            }

            /** All up to this one: one that was asked for later may have been quicker. */
            private void done(Job job) {
                while (own.contains(job)) {
                    Job first = own.remove(0);
                    if (first.whole()) {
                        content = first.bytes();
                    } else {
                        VirtualDisk.this.append(first.bytes());
                    }
                }
            }

            @Override
            public void close() {
                closed = true;
            }
        };
    }
}
