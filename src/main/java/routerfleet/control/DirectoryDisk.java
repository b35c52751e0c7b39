package routerfleet.control;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** A folder of the machine's own disk. */
final class DirectoryDisk implements Disk {
    /** Makes the entries of a folder outlive a loss of power. */
    interface DirectorySync {
        /** @throws IOException if the disk refuses it */
        void sync(Path folder) throws IOException;
    }

    private final Path folder;
    private final DirectorySync folderSync;

    /** @param folder made where there is none */
    DirectoryDisk(Path folder) {
        this(folder, DirectoryDisk::sync);
    }

    DirectoryDisk(Path folder, DirectorySync folderSync) {
        this.folder = folder;
        this.folderSync = folderSync;
    }

    @Override
    public byte[] read(String name) throws IOException {
        Files.createDirectories(folder);
        Path file = folder.resolve(name);
        return Files.exists(file) ? Files.readAllBytes(file) : null;
    }

    @Override
    public DiskFile open(String name) throws IOException {
        return new ChannelFile(FileChannel.open(folder.resolve(name), StandardOpenOption.CREATE,
                StandardOpenOption.WRITE));
    }

    @Override
    public void syncDirectory() throws IOException {
        folderSync.sync(folder);
    }

    private static void sync(Path folder) throws IOException {
        try (FileChannel directory = FileChannel.open(folder)) {
            directory.force(true);
        }
    }

    private record ChannelFile(FileChannel channel) implements DiskFile {
        @Override
        public void write(long position, ByteBuffer bytes) throws IOException {
            long at = position;
            while (bytes.hasRemaining()) {
                at += channel.write(bytes, at);
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
