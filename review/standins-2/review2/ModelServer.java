package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound server by the pages: heartbeats, instance check, capacity, stamp. Each run is kept and recorded. */
final class ModelServer implements AutoCloseable {
    private static final long HEARTBEAT_MS = 1_200;

    /** A run of a request. */
    record Run(long atMs, String id, String target, String tenant, int bodyBytes) { }

    final String uid;
    final Queue<Run> runs = new ConcurrentLinkedQueue<>();
    private final Record record;
    private final Fleet fleet;
    private final String backend;
    private final String ip;
    private final String zone;
    private final int capacity;
    private final long workMs;
    private final ServerSocket socket;
    private final AtomicInteger running = new AtomicInteger();
    private final List<Socket> connections = new java.util.concurrent.CopyOnWriteArrayList<>();
    private volatile boolean closed;

    ModelServer(Record record, Fleet fleet, String uid, String backend, int number, String zone, int capacity, long workMs)
            throws IOException {
        this.record = record;
        this.fleet = fleet;
        this.uid = uid;
        this.backend = backend;
        this.zone = zone;
        this.capacity = capacity;
        this.workMs = workMs;
        ip = fleet.address(number);
        socket = new ServerSocket(0, 512, InetAddress.getByName(ip));
        daemon(this::acceptAll);
        daemon(this::sendHeartbeats);
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void sendHeartbeats() {
        int next = 0;
        for (long sequence = 1; !closed; sequence++) {
            String body = "{\"backend\":\"" + backend + "\",\"address\":\"" + ip + ":" + socket.getLocalPort()
                    + "\",\"zone\":\"" + zone + "\",\"generation\":\"v1\",\"capacity\":" + capacity
                    + ",\"phase\":\"ready\",\"warmup_left_ms\":0,\"sequence\":" + sequence + "}";
            long pause = HEARTBEAT_MS;
            try {
                Fleet.Node node = fleet.control.get(next % fleet.control.size());
                int status = Http.call(node.ip, fleet.controlPort, "POST", "/rowanplank/instances/" + uid + "/heartbeat",
                        Map.of("Host", node.ip, "Content-Type", "application/json"), body.getBytes(StandardCharsets.UTF_8),
                        1_000).status();
                if (status / 100 != 2) {
                    next++;
                    pause = 200;
                }
            } catch (IOException e) {
                next++;
                pause = 200;
            }
            try {
                Thread.sleep(pause);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void acceptAll() {
        while (!closed) {
            try {
                Socket accepted = socket.accept();
                connections.add(accepted);
                daemon(() -> serve(accepted));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket accepted) {
        try (accepted) {
            accepted.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(accepted.getInputStream());
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                byte[] body = Http.readBody(in, head, false);
                answer(accepted.getOutputStream(), head, body);
            }
        } catch (IOException e) {
            // the caller has left
        } finally {
            connections.remove(accepted);
        }
    }

    private void answer(OutputStream out, Http.Head head, byte[] body) throws IOException {
        String target = head.first().split(" ")[1];
        String id = head.headers().get("rowanplank-attempt-id");
        String expected = head.headers().get("rowanplank-expect-instance");
        if (target.equals("/healthz")) {
            respond(out, "200 OK", "Rowanplank-Instance-Id: " + uid + "\r\n", "");
        } else if (expected != null && !expected.equals(uid)) {
            respond(out, "421 Misdirected Request", "Rowanplank-Instance-Id: " + uid + "\r\n", "");
        } else if (id == null) {
            respond(out, "400 Bad Request", "Rowanplank-Not-Executed: 1\r\n", "");
        } else if (running.incrementAndGet() > capacity) {
            running.decrementAndGet();
            respond(out, "503 Service Unavailable", "Rowanplank-Not-Executed: 1\r\nRowanplank-Attempt-Id: " + id + "\r\n", "");
        } else {
            try {
                run(out, head, id, target, body);
            } finally {
                running.decrementAndGet();
            }
        }
    }

    private void run(OutputStream out, Http.Head head, String id, String target, byte[] body) throws IOException {
        String tenant = head.headers().get("rowanplank-tenant");
        runs.add(new Run(record.ms(), id, target, tenant, body.length));
        record.add("server " + uid + " runs " + id + ", tenant " + tenant + ", " + body.length + " bytes");
        try {
            Thread.sleep(workMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        respond(out, "200 OK", "Rowanplank-Attempt-Id: " + id + "\r\nRowanplank-Server-Signature: s." + uid + "." + id
                + "\r\n", "ran " + id);
    }

    private static void respond(OutputStream out, String status, String headers, String body) throws IOException {
        out.write(("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        closed = true;
        socket.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
