package rowanplank.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * State files in directories of the machine, one each: {@code log}, and {@code lock}, which the writing process keeps
 * locked. A thread of its own writes and syncs, so that a slow disk does not keep the loop from its sockets; all that
 * waits when it is free again is synced at once. At most {@value #MOST_WAITING} writes wait; one more counts as a failure.
 * A file that is closed is given up once the write under way, if there is one, has come back: on a disk that hangs that may
 * be never, and nobody waits for it for longer than a moment.
 */
public final class DirectoryFiles implements StateFile.Files {
    private static final int MOST_WAITING = 10_000;
    private static final int MOST_BYTES = 64 << 20;
    private static final String LOG = "log";
    private static final long CLOSED_WITHIN_MS = 50;

    @Override
    public void create(String directory, byte[] content) throws IOException {
        Path folder = Files.createDirectories(Path.of(directory));
        if (Files.exists(folder.resolve(LOG))) {
            throw new FileAlreadyExistsException(folder.resolve(LOG).toString(), null, "there is one already");
        }
        put(folder, content);
    }

    /** The new file has its name only once it is on disk whole. */
    private static void put(Path folder, byte[] content) throws IOException {
        Path fresh = folder.resolve(LOG + ".new");
        try (FileChannel channel = FileChannel.open(fresh, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            writeAll(channel, content);
            channel.force(true);
        }
        Files.move(fresh, folder.resolve(LOG), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel channel = FileChannel.open(folder)) {
            channel.force(true);
        }
    }

    private static void writeAll(FileChannel channel, byte[] content) throws IOException {
        ByteBuffer left = ByteBuffer.wrap(content);
        while (left.hasRemaining()) {
            channel.write(left);
        }
    }

    @Override
    public StateFile open(String directory, Loop loop, StateFile.Failed failed) throws IOException {
        Path folder = Path.of(directory);
        Path log = folder.resolve(LOG);
        if (!Files.exists(log)) {
            throw new IOException(directory + ": there is no voter's state here; it is made once in a voter's life, and"
                    + " one that has lost it must not come back under its name");
        }
        FileChannel lock = FileChannel.open(folder.resolve("lock"), StandardOpenOption.CREATE,
                StandardOpenOption.WRITE);
        try {
            if (!isOurs(lock)) {
                throw new IOException(directory + " is in use by another process");
            }
            if (Files.size(log) > MOST_BYTES) {
                throw new IOException(log + " holds more than " + MOST_BYTES + " bytes");
            }
            return new Opened(folder, lock, Files.readAllBytes(log), loop, failed);
        } catch (IOException | RuntimeException e) {
            lock.close();
            throw e;
        }
    }

    private static boolean isOurs(FileChannel lock) throws IOException {
        try {
            FileLock taken = lock.tryLock(); // released as the channel closes, at the latest with the process
            return taken != null;
        } catch (OverlappingFileLockException e) {
            return false;
        }
    }

    /** @param whole whether the bytes take the place of all that is there */
    private record Job(byte[] bytes, boolean whole, Runnable synced) { }

    private static final class Opened implements StateFile {
        private final Path folder;
        private final FileChannel lock;
        private final byte[] content;
        private final Loop loop;
        private final Failed failed;
        private final BlockingQueue<Job> jobs = new LinkedBlockingQueue<>(MOST_WAITING);
        private final Thread writer = new Thread(this::write, "state");
        private FileChannel channel;

        Opened(Path folder, FileChannel lock, byte[] content, Loop loop, Failed failed) throws IOException {
            this.folder = folder;
            this.lock = lock;
            this.content = content;
            this.loop = loop;
            this.failed = failed;
            channel = behindAll();
            writer.setDaemon(true);
            writer.start();
        }

        private FileChannel behindAll() throws IOException {
            return FileChannel.open(folder.resolve(LOG), StandardOpenOption.WRITE, StandardOpenOption.APPEND);
        }

        @Override
        public byte[] content() {
            return content.clone();
        }

        @Override
        public void cut(int length) throws IOException {
            channel.truncate(length);
            channel.force(true);
        }

        @Override
        public void append(byte[] bytes, Runnable synced) {
            add(new Job(bytes, false, synced));
        }

        @Override
        public void replace(byte[] bytes, Runnable synced) {
            add(new Job(bytes, true, synced));
        }

        private void add(Job job) {
            if (!jobs.offer(job)) {
                writer.interrupt();
                loop.execute(() -> failed.failed(new IOException(MOST_WAITING + " writes wait")));
            }
        }

        private void write() {
            try {
                List<Job> batch = new ArrayList<>();
                while (true) {
                    batch.clear();
                    batch.add(jobs.take());
                    jobs.drainTo(batch);
                    write(batch);
                    List<Job> done = List.copyOf(batch);
                    loop.execute(() -> done.forEach(j -> j.synced().run()));
                }
            } catch (IOException e) {
                loop.execute(() -> failed.failed(e));
            } catch (InterruptedException e) {
                // closed
            }
            giveUp();
        }

        private void giveUp() {
            try (lock) {
                channel.close();
            } catch (IOException e) {
                // all that anyone was told of is synced
            }
        }

        private void write(List<Job> batch) throws IOException {
            boolean dirty = false;
            for (Job j : batch) {
                if (j.whole()) {
                    channel.close();
                    put(folder, j.bytes());
                    channel = behindAll();
                } else {
                    writeAll(channel, j.bytes());
                }
                dirty = !j.whole();
            }
            if (dirty) {
                channel.force(false);
            }
        }

        /** Guards the loop: a node whose disk hangs steps aside, and serves on. */
        @Override
        public void close() {
            writer.interrupt();
            try {
                writer.join(CLOSED_WITHIN_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
