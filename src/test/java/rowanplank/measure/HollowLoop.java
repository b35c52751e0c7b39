package rowanplank.measure;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.function.Function;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.lab.world.Agenda;
import rowanplank.lab.world.World;
import rowanplank.net.Clock;
import rowanplank.net.Loop;

/**
 * The seam of a hollow node: virtual time, datagrams that arrive whole after a moment, no connections. It counts the
 * processor time of all that its node does; the machine's sockets are not in it.
 */
final class HollowLoop implements Loop {
    /** Where datagrams go. */
    interface Carrier {
        void carry(InetSocketAddress from, InetSocketAddress to, byte[] payload);
    }

    private final World world;
    private final Carrier carrier;
    private InetSocketAddress address;
    private Receiver receiver;
    private boolean dead;
    private long nanos;
    private long tasks;

    HollowLoop(World world, Carrier carrier) {
        this.world = world;
        this.carrier = carrier;
    }

    /** Processor time of its node so far. */
    long nanos() {
        return nanos;
    }

    /** How many tasks that was, each of which had two looks at the thread's time. */
    long tasks() {
        return tasks;
    }

    void kill() {
        dead = true;
    }

    private void run(Runnable task) {
        if (dead) {
            return;
        }
        long before = Spent.nanosNow();
        task.run();
        nanos += Spent.nanosNow() - before;
        tasks++;
    }

    void arrived(InetSocketAddress from, byte[] payload) {
        if (receiver != null) {
            run(() -> receiver.received(from, ByteBuffer.wrap(payload)));
        }
    }

    @Override
    public Clock clock() {
        return world.clock();
    }

    @Override
    public void execute(Runnable task) {
        world.after(Duration.ZERO, () -> run(task));
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
        Agenda.Entry entry = world.after(delay, () -> run(task));
        return entry::strike;
    }

    @Override
    public Datagrams datagrams(InetSocketAddress at, int mostBytes, Receiver told) {
        address = at;
        receiver = told;
        return new Datagrams() {
            @Override
            public InetSocketAddress address() {
                return address;
            }

            @Override
            public boolean send(InetSocketAddress to, ByteBuffer payload) {
                byte[] bytes = new byte[payload.remaining()];
                payload.get(bytes);
                carrier.carry(address, to, bytes);
                return true;
            }

            @Override
            public void close() {
                receiver = null;
            }
        };
    }

    @Override
    public Listening listen(InetSocketAddress at, int backlog, Function<EndPoint, Connection> onAccept) throws IOException {
        throw new IOException("a hollow node has no connections");
    }

    @Override
    public Opening connect(InetSocketAddress to, Duration timeout, Connector connector) {
        throw new UnsupportedOperationException("a hollow node has no connections");
    }

    @Override
    public ByteBuffer readBuffer() {
        throw new UnsupportedOperationException("a hollow node has no connections");
    }

    @Override
    public void report(Throwable failure) {
        throw new IllegalStateException(failure);
    }
}
