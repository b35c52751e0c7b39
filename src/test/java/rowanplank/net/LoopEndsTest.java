package rowanplank.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** How a connection's end is told on the machine's sockets. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class LoopEndsTest {
    private final BlockingQueue<String> told = new LinkedBlockingQueue<>();

    private final class Witness extends LoopConnection {
        Witness(EndPoint endPoint, Loop loop) {
            super(endPoint, loop);
        }

        @Override
        protected void onBytes(ByteBuffer bytes) {
            told.add(bytes.remaining() + " bytes");
        }

        @Override
        protected void onEnd() {
            told.add("end");
            close();
        }

        @Override
        protected void onOver() {
            told.add("over");
        }
    }

    private Socket connected(SelectorLoop loop, ServerSocket server) throws Exception {
        InetSocketAddress there = (InetSocketAddress) server.getLocalSocketAddress();
        loop.execute(() -> loop.connect(there, Duration.ofSeconds(5), new Loop.Connector() {
            @Override
            public Connection connected(EndPoint endPoint) {
                return new Witness(endPoint, loop);
            }

            @Override
            public void failed(Throwable cause) {
                told.add("failed");
            }
        }));
        return server.accept();
    }

    private String next() throws InterruptedException {
        return told.poll(20, TimeUnit.SECONDS);
    }

    /** Guards answers that end with their connection: what is reset on the way is not whole. */
    @Test
    void aResetIsNoEnd() throws Exception {
        SelectorLoop loop = new SelectorLoop(new SystemClock(), e -> told.add("unexpected " + e));
        loop.start();
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            Socket ends = connected(loop, server);
            ends.getOutputStream().write(new byte[5]);
            assertEquals("5 bytes", next());
            ends.close();
            assertEquals("end", next());
            assertEquals("over", next());
            Socket resets = connected(loop, server);
            resets.getOutputStream().write(new byte[5]);
            assertEquals("5 bytes", next());
            resets.setSoLinger(true, 0);
            resets.close();
            assertEquals("over", next());
        } finally {
            loop.stop();
        }
    }
}
