package rowanplank.net;

import java.io.Closeable;
import java.io.IOException;

/**
 * The seam to a file that holds what must outlive the process: one writer, in whose name it is locked, and writes that
 * are told of only once they are synced. Used on the loop's thread, and calls back on it, never within the call.
 */
public interface StateFile extends Closeable {
    /** Where such files are. */
    interface Files {
        /**
         * @param failed told once, when something could not be written: nothing after that is
         * @throws IOException if there is none, another process has it, or it can't be read
         */
        StateFile open(String directory, Loop loop, Failed failed) throws IOException;

        /** Makes a new one, synced. @throws IOException if there is one already, or it can't be written */
        void create(String directory, byte[] content) throws IOException;
    }

    /** Who is told that the disk failed. */
    interface Failed {
        void failed(IOException cause);
    }

    /** What it held when it was opened. */
    byte[] content();

    /** Keeps so many of its first bytes; to be called before anything is written. */
    void cut(int length) throws IOException;

    /** Writes behind what is there. @param synced run once it is on disk, and all that was asked for before it */
    void append(byte[] bytes, Runnable synced);

    /** Puts this in place of all that is there: whatever happens, one of the two is found whole. */
    void replace(byte[] bytes, Runnable synced);

    @Override
    void close();
}
