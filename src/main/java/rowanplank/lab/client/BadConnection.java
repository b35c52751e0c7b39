package rowanplank.lab.client;

import java.nio.ByteBuffer;
import java.time.Duration;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.lab.client.AnswerReader.Progress;
import rowanplank.lab.client.BadScript.Then;
import rowanplank.net.Loop;
import rowanplank.net.LoopConnection;

/**
 * A connection that sends what its script says at full speed, and reads all that it is sent. It leaves when its time
 * is up, at the latest.
 */
final class BadConnection extends LoopConnection {
    /** Whose connection it is. */
    interface Owner {
        /** It is up, and nothing has been sent. */
        void opened();

        /** The script has been sent. */
        default void sent() { }

        /** A whole answer has come. */
        void answered(BadConnection connection, int status);

        /** @param left whether this side has closed it since its time was up */
        void over(boolean left);
    }

    private final Loop loop;
    private final BadScript script;
    private final Duration stays;
    private final Owner owner;
    private final AnswerReader reader = new AnswerReader();
    private Loop.Timer leaving;
    private boolean left;
    private boolean unreadable;

    BadConnection(EndPoint endPoint, Loop loop, BadScript script, Duration stays, Owner owner) {
        super(endPoint, loop);
        this.loop = loop;
        this.script = script;
        this.stays = stays;
        this.owner = owner;
    }

    @Override
    public void onOpen() {
        super.onOpen();
        leaving = loop.schedule(stays, this::leave);
        owner.opened();
        sendNext();
    }

    private void leave() {
        left = true;
        close();
    }

    private void sendNext() {
        if (isOver()) {
            return;
        }
        if (script.pieces().hasNext()) {
            // As a task of its own: a long body must neither fill the stack nor keep the loop for itself.
            write(() -> loop.execute(this::sendNext), ByteBuffer.wrap(script.pieces().next()));
            return;
        }
        owner.sent();
        if (script.then() == Then.END_SENDING) {
            getEndPoint().shutdownOutput();
        } else if (script.then() == Then.CLOSE) {
            close();
        }
    }

    /** Sends something more. */
    void send(byte[] bytes) {
        write(() -> { }, ByteBuffer.wrap(bytes));
    }

    @Override
    protected void onBytes(ByteBuffer bytes) {
        while (!unreadable && !isOver() && bytes.hasRemaining()) {
            Progress progress = reader.read(bytes);
            unreadable = progress == Progress.BROKEN;
            if (progress == Progress.WHOLE) {
                int status = reader.status();
                reader.reset();
                owner.answered(this, status);
            }
        }
    }

    @Override
    protected void onEnd() {
        if (!unreadable && reader.end() == Progress.WHOLE) {
            owner.answered(this, reader.status());
        }
        close();
    }

    @Override
    protected void onOver() {
        if (leaving != null) {
            leaving.cancel();
        }
        owner.over(left);
    }
}
