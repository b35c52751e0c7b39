package rowanplank.lab.trial;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.lab.net.SimProcess;
import rowanplank.lab.world.World;
import rowanplank.net.Clock;
import rowanplank.net.Loop;

/** The seam of a node in virtual time: a process that can stand still, on a clock that runs fast or slow. */
final class VirtualLoop implements Loop {
    /** Where a datagram goes: which ways it takes is the trial's to say. */
    interface Carrier {
        void carry(VirtualLoop from, InetSocketAddress to, byte[] payload);
    }

    private final World world;
    private final SimProcess process;
    private final double rate;
    private final Carrier carrier;
    private final List<Bound> bound = new ArrayList<>();

    /** @param rate of its clock: 1 is true time */
    VirtualLoop(World world, SimProcess process, double rate, Carrier carrier) {
        this.world = world;
        this.process = process;
        this.rate = rate;
        this.carrier = carrier;
    }

    SimProcess process() {
        return process;
    }

    @Override
    public Clock clock() {
        return () -> World.BEGINNING.plusNanos((long) (world.nanos() * rate));
    }

    @Override
    public void execute(Runnable task) {
        process.execute(task);
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
        // Rounded up, so that by this process's own clock the time has passed.
        return process.schedule(Duration.ofNanos((long) Math.ceil(delay.toNanos() / rate) + 1), task);
    }

    private final class Bound implements Datagrams {
        private final InetSocketAddress address;
        private final int mostBytes;
        private final Receiver receiver;

        Bound(InetSocketAddress address, int mostBytes, Receiver receiver) {
            this.address = address;
            this.mostBytes = mostBytes;
            this.receiver = receiver;
        }

        @Override
        public InetSocketAddress address() {
            return address;
        }

        @Override
        public boolean send(InetSocketAddress to, ByteBuffer payload) {
            byte[] bytes = new byte[payload.remaining()];
            payload.get(bytes);
            carrier.carry(VirtualLoop.this, to, bytes);
            return true;
        }

        @Override
        public void close() {
            bound.remove(this);
        }
    }

    @Override
    public Datagrams datagrams(InetSocketAddress address, int mostBytes, Receiver receiver) {
        Bound opened = new Bound(address, mostBytes, receiver);
        bound.add(opened);
        return opened;
    }

    /** A datagram is here. */
    void arrived(InetSocketAddress from, InetSocketAddress at, byte[] payload) {
        for (Bound b : List.copyOf(bound)) {
            if (b.address.equals(at) && payload.length <= b.mostBytes) {
                process.execute(() -> b.receiver.received(from, ByteBuffer.wrap(payload)));
            }
        }
    }

    @Override
    public Listening listen(InetSocketAddress address, int backlog, Function<EndPoint, Connection> onAccept)
            throws IOException {
        return process.listen(address, backlog, onAccept);
    }

    @Override
    public Opening connect(InetSocketAddress address, Duration timeout, Connector connector) {
        return process.connect(address, timeout, connector);
    }

    @Override
    public ByteBuffer readBuffer() {
        return process.readBuffer();
    }

    @Override
    public void report(Throwable failure) {
        process.report(failure);
    }
}
