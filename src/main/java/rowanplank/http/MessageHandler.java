package rowanplank.http;

import java.nio.ByteBuffer;
import java.util.Arrays;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;

/** Gathers a message's headers and its body, up to a bound, as Jetty's parser finds them. */
public abstract class MessageHandler implements HttpParser.HttpHandler {
    private static final byte[] NOTHING = {};
    private static final int FIRST_ROOM = 4096;
    /** Guards the heap: a field of two letters takes forty times its length. Servers commonly take about so many. */
    static final int MOST_FIELDS = 100;

    private final HttpFields.Mutable fields = HttpFields.build();
    private byte[] body = NOTHING;
    private int size;
    private final int mostBytes;

    protected MessageHandler(int mostBytes) {
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

    /** Keeps no room for a next body: connections are many, and most of them idle. */
    public void reset() {
        fields.clear();
        body = NOTHING;
        size = 0;
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
        int more = content.remaining();
        if (size + more > mostBytes) {
            tooLong();
            return true;
        }
        if (size + more > body.length) {
            body = Arrays.copyOf(body, room(size + more));
        }
        content.get(body, size, more);
        size += more;
        return false;
    }

    /** Room grows with what has come, not with what was said to come; what is said saves the last copy. */
    private int room(int needed) {
        int room = Math.max(needed, Math.max(FIRST_ROOM, 2 * body.length));
        long said = fields.getLongField(HttpHeader.CONTENT_LENGTH);
        return said >= needed && said < room ? (int) said : Math.min(room, mostBytes);
    }

    @Override
    public boolean contentComplete() {
        return false;
    }
}
