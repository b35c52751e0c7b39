package rowanplank.lab.trace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.util.Iterator;
import java.util.List;
import org.junit.jupiter.api.Test;
import rowanplank.lab.trace.Event.Kind;

class DigestTest {
    private static final Event EVENT = new Event(5, Kind.ANSWERED, 1, 2, 3, 4, "");

    @Test
    void eachFieldAndTheOrderCount() {
        Digest digest = new Digest();
        List<Event> others = List.of(new Event(6, Kind.ANSWERED, 1, 2, 3, 4, ""),
                new Event(5, Kind.ASKED, 1, 2, 3, 4, ""), new Event(5, Kind.ANSWERED, 2, 1, 3, 4, ""),
                new Event(5, Kind.ANSWERED, 1, 3, 3, 4, ""), new Event(5, Kind.ANSWERED, 1, 2, 4, 4, ""),
                new Event(5, Kind.ANSWERED, 1, 2, 3, 5, ""), new Event(5, Kind.ANSWERED, 1, 2, 3, 4, null),
                new Event(5, Kind.ANSWERED, 1, 2, 3, 4, "a"));
        digest.tell(EVENT);
        assertEquals(of(EVENT), digest.toString());
        others.forEach(other -> assertNotEquals(of(EVENT), of(other), other.toString()));
        assertNotEquals(of(EVENT, others.get(0)), of(others.get(0), EVENT));
        assertNotEquals(of(EVENT), of(EVENT, EVENT));
    }

    @Test
    void anEventLongAgoCounts() {
        Digest one = new Digest();
        Digest other = new Digest();
        one.tell(EVENT);
        other.tell(0, Kind.ANSWERED, 1, 2, 3, 4, "");
        TraceFileTest.day(1000).forEach(e -> {
            one.tell(e);
            other.tell(e);
        });
        assertEquals(1001, one.events());
        assertNotEquals(one.value(), other.value());
    }

    @Test
    void twoTracesAreComparedToWhereTheyPart() throws IOException {
        List<Event> day = TraceFileTest.day(100);
        assertNull(Compare.first(source(day), source(day), 3));
        Compare.Difference shorter = Compare.first(source(day), source(day.subList(0, 60)), 3);
        assertEquals(new Compare.Difference(60, day.get(60), null, day.subList(57, 60)), shorter);
        Compare.Difference first = Compare.first(source(day.subList(1, 3)), source(day), 3);
        assertEquals(new Compare.Difference(0, day.get(1), day.get(0), List.of()), first);
    }

    private static Compare.Source source(List<Event> events) {
        Iterator<Event> i = events.iterator();
        return () -> i.hasNext() ? i.next() : null;
    }

    private static String of(Event... events) {
        Digest digest = new Digest();
        for (Event e : events) {
            digest.tell(e);
        }
        return digest.toString();
    }
}
