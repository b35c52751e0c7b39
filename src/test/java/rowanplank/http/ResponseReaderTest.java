package rowanplank.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.eclipse.jetty.http.HttpFields;
import rowanplank.exchange.Header;
import rowanplank.http.ResponseReader.Progress;

class ResponseReaderTest {
    private static final String SIZED = "HTTP/1.1 200 OK\r\nX-Server-Load: {\"queue\":1}\r\nContent-Length: 5\r\n\r\nab\r\nc";
    private static final String CHUNKED =
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab\r\nc\r\n0\r\n\r\n";

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static Progress read(String text) {
        return new ResponseReader(100).read(bytes(text));
    }

    @Property(seed = "21")
    void anAnswerIsWholeAtItsLastByteAndNotBefore(@ForAll boolean chunked,
            @ForAll @Size(max = 12) List<@IntRange(min = 1, max = 50) Integer> cuts) {
        ByteBuffer message = bytes(chunked ? CHUNKED : SIZED);
        ResponseReader reader = new ResponseReader(100);
        int end = message.limit();
        for (int cut : cuts) {
            message.limit(Math.min(end, message.position() + cut));
            assertEquals(message.limit() == end ? Progress.WHOLE : Progress.MORE, reader.read(message));
        }
        message.limit(end);
        assertEquals(Progress.WHOLE, reader.read(message));
        assertEquals(200, reader.status());
        assertArrayEquals(bytes("ab\r\nc").array(), reader.body());
        assertTrue(reader.keepsConnection());
    }

    @Property(seed = "22")
    void garbageIsReadToItsEndOrBroken(@ForAll @Size(max = 300) byte[] garbage) {
        ByteBuffer bytes = ByteBuffer.wrap(garbage);
        Progress progress = new ResponseReader(100).read(bytes);
        assertNotEquals(Progress.WHOLE, progress);
        assertTrue(progress == Progress.BROKEN || !bytes.hasRemaining());
    }

    /** Guards against serving half an answer: without framing, its end can't be told from a cut. */
    @Example
    void anAnswerWithoutFramingIsBroken() {
        assertEquals(Progress.BROKEN, read("HTTP/1.1 200 OK\r\n\r\nabc"));
        assertEquals(Progress.BROKEN, read("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef"));
    }

    @Example
    void anOversizedAnswerIsBroken() {
        assertEquals(Progress.BROKEN, read("HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n"));
        assertEquals(Progress.BROKEN,
                read("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + "a".repeat(101)));
    }

    @Example
    void aConnectionIsNotKeptAgainstThePeersWord() {
        ResponseReader reader = new ResponseReader(100);
        reader.read(bytes("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"));
        assertFalse(reader.keepsConnection());
    }

    @Example
    void headersOfOneHopAreNotPassedOn() {
        HttpFields fields = HttpFields.build().add("Connection", "close, X-Hop").add("X-Hop", "1")
                .add("X-Server-Load", "{}").add("Content-Type", "text/html").asImmutable();
        assertEquals("[Header[name=Content-Type, value=text/html]]", Headers.endToEnd(fields, Header::new).toString());
    }
}
