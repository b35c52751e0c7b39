package rowanplank.lab.site;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Puts an HTTP/1.1 request together from the pieces in which it comes (RFC 9112), strictly: lines end with CR LF, there
 * is one Host, and a length that could be read in two ways is a fault. The site's own, so that a fault of the node's
 * reader cannot hide behind the same fault here.
 *
 * <p>Bounds: {@value #MOST_HEAD} bytes of head, {@value #MOST_BODY} of body. Room grows with what has come.
 */
final class MessageReader {
    static final int MOST_HEAD = 16 * 1024;
    static final int MOST_BODY = 64 * 1024;

    private static final int FIRST_ROOM = 512;
    private static final int MOST_SIZE_DIGITS = 5;
    private static final byte[] NOTHING = {};
    private static final Pattern TIMEOUT = Pattern.compile("\\d{1,9}(\\.\\d{1,6})?[mu]");
    private static final String TOKEN = "!#$%&'*+-.^_`|~";

    /** How far a request has come. */
    enum Progress { MORE, WHOLE, BROKEN }

    private enum State { START_LINE, FIELDS, FIXED, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILER, WHOLE, BROKEN }

    /** By name, in small letters. */
    private final Map<String, String> fields = new LinkedHashMap<>();
    private State state = State.START_LINE;
    private boolean begun;
    private byte[] line = new byte[FIRST_ROOM];
    private int lineSize;
    private int headSize;
    private String method;
    private String target;
    private byte[] body = NOTHING;
    private int bodySize;
    private int left;
    private String fault;

    /** Reads on; what lies beyond the request's end stays in the buffer. */
    Progress read(ByteBuffer bytes) {
        while (bytes.hasRemaining() && state != State.WHOLE && state != State.BROKEN) {
            begun = true;
            if (state == State.FIXED || state == State.CHUNK) {
                readBody(bytes);
            } else if (readLine(bytes)) {
                takeLine(new String(line, 0, lineSize, StandardCharsets.ISO_8859_1));
                lineSize = 0;
            }
        }
        return state == State.WHOLE ? Progress.WHOLE : state == State.BROKEN ? Progress.BROKEN : Progress.MORE;
    }

    /** Makes ready for the next request on the same connection. */
    void reset() {
        fields.clear();
        state = State.START_LINE;
        begun = false;
        lineSize = 0;
        headSize = 0;
        body = NOTHING;
        bodySize = 0;
        fault = null;
        if (line.length > FIRST_ROOM) {
            line = new byte[FIRST_ROOM];
        }
    }

    /** Whether any of a request has come. */
    boolean begun() {
        return begun;
    }

    /** Whether its head is whole, so that method, target and fields are known. */
    boolean headRead() {
        return state.ordinal() > State.FIELDS.ordinal() && state != State.BROKEN;
    }

    /** What is wrong with it. */
    String fault() {
        return fault;
    }

    String method() {
        return method;
    }

    String target() {
        return target;
    }

    /** @param name in small letters; null if there is no such field */
    String field(String name) {
        return fields.get(name);
    }

    /**
     * How long the sender says that it waits, in nanoseconds ({@code X-Timeout}: a number with a unit, {@code m} for
     * milliseconds or {@code u} for microseconds); -1 if it does not say so in this form.
     */
    long timeout() {
        String text = fields.getOrDefault("x-timeout", "");
        if (!TIMEOUT.matcher(text).matches()) {
            return -1;
        }
        int last = text.length() - 1;
        return (long) (Double.parseDouble(text.substring(0, last)) * (text.charAt(last) == 'm' ? 1e6 : 1e3));
    }

    byte[] body() {
        return bodySize == body.length ? body : Arrays.copyOf(body, bodySize);
    }

    private void broken(String why) {
        fault = why;
        state = State.BROKEN;
    }

    /** @return whether a line is whole, without its end */
    private boolean readLine(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            byte b = bytes.get();
            boolean afterReturn = lineSize > 0 && line[lineSize - 1] == '\r';
            if (afterReturn != (b == '\n')) {
                broken("a line that does not end with CR LF");
                return false;
            }
            if (afterReturn) {
                lineSize--;
                return true;
            }
            if (++headSize > MOST_HEAD) {
                broken("a head that is too long");
                return false;
            }
            if (lineSize == line.length) {
                line = Arrays.copyOf(line, 2 * line.length);
            }
            line[lineSize++] = b;
        }
        return false;
    }

    private void takeLine(String text) {
        switch (state) {
            case START_LINE -> startLine(text);
            case FIELDS -> {
                if (text.isEmpty()) {
                    headIsWhole();
                } else {
                    field(text, true);
                }
            }
            case CHUNK_SIZE -> chunkSize(text);
            case CHUNK_END -> {
                if (text.isEmpty()) {
                    state = State.CHUNK_SIZE;
                } else {
                    broken("a chunk longer than it says");
                }
            }
            case TRAILER -> {
                if (text.isEmpty()) {
                    state = State.WHOLE;
                } else {
                    field(text, false);
                }
            }
            default -> throw new IllegalStateException("no line is read in " + state);
        }
    }

    private void startLine(String text) {
        String[] parts = text.split(" ", -1);
        boolean good = parts.length == 3 && isToken(parts[0]) && parts[1].startsWith("/")
                && parts[1].chars().allMatch(c -> c > ' ' && c < 0x7f) && parts[2].equals("HTTP/1.1");
        if (!good) {
            broken("no request line");
            return;
        }
        method = parts[0];
        target = parts[1];
        state = State.FIELDS;
    }

    private void field(String text, boolean kept) {
        int colon = text.indexOf(':');
        if (colon < 1 || !isToken(text.substring(0, colon))) {
            broken("a field without a name");
            return;
        }
        String value = text.substring(colon + 1).strip();
        if (value.chars().anyMatch(c -> c < ' ' && c != '\t' || c == 0x7f)) {
            broken("a field with a control character");
            return;
        }
        String name = text.substring(0, colon).toLowerCase(Locale.ROOT);
        String before = kept ? fields.putIfAbsent(name, value) : null;
        if (before == null) {
            return;
        }
        switch (name) {
            case "host", "content-length", "transfer-encoding", "x-request-id", "x-timeout" -> broken("two of " + name);
            default -> fields.put(name, before + ", " + value);
        }
    }

    private static boolean isToken(String text) {
        return !text.isEmpty() && text.chars().allMatch(c -> c < 0x7f
                && (Character.isLetterOrDigit(c) || TOKEN.indexOf(c) >= 0));
    }

    private void headIsWhole() {
        String coding = fields.get("transfer-encoding");
        String length = fields.get("content-length");
        if (!fields.containsKey("host")) {
            broken("no host");
        } else if (coding != null && length != null) {
            broken("two lengths");
        } else if (coding != null && !coding.equalsIgnoreCase("chunked")) {
            broken("a transfer coding that is not known");
        } else if (coding != null) {
            state = State.CHUNK_SIZE;
        } else {
            left = length == null ? 0 : number(length, 10);
            if (left < 0) {
                broken("a length that is none or too long");
            } else {
                state = left == 0 ? State.WHOLE : State.FIXED;
            }
        }
    }

    private void chunkSize(String text) {
        left = number(text, 16);
        if (left < 0 || bodySize + left > MOST_BODY) {
            broken("a chunk whose size is none or too long");
        } else {
            state = left == 0 ? State.TRAILER : State.CHUNK;
        }
    }

    /** @return -1 if the text is no number of plain digits, or beyond the bound */
    private static int number(String text, int radix) {
        boolean plain = !text.isEmpty() && text.length() <= MOST_SIZE_DIGITS
                && text.chars().allMatch(c -> c < 0x7f && Character.digit(c, radix) >= 0);
        int number = plain ? Integer.parseInt(text, radix) : -1;
        return number <= MOST_BODY ? number : -1;
    }

    private void readBody(ByteBuffer bytes) {
        int more = Math.min(left, bytes.remaining());
        if (bodySize + more > body.length) {
            body = Arrays.copyOf(body, Math.max(bodySize + more, Math.min(MOST_BODY, 2 * body.length)));
        }
        bytes.get(body, bodySize, more);
        bodySize += more;
        left -= more;
        if (left == 0) {
            state = state == State.FIXED ? State.WHOLE : State.CHUNK_END;
        }
    }
}
