package rowanplank.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpGenerator;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.util.BufferUtil;

/** Whole HTTP messages as bytes. */
public final class Messages {
    /** The most that a message's body may hold, by the protocol. */
    public static final int MOST_BODY_BYTES = 64 * 1024;
    /** The most that an answer of a peer may hold: peers do not all keep to the protocol's bound. */
    public static final int MOST_ANSWER_BYTES = 1024 * 1024;
    /** The most that its first line and headers may hold. */
    public static final int MOST_HEADER_BYTES = 8 * 1024;

    /** What a head holds beside its target and its fields: version, status and reason, the length that is added. */
    private static final int REST_OF_HEAD = 256;

    private Messages() { }

    /**
     * Guards the heap: Jetty's parser remembers headers for its connection's next message, which takes 80 KB for each
     * of hundreds of connections and helps little where each message has an id of its own.
     */
    public static HttpParser lean(HttpParser parser) {
        parser.setHeaderCacheSize(0);
        return parser;
    }

    public static ByteBuffer[] request(String method, String target, HttpFields fields, byte[] body) {
        MetaData.Request head =
                new MetaData.Request(method, HttpURI.from(target), HttpVersion.HTTP_1_1, fields, body.length);
        HttpGenerator generator = new HttpGenerator();
        int room = target.length() + room(fields);
        return message(room, body, (header, content) -> generator.generateRequest(head, header, null, content, true));
    }

    public static ByteBuffer[] response(int status, HttpFields fields, byte[] body) {
        MetaData.Response head =
                new MetaData.Response(status, null, HttpVersion.HTTP_1_1, fields, body.length);
        HttpGenerator generator = new HttpGenerator();
        return message(room(fields), body, (header, content) -> generator.generateResponse(head, false, header, null, content, true));
    }

    private interface Step {
        HttpGenerator.Result generate(ByteBuffer header, ByteBuffer content) throws IOException;
    }

    private static int room(HttpFields fields) {
        int room = REST_OF_HEAD;
        for (HttpField f : fields) {
            room += f.getName().length() + (f.getValue() == null ? 0 : f.getValue().length()) + 4;
        }
        return room;
    }

    private static ByteBuffer[] message(int room, byte[] body, Step step) {
        ByteBuffer header = BufferUtil.allocate(room);
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
