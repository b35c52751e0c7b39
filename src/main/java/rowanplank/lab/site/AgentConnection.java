package rowanplank.lab.site;

import java.nio.ByteBuffer;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.net.Loop;
import rowanplank.net.LoopConnection;

/** A node's connection to its discovery agent: one call at a time. */
final class AgentConnection extends LoopConnection {
    /**
     * A call that is not yet answered.
     *
     * @param index the version that the node has; -1 if it asks for the whole list
     * @param until when it is answered though there is nothing new, in nanoseconds since the beginning
     */
    record Call(long index, long until) { }

    private final MessageReader reader = new MessageReader();
    private final DiscoveryAgent agent;
    /** How often the agent had moved when it was accepted. */
    private final int moves;
    private Call call;
    private Loop.Timer patience;
    private boolean writing;
    private boolean silent;

    AgentConnection(EndPoint endPoint, Loop loop, DiscoveryAgent agent, int moves) {
        super(endPoint, loop);
        this.agent = agent;
        this.moves = moves;
    }

    int moves() {
        return moves;
    }

    /** The call that waits for an answer; null if none does. */
    Call call() {
        return call;
    }

    void call(Call next, Loop.Timer untilThen) {
        call = next;
        patience = untilThen;
    }

    @Override
    public void onOpen() {
        super.onOpen();
        agent.opened(this);
    }

    @Override
    protected void onBytes(ByteBuffer bytes) {
        while (bytes.hasRemaining() && !isOver() && !silent) {
            if (call != null || writing) {
                close(); // guards against calls sent ahead, which no node makes
                return;
            }
            MessageReader.Progress progress = reader.read(bytes);
            if (progress == MessageReader.Progress.MORE) {
                return;
            }
            if (progress == MessageReader.Progress.BROKEN) {
                silent = true;
                write(this::close, Answers.message(400, Answers.CLOSE));
                return;
            }
            agent.asked(this, reader.method(), reader.target());
            reader.reset();
        }
    }

    /** Answers the call. */
    void answer(ByteBuffer message) {
        endCall();
        writing = true;
        write(() -> writing = false, message);
    }

    /** Begins to answer the call, and either says nothing more or closes. */
    void stopHalfWay(ByteBuffer part, boolean closes) {
        endCall();
        silent = true;
        write(closes ? this::close : () -> { }, part);
    }

    private void endCall() {
        call = null;
        if (patience != null) {
            patience.cancel();
            patience = null;
        }
    }

    @Override
    protected void onEnd() {
        close();
    }

    @Override
    protected void onOver() {
        endCall();
        agent.over(this);
    }
}
