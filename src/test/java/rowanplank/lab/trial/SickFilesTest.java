package rowanplank.lab.trial;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rowanplank.net.Loop;
import rowanplank.net.PassingLoop;
import rowanplank.net.StateFile;

/** The stand-in for a slow disk. */
class SickFilesTest {
    /** What is written, in the order in which it reached the machine's disk. */
    private static final class Disk implements StateFile.Files {
        private final List<Byte> written = new ArrayList<>();

        @Override
        public void create(String directory, byte[] content) { }

        @Override
        public StateFile open(String directory, Loop loop, StateFile.Failed failed) {
            return new StateFile() {
                @Override
                public byte[] content() {
                    return new byte[0];
                }

                @Override
                public void cut(int length) { }

                @Override
                public void append(byte[] bytes, Runnable synced) {
                    written.add(bytes[0]);
                    synced.run();
                }

                @Override
                public void replace(byte[] bytes, Runnable synced) {
                    append(bytes, synced);
                }

                @Override
                public void close() { }
            };
        }
    }

    @TempDir
    Path folder;

    /** Guards a trial's end: all is well then, so no write may wait any longer. Before, each waited its second. */
    @Test
    void whatWaitsGoesInItsOrderOnceTheDiskIsWell() throws IOException {
        PassingLoop loop = new PassingLoop();
        Disk disk = new Disk();
        StateFile file = new SickFiles(disk).open(folder.toString(), loop, e -> { });
        Files.writeString(folder.resolve(SickFiles.NAME), "slow 1000");
        for (byte i = 1; i <= 5; i++) {
            file.append(new byte[] {i}, () -> { });
        }
        loop.pass(Duration.ofMillis(990));
        assertEquals(List.of(), disk.written);
        loop.pass(Duration.ofMillis(500));
        assertEquals(List.of((byte) 1), disk.written);
        Files.delete(folder.resolve(SickFiles.NAME));
        file.append(new byte[] {6}, () -> { });
        loop.pass(Duration.ofMillis(20));
        assertEquals(List.of((byte) 1, (byte) 2, (byte) 3, (byte) 4, (byte) 5, (byte) 6), disk.written);
    }
}
