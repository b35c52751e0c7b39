package rowanplank.lab.client;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads an HTTP/1.1 answer from the pieces in which it comes (RFC 9112, sections 4 to 7), strictly: it is there to
 * find faults in what a node sends, so it shares no code with the node. Interim answers (1xx) are passed over.
 *
 * <p>Bounds: 16 KiB for a head or trailer, 1 MiB of body, 16 interim answers. Costs: each byte of a head is looked at
 * once, a body is copied.
 */
final class AnswerReader {
    /** How far an answer has come. */
    enum Progress { MORE, WHOLE, BROKEN }

    private enum Part { STATUS_LINE, FIELDS, BODY, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILER, TO_END, DONE }

    private static final int MOST_HEAD = 16 << 10;
    private static final int MOST_BODY = 1 << 20;
    private static final int MOST_INTERIM = 16;
    private static final int FIRST_BODY_ROOM = 4 << 10;
    private static final String VERSION = "HTTP/1.1 ";
    private static final String OLD_VERSION = "HTTP/1.0 ";
    private static final String SEPARATORS = "\"(),/:;<=>?@[\\]{}";
    private static final byte[] NOTHING = {};

    private final StringBuilder line = new StringBuilder(64);
    private Part part = Part.STATUS_LINE;
    private String fault;
    private boolean begun;
    private boolean afterReturn;
    private int headBytes;
    private int interim;
    private int status;
    private boolean oldVersion;
    private boolean closes;
    private boolean chunked;
    private long length = -1;
    private String retryAfter;
    private byte[] body = NOTHING;
    private int bodyBytes;
    /** Bytes that the body, or the chunk, still lacks. */
    private long lacks;

    /** Makes ready for the next answer. */
    void reset() {
        part = Part.STATUS_LINE;
        fault = null;
        begun = false;
        interim = 0;
        beginHead();
    }

    private void beginHead() {
        line.setLength(0);
        afterReturn = false;
        headBytes = 0;
        status = 0;
        oldVersion = false;
        closes = false;
        chunked = false;
        length = -1;
        retryAfter = null;
        body = NOTHING;
        bodyBytes = 0;
    }

    /** Reads on; what lies beyond the answer's end stays in the buffer. */
    Progress read(ByteBuffer in) {
        while (in.hasRemaining() && fault == null && part != Part.DONE) {
            begun = true;
            switch (part) {
                case BODY, CHUNK, TO_END -> readBody(in);
                default -> readLine(in);
            }
        }
        return progress();
    }

    /** The other side has ended its sending: that ends an answer only that says nothing else of its end. */
    Progress end() {
        if (part == Part.TO_END && fault == null) {
            part = Part.DONE;
        } else if (part != Part.DONE) {
            fail(begun ? "ended half-way" : "ended");
        }
        return progress();
    }

    private Progress progress() {
        return fault != null ? Progress.BROKEN : part == Part.DONE ? Progress.WHOLE : Progress.MORE;
    }

    /** Whether any byte of an answer has come. */
    boolean begun() {
        return begun;
    }

    /** What is wrong with it; null if nothing is. */
    String fault() {
        return fault;
    }

    int status() {
        return status;
    }

    /** The body of a whole answer. */
    byte[] body() {
        return body.length == bodyBytes ? body : Arrays.copyOf(body, bodyBytes);
    }

    /** As it was written; null if there is none. */
    String retryAfter() {
        return retryAfter;
    }

    /** Whether the connection may carry another request. */
    boolean keepsConnection() {
        return progress() == Progress.WHOLE && !oldVersion && !closes;
    }

    private void fail(String why) {
        if (fault == null) {
            fault = why;
        }
    }

