package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A proxy between one data node and the control nodes: what comes to the data node on all its connections together comes at
 * the rate of its machine's link. Nothing is lost, and the order is kept.
 */
final class SlowLink implements AutoCloseable {
    private static final int PIECE_BYTES = 4_096;
    private static final int SOCKET_BUFFER_BYTES = 32_768;

    private final long nanosPerByteX1000;
    private final List<AutoCloseable> open = new CopyOnWriteArrayList<>();
    private long freeAtNanos = System.nanoTime();

    SlowLink(double mbps) {
        nanosPerByteX1000 = (long) (8_000_000 / mbps);
    }

    /** Listens at the address, and passes each connection on to the same host at another port. */
    void listen(String ip, int port, int target) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReceiveBufferSize(SOCKET_BUFFER_BYTES);
        socket.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 64);
        open.add(socket);
        daemon(() -> {
            while (true) {
                try {
                    Socket accepted = socket.accept();
                    open.add(accepted);
                    daemon(() -> pass(accepted, ip, target));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(null, task, "slow link", 128 << 10);
        thread.setDaemon(true);
        thread.start();
    }

    private void pass(Socket node, String ip, int target) {
        Socket control = new Socket();
        open.add(control);
        try {
            control.setReceiveBufferSize(SOCKET_BUFFER_BYTES);
            control.setTcpNoDelay(true);
            node.setTcpNoDelay(true);
            node.setSendBufferSize(SOCKET_BUFFER_BYTES);
            control.connect(new InetSocketAddress(ip, target), 1_000);
            daemon(() -> copy(node, control, false));
            copy(control, node, true);
        } catch (IOException e) {
            closeBoth(node, control);
        }
    }

    private void copy(Socket from, Socket to, boolean slow) {
        byte[] piece = new byte[PIECE_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int read = in.read(piece); read >= 0; read = in.read(piece)) {
                if (slow) {
                    awaitTurn(read);
                }
                out.write(piece, 0, read);
            }
        } catch (IOException | InterruptedException e) {
            // both ends are closed
        }
        closeBoth(from, to);
    }

    private void awaitTurn(int bytes) throws InterruptedException {
        long waitNanos;
        synchronized (this) {
            long now = System.nanoTime();
            freeAtNanos = Math.max(now, freeAtNanos) + bytes * nanosPerByteX1000 / 1_000;
            waitNanos = freeAtNanos - now;
        }
        Thread.sleep(waitNanos / 1_000_000, (int) (waitNanos % 1_000_000));
    }

    private void closeBoth(Socket one, Socket other) {
        for (Socket socket : List.of(one, other)) {
            open.remove(socket);
            try {
                socket.close();
            } catch (IOException e) {
                // it is closed
            }
        }
    }

    @Override
    public void close() {
        for (AutoCloseable socket : open) {
            try {
                socket.close();
            } catch (Exception e) {
                // it is closed
            }
        }
    }
}
