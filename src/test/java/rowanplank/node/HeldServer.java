package rowanplank.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** An upstream server that does nothing by itself: the test accepts, reads, writes and ends its connections. */
final class HeldServer implements AutoCloseable {
    private static final int PATIENCE_MS = (int) TimeUnit.SECONDS.toMillis(20);

    private final List<AutoCloseable> opened = new ArrayList<>();
    private final ServerSocket listener;

    HeldServer() throws IOException {
        this(50);
    }

    private HeldServer(int backlog) throws IOException {
        listener = new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
        listener.setSoTimeout(PATIENCE_MS);
    }

    /** One whose queue is full: connections to it come up late, once {@link #makeRoom} was called, or never. */
    static HeldServer full() throws IOException {
        HeldServer full = new HeldServer(1);
        for (int i = 0; i < 2; i++) {
            full.opened.add(new Socket(InetAddress.getLoopbackAddress(), full.listener.getLocalPort()));
        }
        return full;
    }

    /** Takes those out of the queue that filled it. */
    void makeRoom() throws IOException {
        for (int i = 0; i < 2; i++) {
            opened.add(listener.accept());
        }
    }

    String member(String id, String phase, long startedAt) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:" + listener.getLocalPort()
                + "\",\"locality\":\"a\",\"cell\":0,\"phase\":\"" + phase + "\",\"size\":1.0,\"up_since_ms\":"
                + startedAt + "}";
    }

    String ready(String id) {
        return member(id, "ready", 0);
    }

    int port() {
        return listener.getLocalPort();
    }

    Accepted accept() throws IOException {
        Accepted accepted = new Accepted(listener.accept());
        opened.add(accepted);
        return accepted;
    }

    /** Whether a connection waits to be accepted. */
    boolean isAsked() throws IOException {
        listener.setSoTimeout(1); // zero would be for ever
        try {
            accept();
            return true;
        } catch (SocketTimeoutException e) {
            return false;
        } finally {
            listener.setSoTimeout(PATIENCE_MS);
        }
    }

    /** One connection of the node's. */
    static final class Accepted implements AutoCloseable {
        final Socket socket;

        Accepted(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(PATIENCE_MS);
        }

        /** The next request, whole; null at the connection's end. */
        String request() throws IOException {
            return StubSite.readMessage(socket.getInputStream());
        }

        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Reads a request and answers it. */
        String serve(String answer) throws IOException {
            String request = request();
            write(answer);
            return request;
        }

        /** Whether the node has ended the connection, and how much it had sent since. */
        int bytesToItsEnd() throws IOException {
            try {
                return socket.getInputStream().readAllBytes().length;
            } catch (SocketException e) {
                return 0; // reset: the node closed it over what it had not read
            }
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Ends it: connections to it are refused from now on. */
    @Override
    public void close() throws IOException {
        listener.close();
        for (AutoCloseable o : opened) {
            try {
                o.close();
            } catch (Exception e) {
                throw new IOException(e);
            }
        }
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }
}
