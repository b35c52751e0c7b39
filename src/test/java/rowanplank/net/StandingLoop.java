package rowanplank.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Function;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;

/** A loop whose clock stands, whose timers never come, and whose tasks run when the test says; for one side's tests. */
public class StandingLoop implements Loop {
    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private final ByteBuffer readBuffer = ByteBuffer.allocate(1 << 16);

    /** Runs all tasks, those that come up meanwhile included. */
    public void run() {
        for (Runnable task; (task = tasks.poll()) != null;) {
            task.run();
        }
    }

    /** One that keeps what is written to it. */
    protected ByteArrayEndPoint endPoint() {
        return new ByteArrayEndPoint(null, 0, (byte[]) null, 1 << 16) {
            @Override
            protected void execute(Runnable task) {
                tasks.add(task);
            }
        };
    }

    protected static void open(ByteArrayEndPoint endPoint, Connection connection) {
        endPoint.setConnection(connection);
        connection.onOpen();
    }

    @Override
    public Clock clock() {
        return () -> Instant.EPOCH;
    }

    @Override
    public void execute(Runnable task) {
        tasks.add(task);
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
        return () -> true;
    }

    @Override
    public Opening connect(InetSocketAddress address, Duration timeout, Connector connector) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Listening listen(InetSocketAddress address, int backlog, Function<EndPoint, Connection> onAccept) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Datagrams datagrams(InetSocketAddress address, int mostBytes, Receiver receiver) {
        throw new UnsupportedOperationException();
    }

    @Override
    public ByteBuffer readBuffer() {
        return readBuffer;
    }

    @Override
    public void report(Throwable failure) {
        throw new IllegalStateException(failure);
    }
}
