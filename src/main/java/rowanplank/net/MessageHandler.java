package rowanplank.net;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpParser;

/** Gathers a message's headers and its body, up to a bound, as Jetty's parser finds them. */
public abstract class MessageHandler implements HttpParser.HttpHandler {
    private final HttpFields.Mutable fields = HttpFields.build();
    private ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private final int mostBytes;

    protected MessageHandler(int mostBytes) {
        this.mostBytes = mostBytes;
    }

    /** The body is longer than the bound; nothing more of it is gathered. */
    protected abstract void tooLong();

    public HttpFields fields() {
        return fields;
    }

    public byte[] body() {
        return body.toByteArray();
    }

    /** How much of the body has come. */
    public int bodySize() {
        return body.size();
    }

    /** Keeps no room for a next body: connections are many, and most of them idle. */
    public void reset() {
        fields.clear();
        body = new ByteArrayOutputStream(0);
    }

    @Override
    public void parsedHeader(HttpField field) {
        fields.add(field);
    }

    @Override
    public boolean content(ByteBuffer content) {
        if (body.size() + content.remaining() > mostBytes) {
            tooLong();
            return true;
        }
        byte[] piece = new byte[content.remaining()];
        content.get(piece);
        body.writeBytes(piece);
        return false;
    }

    @Override
    public boolean contentComplete() {
        return false;
    }
}
