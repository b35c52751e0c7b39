package rowanplank.lab.net;

/** A queue of segments, linked through themselves. */
final class Segments {
    private Segment first;
    private Segment last;

    boolean isEmpty() {
        return first == null;
    }

    Segment peek() {
        return first;
    }

    void add(Segment segment) {
        if (first == null) {
            first = segment;
        } else {
            last.next = segment;
        }
        last = segment;
    }

    Segment poll() {
        Segment polled = first;
        first = polled.next;
        polled.next = null;
        if (first == null) {
            last = null;
        }
        return polled;
    }

    void clear() {
        first = null;
        last = null;
    }

    /** Drops all that have been lost on the way. */
    void dropLost() {
        Segment kept = null;
        for (Segment s = first; s != null && s.arrival != null; s = s.next) {
            kept = s;
        }
        if (kept == null) {
            clear();
        } else {
            kept.next = null;
            last = kept;
        }
    }
}
