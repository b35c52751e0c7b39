package rowanplank.http;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpGenerator;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.util.StringUtil;

/** Whole HTTP messages as bytes. */
public final class Messages {
    /** The most of a message's body that is held here; what is larger is passed on as it comes. */
    public static final int MOST_HELD_BYTES = 64 * 1024;
    /** The most that a message's body may hold, where nothing else is said. */
    public static final long MOST_BODY_BYTES = 32L << 20;
    /** The most that its first line and headers may hold. */
    public static final int MOST_HEADER_BYTES = 8 * 1024;

    /** What a head holds beside its target and its fields: version, status and reason, the length that is added. */
    private static final int REST_OF_HEAD = 256;

    /** Shorter bodies are copied behind their heads: a write of two buffers costs more than that. */
    private static final int MOST_JOINED_BYTES = 4 * 1024;
    private static final byte[] END_OF_LINE = {'\r', '\n'};
    private static final byte[] LAST_CHUNK = {'0', '\r', '\n', '\r', '\n'};
    private static final byte[] NOTHING = {};

    private Messages() { }

    /**
     * Guards the heap: Jetty's parser remembers headers for its connection's next message, which takes 80 KB for each
     * of hundreds of connections and helps little where each message has an id of its own.
     */
    public static HttpParser lean(HttpParser parser) {
        parser.setHeaderCacheSize(0);
        return parser;
    }

    /** @param target as it stands in the first line: without blanks, which no reader here lets through */
    public static ByteBuffer[] request(String method, String target, HttpFields fields, byte[] body) {
        return request(method, target, fields, body, body.length > 0 || hasBody(method));
    }

    /** The head of a request whose body follows: of this length, or chunked where it is -1. */
    public static ByteBuffer requestHead(String method, String target, HttpFields.Mutable fields, long length) {
        putFraming(fields, length);
        return request(method, target, fields, NOTHING, false)[0];
    }

    private static ByteBuffer[] request(String method, String target, HttpFields fields, byte[] body, boolean tell) {
        ByteBuffer head = ByteBuffer.allocate(method.length() + target.length() + room(fields, body));
        put(head, method).put((byte) ' ');
        put(head, target).put((byte) ' ');
        put(head, HttpVersion.HTTP_1_1.asString()).put(END_OF_LINE);
        return message(head, fields, body, tell);
    }

    private static void putFraming(HttpFields.Mutable fields, long length) {
        if (length >= 0) {
            fields.put(HttpHeader.CONTENT_LENGTH, length);
        } else {
            fields.put(HttpHeader.TRANSFER_ENCODING, "chunked");
        }
    }

    /** Methods whose request tells its length also where it is zero (RFC 9110, 8.6). */
    private static boolean hasBody(String method) {
        return method.equals("POST") || method.equals("PUT") || method.equals("PATCH");
    }

    public static ByteBuffer[] response(int status, HttpFields fields, byte[] body) {
        return response(status, fields, body, !fields.contains(HttpHeader.CONTENT_LENGTH));
    }

    /** The head of an answer whose body follows: of this length, or chunked where it is -1. */
    public static ByteBuffer responseHead(int status, HttpFields.Mutable fields, long length) {
        putFraming(fields, length);
        return response(status, fields, NOTHING, false)[0];
    }

    /** The head of an answer whose body ends with its connection: version 1.0 has no other form for it. */
    public static ByteBuffer responseHeadUntilClose(int status, HttpFields fields) {
        return response(status, fields, NOTHING, false)[0];
    }

    private static ByteBuffer[] response(int status, HttpFields fields, byte[] body, boolean tell) {
        ByteBuffer head = ByteBuffer.allocate(room(fields, body));
        put(head, HttpVersion.HTTP_1_1.asString()).put((byte) ' ');
        put(head, status + " " + HttpStatus.getMessage(status)).put(END_OF_LINE);
        return message(head, fields, body, tell);
    }

    /** A piece of a chunked body; an empty one would end it. */
    public static ByteBuffer[] chunk(ByteBuffer piece) {
        byte[] size = StringUtil.getBytes(Integer.toHexString(piece.remaining()) + "\r\n");
        return new ByteBuffer[] {ByteBuffer.wrap(size), piece, ByteBuffer.wrap(END_OF_LINE)};
    }

    /** The end of a chunked body. */
    public static ByteBuffer lastChunk() {
        return ByteBuffer.wrap(LAST_CHUNK);
    }

    private static int room(HttpFields fields, byte[] body) {
        int room = REST_OF_HEAD + (isJoined(body) ? body.length : 0);
        for (HttpField f : fields) {
            room += f.getName().length() + (f.getValue() == null ? 0 : f.getValue().length()) + 4;
        }
        return room;
    }

    private static ByteBuffer put(ByteBuffer head, String text) {
        return head.put(StringUtil.getBytes(text));
    }

    /** Each field is written by Jetty, which lets no line end through; its generator of whole messages costs twice. */
    private static ByteBuffer[] message(ByteBuffer head, HttpFields fields, byte[] body, boolean tellLength) {
        for (HttpField f : fields) {
            HttpGenerator.putTo(f, head);
        }
        if (tellLength) {
            put(head, "Content-Length: " + body.length).put(END_OF_LINE);
        }
        head.put(END_OF_LINE);
        return isJoined(body) ? new ByteBuffer[] {head.put(body).flip()}
                : new ByteBuffer[] {head.flip(), ByteBuffer.wrap(body)};
    }

    private static boolean isJoined(byte[] body) {
        return body.length <= MOST_JOINED_BYTES;
    }
}
