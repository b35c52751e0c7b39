package rowanplank.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.io.AbstractConnection;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class SelectorLoopTest {
    /** Guards clients: work that comes due again at once, as a sweep with much to do, must not keep sockets waiting. */
    @Test
    void aTimerThatIsSetAgainAtOnceLeavesSocketsTheirTurn() throws Exception {
        SelectorLoop loop = new SelectorLoop(new SystemClock(), e -> { });
        AtomicBoolean over = new AtomicBoolean();
        CompletableFuture<Boolean> accepted = new CompletableFuture<>();
        loop.start();
        try {
            InetSocketAddress address = loop.call(() -> loop.listen(new InetSocketAddress(
                    InetAddress.getLoopbackAddress(), 0), 5, endPoint -> {
                        accepted.complete(true);
                        return new AbstractConnection(endPoint, loop) {
                            @Override
                            public void onFillable() { }
                        };
                    }).address());
            loop.execute(() -> again(loop, over));
            try (Socket client = new Socket(address.getAddress(), address.getPort())) {
                assertTrue(client.isConnected() && accepted.get(10, TimeUnit.SECONDS));
            } catch (TimeoutException e) {
                throw new AssertionError("the loop never looked at its sockets", e);
            }
        } finally {
            over.set(true);
            loop.stop();
        }
    }

    private static void again(Loop loop, AtomicBoolean over) {
        if (!over.get()) {
            loop.schedule(Duration.ZERO, () -> again(loop, over));
        }
    }
}
