package routerfleet.data;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
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
            List<String> ids = new ArrayList<>();
            for (int at = 0; at < bytes.length; at += size) {
                parser.feed(Unpooled.wrappedBuffer(bytes, at, Math.min(size, bytes.length - at)), event -> {
                    events.add(new String(event.bytes(), StandardCharsets.US_ASCII));
                    ids.add(event.id());
                });
            }
            assertThat(ids, is(Arrays.asList("4", "5", "6", null)));
            assertThat(String.join("", events) + "id: 9", is(TEXT));
            assertThat(parser.hasPartialEvent(), is(true));
        }
    }

    private static List<StreamEvent> parse(String text, EventStreamParser parser) {
        List<StreamEvent> events = new ArrayList<>();
        parser.feed(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII), events::add);
        return events;
    }

    @Test
    void keepsIdsAsTheyAre() {
        List<StreamEvent> events = parse("id: 1764860000123-1\ndata\n\nid:9876543210987654321098\n\nid:\ndata: x\n\n"
                + ": ping\n\nid: a\rid: b\rdata: x\r\r", new EventStreamParser());
        assertThat(events.stream().map(StreamEvent::id).toList(),
                is(Arrays.asList("1764860000123-1", "9876543210987654321098", null, null, "b")));
        assertThat(events.stream().map(StreamEvent::hasData).toList(), is(List.of(true, false, true, false, true)));
    }

    @Test
    void ignoresIdsThatNoHeaderCanCarry() {
        List<StreamEvent> events = parse("id: 5\0 6\ndata: x\n\nid: 7\t8\ndata: x\n\nid: " + "9".repeat(2_000)
                + "\ndata: x\n\n", new EventStreamParser());
        assertThat(events.stream().map(StreamEvent::id).toList(), is(Arrays.asList(null, null, null)));
    }

    @Test
    void emptyLinesBehindTheLastEventAreNoPartOfAnother() {
        EventStreamParser parser = new EventStreamParser();
        assertThat(parse("data: a\n\n\n", parser).size(), is(1));
        assertThat(parser.hasPartialEvent(), is(false));
        assertThat(parser.remainder(), is(new byte[] {'\n'}));
    }

    @Test
    void rejectsAnEventThatIsTooLong() {
        EventStreamParser parser = new EventStreamParser();
        byte[] chunk = new byte[600_000];
        assertThat(parser.feed(Unpooled.wrappedBuffer(chunk), event -> { }), is(true));
        assertThat(parser.feed(Unpooled.wrappedBuffer(chunk), event -> { }), is(false));
    }
}
