package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: one line an event, with the milliseconds since the run began. */
final class Record implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    long ms() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void add(String line) {
        out.printf("%7d ms  %s%n", ms(), line);
        out.flush();
    }

    /** A line that is also printed. */
    void say(String line) {
        add(line);
        System.out.println(line);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
