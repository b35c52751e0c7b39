package rowanplank.lab.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.ArrayDeque;
import java.util.function.Function;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.net.Loop;

/**
 * A listener, with the connections that the system has accepted and the process has not yet. As Linux does, it lets
 * one more wait than the backlog says and drops what asks for a connection beyond that.
 */
final class SimListening extends Work implements Loop.Listening {
    /** What Java makes of a backlog that is none. */
    private static final int DEFAULT_BACKLOG = 50;

    private final InetSocketAddress address;
    private final int backlog;
    private final Function<EndPoint, Connection> onAccept;
    private final ArrayDeque<SimSocket> queue = new ArrayDeque<>();
    private boolean asked;
    private boolean closed;

    SimListening(SimProcess process, InetSocketAddress address, int backlog,
            Function<EndPoint, Connection> onAccept) {
        super(process);
        this.address = address;
        this.backlog = backlog < 1 ? DEFAULT_BACKLOG : backlog;
        this.onAccept = onAccept;
    }

    boolean isOpen() {
        return !closed;
    }

    boolean isFull() {
        return queue.size() > backlog;
    }

    /** The system has accepted one. */
    void add(SimSocket socket) {
        queue.add(socket);
        if (!asked) {
            asked = true;
            run();
        }
    }

    /** A descriptor has become free: there may be one for what waits. */
    void lookAgain() {
        if (!asked && !queue.isEmpty()) {
            asked = true;
            process.execute(this);
        }
    }

    /** Accepts one connection, and leaves the next to another task: others have their turn between. */
    @Override
    void perform() {
        asked = false;
        if (!queue.isEmpty() && process.hasDescriptor()) {
            SimSocket socket = take();
            lookAgain();
            process.open(socket, onAccept);
        }
    }

    private SimSocket take() {
        SimSocket socket = queue.poll();
        process.hold(socket);
        return socket;
    }

    @Override
    public InetSocketAddress address() {
        return address;
    }

    @Override
    public void acceptPending() throws IOException {
        while (!queue.isEmpty()) {
            if (!process.hasDescriptor()) {
                throw new SocketException("Too many open files");
            }
            SimSocket socket = take();
            process.execute(() -> process.open(socket, onAccept));
        }
    }

    @Override
    public void close() {
        if (!closed) {
            closed = true;
            process.closed(this);
            while (!queue.isEmpty()) {
                queue.poll().reset();
            }
        }
    }
}
