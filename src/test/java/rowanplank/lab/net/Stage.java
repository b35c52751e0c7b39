package rowanplank.lab.net;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import rowanplank.lab.day.Day;
import rowanplank.lab.world.World;
import rowanplank.net.Loop;
import rowanplank.net.SelectorLoop;
import rowanplank.net.SystemClock;

/** Two loops on one network, real or simulated, and the means to play the same scene on both. */
abstract class Stage implements Closeable {
    interface Act {
        void run() throws IOException;
    }

    /** The failures that tasks ended with; none are foreseen. */
    final List<Throwable> failures = new ArrayList<>();

    abstract Loop server();

    abstract Loop client();

    /** An address at which the server can listen, the port left to the system. */
    abstract InetSocketAddress any();

    /** An address that never answers. */
    abstract InetSocketAddress silent() throws IOException;

    /** Runs the act on the loop, and returns when it has run. */
    abstract void run(Loop loop, Act act) throws Exception;

    /** Returns once the condition, looked at on the loop, holds. */
    abstract void until(Loop loop, BooleanSupplier condition) throws Exception;

    /** From now on the loop runs nothing, until {@link #release}; then the act comes first. */
    abstract void hold(Loop loop, Act then) throws Exception;

    abstract void release(Loop loop);

    abstract void kill(Loop loop) throws IOException;

    @Override
    public abstract void close() throws IOException;

    private static void act(Act act, CompletableFuture<Void> done) {
        try {
            act.run();
            done.complete(null);
        } catch (IOException | RuntimeException | AssertionError e) {
            done.completeExceptionally(e);
        }
    }

    /** On loopback sockets. */
    static final class Real extends Stage {
        private static final long PATIENCE_SECONDS = 20;
        private final SelectorLoop server = new SelectorLoop(new SystemClock(), failures::add);
        private final SelectorLoop client = new SelectorLoop(new SystemClock(), failures::add);
        private final CountDownLatch held = new CountDownLatch(1);
        private final List<SelectorLoop> stopped = new ArrayList<>();
        private final List<Closeable> opened = new ArrayList<>();

        Real() throws Exception {
            server.start();
            client.start();
        }

        @Override
        Loop server() {
            return server;
        }

        @Override
        Loop client() {
            return client;
        }

        @Override
        InetSocketAddress any() {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        }

        /** A listener that accepts nothing, with its queue full: the system drops all that would connect to it. */
        @Override
        InetSocketAddress silent() throws IOException {
            ServerSocketChannel full = ServerSocketChannel.open().bind(any(), 1);
            opened.add(full);
            InetSocketAddress address = (InetSocketAddress) full.getLocalAddress();
            opened.add(SocketChannel.open(address));
            opened.add(SocketChannel.open(address));
            return address;
        }

        @Override
        void run(Loop loop, Act act) throws Exception {
            CompletableFuture<Void> done = new CompletableFuture<>();
            loop.execute(() -> act(act, done));
            done.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
        }

        @Override
        void until(Loop loop, BooleanSupplier condition) throws Exception {
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
            boolean[] holds = {false};
            while (!holds[0]) {
                if (System.nanoTime() > end) {
                    throw new AssertionError("never came true");
                }
                run(loop, () -> holds[0] = condition.getAsBoolean());
                LockSupport.parkNanos(100_000); // leaves the core to the loops; no outcome hangs on it
            }
        }

        @Override
        void hold(Loop loop, Act then) throws Exception {
            CountDownLatch begun = new CountDownLatch(1);
            loop.execute(() -> {
                try {
                    begun.countDown();
                    held.await();
                    then.run();
                } catch (IOException | InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            });
            begun.await();
        }

        @Override
        void release(Loop loop) {
            held.countDown();
        }

        @Override
        void kill(Loop loop) throws IOException {
            stopped.add((SelectorLoop) loop);
            try {
                ((SelectorLoop) loop).stop();
            } catch (Exception e) {
                throw new IOException(e);
            }
        }

        @Override
        public void close() throws IOException {
            held.countDown();
            for (SelectorLoop loop : List.of(server, client)) {
                if (!stopped.contains(loop)) {
                    kill(loop);
                }
            }
            for (Closeable o : opened) {
                o.close();
            }
        }
    }

    /** In virtual time. */
    static final class Simulated extends Stage {
        private static final Duration HELD = Duration.ofSeconds(20);
        private static final long PATIENCE = Duration.ofMinutes(5).toNanos();
        final World world = new World(7);
        final SimNetwork network = new SimNetwork(world, figures(0, 0), 2);
        final SimMachine serverMachine = network.machine("server", 0, SimNetwork.ip(10, 0, 0, 1));
        final SimMachine clientMachine = network.machine("client", 1, SimNetwork.ip(10, 0, 0, 2));
        final SimProcess server = serverMachine.boot(Process.unbounded("server"), failures::add);
        final SimProcess client = clientMachine.boot(Process.unbounded("client"), failures::add);

        static Day.Network figures(double jitter, double loss) {
            return new Day.Network(Duration.ofNanos(200_000), Duration.ofMillis(1), Duration.ofMillis(2), jitter, loss,
                    Duration.ofMillis(1), Duration.ofMillis(30));
        }

        @Override
        Loop server() {
            return server;
        }

        @Override
        Loop client() {
            return client;
        }

        @Override
        InetSocketAddress any() {
            return new InetSocketAddress(serverMachine.address(), 0);
        }

        @Override
        InetSocketAddress silent() {
            SimMachine silent = network.machine("silent", 0, SimNetwork.ip(10, 0, 0, 3));
            silent.vanish();
            return new InetSocketAddress(silent.address(), 80);
        }

        @Override
        void run(Loop loop, Act act) throws Exception {
            CompletableFuture<Void> done = new CompletableFuture<>();
            loop.execute(() -> act(act, done));
            while (!done.isDone() && world.step()) { }
            done.get(0, TimeUnit.SECONDS);
        }

        @Override
        void until(Loop loop, BooleanSupplier condition) {
            long end = world.nanos() + PATIENCE;
            while (!condition.getAsBoolean()) {
                if (!world.step() || world.nanos() > end) {
                    throw new AssertionError("never came true");
                }
            }
        }

        @Override
        void hold(Loop loop, Act then) {
            ((SimProcess) loop).pause(HELD);
            loop.execute(() -> {
                try {
                    then.run();
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
        }

        @Override
        void release(Loop loop) { }

        @Override
        void kill(Loop loop) {
            ((SimProcess) loop).kill();
        }

        @Override
        public void close() { }
    }
}
