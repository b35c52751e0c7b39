package routerfleet.demo;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import routerfleet.settings.HostPort;

/**
 * A model server for the demo and the tests: speaks the servers' side of the protocol on a loopback address, with
 * answers that it makes up. Each connection has a thread.
 */
public final class EmulatedServer implements AutoCloseable {
    private static final int CAPACITY = 16;
    private static final long HEARTBEAT_MS = 100;
    private static final String WEIGHTS_VERSION = "1";
    /** Index of the event inside which {@link Behaviour#CUT} ends a stream. */
    private static final int CUT_EVENT = 2;
    /** How often every control node is told that it leaves, before it gives up. */
    private static final int DRAIN_ROUNDS = 3;

    /** What it does with requests. */
    public enum Behaviour {
        /** Answers whole. */
        SERVE,
        /** Rejects as if it were full. */
        SHED,
        /** Ends a stream inside its third event. */
        CUT,
        /** Reads a request and closes the connection. */
        HANG_UP,
        /** Reads a request, and answers it whole once it does something else. */
        HOLD
    }

    /** What a request is answered with. */
    public enum AnswerKind {
        /** The response. */
        SERVED,
        /** The response without a length, which ends with its connection. */
        WITHOUT_LENGTH,
        /** A rejection, as if the server were full. */
        REFUSED,
        /** A failure of the server's own, which counts as executed. */
        FAILED
    }

    /**
     * How a response is paced.
     *
     * @param silenceMs before its first byte, in milliseconds
     * @param events of a stream; 0 for a response that is no stream
     * @param gapMs between two events, in milliseconds
     * @param stallMs for how long the arrival keeps the whole server from sending, as a long prompt does, in milliseconds
     * @param numbering of a stream's events
     * @param cutAt index of the event inside which a stream is broken off; negative for none
     * @param answer what it answers with
     */
    public record Pace(long silenceMs, int events, long gapMs, long stallMs, EventNumbering numbering, int cutAt,
            AnswerKind answer) {
        /** A pace of a stream that is sent to its end, with events numbered one by one. */
        public Pace(long silenceMs, int events, long gapMs, long stallMs) {
            this(silenceMs, events, gapMs, stallMs, EventNumbering.BY_ONE, -1, AnswerKind.SERVED);
        }
    }

    /** How the run of a request ended. */
    public enum RunEnd {
        /** The whole response was sent. */
        WHOLE,
        /** The request was rejected and not executed. */
        REFUSED,
        /** The server broke the response off. */
        BROKEN_OFF,
        /** The server noticed that its caller was gone. */
        CALLER_GONE
    }

    /**
     * One run of a request.
     *
     * @param endNanos when the server had sent its last byte, or had noticed that its caller was gone
     */
    public record Run(String id, String uid, long startNanos, long endNanos, RunEnd end) { }

    /** A request as it arrived. */
    public record Arrival(String path, Map<String, String> headers, String body) { }

    private final String uid;
    private final String backend;
    private final List<HostPort> controlNodes;
    private final Function<Arrival, Pace> pacing;
    private final ServerSocket socket;
    private final ScheduledExecutorService heartbeats = Executors.newSingleThreadScheduledExecutor(r -> {
        Thread thread = new Thread(r, "heartbeat");
        thread.setDaemon(true);
        return thread;
    });
    private final ConcurrentLinkedQueue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    private final AtomicInteger sequence = new AtomicInteger();
    private volatile Behaviour behaviour = Behaviour.SERVE;
    private volatile String phase = "ready";
    private final ConcurrentLinkedQueue<Run> runs = new ConcurrentLinkedQueue<>();
    private final AtomicLong stalledUntilNanos = new AtomicLong(System.nanoTime());

    /** Starts to listen and to send heartbeats. @param events of each stream */
    public EmulatedServer(String uid, String backend, List<HostPort> controlNodes, int events) throws IOException {
        this(uid, backend, controlNodes, arrival -> new Pace(0, events, 0, 0));
    }

