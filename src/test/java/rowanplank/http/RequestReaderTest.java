package rowanplank.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.management.ManagementFactory;
import java.math.BigDecimal;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Chars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.eclipse.jetty.http.HttpFields;

class RequestReaderTest {
    private static final String CHUNKED = "POST /a/b?c=%20d HTTP/1.1\r\nHost: x\r\nX-Request-ID: 9b1f\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\n\r\n";
    private static final String SIZED = "POST /a/b?c=%20d HTTP/1.1\r\nHost: x\r\nX-Request-ID: 9b1f\r\n"
            + "Content-Length: 7\r\n\r\nabcdefg";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static int error(String text) {
        RequestReader reader = new RequestReader();
        reader.read(ByteBuffer.wrap(bytes(text)));
        return reader.error();
    }

    @Property(seed = "11")
    void cutsAnywhereChangeNothing(@ForAll boolean chunked,
            @ForAll @Size(max = 12) List<@IntRange(min = 1, max = 60) Integer> cuts) {
        byte[] message = bytes(chunked ? CHUNKED : SIZED);
        RequestReader reader = new RequestReader();
        int from = 0;
        for (int cut : cuts) {
            int to = Math.min(from + cut, message.length);
            assertEquals(to == message.length, reader.read(ByteBuffer.wrap(message, from, to - from)) || from == to);
            from = to;
        }
        reader.read(ByteBuffer.wrap(message, from, message.length - from));
        assertEquals(0, reader.error());
        assertEquals("POST /a/b?c=%20d", reader.method() + " " + reader.target());
        assertEquals("9b1f", reader.field("x-request-id"));
        assertArrayEquals(bytes("abcdefg"), reader.body());
    }

    @Property(seed = "12")
    void garbageIsReadToItsEndOrRefused(@ForAll @Size(min = 1, max = 300) byte[] garbage) {
        RequestReader reader = new RequestReader();
        ByteBuffer bytes = ByteBuffer.wrap(garbage);
        boolean done = reader.read(bytes);
        assertTrue(done || !bytes.hasRemaining());
        assertTrue(reader.error() == 0 || reader.error() / 100 == 4 || reader.error() / 100 == 5);
    }

    @Property(seed = "13")
    void garbageWithinAMessageNeverThrows(@ForAll @IntRange(max = 120) int at, @ForAll byte[] garbage) {
        byte[] message = bytes(CHUNKED);
        System.arraycopy(garbage, 0, message, at % message.length,
                Math.min(garbage.length, message.length - at % message.length));
        RequestReader reader = new RequestReader();
        assertTrue(reader.read(ByteBuffer.wrap(message)) || reader.error() == 0);
    }

    @Example
    void whatFollowsARequestIsLeftForTheNext() {
        RequestReader reader = new RequestReader();
        ByteBuffer two = ByteBuffer.wrap(bytes(SIZED + CHUNKED));
        assertTrue(reader.read(two));
        assertEquals(CHUNKED.length(), two.remaining());
        reader.reset();
        assertTrue(reader.read(two));
        assertArrayEquals(bytes("abcdefg"), reader.body());
        assertFalse(two.hasRemaining());
    }

    @Example
    void ambiguousLengthsAreRefused() {
        assertEquals(400, error("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"));
        assertEquals(400, error("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n"));
        assertEquals(400, error("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc"));
        assertEquals(400, error("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: -3\r\n\r\n"));
    }

    /** What two readers could take for different things is told so, and the connection is not kept. */
    @Example
    void linesThatCanBeReadInTwoWaysAreRefused() {
        for (String bad : List.of("Content-Length : 3", " Content-Length: 3", "X-A: b\rContent-Length: 3", "X-A\r\n b: c",
                "Content-Length: 3\r\nContent-Length: 3", "Content-Length: +3", "Content-Length: 3 3", "X A: b", ": b")) {
            assertEquals(400, error("POST /a HTTP/1.1\r\nHost: x\r\n" + bad + "\r\n\r\nabc"), bad);
        }
        for (String bad : List.of("Transfer-Encoding: chunked\r\n\r\n3 3\r\nabc",
                "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n",
                "Transfer-Encoding: chunked\r\n\r\n\r\n")) {
            assertTrue(error("POST /a HTTP/1.1\r\nHost: x\r\n" + bad) >= 400, bad);
        }
    }

