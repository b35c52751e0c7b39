package rowanplank.lab.trace;

import java.io.IOException;
import java.util.List;
import java.util.Objects;

/** Where two traces part. */
public final class Compare {
    /** Gives a trace's events one after the other, and null at its end. */
    public interface Source {
        Event next() throws IOException;
    }

    /**
     * The first event in which two traces differ.
     *
     * @param place which event it is, from 0
     * @param left the first trace's, null where it has ended
     * @param right the second trace's, null where it has ended
     * @param before the last events that are the same in both, the oldest first
     */
    public record Difference(long place, Event left, Event right, List<Event> before) { }

    private Compare() { }

    /**
     * @param before how many of the events before it are wanted, 1 or more
     * @return null if there is none
     */
    public static Difference first(Source left, Source right, int before) throws IOException {
        Recent recent = new Recent(before);
        for (long place = 0;; place++) {
            Event l = left.next();
            Event r = right.next();
            if (!Objects.equals(l, r)) {
                return new Difference(place, l, r, recent.events());
            }
            if (l == null) {
                return null;
            }
            recent.tell(l);
        }
    }
}
