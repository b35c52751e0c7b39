package rowanplank.node;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.Closeable;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Discovery, each call of which waits until the test says byte by byte what becomes of it. */
final class ScriptedDiscovery implements Closeable {
    private static final int BACKLOG = 64;

    /** A call that has come whole. */
    static final class Call {
        final String target;
        private final Socket socket;

        private Call(String target, Socket socket) {
            this.target = target;
            this.socket = socket;
        }

        /** Writes this at once. */
        void write(String bytes) throws IOException {
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        }

        void answer(String body) throws IOException {
            write(message(body));
        }

        /** Ends the connection in order. */
        void end() throws IOException {
            socket.shutdownOutput();
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Waits until the node has closed its side of the connection. */
        void awaitClosed() throws IOException {
            if (socket.isClosed()) {
                return;
            }
            socket.setSoTimeout(20_000);
            try {
                while (socket.getInputStream().read() >= 0) { }
            } catch (SocketTimeoutException e) {
                throw e;
            } catch (IOException e) {
                // closed over what was not read
            }
        }
    }

    final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();
    private final List<Closeable> opened = new ArrayList<>();
    private ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private final InetSocketAddress address = (InetSocketAddress) listener.getLocalSocketAddress();

    ScriptedDiscovery() throws IOException {
        accept();
    }

    private void accept() {
        ServerSocket from = listener;
        daemon(() -> {
            try {
                while (true) {
                    Socket socket = from.accept();
                    socket.setTcpNoDelay(true);
                    daemon(() -> read(socket));
                }
            } catch (IOException e) {
                // closed
            }
        });
    }

    private void read(Socket socket) {
        try {
            for (String call; (call = StubSite.readMessage(socket.getInputStream())) != null;) {
                calls.add(new Call(call.substring(call.indexOf(' ') + 1, call.indexOf(" HTTP/")), socket));
            }
        } catch (IOException e) {
            // the node, or the test, has closed it
        }
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + address.getPort();
    }

    /** The next call; it has to come without time passing at the node. */
    Call next() throws InterruptedException {
        Call call = calls.poll(20, TimeUnit.SECONDS);
        assertNotNull(call, "no call has come");
        return call;
    }

    /** New connections are refused from now on; those that are open stay. */
    void refuse() throws IOException {
        listener.close();
    }

    /** New connections never come up from now on: the queue is full, and the system drops what else would connect. */
    void neverComeUp() throws IOException {
        listener.close();
        listen(1);
        for (int i = 0; i < 2; i++) {
            opened.add(new Socket(address.getAddress(), address.getPort()));
        }
    }

    /** At the address that it had; a thread that still accepts there leaves it a moment after the close. */
    private void listen(int backlog) throws IOException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (true) {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            try {
                listener.bind(address, backlog);
                return;
            } catch (BindException e) {
                listener.close();
                if (System.nanoTime() > end) {
                    throw e;
                }
            }
        }
    }

    /** It accepts again. */
    void comeBack() throws Exception {
        for (Closeable o : opened) {
            o.close();
        }
        if (listener.isClosed()) {
            listen(BACKLOG);
        }
        accept();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Closeable o : opened) {
            o.close();
        }
    }

    static String message(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static String whole(long revision, String... members) {
        return "{\"revision\":" + revision + ",\"complete\":true,\"members\":" + List.of(members) + "}";
    }

    static String changes(long revision, String... members) {
        return whole(revision, members).replace("true", "false");
    }
}