    @Example
    void lengthsAndCodingsThatMakeNoSenseAreRefused() {
        for (String bad : List.of("Content-Length: 99999999999999999999", "Content-Length: 0x10", "Content-Length: ",
                "Content-Length: 3, 4", "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
                "Transfer-Encoding: chunked\r\n\r\n-1\r\n", "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
                "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: gzip", "Transfer-Encoding: chunked, chunked",
                "Transfer-Encoding: identity")) {
            assertTrue(error("POST /a HTTP/1.1\r\nHost: x\r\n" + bad + "\r\n\r\n") >= 400, bad);
        }
        assertTrue(error("POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n") >= 400);
    }

    /** Guards the heap and the collector's time: a connection's parser and a message must take little room. */
    @Example
    void aConnectionsReaderAndAMessageTakeLittleMemory() {
        int count = 100;
        byte[] usual = bytes("GET /a HTTP/1.1\r\nHost: service.internal\r\nUser-Agent: x\r\nAccept: text/html\r\n\r\n");
        for (int round = 0; round < 2; round++) { // the first one loads classes
            long before = allocated();
            for (int i = 0; i < count; i++) {
                RequestReader reader = new RequestReader();
                for (int request = 0; request < 2; request++) {
                    reader.reset();
                    assertTrue(reader.read(ByteBuffer.wrap(usual)));
                }
                Messages.response(200, HttpFields.build().put("X-Name", "value"), new byte[0]);
            }
            long each = (allocated() - before) / count;
            assertTrue(round == 0 || each < 12_000, each + " bytes");
        }
    }

    private static long allocated() {
        return ((com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean())
                .getThreadAllocatedBytes(Thread.currentThread().getId());
    }

    @Example
    void whatIsTooLongIsRefusedWithItsOwnStatus() {
        assertEquals(413, error("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 65537\r\n\r\n"));
        assertEquals(413, error("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n"
                + "a".repeat(0x10001)));
        assertEquals(431, error("GET /a HTTP/1.1\r\nHost: x\r\nX-Long: " + "a".repeat(9000) + "\r\n\r\n"));
    }

    private static String text(ByteBuffer[] message) {
        StringBuilder text = new StringBuilder();
        for (ByteBuffer part : message) {
            text.append(StandardCharsets.ISO_8859_1.decode(part));
        }
        return text.toString();
    }

    /** Guards the other side against a body whose end it can't tell, and against lines made of a field's value. */
    @Example
    void messagesTellTheirLengthAndLetNoLineThrough() {
        HttpFields fields = HttpFields.build().put("X-Name", "a\r\nX-Other: b");
        assertEquals("GET /a?b HTTP/1.1\r\nX-Name: a  X-Other: b\r\n\r\n",
                text(Messages.request("GET", "/a?b", fields, new byte[0])));
        assertEquals("POST /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
                text(Messages.request("POST", "/a", HttpFields.EMPTY, new byte[0])));
        for (int size : new int[] {0, 5, 4096, 4097}) {
            assertEquals("HTTP/1.1 503 Service Unavailable\r\nContent-Length: " + size + "\r\n\r\n" + "x".repeat(size),
                    text(Messages.response(503, HttpFields.EMPTY, bytes("x".repeat(size)))));
        }
    }

    @Example
    void timeoutsAreReadInTheirUnits() {
        Duration otherwise = Duration.ofSeconds(9);
        assertEquals(Duration.ofMillis(480), Headers.timeout("480m", otherwise));
        assertEquals(Duration.ofNanos(1_500), Headers.timeout("1.5u", otherwise));
        assertEquals(otherwise, Headers.timeout(null, otherwise));
        for (String bad : List.of("", "480", "m", "-1m", "1e3m", "480s", "9999999999m")) {
            assertNull(Headers.timeout(bad, otherwise), bad);
        }
    }

    /** Beside the pattern and the decimal that it stands for. */
    @Property(seed = "14")
    void timeoutsAreThoseOfAPattern(@ForAll @StringLength(max = 19) @Chars({'0', '1', '2', '9', '.', 'm', 'u', '-'})
            String text, @ForAll @IntRange(max = 20) int digits, @ForAll @IntRange(max = 20) int decimals) {
        Matcher m = Pattern.compile("(\\d{1,9}(?:\\.\\d{1,6})?)([mu])").matcher("");
        for (String t : List.of(text, "7".repeat(digits) + "." + "1".repeat(decimals) + "u", text + "m")) {
            Duration expected = m.reset(t).matches() ? Duration.ofNanos(new BigDecimal(m.group(1))
                    .movePointRight(m.group(2).equals("m") ? 6 : 3).longValue()) : null;
            assertEquals(expected, Headers.timeout(t, Duration.ZERO), t);
        }
    }
}
