package rowanplank.lab.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable.InvocationType;
import rowanplank.net.Loop;

/** A connection that does what a test tells it and notes what it sees. Bytes sent are a count; it checks theirs. */
final class Probe extends AbstractConnection {
    private final Loop loop;
    private final boolean reads;
    final List<String> notes = new ArrayList<>();
    long received;
    long sent;
    /** Something can be read, which it has not done. */
    boolean readable;
    boolean ended;
    boolean closed;
    boolean writing;
    boolean failed;

    /** @param reads whether it reads what comes at once, or waits until it is told to */
    Probe(EndPoint endPoint, Loop loop, boolean reads) {
        super(endPoint, loop);
        this.loop = loop;
        this.reads = reads;
    }

    @Override
    public void onOpen() {
        super.onOpen();
        await();
    }

    private void await() {
        if (!isFillInterested()) {
            fillInterested(Callback.from(InvocationType.NON_BLOCKING, this::onFillable,
                    e -> notes.add("fill failed")));
        }
    }

    @Override
    public void onFillable() {
        readable = true;
        if (reads) {
            read();
        }
    }

    /** Reads all there is, and goes on to read what comes. */
    void read() {
        readable = false;
        try {
            ByteBuffer buffer = loop.readBuffer();
            while (!ended) {
                buffer.clear().limit(0);
                int filled = getEndPoint().fill(buffer);
                if (filled == 0) {
                    await();
                    return;
                }
                ended = filled < 0;
                while (buffer.hasRemaining()) {
                    if (buffer.get() != (byte) received++) {
                        throw new IllegalStateException("other bytes than were sent, at " + received);
                    }
                }
            }
        } catch (IOException e) {
            ended = true;
            notes.add("read failed");
        }
    }

    void write(int count) {
        byte[] bytes = new byte[count];
        for (int i = 0; i < count; i++) {
            bytes[i] = (byte) sent++;
        }
        writing = true;
        getEndPoint().write(Callback.from(InvocationType.NON_BLOCKING, () -> writing = false, e -> {
            writing = false;
            failed = true;
        }), ByteBuffer.wrap(bytes));
    }

    /** Hands the system as much as it takes at once. @return how much that was */
    int flush(int count) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(count);
        for (int i = 0; i < count; i++) {
            bytes.put((byte) (sent + i));
        }
        getEndPoint().flush(bytes.flip());
        sent += bytes.position();
        return bytes.position();
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        closed = true;
        notes.add("closed");
    }

    @Override
    public void close() {
        notes.add("close");
        getEndPoint().close();
        notes.add("close returned");
    }
}
