package rowanplank.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpGenerator;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.util.BufferUtil;

/** Whole HTTP messages as bytes. */
public final class Messages {
    /** The most that a message's body may hold, by the protocol. */
    public static final int MOST_BODY_BYTES = 64 * 1024;
    /** The most that its first line and headers may hold. */
    public static final int MOST_HEADER_BYTES = 8 * 1024;

    private Messages() { }

    public static ByteBuffer[] request(String method, String target, HttpFields fields, byte[] body) {
        MetaData.Request head =
                new MetaData.Request(method, HttpURI.from(target), HttpVersion.HTTP_1_1, fields, body.length);
        HttpGenerator generator = new HttpGenerator();
        return message(body, (header, content) -> generator.generateRequest(head, header, null, content, true));
    }

    public static ByteBuffer[] response(int status, HttpFields fields, byte[] body) {
        MetaData.Response head =
                new MetaData.Response(status, null, HttpVersion.HTTP_1_1, fields, body.length);
        HttpGenerator generator = new HttpGenerator();
        return message(body, (header, content) -> generator.generateResponse(head, false, header, null, content, true));
    }

    private interface Step {
        HttpGenerator.Result generate(ByteBuffer header, ByteBuffer content) throws IOException;
    }

    private static ByteBuffer[] message(byte[] body, Step step) {
        ByteBuffer header = BufferUtil.allocate(2 * MOST_HEADER_BYTES);
        ByteBuffer content = ByteBuffer.wrap(body);
        try {
            HttpGenerator.Result result = step.generate(header, content);
            if (result != HttpGenerator.Result.FLUSH) {
                throw new IllegalStateException("a message that can't be written: " + result);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new ByteBuffer[] {header, content};
    }
}
