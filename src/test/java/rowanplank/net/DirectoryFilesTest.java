package rowanplank.net;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
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
}
