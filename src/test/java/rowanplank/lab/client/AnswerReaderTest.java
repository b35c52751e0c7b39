package rowanplank.lab.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rowanplank.lab.client.AnswerReader.Progress;

class AnswerReaderTest {
    private static final String OK = "HTTP/1.1 200 OK\r\n";

    private final AnswerReader reader = new AnswerReader();

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Property(tries = 300, seed = "11")
    void readsAnswersOneAfterTheOtherHoweverTheyAreCut(@ForAll Random cuts) {
        String[] answers = {
            OK + "Content-Length: 5\r\nX-Other: a, b\r\n\r\nhello",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 \r\nretry-after:\t0.25 \r\nContent-Length: 0\r\n\r\n",
            OK + "Transfer-Encoding: Chunked\r\n\r\n3;x=y\r\nhel\r\n02\r\nlo\r\n0\r\nX-Trailer: 1\r\n\r\n",
            "HTTP/1.1 204 Nothing\r\nConnection: keep-alive, Close\r\n\r\n",
        };
        ByteBuffer all = bytes(String.join("", answers));
        for (int i = 0; i < answers.length; i++) {
            reader.reset();
            while (reader.read(ByteBuffer.allocate(0)) == Progress.MORE) {
                ByteBuffer piece = all.slice(all.position(), Math.min(all.remaining(), 1 + cuts.nextInt(30)));
                reader.read(piece);
                all.position(all.position() + piece.position());
            }
            assertEquals(Progress.WHOLE, reader.read(ByteBuffer.allocate(0)), reader::toString);
            assertEquals(i == 1 ? 503 : i == 3 ? 204 : 200, reader.status());
            assertEquals(i % 2 == 0 ? "hello" : "", new String(reader.body(), StandardCharsets.US_ASCII));
            assertEquals(i == 1 ? "0.25" : null, reader.retryAfter());
            assertEquals(i != 3, reader.keepsConnection());
        }
        assertEquals(0, all.remaining());
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200\r\n\r\n", "HTTP/2.0 200 OK\r\n\r\n", "HTTP/1.1 2x0 OK\r\n\r\n", "\r\n",
        "HTTP/1.1 200 OK\n", OK + "No Field: 1\r\n", OK + "Folded: 1\r\n 2\r\n", OK + "Colon : 1\r\n", OK + "none\r\n",
        OK + "A: b\rc\r\n", OK + "A: \0\r\n", OK + "Content-Length: -1\r\n", OK + "Content-Length: 1, 1\r\n",
        OK + "Content-Length: 1\r\nContent-Length: 1\r\n", OK + "Content-Length: 3000000000\r\n\r\n",
        OK + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", OK + "Transfer-Encoding: gzip, chunked\r\n",
        OK + "Transfer-Encoding: chunked\r\n\r\n-1\r\n", OK + "Transfer-Encoding: chunked\r\n\r\n1\r\nxy\r\n",
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 101 Upgrade\r\n\r\n"})
    void refusesWhatIsNoAnswer(String text) {
        assertEquals(Progress.BROKEN, reader.read(bytes(text)), reader::toString);
    }

    /** An answer that was cut short must not pass for a whole one, but for one that ends by its connection's end. */
    @ParameterizedTest
    @ValueSource(strings = {"", "HTTP/1.1 200 OK", OK, OK + "Content-Length: 5\r\n\r\nhell",
        OK + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", OK + "\r\nhell"})
    void knowsWhenNothingMoreComes(String text) {
        assertEquals(Progress.MORE, reader.read(bytes(text)));
        assertEquals(text.startsWith(OK + "\r\n") ? Progress.WHOLE : Progress.BROKEN, reader.end());
    }

    /** Guards memory against a node that sends for ever. */
    @ParameterizedTest
    @ValueSource(strings = {"X-More: aaaaaaaa\r\n", "aaaaaaaa", "HTTP/1.1 100 Go\r\n\r\n",
        "1\r\nx\r\n"})
    void endsWhatDoesNotEnd(String again) {
        reader.read(bytes(again.startsWith("X-") ? OK : again.startsWith("1")
                ? OK + "Transfer-Encoding: chunked\r\n\r\n" : ""));
        Progress progress = Progress.MORE;
        for (int i = 0; i < 1 << 20 && progress == Progress.MORE; i++) {
            progress = reader.read(bytes(again));
        }
        assertNotEquals(Progress.MORE, reader.read(bytes(again)), reader::toString);
    }
}
