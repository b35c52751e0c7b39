package rowanplank.http;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;

/**
 * Gathers a message's headers and its body, as Jetty's parser finds them: up to a bound the body is held here, and what
 * is beyond goes on to whoever asked for it, piece by piece.
 */
public abstract class MessageHandler implements HttpParser.HttpHandler {
    private static final byte[] NOTHING = {};
    private static final int FIRST_ROOM = 4096;
    /** Guards the heap: a field of two letters takes forty times its length. Servers commonly take about so many. */
    static final int MOST_FIELDS = 100;

    private final HttpFields.Mutable fields = HttpFields.build();
    private byte[] body = NOTHING;
    private int size;
    private long total;
    /** What came in one piece with the last byte that is held; null where there is nothing. */
    private ByteBuffer beyond;
    private Consumer<ByteBuffer> rest;
    private final int mostHeld;
    private final long mostBytes;

    /** @param mostHeld so much of a body is held, in bytes @param mostBytes and so long may it be */
    protected MessageHandler(int mostHeld, long mostBytes) {
        this.mostHeld = mostHeld;
        this.mostBytes = mostBytes;
    }

    /** There are more header fields than the bound; no more of them are gathered. */
    protected abstract void tooManyFields();

    /** The body is longer than the bound; nothing more of it is gathered. */
    protected abstract void tooLong();

    public HttpFields fields() {
        return fields;
    }

    public byte[] body() {
        return size == body.length ? body : Arrays.copyOf(body, size);
    }

    /** How much of the body has come. */
    public int bodySize() {
        return size;
    }

    /** Whether more has come than is held: nothing more is taken in until it is said where it goes. */
    public boolean isLarge() {
        return beyond != null;
    }

    /** What of the body is not held goes there from now on, valid within the call only. */
    public void passOn(Consumer<ByteBuffer> to) {
        rest = to;
        if (beyond != null) {
            to.accept(beyond);
            beyond = null;
        }
    }

    /** Keeps no room for a next body: connections are many, and most of them idle. */
    public void reset() {
        fields.clear();
        body = NOTHING;
        size = 0;
        total = 0;
        beyond = null;
        rest = null;
    }

    @Override
    public void parsedHeader(HttpField field) {
        if (fields.size() < MOST_FIELDS) {
            fields.add(field);
        } else {
            tooManyFields();
        }
    }

    @Override
    public boolean content(ByteBuffer content) {
        total += content.remaining();
        if (total > mostBytes) {
            tooLong();
            return true;
        }
        if (rest != null) {
            rest.accept(content);
            return false;
        }
        int more = Math.min(content.remaining(), mostHeld - size);
        if (size + more > body.length) {
            body = Arrays.copyOf(body, room(size + more));
        }
        content.get(body, size, more);
        size += more;
        if (content.hasRemaining()) {
            beyond = ByteBuffer.allocate(content.remaining()).put(content).flip();
        }
        return beyond != null;
    }

    /** Room grows with what has come, not with what was said to come; what is said saves the last copy. */
    private int room(int needed) {
        int room = Math.max(needed, Math.max(FIRST_ROOM, 2 * body.length));
        long said = fields.getLongField(HttpHeader.CONTENT_LENGTH);
        return said >= needed && said < room ? (int) said : Math.min(room, mostHeld);
    }

    @Override
    public boolean contentComplete() {
        return false;
    }
}
