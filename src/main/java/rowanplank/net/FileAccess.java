package rowanplank.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The seam to files. */
public interface FileAccess {
    /** The machine's own files. */
    FileAccess SYSTEM = (file, mostBytes) -> {
        Path path = Path.of(file);
        if (Files.size(path) > mostBytes) {
            throw new IOException("holds more than " + mostBytes + " bytes");
        }
        return Files.readString(path);
    };

    /** @throws IOException if there is no such file, it is no UTF-8 text, or it holds more than so many bytes */
    String read(String file, int mostBytes) throws IOException;
}
