package rowanplank.lab.trace;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import net.openhft.hashing.LongHashFunction;
import rowanplank.lab.trace.Event.Kind;

/**
 * The form in which a trace stands in a file, about 10 bytes an event, readable up to wherever a write was cut.
 *
 * <pre>
 * file    = magic (7 bytes), version (1 byte), frame of names, frame of events ..., frame of the end
 * frame   = length of the payload (int32), payload, checksum (int64); both little-endian
 * names   = 0, count, then each kind's name: a reader knows kinds by name, whatever their order has become
 * events  = 1, then each event
 * end     = 2, then how many events there were
 * event   = kind, flags (1 byte), at, [node], [server], [request], [value], [text]
 * text    = 0, length, characters (UTF-16); or how far back in the frame's own list of texts it stands, from 1
 * </pre>
 *
 * Numbers are varints of 7 bits a byte, lowest first (LEB128), signed ones folded so that small ones stay short
 * (zigzag, as in Protocol Buffers). {@code at} is the time since the event before, {@code request} the difference to
 * the request before, and a value that is a time the difference to {@code at}; all begin anew in each frame, so that
 * a frame needs no other. A frame's checksum is the xx hash of its payload, its seed the checksum before it: a frame
 * that is missing, doubled or out of place shows as well as one that has changed.
 */
public final class TraceFile {
    /** The version that is written, and the newest that is read. */
    public static final int VERSION = 1;

    /** What every trace begins with, before its version. */
    static final String MAGIC = "rowtrc\n";
    /** A frame ends with the event that fills it so far. */
    static final int FULL_FRAME = 64 << 10;
    /** Longer texts are cut, so that a frame is bounded. */
    static final int LONGEST_TEXT = 16 << 10;
    /** A full frame and one more event; characters take 3 bytes at most. */
    static final int LONGEST_FRAME = FULL_FRAME + 3 * LONGEST_TEXT + 128;

    static final int NAMES = 0;
    static final int EVENTS = 1;
    static final int END = 2;

    static final int HAS_NODE = 1;
    static final int HAS_SERVER = 2;
    static final int HAS_REQUEST = 4;
    static final int HAS_VALUE = 8;
    static final int HAS_TEXT = 16;

    private TraceFile() { }

    /** Whether an event's value is a time near its own. */
    static boolean valueIsTime(Kind kind) {
        return kind == Kind.ASKED || kind == Kind.TRY_BEGAN || kind == Kind.TRY_CAME || kind == Kind.TRY_WITHDRAWN;
    }

    static byte[] magic() {
        return MAGIC.getBytes(StandardCharsets.US_ASCII);
    }

    /** @throws IOException if the file can't be made; an existing one is overwritten */
    public static TraceWriter write(Path file) throws IOException {
        return new TraceWriter(file);
    }

    /** @throws IOException if it can't be read, is no trace, or is of a newer version */
    public static TraceReader read(Path file) throws IOException {
        return new TraceReader(file);
    }

    /** @param before the checksum of the frame before, the version for the first one */
    static long checksum(long before, byte[] payload, int length) {
        return LongHashFunction.xx(before).hashBytes(payload, 0, length);
    }

    static long fold(long number) {
        return number << 1 ^ number >> 63;
    }

    static long unfold(long folded) {
        return folded >>> 1 ^ -(folded & 1);
    }
}
