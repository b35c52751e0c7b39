package routerfleet.data;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits a {@code text/event-stream} (WHATWG HTML, section 9.2) into complete events, regardless of how it is divided into
 * chunks. An event may have at most {@value #MAX_EVENT_BYTES} bytes.
 */
final class EventStreamParser {
    private static final int MAX_EVENT_BYTES = 1 << 20;
    private static final int INITIAL_BUFFER_BYTES = 512;

    /** Receives the parsed events. */
    interface EventConsumer {
        /**
         * Called for each complete event.
         *
         * @param bytes the event as received, including the empty line that ends it
         * @param id its number; negative if it has none
         */
        void event(byte[] bytes, long id);
    }

    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int length;
    private int scanned;

    /** Whether the beginning of an incomplete event is buffered. */
    boolean hasPartialEvent() {
        return length > 0;
    }

    /** Parses a chunk of the stream. @return false if an event is too long */
    boolean feed(ByteBuf chunk, EventConsumer consumer) {
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
            if (buffer[i] == '\n' && endsEvent(start, i)) {
                byte[] event = Arrays.copyOfRange(buffer, start, i + 1);
                start = i + 1;
                consumer.event(event, parseId(event));
            }
        }
        System.arraycopy(buffer, start, buffer, 0, length - start);
        length -= start;
        scanned = length;
        return true;
    }

    private boolean endsEvent(int start, int newline) {
        int before = newline - 1;
        if (before >= start && buffer[before] == '\r') {
            before--;
        }
        return before >= start && buffer[before] == '\n';
    }

    private static long parseId(byte[] event) {
        String text = new String(event, StandardCharsets.ISO_8859_1);
        for (int at = 0; at >= 0 && at < text.length(); at = text.indexOf('\n', at) + 1) {
            if (text.startsWith("id:", at)) {
                return parseNumber(text, at + 3);
            }
            if (text.indexOf('\n', at) < 0) {
                break;
            }
        }
        return -1;
    }

    private static long parseNumber(String text, int from) {
        int at = from;
        while (at < text.length() && text.charAt(at) == ' ') {
            at++;
        }
        long value = 0;
        int digits = 0;
        while (at < text.length() && Character.isDigit(text.charAt(at)) && digits < 18) {
            value = value * 10 + text.charAt(at) - '0';
            at++;
            digits++;
        }
        return digits == 0 ? -1 : value;
    }
}
