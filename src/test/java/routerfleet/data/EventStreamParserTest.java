package routerfleet.data;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the splitting of a byte stream into events. */
class EventStreamParserTest {
    private static final String TEXT =
            "id: 4\ndata: a\n\nid:5\r\ndata: b\r\n\r\nversions: 3\nid: 6\ndata: c\n\ndata: d\n\nid: 9";

    @Test
    void findsTheSameEventsForAnyChunkSize() {
        byte[] bytes = TEXT.getBytes(StandardCharsets.US_ASCII);
        for (int size = 1; size <= bytes.length; size++) {
            EventStreamParser parser = new EventStreamParser();
            List<String> events = new ArrayList<>();
            List<Long> ids = new ArrayList<>();
            for (int at = 0; at < bytes.length; at += size) {
                parser.feed(Unpooled.wrappedBuffer(bytes, at, Math.min(size, bytes.length - at)), (event, id) -> {
                    events.add(new String(event, StandardCharsets.US_ASCII));
                    ids.add(id);
                });
            }
            assertThat(ids, is(List.of(4L, 5L, 6L, -1L)));
            assertThat(String.join("", events) + "id: 9", is(TEXT));
            assertThat(parser.hasPartialEvent(), is(true));
        }
    }

    @Test
    void rejectsAnEventThatIsTooLong() {
        EventStreamParser parser = new EventStreamParser();
        byte[] chunk = new byte[600_000];
        assertThat(parser.feed(Unpooled.wrappedBuffer(chunk), (event, id) -> { }), is(true));
        assertThat(parser.feed(Unpooled.wrappedBuffer(chunk), (event, id) -> { }), is(false));
    }
}
