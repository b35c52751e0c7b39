package rowanplank.lab.net;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.NoSuchFileException;
import java.util.LinkedHashMap;
import java.util.Map;
import rowanplank.net.FileAccess;

/** The files of a machine. They outlive its processes. */
public final class SimFiles implements FileAccess {
    private final Map<String, String> texts = new LinkedHashMap<>();

    /** Writes a file, in place of what was there. */
    public void put(String file, String text) {
        texts.put(file, text);
    }

    public void remove(String file) {
        texts.remove(file);
    }

    @Override
    public String read(String file, int mostBytes) throws IOException {
        String text = texts.get(file);
        if (text == null) {
            throw new NoSuchFileException(file);
        }
        if (text.getBytes(StandardCharsets.UTF_8).length > mostBytes) {
            throw new IOException("holds more than " + mostBytes + " bytes");
        }
        return text;
    }
}
