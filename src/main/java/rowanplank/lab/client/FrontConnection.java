package rowanplank.lab.client;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.lab.client.AnswerReader.Progress;
import rowanplank.lab.net.Stamped;
import rowanplank.net.Loop;
import rowanplank.net.LoopConnection;

/** A client's connection to a node: one request at a time. */
final class FrontConnection extends LoopConnection {
    private final NodePool pool;
    private final AnswerReader reader = new AnswerReader();
    /** Whose answer is awaited; null while the connection is at rest. */
    private Asking asking;
    /** The last one answered here. */
    private Asking answered;
    private boolean endSeen;
    /** Where it rests, and its neighbours there; the stack's alone. */
    ConnectionStack stack;
    FrontConnection newer;
    FrontConnection older;

    /** @param first for whom it is opened; null if for nobody yet */
    FrontConnection(EndPoint endPoint, Loop loop, NodePool pool, Asking first) {
        super(endPoint, loop);
        this.pool = pool;
        asking = first;
    }

    @Override
    public void onOpen() {
        super.onOpen();
        if (asking != null) {
            pool.send(asking, this);
        } else if (!isOver()) { // it was not given up in the instant in which it came up
            pool.opened(this);
        }
    }

    void send(Asking next, String message) {
        asking = next;
        reader.reset();
        write(() -> written(next), ByteBuffer.wrap(message.getBytes(StandardCharsets.ISO_8859_1)));
    }

    private void written(Asking a) {
        if (a == asking) {
            a.written = true;
            pool.asked(a);
        }
    }

    /**
     * Whether the node may have closed it before it read the request: it was kept from an earlier one, and no byte of
     * an answer has come. Where the network knows, the node must not have read it: guards against a node that drops
     * what it has taken, which must not pass for a close that crossed a request.
     */
    boolean mayHaveCrossed() {
        return answered != null && mayBeUnread();
    }

    /** Whether no byte of an answer has come, and the node is not known to have read the request. */
    boolean mayBeUnread() {
        return !reader.begun() && !(getEndPoint() instanceof Stamped s && s.allRead());
    }

    /** Whether any byte of the awaited answer has come. */
    boolean answerBegun() {
        return reader.begun();
    }

    @Override
    protected void onBytes(ByteBuffer bytes) {
        if (asking == null) {
            behind();
            return;
        }
        progress(reader.read(bytes), bytes.hasRemaining());
    }

    private void progress(Progress progress, boolean more) {
        switch (progress) {
            case MORE -> { }
            case BROKEN -> close();
            case WHOLE -> {
                Asking a = asking;
                asking = null;
                answered = a;
                boolean keep = a.written && reader.keepsConnection() && !more && !endSeen;
                pool.answered(this, a, reader, keep);
                if (more) {
                    behind();
                }
            }
        }
    }

    /** Bytes have come that belong to no answer awaited here. */
    private void behind() {
        if (answered != null) {
            pool.answeredTwice(answered);
        }
        close();
    }

    @Override
    protected void onEnd() {
        endSeen = true;
        if (asking != null) {
            progress(reader.end(), false);
        }
        close();
    }

    /** Gives up what it carries, and closes. */
    void abandon() {
        asking = null;
        close();
    }

    @Override
    protected void onOver() {
        Asking lost = asking;
        asking = null;
        pool.over(this, lost, reader.fault());
    }
}
