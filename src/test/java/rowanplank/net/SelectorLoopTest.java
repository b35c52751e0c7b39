package rowanplank.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class SelectorLoopTest {
    private static final Duration TIMEOUT = Duration.ofMillis(20);

    private final Clock clock = new SystemClock();
    private final SelectorLoop loop = new SelectorLoop(clock, Throwable::printStackTrace);

    @BeforeEach
    void start() throws Exception {
        loop.start();
    }

    @AfterEach
    void stop() throws Exception {
        loop.stop();
    }

    /** What became of a connection, once the loop has been kept busy for so long after asking for it. */
    private Object connect(ServerSocket to, Duration busy) throws Exception {
        CompletableFuture<Object> outcome = new CompletableFuture<>();
        loop.execute(() -> {
            loop.connect((InetSocketAddress) to.getLocalSocketAddress(), TIMEOUT, new Loop.Connector() {
                @Override
                public Connection connected(EndPoint endPoint) {
                    outcome.complete("connected");
                    return new Idle(endPoint);
                }

                @Override
                public void failed(Throwable cause) {
                    outcome.complete(cause);
                }
            });
            for (Instant until = clock.now().plus(busy); clock.now().isBefore(until);) {
                Thread.onSpinWait();
            }
        });
        return outcome.get(30, TimeUnit.SECONDS);
    }

    private final class Idle extends LoopConnection {
        Idle(EndPoint endPoint) {
            super(endPoint, loop);
        }

        @Override
        protected void onBytes(ByteBuffer bytes) { }

        @Override
        protected void onEnd() { }

        @Override
        protected void onOver() { }
    }

    /** Guards peers against being taken for unreachable where the node's own core was late. */
    @Test
    void aConnectionThatWasOpenInTimeIsNotGivenUpByALateLoop() throws Exception {
        try (ServerSocket peer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            assertEquals("connected", connect(peer, TIMEOUT.multipliedBy(3)));
        }
    }

    @Test
    void aConnectionThatNeverOpensIsGivenUp() throws Exception {
        List<Socket> waiting = new ArrayList<>();
        try (ServerSocket peer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            while (fill(peer, waiting)) { } // until its queue takes no more
            assertInstanceOf(SocketTimeoutException.class, connect(peer, Duration.ZERO));
        } finally {
            for (Socket s : waiting) {
                s.close();
            }
        }
    }

    private static boolean fill(ServerSocket peer, List<Socket> waiting) throws IOException {
        Socket socket = new Socket();
        waiting.add(socket);
        try {
            socket.connect(peer.getLocalSocketAddress(), 100);
            return true;
        } catch (SocketTimeoutException e) {
            return false;
        }
    }
}
