package rowanplank.lab.trial;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import rowanplank.net.Loop;
import rowanplank.net.StateFile;

/**
 * Stands in for a disk that is slow or full, between a real node and the machine's: a file beside the state says which,
 * {@code slow 200} for 200 ms more at each write, {@code full} for no room. Without that file it does nothing, and what
 * waits goes at once.
 */
public record SickFiles(StateFile.Files machine) implements StateFile.Files {
    static final String NAME = "sick";
    /** While writes wait, it looks so often whether the disk is well again. */
    private static final Duration LOOK = Duration.ofMillis(10);

    @Override
    public void create(String directory, byte[] content) throws IOException {
        machine.create(directory, content);
    }

    @Override
    public StateFile open(String directory, Loop loop, StateFile.Failed failed) throws IOException {
        return new Sick(machine.open(directory, loop, failed), Path.of(directory, NAME), loop, failed);
    }

    private record Write(Instant due, Runnable job) { }

    private static final class Sick implements StateFile {
        private final StateFile file;
        private final Path word;
        private final Loop loop;
        private final Failed failed;
        private final Deque<Write> waiting = new ArrayDeque<>();
        private boolean over;

        Sick(StateFile file, Path word, Loop loop, Failed failed) {
            this.file = file;
            this.word = word;
            this.loop = loop;
            this.failed = failed;
        }

        @Override
        public byte[] content() {
            return file.content();
        }

        @Override
        public void cut(int length) throws IOException {
            file.cut(length);
        }

        @Override
        public void append(byte[] bytes, Runnable synced) {
            write(() -> file.append(bytes, synced));
        }

        @Override
        public void replace(byte[] bytes, Runnable synced) {
            write(() -> file.replace(bytes, synced));
        }

        /** In the order of asking, whatever the disk does meanwhile. */
        private void write(Runnable job) {
            String how = how();
            if (over || how.equals("full")) {
                if (!over) {
                    loop.execute(() -> failed.failed(new IOException("No space left on device")));
                }
                over = true;
                return;
            }
            Instant now = loop.clock().now();
            Duration more = how.startsWith("slow ") ? Duration.ofMillis(Long.parseLong(how.substring(5))) : Duration.ZERO;
            if (waiting.isEmpty() && more.isZero()) {
                job.run();
                return;
            }
            waiting.add(new Write((waiting.isEmpty() ? now : waiting.getLast().due()).plus(more), job));
            if (waiting.size() == 1) {
                loop.schedule(LOOK, this::look);
            }
        }

        /**
         * One line, which guards against a write that goes past another; and a line that ends with the sickness, which
         * guards the trial's end: many writes of a second each would take longer than that.
         */
        private void look() {
            Instant now = loop.clock().now();
            while (!over && !waiting.isEmpty() && (!waiting.peek().due().isAfter(now) || !how().startsWith("slow "))) {
                waiting.poll().job().run();
            }
            if (!over && !waiting.isEmpty()) {
                loop.schedule(LOOK, this::look);
            }
        }

        private String how() {
            try {
                return java.nio.file.Files.exists(word) ? java.nio.file.Files.readString(word).trim() : "";
            } catch (IOException e) {
                return ""; // it was taken away in between
            }
        }

        @Override
        public void close() {
            over = true;
            file.close();
        }
    }
}
