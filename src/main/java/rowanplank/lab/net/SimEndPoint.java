package rowanplank.lab.net;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.util.BufferUtil;

/**
 * A process's side of a simulated connection. It behaves as the real loop's end point on a socket does: a reset fails a
 * read once what came before it has been read, and fails each write.
 */
public final class SimEndPoint extends AbstractEndPoint implements Stamped {
    private final SimProcess process;
    private final SimSocket socket;
    private final Work ready;
    private final long created;
    private boolean writeInterested;
    private boolean asked;

    SimEndPoint(SimProcess process, SimSocket socket) {
        super(process.scheduler());
        this.process = process;
        this.socket = socket;
        created = process.clock().now().toEpochMilli();
        ready = new Work(process) {
            @Override
            void perform() {
                onReady();
            }
        };
    }

    /** Something has come, or there is room again: the process looks at it, if it wants to, once it has the time. */
    void wake() {
        if (!asked && isReady()) {
            asked = true;
            ready.run();
        }
    }

    /** The same, from within the process's own call: never within that call. */
    private void wakeLater() {
        if (!asked && isReady()) {
            asked = true;
            process.execute(ready);
        }
    }

    private boolean isReady() {
        return isFillInterested() && socket.isReadable() || writeInterested && socket.isWritable();
    }

    private void onReady() {
        asked = false;
        boolean readable = isFillInterested() && socket.isReadable();
        if (writeInterested && socket.isWritable()) {
            writeInterested = false;
            getWriteFlusher().completeWrite();
        }
        if (readable) {
            getFillInterest().fillable();
        }
    }

    @Override
    protected void needsFillInterest() {
        wakeLater();
    }

    @Override
    protected void onIncompleteFlush() {
        writeInterested = true;
        wakeLater();
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (isInputShutdown()) {
            return -1;
        }
        int position = BufferUtil.flipToFill(buffer);
        int filled;
        try {
            filled = socket.read(buffer);
        } catch (IOException e) {
            shutdownInput();
            throw e;
        } finally {
            BufferUtil.flipToFlush(buffer, position);
        }
        if (filled < 0) {
            shutdownInput();
        } else {
            process.moved(filled);
        }
        return filled;
    }

    @Override
    public boolean flush(ByteBuffer... buffers) throws IOException {
        try {
            process.moved(socket.write(buffers));
        } catch (IOException e) {
            throw new EofException(e);
        }
        for (ByteBuffer b : buffers) {
            if (b.hasRemaining()) {
                return false;
            }
        }
        return true;
    }

    @Override
    protected void doShutdownOutput() {
        socket.endOutput();
    }

    @Override
    protected void doClose() {
        socket.close();
    }

    @Override
    public void onClose(Throwable failure) {
        super.onClose(failure);
        process.execute(() -> {
            Connection connection = getConnection();
            if (connection != null) {
                connection.onClose(failure);
            }
        });
    }

    @Override
    public SocketAddress getLocalSocketAddress() {
        return socket.local;
    }

    @Override
    public SocketAddress getRemoteSocketAddress() {
        return socket.remote;
    }

    @Override
    public Object getTransport() {
        return socket;
    }

    /** Guards determinism: Jetty's idle time-outs follow the machine's own clock. */
    @Override
    public void setIdleTimeout(long millis) {
        if (millis > 0) {
            throw new UnsupportedOperationException("idle time-outs are off in virtual time");
        }
    }

    @Override
    public void notIdle() { }

    @Override
    public long getCreatedTimeStamp() {
        return created;
    }

    @Override
    public long firstByteSentAt() {
        return socket.firstByteSentAt();
    }

    @Override
    public long lastByteSentAt() {
        return socket.lastByteSentAt();
    }

    @Override
    public long endSentAt() {
        return socket.endSentAt();
    }

    @Override
    public boolean allRead() {
        return socket.allRead();
    }
}