    /** Starts to listen and to send heartbeats. @param pacing how each request is responded to */
    public EmulatedServer(String uid, String backend, List<HostPort> controlNodes, Function<Arrival, Pace> pacing)
            throws IOException {
        this.uid = uid;
        this.backend = backend;
        this.controlNodes = List.copyOf(controlNodes);
        this.pacing = pacing;
        socket = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        daemon(this::accept);
        heartbeats.scheduleWithFixedDelay(this::heartbeat, 0, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "emulated-server");
        thread.setDaemon(true);
        thread.start();
    }

    /** Names this incarnation. */
    public String uid() {
        return uid;
    }

    /** Requests that have arrived. */
    public List<Arrival> arrivals() {
        return List.copyOf(arrivals);
    }

    /** Runs of requests that have ended. */
    public List<Run> runs() {
        return List.copyOf(runs);
    }

    /** Changes what it does from now on. */
    public void behave(Behaviour changed) {
        synchronized (arrivals) {
            behaviour = changed;
            arrivals.notifyAll();
        }
    }

    private void awaitOtherBehaviour() throws IOException {
        synchronized (arrivals) {
            try {
                while (behaviour == Behaviour.HOLD) {
                    arrivals.wait();
                }
            } catch (InterruptedException e) {
                throw new IOException("interrupted", e);
            }
        }
    }

    /** Says that it leaves, again and again as servers do. @return whether a control node has acknowledged that */
    public boolean drain() {
        phase = "draining";
        boolean acknowledged = heartbeat();
        for (int round = 1; round < DRAIN_ROUNDS && !acknowledged; round++) {
            acknowledged = heartbeat();
        }
        return acknowledged;
    }

