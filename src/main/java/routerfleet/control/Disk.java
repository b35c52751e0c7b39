package routerfleet.control;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A folder on a disk as a replica uses it: a real one ({@link DirectoryDisk}), or a simulated one. */
interface Disk {
    /** All bytes of a file; null where there is none. */
    byte[] read(String name) throws IOException;

    /** Opens a file for writing, and makes it where there is none. */
    DiskFile open(String name) throws IOException;

    /** Makes the folder's entries outlive a loss of power. */
    void syncDirectory() throws IOException;

    /** An open file. */
    interface DiskFile extends Closeable {
        /** Writes at a place, in the file or right behind it. */
        void write(long position, ByteBuffer bytes) throws IOException;

        /** Makes it empty. */
        void truncate() throws IOException;

        /** Makes what was written outlive a loss of power. */
        void sync() throws IOException;
    }
}
