package rowanplank.net;

import java.io.FileInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Semaphore;
import org.eclipse.jetty.io.EndPoint;

/**
 * A process that sends back what comes, with a single descriptor left for its next connection: it opens files until it
 * may open no more, then closes one. To be started under a low limit of descriptors. Prints its port when it is ready.
 */
final class LastDescriptorProgram {
    private static final int BACKLOG = 16;
    private static final Semaphore LOADED = new Semaphore(0);

    private LastDescriptorProgram() { }

    private static final class Echo extends LoopConnection {
        Echo(EndPoint endPoint, Loop loop) {
            super(endPoint, loop);
        }

        @Override
        protected void onBytes(ByteBuffer bytes) {
            byte[] copy = new byte[bytes.remaining()];
            bytes.get(copy);
            write(() -> { }, ByteBuffer.wrap(copy));
        }

        @Override
        protected void onEnd() {
            close();
        }

        @Override
        protected void onOver() {
            LOADED.release();
        }
    }

    /** Has the loop do once what the test needs of it: loading a class from a folder takes a descriptor. */
    private static void loadClasses(SelectorLoop loop, InetSocketAddress address) throws Exception {
        loop.call(() -> loop.schedule(Duration.ZERO, LOADED::release));
        LOADED.acquire();
        loop.call(() -> {
            loop.report(new IOException("none"));
            return null;
        });
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            client.getOutputStream().write(1);
            client.getInputStream().read();
        }
        LOADED.acquire();
    }

    public static void main(String[] args) throws Exception {
        SelectorLoop loop = new SelectorLoop(new SystemClock(), e -> { });
        loop.start();
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        InetSocketAddress address =
                loop.call(() -> loop.listen(any, BACKLOG, endPoint -> new Echo(endPoint, loop)).address());
        loadClasses(loop, address);
        Deque<FileInputStream> files = new ArrayDeque<>();
        try {
            while (true) {
                files.push(new FileInputStream("/dev/null"));
            }
        } catch (IOException noneLeft) {
            files.pop().close();
        }
        System.out.println(address.getPort());
        System.in.read(); // until the test has ended
        loop.stop();
    }
}
