package rowanplank.node;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.UnaryOperator;

/** What a node needs round it: discovery, and page servers that answer as each test says. */
final class StubSite implements AutoCloseable {
    /** At the end of a script's answer: the connection ends there. */
    static final String CUT = "<cut>";
    /** At the end of a script's answer: the connection is reset there. */
    static final String RESET = "<reset>";

    /** A page server: hands each request's text to its script, whose text it answers; null ends the connection. */
    static final class Peer implements AutoCloseable {
        final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
        final BlockingQueue<Socket> ended = new LinkedBlockingQueue<>();
        private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final UnaryOperator<String> script;

        Peer(UnaryOperator<String> script) throws IOException {
            this.script = script;
            daemon(this::accept);
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    daemon(() -> serve(socket));
                }
            } catch (IOException e) {
                // closed
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                for (String request; (request = readMessage(socket.getInputStream())) != null;) {
                    requests.add(request);
                    String answer = script.apply(request);
                    if (answer == null) {
                        return;
                    }
                    String whole = answer.replace(CUT, "").replace(RESET, "");
                    socket.getOutputStream().write(whole.getBytes(StandardCharsets.ISO_8859_1));
                    if (answer.endsWith(RESET)) {
                        socket.setSoLinger(true, 0);
                    }
                    if (!whole.equals(answer)) {
                        return;
                    }
                }
            } catch (IOException e) {
                // the node has closed it
            } finally {
                ended.add(socket);
            }
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        String member(String id, String phase) {
            return "{\"id\":\"" + id + "\",\"host_port\":\"" + address()
                    + "\",\"locality\":\"a\",\"cell\":0,\"phase\":\"" + phase + "\",\"size\":1.0,\"up_since_ms\":0}";
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    private final HttpServer discovery =
            HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    private String list;
    private int revision;

    StubSite() throws IOException {
        discovery.createContext("/discovery/hosts", this::answer);
        discovery.setExecutor(Executors.newCachedThreadPool(StubSite::daemonThread));
        discovery.start();
    }

    String address() {
        return "127.0.0.1:" + discovery.getAddress().getPort();
    }

    /** Tells a new whole list. */
    void list(String... members) {
        tell("{\"revision\":" + (revision + 1) + ",\"complete\":true,\"members\":" + List.of(members) + "}");
    }

    synchronized void tell(String text) {
        revision++;
        list = text;
        notifyAll();
    }

    private void answer(HttpExchange call) throws IOException {
        String query = call.getRequestURI().getQuery();
        byte[] text;
        synchronized (this) {
            try {
                while (list == null || query != null && query.startsWith("index=" + revision + "&")) {
                    wait();
                }
            } catch (InterruptedException e) {
                return;
            }
            text = list.getBytes(StandardCharsets.UTF_8);
        }
        call.sendResponseHeaders(200, text.length);
        call.getResponseBody().write(text);
        call.close();
    }

    @Override
    public void close() {
        discovery.stop(0);
    }

    static String ok(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Sends the text and reads one message. */
    static String ask(Socket socket, String request) throws IOException {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        return readMessage(socket.getInputStream());
    }

    /** The same on a connection of its own. */
    static String ask(int port, String request) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            return ask(socket, request);
        }
    }

    /** A message's head and the body that its Content-Length tells; null at the end of the stream. */
    static String readMessage(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            text.append((char) b);
        }
        String head = text.toString().toLowerCase();
        int at = head.indexOf("content-length: ");
        int length = at < 0 ? 0 : Integer.parseInt(head.substring(at + 16, head.indexOf("\r\n", at)));
        return text.append(new String(in.readNBytes(length), StandardCharsets.ISO_8859_1)).toString();
    }

    private static Thread daemonThread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    private static void daemon(Runnable task) {
        daemonThread(task).start();
    }
}
