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
 * of a node together hold {@link BufferBudget#SMALL_WINDOW_THRESHOLD}, {@link #SMALL_WINDOW} each.
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
    public static final class BufferBudget {
        static final int SMALL_WINDOW_THRESHOLD = 4 << 20;

        private long heldBytes;

        long heldBytes() {
            return heldBytes;
        }

        private int window() {
            return heldBytes > SMALL_WINDOW_THRESHOLD ? SMALL_WINDOW : WINDOW;
        }
    }

    private final BufferBudget budget;
    private final Source source;
    private final Queue<ByteBuffer> chunks = new ArrayDeque<>();
    private Runnable reader = () -> { };
    /** Of what was taken last: it is held until the next is asked for, since it is being written. */
    private int lastPolledBytes;
    private int heldBytes;
    private boolean readStarted;
    private boolean paused;
    private boolean ended;
    private boolean failed;
    private boolean abandoned;

    public Transfer(BufferBudget room, Source source) {
        this.budget = room;
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
            chunks.add(ByteBuffer.allocate(size).put(bytes).flip());
            addHeldBytes(size);
            reader.run();
        }
        paused = !abandoned && !failed && heldBytes >= budget.window();
        return !paused;
    }

    /** All has come. */
    public void end() {
        ended = true;
        reader.run();
    }

    /** The rest will not come: what there is can't become whole. */
    public void fail() {
        if (!ended && !failed && !abandoned) {
            failed = true;
            clear();
            reader.run();
        }
    }

    /** @param more run whenever there may be something to take, an end or a failure; and once now */
    public void setReader(Runnable more) {
        reader = more;
        more.run();
    }

    /** The next piece, or null if there is none now. What was taken before counts as written from here on. */
    public ByteBuffer poll() {
        readStarted = true;
        addHeldBytes(-lastPolledBytes);
        ByteBuffer next = chunks.poll();
        lastPolledBytes = next == null ? 0 : next.remaining();
        if (paused && heldBytes <= budget.window() / 2) {
            paused = false;
            source.resume();
        }
        return next;
    }

    /** The rest is not wanted: the side that takes it is gone. */
    public void abandon() {
        if (!abandoned) {
            abandoned = true;
            clear();
            if (!ended && !failed) {
                source.abandoned();
            }
        }
    }

    /** The side that fills it has no more to do with it, nor has anybody else. */
    public void discard() {
        failed = true;
        clear();
    }

    private void clear() {
        chunks.clear();
        lastPolledBytes = 0;
        addHeldBytes(-heldBytes);
    }

    private void addHeldBytes(int change) {
        heldBytes += change;
        budget.heldBytes += change;
    }

    /** Whether something of it was taken, so that it can't be sent again from its start. */
    public boolean hasReadStarted() {
        return readStarted;
    }

    /** Whether all of it has come. */
    public boolean isFullyReceived() {
        return ended;
    }

    /** Whether all of it has been taken. */
    public boolean isFullyRead() {
        return ended && !failed && chunks.isEmpty();
    }

    public boolean hasFailed() {
        return failed;
    }
}
