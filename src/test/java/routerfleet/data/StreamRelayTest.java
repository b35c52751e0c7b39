package routerfleet.data;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests where a stream can be resumed, and that it has the head of its first server. */
class StreamRelayTest {
    private final StringBuilder written = new StringBuilder();
    private final StreamRelay relay = new StreamRelay(new ClientResponseWriter() {
        @Override
        public void respond(int status, HttpHeaders headers, byte[] body) {
            throw new AssertionError("a stream is not written as a whole");
        }

        @Override
        public void startStream(HttpResponse head) {
            written.append('[').append(head.headers().get(ProxyHeaders.SIGNATURE)).append(']');
        }

        @Override
        public void writeChunk(byte[] bytes) {
            written.append(new String(bytes, StandardCharsets.US_ASCII));
        }

        @Override
        public void endStream() { }

        @Override
        public void abort() { }

        @Override
        public boolean isWritable() {
            return true;
        }
    });

    private void forward(String server, String text, String id, boolean hasData) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers().set(ProxyHeaders.SIGNATURE, server);
        relay.forward(head, new StreamEvent(text.getBytes(StandardCharsets.US_ASCII), id, hasData));
    }

    @Test
    void keepsTheHeadOfTheFirstServer() {
        forward("one", "a", "1", true);
        forward("two", "b", "7", true);
        assertThat(written.toString(), is("[one]ab"));
        assertThat(relay.lastEventId(), is("7"));
    }

    @Test
    void canBeResumedBeforeItsFirstEventAndBehindEventsWithAnId() {
        assertThat(relay.isResumable(), is(true));
        assertThat(relay.lastEventId(), is(nullValue()));
        forward("one", "a", "1", true);
        forward("one", ": comment", null, false);
        assertThat(relay.isResumable(), is(true));
        assertThat(relay.lastEventId(), is("1"));
    }

    @Test
    void cannotBeResumedBehindDataWithoutAnIdUntilTheNextId() {
        forward("one", "a", "1", true);
        forward("one", "b", null, true);
        assertThat(relay.isResumable(), is(false));
        forward("one", "c", "3", true);
        assertThat(relay.isResumable(), is(true));
    }
}
