package rowanplank.lab.trace;

import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import rowanplank.lab.trace.Event.Kind;

/**
 * Writes a trace to a file, as {@link TraceFile} says. Holds one frame at most.
 *
 * <p>A disk that is full must not end the day that is told of: after a failure nothing more is written, and
 * {@link #close} says what it was.
 */
public final class TraceWriter implements Trace, Closeable {
    private final OutputStream out;
    private final byte[] frame = new byte[TraceFile.LONGEST_FRAME];
    private final Map<String, Integer> texts = new LinkedHashMap<>();
    private int size;
    private long at;
    private long request;
    private long events;
    private long checksum = TraceFile.VERSION;
    private IOException failure;

    TraceWriter(Path file) throws IOException {
        this(Files.newOutputStream(file));
    }

    TraceWriter(OutputStream out) throws IOException {
        this.out = out;
        try {
            out.write(TraceFile.magic());
            out.write(TraceFile.VERSION);
            begin(TraceFile.NAMES);
            number(Kind.values().length);
            for (Kind kind : Kind.values()) {
                characters(kind.name());
            }
            writeFrame();
            begin(TraceFile.EVENTS);
        } catch (IOException e) {
            out.close();
            throw e;
        }
    }

    @Override
    public void tell(Event event) {
        if (failure != null) {
            return;
        }
        event(event);
        events++;
        if (size >= TraceFile.FULL_FRAME) {
            flush();
        }
    }

    /** How many events were told to it; those after a failure are not counted. */
    public long events() {
        return events;
    }

    /** Writes what it still holds, and the end. @throws IOException if this or an earlier write failed */
    @Override
    public void close() throws IOException {
        try (out) {
            flush();
            if (failure != null) {
                throw failure;
            }
            begin(TraceFile.END);
            number(events);
            writeFrame();
        }
    }

    private void begin(int tag) {
        size = 0;
        at = 0;
        request = 0;
        texts.clear();
        number(tag);
    }

    private void event(Event e) {
        number(e.kind().ordinal());
        frame[size++] = (byte) ((e.node() != Event.NONE ? TraceFile.HAS_NODE : 0)
                | (e.server() != Event.NONE ? TraceFile.HAS_SERVER : 0)
                | (e.request() != Event.NONE ? TraceFile.HAS_REQUEST : 0)
                | (e.value() != 0 ? TraceFile.HAS_VALUE : 0) | (e.text() != null ? TraceFile.HAS_TEXT : 0));
        signed(e.at() - at);
        at = e.at();
        if (e.node() != Event.NONE) {
            signed(e.node());
        }
        if (e.server() != Event.NONE) {
            signed(e.server());
        }
        if (e.request() != Event.NONE) {
            signed(e.request() - request);
            request = e.request();
        }
        if (e.value() != 0) {
            signed(TraceFile.valueIsTime(e.kind()) ? e.value() - e.at() : e.value());
        }
        if (e.text() != null) {
            text(e.text());
        }
    }

    private void text(String whole) {
        String text = whole.length() > TraceFile.LONGEST_TEXT ? whole.substring(0, TraceFile.LONGEST_TEXT) : whole;
        Integer place = texts.putIfAbsent(text, texts.size());
        if (place != null) {
            number(texts.size() - place);
        } else {
            number(0);
            characters(text);
        }
    }

    private void characters(String text) {
        number(text.length());
        for (int i = 0; i < text.length(); i++) {
            number(text.charAt(i));
        }
    }

    private void signed(long number) {
        number(TraceFile.fold(number));
    }

    private void number(long number) {
        long left = number;
        while ((left & ~0x7fL) != 0) {
            frame[size++] = (byte) (left | 0x80);
            left >>>= 7;
        }
        frame[size++] = (byte) left;
    }

    /** Ends the frame here: what was told so far can be read, whatever becomes of the rest. */
    void flush() {
        try {
            if (failure == null && size > 1) {
                writeFrame();
                begin(TraceFile.EVENTS);
            }
        } catch (IOException e) {
            failure = e;
        }
    }

    private void writeFrame() throws IOException {
        checksum = TraceFile.checksum(checksum, frame, size);
        out.write(ByteBuffer.allocate(size + Integer.BYTES + Long.BYTES).order(ByteOrder.LITTLE_ENDIAN)
                .putInt(size).put(frame, 0, size).putLong(checksum).array());
    }
}
