package rowanplank.lab.trial;

import java.io.BufferedReader;
import java.io.FileInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;

/**
 * The thing that tasks act on: a named pipe. A command writes one line as it begins and one as it ends, each in one
 * write, so that the order in the pipe is the order in which it was done.
 */
final class Recorder {
    private final Path pipe;
    private final RandomAccessFile opened;

    /** @param line told each line, on a thread of its own, as it is read */
    Recorder(Path folder, Consumer<String> line) throws IOException, InterruptedException {
        pipe = folder.resolve("recorder.pipe");
        if (new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor() != 0) {
            throw new IOException("no pipe can be made at " + pipe);
        }
        opened = new RandomAccessFile(pipe.toFile(), "rw"); // also for writing: so it never ends between two writers
        Thread reader = new Thread(() -> read(line), "recorder");
        reader.setDaemon(true);
        reader.start();
    }

    private void read(Consumer<String> line) {
        try {
            BufferedReader in = new BufferedReader(new InputStreamReader(new FileInputStream(opened.getFD()),
                    StandardCharsets.UTF_8));
            for (String next; (next = in.readLine()) != null;) {
                line.accept(next);
            }
        } catch (IOException e) {
            // closed: the trial is over
        }
    }

    /**
     * What a task or a worker runs to act on it: when it is asked to end it says so and ends. It opens the pipe once, and only
     * where there is one: a redirection to a pipe that was removed would leave a plain file in its place.
     *
     * @param takes how many seconds it takes, as the shell reads it
     */
    List<String> command(String takes) {
        String tell = "echo \"$1 ${FLEET_LEASE:-$FLEET_BUDGET} ${FLEET_FENCE:-$FLEET_EPOCH} $FLEET_NODE $$ ${FLEET_PERIOD:--}\" >&3";
        String open = "[ -p '" + pipe + "' ] || exit 0; exec 3> '" + pipe + "'; ";
        return List.of("sh", "-c", open + "tell() { " + tell + "; }; trap 'tell end; exit 0' TERM; tell begin; sleep " + takes
                + " & wait $!; tell end");
    }

    void close() throws IOException {
        opened.close();
    }
}
