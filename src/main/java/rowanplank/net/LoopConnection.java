package rowanplank.net;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;

/**
 * A connection served by the event loop: reads whatever comes, writes one message at a time, and says once when it
 * is over, whichever side ended it.
 */
public abstract class LoopConnection extends AbstractConnection {
    /** Guards the others: one that sends at full speed must not keep the loop for itself. */
    private static final int MOST_READS_A_TURN = 4;
    /** What a look takes at a time, where it finds anything. */
    private static final int LOOK_BYTES = 16 * 1024;

    private final Callback fillable = Callback.from(Invocable.InvocationType.NON_BLOCKING,
            this::onFillable, cause -> ended());
    private final Loop loop;
    private boolean over;
    private boolean paused;
    /** Whether this will be called again by itself: reading is asked for, or queued. */
    private boolean armed;
    private boolean reading;
    private boolean writing;
    /** No side ever has more than one message waiting: an answer, after the leave to send a body. */
    private Runnable next;

    protected LoopConnection(EndPoint endPoint, Loop loop) {
        super(endPoint, loop);
        this.loop = loop;
    }

    /** Bytes have come; those left in the buffer are dropped. */
    protected abstract void onBytes(ByteBuffer bytes);

    /** The other side has ended its sending: nothing more comes. */
    protected abstract void onEnd();

    /** The connection is closed, by whichever side. Called once. */
    protected abstract void onOver();

    @Override
    public void onOpen() {
        super.onOpen();
        awaitMore();
    }

    @Override
    public void onFillable() {
        armed = false;
        reading = true;
        read();
        reading = false;
    }

    private void read() {
        ByteBuffer buffer = loop.readBuffer();
        try {
            for (int reads = 0; !over && !paused; reads++) {
                if (reads == MOST_READS_A_TURN) {
                    readLater();
                    return;
                }
                buffer.clear().limit(0);
                int read = getEndPoint().fill(buffer);
                if (read < 0) {
                    onEnd();
                    return;
                }
                if (read > 0) {
                    onBytes(buffer);
                }
                if (read < buffer.capacity()) { // that was all: another read would only find nothing
                    awaitMore();
                    return;
                }
            }
        } catch (IOException e) {
            ended();
        } catch (RuntimeException e) {
            failed(e);
        }
    }

    private void awaitMore() {
        if (!over && !paused && !armed) {
            armed = true;
            fillInterested(fillable);
        }
    }

    private void readLater() {
        armed = true;
        loop.execute(this::onFillable);
    }

    /** Reads no more: what else the other side sends waits there until reading is resumed, or for good. */
    protected void pauseReading() {
        paused = true;
    }

    /** Reads on, soon and never within this call. */
    protected void resumeReading() {
        if (paused && !over) {
            paused = false;
            if (!armed && !reading) {
                readLater();
            }
        }
    }

    protected boolean isPaused() {
        return paused;
    }

    /** Ends the connection so that the other side sees that something is missing, whatever it has got. */
    protected void abort() {
        if (!over && getEndPoint() instanceof SocketChannelEndPoint machine) {
            try {
                machine.getChannel().setOption(StandardSocketOptions.SO_LINGER, 0);
            } catch (IOException e) {
                // it is closed without
            }
        }
        close();
    }

    /** Reads what has come but was not yet seen, an end as well, so that nothing is done in spite of it. */
    protected void lastLook() {
        if (!paused) {
            look();
        }
    }

    /** The same, also where reading is paused: an end can only be seen behind the bytes before it. */
    protected void lookBeyondPause() {
        look();
    }

    /** Never reads into the loop's buffer: whoever has this looked at may be at work on what is in there. */
    private void look() {
        try {
            for (int looks = 0; !over && looks < MOST_READS_A_TURN; looks++) {
                ByteBuffer first = ByteBuffer.allocate(1).limit(0);
                int read = getEndPoint().fill(first);
                if (read < 0) {
                    onEnd();
                }
                if (read <= 0) {
                    return;
                }
                ByteBuffer bytes = ByteBuffer.allocate(LOOK_BYTES).put(first).flip();
                getEndPoint().fill(bytes);
                onBytes(bytes);
            }
        } catch (IOException e) {
            ended();
        } catch (RuntimeException e) {
            failed(e);
        }
    }

    /** Guards against a connection that is left half done: it would keep its socket for ever. */
    private void failed(RuntimeException cause) {
        loop.report(cause);
        ended();
    }

    /** Writes a message whole, after the one before it; a failure to do so ends the connection. */
    protected void write(Runnable written, ByteBuffer... message) {
        if (writing) {
            next = () -> write(written, message);
            return;
        }
        writing = true;
        getEndPoint().write(Callback.from(Invocable.InvocationType.NON_BLOCKING, () -> {
            writing = false;
            try {
                written.run();
                Runnable following = next;
                next = null;
                if (following != null) {
                    following.run();
                }
            } catch (RuntimeException e) {
                failed(e);
            }
        }, cause -> ended()), message);
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        ended();
    }

    @Override
    public void close() {
        ended();
    }

    public boolean isOver() {
        return over;
    }

    private void ended() {
        if (!over) {
            over = true;
            getEndPoint().close();
            onOver();
        }
    }
}