    private void readLine(ByteBuffer in) {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (++headBytes > MOST_HEAD) {
                fail("a head without end");
                return;
            }
            if (afterReturn != (b == '\n')) {
                fail("a line that doesn't end as lines do");
                return;
            }
            if (afterReturn) {
                afterReturn = false;
                String text = line.toString();
                line.setLength(0);
                take(text);
                return;
            }
            if (b == '\r') {
                afterReturn = true;
            } else {
                line.append((char) (b & 0xff));
            }
        }
    }

    private void take(String text) {
        switch (part) {
            case STATUS_LINE -> statusLine(text);
            case FIELDS, TRAILER -> {
                if (!text.isEmpty()) {
                    field(text, part == Part.FIELDS);
                } else if (part == Part.FIELDS) {
                    endHead();
                } else {
                    part = Part.DONE;
                }
            }
            case CHUNK_SIZE -> chunkSize(text);
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    fail("a chunk longer than it says");
                }
                part = Part.CHUNK_SIZE;
            }
            default -> throw new IllegalStateException(part.name());
        }
    }

    private void statusLine(String text) {
        oldVersion = text.startsWith(OLD_VERSION);
        boolean sound = (oldVersion || text.startsWith(VERSION)) && text.length() > 12 && text.charAt(12) == ' '
                && isVisible(text);
        status = sound ? (int) digits(text.substring(9, 12), 10, 3) : -1;
        if (status < 100 || status > 599) {
            fail("no status line");
        }
        part = Part.FIELDS;
    }

    private void field(String text, boolean counts) {
        int colon = text.indexOf(':');
        String name = text.substring(0, Math.max(0, colon));
        if (!isToken(name) || !isVisible(text)) {
            fail("no field");
            return;
        }
        String value = trim(text.substring(colon + 1));
        if (!counts) {
            return;
        }
        if (name.equalsIgnoreCase("Content-Length")) {
            long told = digits(value, 10, 15);
            if (told < 0 || length >= 0) {
                fail("no length, or two");
            }
            length = told;
        } else if (name.equalsIgnoreCase("Transfer-Encoding")) {
            if (!value.equalsIgnoreCase("chunked") || chunked) {
                fail("a coding that nobody asked for");
            }
            chunked = true;
        } else if (name.equalsIgnoreCase("Connection")) {
            for (String option : value.split(",")) {
                closes |= option.strip().equalsIgnoreCase("close");
            }
        } else if (name.equalsIgnoreCase("Retry-After")) {
            retryAfter = value;
        }
    }

    private void endHead() {
        if (chunked && (length >= 0 || oldVersion)) {
            fail("framed in two ways");
        } else if (status < 200) {
            if (status == 101 || chunked || length >= 0 || ++interim > MOST_INTERIM) {
                fail("an interim answer that is none");
            }
            beginHead();
            part = Part.STATUS_LINE;
        } else if (status == 204 || status == 304 || length == 0) {
            part = Part.DONE;
        } else if (length > MOST_BODY) {
            fail("too long");
        } else if (chunked) {
            part = Part.CHUNK_SIZE;
        } else {
            lacks = length < 0 ? Long.MAX_VALUE : length;
            part = length < 0 ? Part.TO_END : Part.BODY;
            closes |= length < 0;
        }
    }

    private void chunkSize(String text) {
        int end = text.indexOf(';');
        lacks = digits(trim(end < 0 ? text : text.substring(0, end)), 16, 8);
        if (lacks < 0) {
            fail("no chunk's size");
        }
        headBytes = 0;
        part = lacks == 0 ? Part.TRAILER : Part.CHUNK;
    }

    private void readBody(ByteBuffer in) {
        int take = (int) Math.min(lacks, in.remaining());
        if (bodyBytes + take > MOST_BODY) {
            fail("too long");
            return;
        }
        makeRoom(bodyBytes + take);
        in.get(body, bodyBytes, take);
        bodyBytes += take;
        lacks -= take;
        if (lacks == 0) {
            part = part == Part.CHUNK ? Part.CHUNK_END : Part.DONE;
        }
    }

    /** Guards memory: an answer is given no room for what it merely says it holds. */
    private void makeRoom(int bytes) {
        if (bytes > body.length) {
            int room = Math.max(bytes, Math.max(FIRST_BODY_ROOM, 2 * body.length));
            body = Arrays.copyOf(body, length >= bytes ? (int) Math.min(room, length) : room);
        }
    }

    private static String trim(String text) {
        int from = 0;
        int to = text.length();
        while (from < to && isBlank(text.charAt(from))) {
            from++;
        }
        while (to > from && isBlank(text.charAt(to - 1))) {
            to--;
        }
        return text.substring(from, to);
    }

    private static boolean isBlank(char c) {
        return c == ' ' || c == '\t';
    }

    private static boolean isToken(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c <= ' ' || c >= 127 || SEPARATORS.indexOf(c) >= 0) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    private static boolean isVisible(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c < ' ' && c != '\t' || c == 127) {
                return false;
            }
        }
        return true;
    }

    /** @return -1 if the text is no such number of at most so many digits */
    private static long digits(String text, int radix, int most) {
        if (text.isEmpty() || text.length() > most) {
            return -1;
        }
        long number = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            int digit = c < 128 ? Character.digit(c, radix) : -1;
            if (digit < 0) {
                return -1;
            }
            number = number * radix + digit;
        }
        return number;
    }

    @Override
    public String toString() {
        return part + " " + status + (fault == null ? "" : " " + fault) + " "
                + new String(body, 0, Math.min(bodyBytes, 64), StandardCharsets.ISO_8859_1);
    }
}
