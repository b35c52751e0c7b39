package rowanplank.exchange;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * A bounded buffer for one large body between the side that reads it from the network and the side that writes it, so
 * that the slower side sets the pace. It must be used on the event loop's thread only. Each call takes O(1) time plus
 * one copy of the bytes offered.
 *
 * <p>Bound: {@link #WINDOW} bytes plus the last chunk that its source had read when it was told to pause. Once all
 * transfers of a node together hold more than {@link BufferBudget#SMALL_WINDOW_THRESHOLD} bytes, the bound is {@link
 * #SMALL_WINDOW} bytes for each.
 */
public final class Transfer {
    /** How many bytes are buffered before the source is paused. */
    static final int WINDOW = 64 * 1024;
    /**
     * The same limit while all transfers together hold more than {@link BufferBudget#SMALL_WINDOW_THRESHOLD} bytes.
     */
    static final int SMALL_WINDOW = 8 * 1024;

    /** The side that fills a transfer. */
    public interface Source {
        /** There is space again, after {@link #offer} has returned false. */
        void resume();

        /** The rest of the body is not wanted any more. */
        void abandoned();
    }

    /** Counts the bytes that all transfers of a node hold together. */
    public static final class BufferBudget {
        /** Above this total, each transfer pauses its source at {@link #SMALL_WINDOW} bytes. */
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
    /**
     * Size of the chunk returned last. It counts as held until the next call of {@link #poll}, since it is still
     * being written.
     */
    private int lastPolledBytes;
    private int heldBytes;
    private boolean readStarted;
    private boolean paused;
    private boolean ended;
    private boolean failed;
    private boolean abandoned;

    public Transfer(BufferBudget budget, Source source) {
        this.budget = budget;
        this.source = source;
    }

    /**
     * Appends a copy of the bytes. After {@link #abandon} or a failure they are dropped.
     *
     * @return whether more bytes may be offered now; if not, {@link Source#resume} tells when
     */
    public boolean offer(ByteBuffer bytes) {
        if (abandoned || failed) {
            return true; // nobody reads any more, so the bytes are dropped
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

    /** The body is complete. */
    public void end() {
        ended = true;
        reader.run();
    }

    /** The rest of the body will not arrive. What is buffered is dropped, since it cannot become complete. */
    public void fail() {
        if (!ended && !failed && !abandoned) {
            failed = true;
            clear();
            reader.run();
        }
    }

    /**
     * Sets the reader's callback and runs it once.
     *
     * @param callback run whenever there may be a chunk to read, or the end or a failure to notice
     */
    public void setReader(Runnable callback) {
        reader = callback;
        callback.run();
    }

    /**
     * Returns the next chunk, or null if there is none now. The chunk returned before counts as written from here on.
     */
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

    /** The reader does not want the rest any more; the source is told so unless it has finished. */
    public void abandon() {
        if (!abandoned) {
            abandoned = true;
            clear();
            if (!ended && !failed) {
                source.abandoned();
            }
        }
    }

    /** Drops the transfer without notice to either side, since neither uses it any more. */
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

    /** Returns whether the reader has polled, so that the body cannot be sent again from its beginning. */
    public boolean hasReadStarted() {
        return readStarted;
    }

    /** Returns whether the whole body has arrived. */
    public boolean isFullyReceived() {
        return ended;
    }

    /** Returns whether the whole body has arrived and was read. */
    public boolean isFullyRead() {
        return ended && !failed && chunks.isEmpty();
    }

    public boolean hasFailed() {
        return failed;
    }
}
