package routerfleet.control;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** A directory in the machine's file system. */
final class DirectoryDisk implements Disk {
    /** Syncs a directory, so that its entries survive a power loss. */
    interface DirectorySync {
        /** @throws IOException if the sync fails */
        void sync(Path directory) throws IOException;
    }

    private final Path directory;
    private final DirectorySync directorySync;

    /** @param directory created if it does not exist */
    DirectoryDisk(Path directory) {
        this(directory, DirectoryDisk::sync);
    }

    DirectoryDisk(Path directory, DirectorySync directorySync) {
        this.directory = directory;
        this.directorySync = directorySync;
    }

    @Override
    public byte[] read(String name) throws IOException {
        Files.createDirectories(directory);
        Path file = directory.resolve(name);
        return Files.exists(file) ? Files.readAllBytes(file) : null;
    }

    @Override
    public DiskFile open(String name) throws IOException {
        return new ChannelFile(FileChannel.open(directory.resolve(name), StandardOpenOption.CREATE,
                StandardOpenOption.WRITE));
    }

    @Override
    public void syncDirectory() throws IOException {
        directorySync.sync(directory);
    }

    private static void sync(Path directory) throws IOException {
        try (FileChannel channel = FileChannel.open(directory)) {
            channel.force(true);
        }
    }

    private record ChannelFile(FileChannel channel) implements DiskFile {
        @Override
        public void write(long position, ByteBuffer bytes) throws IOException {
            long offset = position;
            while (bytes.hasRemaining()) {
                offset += channel.write(bytes, offset);
            }
        }

        @Override
        public void truncate() throws IOException {
            channel.truncate(0);
        }

        @Override
        public void sync() throws IOException {
            channel.force(true);
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
