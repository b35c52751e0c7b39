package rowanplank.lab.net;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.lab.world.World;
import rowanplank.net.Loop;
import rowanplank.net.LoopConnection;

/**
 * Measures what a request and its answer, of 300 bytes each on a kept connection, cost: run by hand, on one core.
 * Arguments: how many connections between how many pairs of machines; by default 1000 each.
 */
final class NetworkSpeed {
    private static final int BYTES = 300;
    private static final int ROUNDS = 8;
    private static final int EXCHANGES = 1_000_000;

    private long exchanges;

    private NetworkSpeed() { }

    public static void main(String[] args) throws IOException {
        int pairs = args.length > 0 ? Integer.parseInt(args[0]) : 1000;
        NetworkSpeed speed = new NetworkSpeed();
        World world = new World(1);
        SimNetwork network = new SimNetwork(world, Stage.Simulated.figures(0.1, 0.0001), 3);
        for (int i = 0; i < pairs; i++) {
            speed.addPair(network, i);
        }
        for (int round = 0; round < ROUNDS; round++) {
            long goal = speed.exchanges + EXCHANGES;
            long before = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
            while (speed.exchanges < goal) {
                world.step();
            }
            long spent = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - before;
            System.out.printf("%d connections: %.2f us of CPU an exchange, %.0f exchanges a second of a core%n", pairs,
                    spent / 1e3 / EXCHANGES, EXCHANGES / (spent / 1e9));
        }
    }

    private void addPair(SimNetwork network, int i) throws IOException {
        SimProcess server = boot(network, "server", i, 0);
        SimProcess client = boot(network, "client", i, 128);
        InetSocketAddress address = new InetSocketAddress(server.machine().address(), 80);
        server.listen(address, 50, e -> new Side(e, server, false));
        client.connect(address, Duration.ofSeconds(30), new Loop.Connector() {
            @Override
            public Connection connected(EndPoint endPoint) {
                return new Side(endPoint, client, true);
            }

            @Override
            public void failed(Throwable cause) {
                throw new IllegalStateException(cause);
            }
        });
    }

    private static SimProcess boot(SimNetwork network, String name, int i, int net) {
        return network.machine(name + i, i % 3, SimNetwork.ip(10, net + (i >> 16), i >> 8, i))
                .boot(Process.unbounded(name), e -> {
                    throw new IllegalStateException(e);
                });
    }

    /** Writes a message, and for each that comes whole the next. */
    private final class Side extends LoopConnection {
        private final boolean asks;
        private int missing = BYTES;

        Side(EndPoint endPoint, Loop loop, boolean asks) {
            super(endPoint, loop);
            this.asks = asks;
        }

        @Override
        public void onOpen() {
            super.onOpen();
            if (asks) {
                say();
            }
        }

        private void say() {
            write(() -> { }, ByteBuffer.allocate(BYTES));
        }

        @Override
        protected void onBytes(ByteBuffer bytes) {
            missing -= bytes.remaining();
            if (missing == 0) {
                missing = BYTES;
                exchanges += asks ? 1 : 0;
                say();
            }
        }

        @Override
        protected void onEnd() {
            close();
        }

        @Override
        protected void onOver() { }
    }
}
