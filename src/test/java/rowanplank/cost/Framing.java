package rowanplank.cost;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Where an HTTP message ends, told by its blank line and its Content-Length alone: all that these tools send. */
final class Framing {
    private static final byte[] LENGTH = "content-length:".getBytes(StandardCharsets.US_ASCII);

    private Framing() { }

    /** @return how many bytes the message that begins at the buffer's position holds, -1 while its head is not whole */
    static int messageBytes(ByteBuffer bytes) {
        int length = 0;
        int lineStart = bytes.position();
        for (int i = lineStart; i < bytes.limit(); i++) {
            if (bytes.get(i) == '\n') {
                if (i - lineStart <= 1) {
                    return i + 1 - bytes.position() + length;
                }
                if (startsWithLength(bytes, lineStart, i)) {
                    length = number(bytes, lineStart + LENGTH.length, i);
                }
                lineStart = i + 1;
            }
        }
        return -1;
    }

    private static boolean startsWithLength(ByteBuffer bytes, int from, int to) {
        if (to - from < LENGTH.length) {
            return false;
        }
        for (int i = 0; i < LENGTH.length; i++) {
            if ((bytes.get(from + i) | 0x20) != (LENGTH[i] | 0x20)) {
                return false;
            }
        }
        return true;
    }

    private static int number(ByteBuffer bytes, int from, int to) {
        int number = 0;
        for (int i = from; i < to; i++) {
            int digit = bytes.get(i) - '0';
            number = digit >= 0 && digit <= 9 ? number * 10 + digit : number;
        }
        return number;
    }
}
