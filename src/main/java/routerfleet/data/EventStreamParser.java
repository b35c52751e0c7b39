package routerfleet.data;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Splits a {@code text/event-stream} (WHATWG HTML, section 9.2) into complete events, regardless of how it is divided into
 * chunks. An event may have at most {@value #MAX_EVENT_BYTES} bytes.
 */
final class EventStreamParser {
    private static final int MAX_EVENT_BYTES = 1 << 20;
    private static final int INITIAL_BUFFER_BYTES = 512;
    /** A longer id is ignored: servers limit the headers of a request. */
    private static final int MAX_ID_CHARACTERS = 1 << 10;
    private static final String ID_FIELD = "id:";
    private static final String DATA_FIELD = "data";

    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int length;
    private int scanned;

    /** What has been received behind the last complete event: the beginning of another one, or further empty lines. */
    byte[] remainder() {
        return Arrays.copyOf(buffer, length);
    }

    /** Whether the beginning of an incomplete event has been received. */
    boolean hasPartialEvent() {
        for (int i = 0; i < length; i++) {
            if (!isLineEnd(buffer[i])) {
                return true;
            }
        }
        return false;
    }

    private static boolean isLineEnd(byte character) {
        return character == '\n' || character == '\r';
    }

    /** Parses a chunk of the stream. @return false if an event is too long */
    boolean feed(ByteBuf chunk, Consumer<StreamEvent> consumer) {
        int added = chunk.readableBytes();
        if (length + added > MAX_EVENT_BYTES) {
            return false;
        }
        if (length + added > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(buffer.length * 2, length + added));
        }
        chunk.readBytes(buffer, length, added);
        length += added;
        int start = 0;
        for (int i = scanned; i < length; i++) {
            if (isLineEnd(buffer[i]) && endsEvent(start, i)) {
                byte[] event = Arrays.copyOfRange(buffer, start, i + 1);
                start = i + 1;
                consumer.accept(parse(event));
            }
        }
        System.arraycopy(buffer, start, buffer, 0, length - start);
        length -= start;
        scanned = length;
        return true;
    }

    /** Whether a line end is the second one in a row; a line ends with LF, CR LF or CR. */
    private boolean endsEvent(int start, int lineEnd) {
        int before = lineEnd - 1;
        if (buffer[lineEnd] == '\n' && before >= start && buffer[before] == '\r') {
            before--;
        }
        return before >= start && buffer[before] == buffer[lineEnd];
    }

    private static StreamEvent parse(byte[] event) {
        String text = new String(event, StandardCharsets.ISO_8859_1);
        String id = null;
        boolean hasData = false;
        int lineStart = 0;
        for (int i = 0; i < event.length; i++) {
            if (!isLineEnd(event[i])) {
                continue;
            }
            if (text.startsWith(ID_FIELD, lineStart)) {
                id = text.substring(lineStart + ID_FIELD.length(), i).strip();
            }
            hasData |= text.startsWith(DATA_FIELD, lineStart);
            lineStart = i + 1;
        }
        return new StreamEvent(event, id != null && isHeaderValue(id) ? id : null, hasData);
    }

    /** Whether the id can be sent in the header of a request that resumes the stream. */
    private static boolean isHeaderValue(String id) {
        return !id.isEmpty() && id.length() <= MAX_ID_CHARACTERS && id.chars().noneMatch(Character::isISOControl);
    }
}
