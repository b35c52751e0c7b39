package rowanplank.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

class DirectoryFilesTest {
    /** Guards memory: a log beyond its bound is refused with one line, and not read; it is nobody's while it is. */
    @Test
    void aLogBeyondItsBoundIsRefused(@TempDir Path folder) throws Exception {
        DirectoryFiles files = new DirectoryFiles();
        files.create(folder.toString(), new byte[10]);
        try (RandomAccessFile log = new RandomAccessFile(folder.resolve("log").toFile(), "rw")) {
            log.setLength((64 << 20) + 1);
        }
        for (int i = 0; i < 2; i++) {
            String told = assertThrows(IOException.class, () -> files.open(folder.toString(), null, e -> { })).getMessage();
            assertTrue(told.endsWith("holds more than 67108864 bytes"), told);
        }
    }

    /** Guards a node's requests, and its end, where a disk hangs: nobody waits for it; and until it is back nobody else has it. */
    @Test
    @Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aDiskThatHangsHoldsUpNobody(@TempDir Path folder) throws Exception {
        DirectoryFiles files = new DirectoryFiles();
        files.create(folder.toString(), new byte[10]);
        StateFile file = files.open(folder.toString(), new StandingLoop(), e -> { });
        Path fresh = folder.resolve("log.new");
        assertEquals(0, new ProcessBuilder("mkfifo", fresh.toString()).start().waitFor());
        file.replace(new byte[5], () -> { }); // it opens the pipe, and waits for somebody who reads there
        file.close();
        String told = assertThrows(IOException.class, () -> files.open(folder.toString(), null, e -> { })).getMessage();
        assertTrue(told.endsWith("is in use by another process"), told);
        try (FileChannel reader = FileChannel.open(fresh)) { // from here on the disk is back
            assertTrue(reader.isOpen());
            StateFile again = null;
            while (again == null) {
                try {
                    again = files.open(folder.toString(), new StandingLoop(), e -> { });
                } catch (IOException e) {
                    Thread.sleep(5);
                }
            }
            again.close();
        }
    }
}
