package rowanplank.exchange;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Bytes of one large body on their way from the side that reads them to the side that writes them: bounded, so that the
 * slower of the two sets the pace. It knows neither side, and is used on the loop's thread only. Each call costs O(1),
 * and a copy of the bytes that come.
 *
 * <p>Bound: {@link #WINDOW} bytes, and what its source had read in one piece when it was told to stop; once all transfers
 * of a node together hold {@link Room#MOST_HELD}, {@link #SMALL_WINDOW} each.
 */
public final class Transfer {
    /** So much is held for the other side before no more is read. */
    static final int WINDOW = 64 * 1024;
    /** And so much while all transfers together hold a great deal. */
    static final int SMALL_WINDOW = 8 * 1024;

    /** Who fills a transfer. */
    public interface Source {
        /** There is room again, after {@link #offer} has said that there is none. */
        void resume();

        /** Nobody wants the rest. */
        void abandoned();
    }

    /** What all transfers of a node hold together. */
    public static final class Room {
        static final int MOST_HELD = 4 << 20;

        private long held;

        long held() {
            return held;
        }

        private int window() {
            return held > MOST_HELD ? SMALL_WINDOW : WINDOW;
        }
    }

    private final Room room;
    private final Source source;
    private final Queue<ByteBuffer> waiting = new ArrayDeque<>();
    private Runnable sink = () -> { };
    /** Of what was taken last: it is held until the next is asked for, since it is being written. */
    private int taken;
    private int held;
    private boolean touched;
    private boolean stopped;
    private boolean ended;
    private boolean failed;
    private boolean abandoned;

    public Transfer(Room room, Source source) {
        this.room = room;
        this.source = source;
    }

    /**
     * Takes a copy of the bytes.
     *
     * @return whether more may come now; else the source is told when
     */
    public boolean offer(ByteBuffer bytes) {
        if (abandoned || failed) {
            return true; // what is read is dropped: nobody waits for it
        }
        if (bytes.hasRemaining()) {
            int size = bytes.remaining();
            waiting.add(ByteBuffer.allocate(size).put(bytes).flip());
            hold(size);
            sink.run();
        }
        stopped = !abandoned && !failed && held >= room.window();
        return !stopped;
    }

    /** All has come. */
    public void end() {
        ended = true;
        sink.run();
    }

    /** The rest will not come: what there is can't become whole. */
    public void fail() {
        if (!ended && !failed && !abandoned) {
            failed = true;
            drop();
            sink.run();
        }
    }

    /** @param more run whenever there may be something to take, an end or a failure; and once now */
    public void drainTo(Runnable more) {
        sink = more;
        more.run();
    }

    /** The next piece, or null if there is none now. What was taken before counts as written from here on. */
    public ByteBuffer poll() {
        touched = true;
        hold(-taken);
        ByteBuffer next = waiting.poll();
        taken = next == null ? 0 : next.remaining();
        if (stopped && held <= room.window() / 2) {
            stopped = false;
            source.resume();
        }
        return next;
    }

    /** The rest is not wanted: the side that takes it is gone. */
    public void abandon() {
        if (!abandoned) {
            abandoned = true;
            drop();
            if (!ended && !failed) {
                source.abandoned();
            }
        }
    }

    /** The side that fills it has no more to do with it, nor has anybody else. */
    public void discard() {
        failed = true;
        drop();
    }

    private void drop() {
        waiting.clear();
        taken = 0;
        hold(-held);
    }

    private void hold(int change) {
        held += change;
        room.held += change;
    }

    /** Whether something of it was taken, so that it can't be sent again from its start. */
    public boolean isTouched() {
        return touched;
    }

    /** Whether all of it has come. */
    public boolean hasEnded() {
        return ended;
    }

    /** Whether all of it has been taken. */
    public boolean isDone() {
        return ended && !failed && waiting.isEmpty();
    }

    public boolean hasFailed() {
        return failed;
    }
}
