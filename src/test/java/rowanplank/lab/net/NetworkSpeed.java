package rowanplank.lab.net;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.lab.world.World;
import rowanplank.net.Loop;
import rowanplank.net.LoopConnection;

/**
 * Measures what a request and its answer of 300 bytes each cost, on kept connections and on one of its own each, and
 * what memory a pair of machines with a connection takes: run by hand, on one core. Argument: how many pairs of
 * machines; by default 1000.
 */
final class NetworkSpeed {
    private static final int BYTES = 300;
    private static final int ROUNDS = 8;
    private static final int EXCHANGES = 1_000_000;

    private final boolean keeps;
    private long exchanges;

    private NetworkSpeed(boolean keeps) {
        this.keeps = keeps;
    }

    public static void main(String[] args) throws IOException {
        int pairs = args.length > 0 ? Integer.parseInt(args[0]) : 1000;
        new NetworkSpeed(true).measure("kept", pairs);
        new NetworkSpeed(false).measure("new", pairs);
    }

    private void measure(String kind, int pairs) throws IOException {
        World world = new World(1);
        long empty = usedBytes();
        SimNetwork network = new SimNetwork(world, Stage.Simulated.figures(0.1, 0.0001), 3);
        for (int i = 0; i < pairs; i++) {
            addPair(network, i);
        }
        for (int round = 0; round < ROUNDS; round++) {
            long goal = exchanges + EXCHANGES;
            long before = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
            while (exchanges < goal) {
                world.step();
            }
            long spent = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - before;
            System.out.printf("%d %s connections: %.2f us of CPU an exchange, %.0f exchanges a second of a core%n",
                    pairs, kind, spent / 1e3 / EXCHANGES, EXCHANGES / (spent / 1e9));
        }
        if (keeps) { // later there is the other network's garbage in it
            System.out.printf("%.1f KiB a pair%n", (usedBytes() - empty) / 1024.0 / pairs);
        }
        Reference.reachabilityFence(network);
    }

    private static long usedBytes() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private void addPair(SimNetwork network, int i) throws IOException {
        SimProcess server = boot(network, "server", i, 0);
        SimProcess client = boot(network, "client", i, 128);
        InetSocketAddress address = new InetSocketAddress(server.machine().address(), 80);
        server.listen(address, 50, e -> new Side(e, server, false));
        connect(client, address);
    }

    private void connect(SimProcess client, InetSocketAddress address) {
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
        private final Loop loop;
        private final boolean asks;
        private int missing = BYTES;

        Side(EndPoint endPoint, Loop loop, boolean asks) {
            super(endPoint, loop);
            this.loop = loop;
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
                if (asks && !keeps) {
                    close();
                    connect((SimProcess) loop, (InetSocketAddress) getEndPoint().getRemoteSocketAddress());
                } else {
                    say();
                }
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
