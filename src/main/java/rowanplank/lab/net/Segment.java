package rowanplank.lab.net;

import rowanplank.lab.world.Agenda;

/**
 * What goes over a connection in one piece: some bytes, or the end of all bytes, or neither but word of what has been
 * read. It is in one queue at a time: to be sent, on the way, or to be read; the world runs it when it arrives.
 */
final class Segment implements Runnable {
    private static final byte[] NOTHING = {};

    final SimSocket from;
    final byte[] bytes;
    final boolean end;
    /** When its bytes were written. */
    final long sentAt;
    int position;
    int limit;
    /** How many bytes the sender had read when it was sent. */
    long read;
    /** When it arrives; null where it is not on the way, or was lost. */
    Agenda.Entry arrival;
    Segment next;

    private Segment(SimSocket from, byte[] bytes, int position, int limit, boolean end, long sentAt) {
        this.from = from;
        this.bytes = bytes;
        this.position = position;
        this.limit = limit;
        this.end = end;
        this.sentAt = sentAt;
    }

    static Segment of(SimSocket from, byte[] bytes, long sentAt) {
        return new Segment(from, bytes, 0, bytes.length, false, sentAt);
    }

    /** Nothing but word of what has been read. */
    static Segment empty(SimSocket from, long sentAt) {
        return new Segment(from, NOTHING, 0, 0, false, sentAt);
    }

    static Segment end(SimSocket from, long sentAt) {
        return new Segment(from, NOTHING, 0, 0, true, sentAt);
    }

    int length() {
        return limit - position;
    }

    /** Takes the first so many bytes off into a segment of their own. */
    Segment split(int length) {
        Segment first = new Segment(from, bytes, position, position + length, false, sentAt);
        position += length;
        return first;
    }

    @Override
    public void run() {
        from.arrived(this);
    }
}
