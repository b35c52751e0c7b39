package rowanplank.measure;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import rowanplank.net.Loop;
import rowanplank.net.SelectorLoop;
import rowanplank.net.SystemClock;

/**
 * What a datagram costs the machine's part of a node's loop, from a call that sends it to the call that is handed it: two
 * loops send one to and fro on loopback, so that each wakes for every one, as nodes at rest do. Hollow nodes lack just this.
 */
final class DatagramCapacity {
    private static final int MOST_BYTES = 1400;
    private static final Duration LOST = Duration.ofMillis(500);
    private static final long PATIENCE_SECONDS = 120;

    private DatagramCapacity() { }

    /** @return microseconds of processor time for one that is sent and one that is received */
    static double measure(int bytes, int count) throws Exception {
        SelectorLoop near = new SelectorLoop(new SystemClock(), e -> { });
        SelectorLoop far = new SelectorLoop(new SystemClock(), e -> { });
        near.start();
        far.start();
        try {
            InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
            Loop.Datagrams[] sockets = new Loop.Datagrams[2];
            far.call(() -> sockets[1] = far.datagrams(any, MOST_BYTES, (from, payload) ->
                    sockets[1].send(from, ByteBuffer.allocate(payload.remaining()))));
            CompletableFuture<Double> done = new CompletableFuture<>();
            int[] come = new int[1];
            long[] from = new long[1];
            near.call(() -> sockets[0] = near.datagrams(any, MOST_BYTES, (sender, payload) -> {
                come[0]++;
                if (come[0] == count) { // as many again are counted
                    from[0] = Spent.nanosNow();
                }
                if (come[0] == 2 * count) {
                    done.complete((Spent.nanosNow() - from[0]) / 1e3 / count);
                } else {
                    sockets[0].send(sender, ByteBuffer.allocate(payload.remaining()));
                }
            }));
            near.call(() -> sockets[0].send(sockets[1].address(), ByteBuffer.allocate(bytes)));
            near.execute(() -> again(near, sockets, bytes, come, done));
            return done.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
        } finally {
            near.stop();
            far.stop();
        }
    }

    /** Sends one more where none came for a while: the one on its way was lost. */
    private static void again(SelectorLoop near, Loop.Datagrams[] sockets, int bytes, int[] come, CompletableFuture<Double> done) {
        int seen = come[0];
        near.schedule(LOST, () -> {
            if (come[0] == seen && !done.isDone()) {
                sockets[0].send(sockets[1].address(), ByteBuffer.allocate(bytes));
            }
            if (!done.isDone()) {
                again(near, sockets, bytes, come, done);
            }
        });
    }
}