    private boolean heartbeat() {
        String body = "{\"backend\":\"" + backend + "\",\"address\":\"127.0.0.1:" + socket.getLocalPort()
                + "\",\"zone\":\"a\",\"generation\":\"v1\",\"capacity\":" + CAPACITY + ",\"phase\":\"" + phase
                + "\",\"warmup_left_ms\":0,\"sequence\":" + sequence.incrementAndGet() + "}";
        for (HostPort control : controlNodes) {
            try {
                LoopbackHttp.Answer answer = LoopbackHttp.call(control, "POST",
                        "/rowanplank/instances/" + uid + "/heartbeat", Map.of("Content-Type", "application/json"),
                        body.getBytes(StandardCharsets.UTF_8));
                if (answer.status() == 200) {
                    return true;
                }
            } catch (IOException e) {
                // the next one is called
            }
        }
        return false;
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket accepted = socket.accept();
                daemon(() -> serve(accepted));
            } catch (IOException e) {
                return; // closed
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            while (answer(in, connection.getOutputStream())) {
                // one request after the other
            }
        } catch (IOException e) {
            // the caller has gone
        }
    }

    private boolean answer(InputStream in, OutputStream out) throws IOException {
        String requestLine = line(in);
        if (requestLine == null) {
            return false;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        if (!uid.equals(headers.get("rowanplank-expect-instance"))
                || !WEIGHTS_VERSION.equals(headers.getOrDefault("expect-version", WEIGHTS_VERSION))) {
            write(out, "421 Misdirected Request", attemptId(headers) + "Rowanplank-Instance-Id: " + uid + "\r\n", "");
            return true;
        }
        Arrival arrival = new Arrival(requestLine.split(" ")[1], headers, new String(body, StandardCharsets.UTF_8));
        arrivals.add(arrival);
        long startNanos = System.nanoTime();
        RunEnd end = RunEnd.CALLER_GONE;
        try {
            Pace pace = pacing.apply(arrival);
            end = act(out, headers, pace);
            return end != RunEnd.BROKEN_OFF && pace.answer() != AnswerKind.WITHOUT_LENGTH;
        } finally {
            runs.add(new Run(headers.get("rowanplank-attempt-id"), uid, startNanos, System.nanoTime(), end));
        }
    }

    private RunEnd act(OutputStream out, Map<String, String> headers, Pace pace) throws IOException {
        String stamp = attemptId(headers) + "Rowanplank-Server-Signature: " + uid + ".1\r\n";
        switch (behaviour) {
            case HANG_UP:
                return RunEnd.BROKEN_OFF;
            case HOLD:
                awaitOtherBehaviour();
                return act(out, headers, pace);
            case SHED:
                return refuse(out, headers);
            default:
                if (pace.answer() == AnswerKind.REFUSED) {
                    return refuse(out, headers);
                }
                if (pace.answer() == AnswerKind.FAILED) {
                    write(out, "500 Internal Server Error", stamp, "");
                    return RunEnd.WHOLE;
                }
                stall(pace.stallMs());
                pause(pace.silenceMs());
                if (pace.events() == 0) {
                    servePage(out, stamp, pace);
                    return RunEnd.WHOLE;
                }
                return stream(out, stamp, headers.get("last-event-id"), pace);
        }
    }

    private void servePage(OutputStream out, String stamp, Pace pace) throws IOException {
        String body = "served by " + uid;
        if (pace.answer() == AnswerKind.WITHOUT_LENGTH) {
            out.write(("HTTP/1.1 200 OK\r\n" + stamp + "\r\n" + body).getBytes(StandardCharsets.US_ASCII));
            out.flush();
        } else {
            write(out, "200 OK", stamp, body);
        }
    }

    private static String attemptId(Map<String, String> headers) {
        return "Rowanplank-Attempt-Id: " + headers.get("rowanplank-attempt-id") + "\r\n";
    }

    private static RunEnd refuse(OutputStream out, Map<String, String> headers) throws IOException {
        write(out, "503 Service Unavailable", attemptId(headers) + "Rowanplank-Not-Executed: 1\r\n", "");
        return RunEnd.REFUSED;
    }

    private void stall(long ms) {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        stalledUntilNanos.accumulateAndGet(untilNanos, (a, b) -> a - b > 0 ? a : b);
    }

    /** Waits, and further until the server is no longer stalled. */
    private void pause(long ms) throws IOException {
        try {
            Thread.sleep(ms);
            long leftNanos = stalledUntilNanos.get() - System.nanoTime();
            while (leftNanos > 0) {
                TimeUnit.NANOSECONDS.sleep(leftNanos);
                leftNanos = stalledUntilNanos.get() - System.nanoTime();
            }
        } catch (InterruptedException e) {
            throw new IOException("interrupted", e);
        }
    }

    private RunEnd stream(OutputStream out, String stamp, String lastEventId, Pace pace) throws IOException {
        int cutAt = behaviour == Behaviour.CUT ? CUT_EVENT : pace.cutAt();
        boolean chunked = pace.answer() != AnswerKind.WITHOUT_LENGTH;
        out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + stamp
                + (chunked ? "Transfer-Encoding: chunked\r\n" : "") + "\r\n").getBytes(StandardCharsets.US_ASCII));
        int from = pace.numbering().indexOf(lastEventId, pace.events()) + 1;
        for (int i = from; i < pace.events(); i++) {
            pause(i == from ? 0 : pace.gapMs());
            String event = pace.numbering().event(i);
            if (i == cutAt) {
                send(out, event.substring(0, event.length() / 2), chunked);
                return RunEnd.BROKEN_OFF;
            }
            send(out, event, chunked);
        }
        if (chunked) {
            chunk(out, "");
        }
        return RunEnd.WHOLE;
    }

    private static void send(OutputStream out, String text, boolean chunked) throws IOException {
        if (chunked) {
            chunk(out, text);
        } else {
            out.write(text.getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    private static void write(OutputStream out, String status, String headers, String body) throws IOException {
        out.write(("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int c = in.read();
        if (c < 0) {
            return null;
        }
        while (c >= 0 && c != '\n') {
            if (c != '\r') {
                line.append((char) c);
            }
            c = in.read();
        }
        return line.toString();
    }

    @Override
    public void close() throws IOException {
        heartbeats.shutdownNow();
        socket.close();
    }
}
