package routerfleet.control;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A directory that holds a replica's files: a real one ({@link DirectoryDisk}) or a simulated one. */
interface Disk {
    /** All bytes of a file; null if it does not exist. */
    byte[] read(String name) throws IOException;

    /** Opens a file for writing and creates it if it does not exist. */
    DiskFile open(String name) throws IOException;

    /** Syncs the directory, so that its entries survive a power loss. */
    void syncDirectory() throws IOException;

    /** A file open for writing. */
    interface DiskFile extends Closeable {
        /** Writes all remaining bytes at a position within the file or at its end. */
        void write(long position, ByteBuffer bytes) throws IOException;

        /** Truncates the file to zero bytes. */
        void truncate() throws IOException;

        /** Syncs the file, so that its content survives a power loss. */
        void sync() throws IOException;
    }
}
