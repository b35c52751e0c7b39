package rowanplank.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
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

    /** RFC 9112, 6.3: without framing an answer ends with its connection; with it, an early end is a cut. */
    @Example
    void anAnswerWithoutFramingIsWholeAtItsConnectionsEnd() {
        ResponseReader reader = new ResponseReader(100);
        assertEquals(Progress.MORE, reader.read(bytes("HTTP/1.1 200 OK\r\n\r\nabc")));
        assertEquals(Progress.WHOLE, reader.end());
        assertArrayEquals(bytes("abc").array(), reader.body());
        assertFalse(reader.keepsConnection());
        for (String cut : List.of("", "HTTP/1.1 200", "HTTP/1.1 100 Continue\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")) {
            ResponseReader other = new ResponseReader(100);
            other.read(bytes(cut));
            assertEquals(Progress.BROKEN, other.end(), cut);
        }
    }

    @Example
    void contradictingLengthsAreBroken() {
        assertEquals(Progress.BROKEN, read("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef"));
    }

    @Example
    void anOversizedAnswerIsBroken() {
        assertEquals(Progress.BROKEN, read("HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n"));
        assertEquals(Progress.BROKEN,
                read("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + "a".repeat(101)));
    }

    /** Whatever the cuts are, what is held and what goes on make up the body, in order and once. */
    @Property(seed = "23")
    void aLargeBodyIsHeldToItsBoundAndTheRestGoesOn(@ForAll boolean chunked,
            @ForAll @Size(min = 1, max = 12) List<@IntRange(min = 1, max = 90) Integer> cuts) {
        String body = "0123456789".repeat(50);
        ByteBuffer message = bytes("HTTP/1.1 200 OK\r\n" + (chunked ? "Transfer-Encoding: chunked\r\n\r\n1F4\r\n" + body
                + "\r\n0\r\nTrailer: x\r\n\r\n" : "Content-Length: 500\r\n\r\n" + body));
        ResponseReader reader = new ResponseReader(100, 500);
        StringBuilder passed = new StringBuilder();
        boolean asked = false;
        int end = message.limit();
        for (int i = 0; message.position() < end; i++) {
            message.limit(Math.min(end, message.position() + cuts.get(i % cuts.size())));
            Progress progress = reader.read(message);
            if (progress == Progress.MORE && reader.isLarge() && !asked && reader.bodySize() == 100) {
                asked = true;
                passed.append(new String(reader.body(), StandardCharsets.ISO_8859_1));
                reader.passOn(p -> passed.append(StandardCharsets.ISO_8859_1.decode(p)));
                progress = reader.read(message);
            }
            assertEquals(message.position() == end ? Progress.WHOLE : Progress.MORE, progress);
        }
        assertEquals(body, passed.toString());
    }

    /** A HEAD's answer tells of a body that does not come; an interim one changes nothing of that. */
    @Example
    void theAnswerToAHeadHasNoBody() {
        ResponseReader reader = new ResponseReader(100, 1000);
        reader.reset(true);
        assertEquals(Progress.WHOLE, reader.read(bytes(
                "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n")));
        assertTrue(reader.keepsConnection());
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
