package routerfleet.soak;

import java.io.BufferedInputStream;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import routerfleet.demo.EventNumbering;
import routerfleet.demo.LoopbackHttp;

/**
 * A client that keeps its connection until it is told to close it or the process has gone. It sends some requests in
 * pieces, some before the response to the one before is complete, and reads some responses slowly, as its seed has it.
 */
final class SoakClient implements Runnable {
    /** What the configuration has for a route. @param events whether the response is a stream */
    record Route(String name, long deadlineMs, boolean events, boolean executedOnce) { }

    static final List<Route> ROUTES = List.of(
            new Route("pages", 1_500, false, true),
            new Route("notes", 3_000, false, false),
            new Route("drafts", 4_000, true, true),
            new Route("briefs", 6_000, true, false),
            new Route("solos", 8_000, true, false));

    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int GIVE_UP_MARGIN_MS = 400;
    private static final int MAX_HEAD_BYTES = 1_024;
    private static final int MAX_THINK_MS = 500;
    private static final int MAX_REST_MS = 3_600;
    private static final int MAX_STREAM_MS = 5_500;
    private static final int SLOW_READ_BYTES = 48;
    private static final int SLOW_READ_PAUSE_MS = 15;
    private static final double REST_PROBABILITY = 0.15;
    private static final double PIECES_PROBABILITY = 0.15;
    private static final double AHEAD_PROBABILITY = 0.15;
    private static final double SLOW_PROBABILITY = 0.1;

    private final String name;
    private final ServerTrouble trouble;
    private final SplittableRandom random;
    private final Function<SplittableRandom, FleetProcess> ingress;
    private final Queue<RequestRecord> records;
    private final AtomicBoolean stopped;
    private Socket socket;
    private InputStream in;
    private FleetProcess node;
    private FleetProcess.Life life;
    private boolean kept;
    private int lastId;

    /**
     * @param trouble what the requests ask of the servers
     * @param ingress chooses a data node for a new connection; null if there is none
     * @param records where each request is added once it has ended
     * @param stopped ends the client after its current request
     */
    SoakClient(String name, ServerTrouble trouble, SplittableRandom random,
            Function<SplittableRandom, FleetProcess> ingress, Queue<RequestRecord> records, AtomicBoolean stopped) {
        this.name = name;
        this.trouble = trouble;
        this.random = random;
        this.ingress = ingress;
        this.records = records;
        this.stopped = stopped;
    }

    /** A request that has been sent. */
    private record Sent(String id, Route route, String stream, boolean kept, long firstByteNanos, long lastByteNanos) { }

    @Override
    public void run() {
        try {
            while (!stopped.get()) {
                Thread.sleep(random.nextDouble() < REST_PROBABILITY ? random.nextInt(MAX_REST_MS)
                        : random.nextInt(MAX_THINK_MS));
                if (connect()) {
                    exchange();
                }
            }
            close();
        } catch (InterruptedException e) {
            close();
        }
    }

    /** Waits for input. @return whether the process has closed the connection, or reset it, within that time */
    private boolean hasEnded(int waitMs) {
        try {
            socket.setSoTimeout(waitMs);
            in.mark(1);
            boolean ended = in.read() < 0;
            in.reset();
            return ended;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** Whether the response that has begun to arrive says that it is the connection's last. */
    private boolean isToldToClose() {
        byte[] begun = new byte[MAX_HEAD_BYTES];
        try {
            in.mark(MAX_HEAD_BYTES);
            int count = in.read(begun, 0, Math.min(in.available(), MAX_HEAD_BYTES));
            in.reset();
            return new String(begun, 0, Math.max(0, count), StandardCharsets.US_ASCII).toLowerCase(Locale.ROOT)
                    .contains("connection: close");
        } catch (IOException e) {
            return false;
        }
    }

    private boolean connect() throws InterruptedException {
        if (socket != null && !hasEnded(1)) {
            return true;
        }
        close();
        node = ingress.apply(random);
        if (node == null) {
            return false;
        }
        life = node.life();
        kept = false;
        try {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(node.address().host(), node.address().port()), CONNECT_TIMEOUT_MS);
            in = new BufferedInputStream(socket.getInputStream());
            return true;
        } catch (IOException e) {
            close();
            return false;
        }
    }

    private void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // it is closed all the same
        }
        socket = null;
    }

    /** Sends a request, at times a second one behind it, and receives the responses. */
    private void exchange() throws InterruptedException {
        Sent first = send();
        if (first == null) {
            close(); // the process closed the connection between two requests
            return;
        }
        if (random.nextDouble() >= AHEAD_PROBABILITY) {
            receive(first, null, true);
            return;
        }
        if (hasEnded(1 + random.nextInt(MAX_THINK_MS))) {
            add(first, null, RequestRecord.Outcome.CLOSED, 0, "");
            close();
            return;
        }
        if (isToldToClose()) {
            receive(first, null, true);
            return;
        }
        Sent second = send();
        RequestRecord before = receive(first, null, second == null);
        if (second != null && socket != null) {
            receive(second, before, true);
        } else if (second != null) {
            add(second, before, before.outcome(), 0, "");
        }
    }

    /** @return null if the connection failed before the last byte was sent, which is recorded */
    private Sent send() throws InterruptedException {
        Route route = ROUTES.get(random.nextInt(ROUTES.size()));
        String id = name + "-" + ++lastId;
        int gapMs = 20 + random.nextInt(180);
        int events = route.events() ? 1 + (100 + random.nextInt(MAX_STREAM_MS)) / gapMs : 0;
        long silenceMs = random.nextInt(route.events() ? 300 : 100);
        long stallMs = random.nextDouble() < trouble.stallProbability() ? 1_000 + random.nextInt(1_500) : 0;
        EventNumbering numbering = trouble.numberings().get(random.nextInt(trouble.numberings().size()));
        int refuse = random.nextDouble() < trouble.refusalProbability() ? 1 : 0;
        int cutAt = events > 0 && random.nextDouble() < trouble.cutProbability() ? random.nextInt(events) : -1;
        int withoutLength = random.nextDouble() < trouble.withoutLengthProbability() ? 1 : 0;
        String stream = events == 0 ? null : numbering.stream(events);
        String head = "POST /" + route.name() + "/?silence=" + silenceMs + "&events=" + events + "&gap=" + gapMs
                + "&stall=" + stallMs + "&numbering=" + numbering.ordinal() + "&refuse=" + refuse + "&cut=" + cutAt
                + "&unframed=" + withoutLength
                + " HTTP/1.1\r\nHost: fleet.example\r\nApi-Key: k1\r\nRowanplank-Attempt-Id: " + id
                + "\r\nRowanplank-Deadline-Ms: " + route.deadlineMs() + "\r\nRowanplank-Prompt-Prefix: "
                + Integer.toHexString(1 + random.nextInt(40)) + ":8000\r\nContent-Length: 8\r\n\r\nquestion";
        byte[] bytes = head.getBytes(StandardCharsets.US_ASCII);
        int pieces = random.nextDouble() < PIECES_PROBABILITY ? 2 + random.nextInt(3) : 1;
        long firstByteNanos = System.nanoTime();
        try {
            for (int i = 0; i < pieces; i++) {
                if (i > 0) {
                    Thread.sleep(random.nextInt(MAX_THINK_MS));
                }
                int from = bytes.length * i / pieces;
                socket.getOutputStream().write(bytes, from, bytes.length * (i + 1) / pieces - from);
            }
            boolean wasKept = kept;
            kept = true;
            return new Sent(id, route, stream, wasKept, firstByteNanos, System.nanoTime());
        } catch (IOException e) {
            add(new Sent(id, route, stream, kept, firstByteNanos, System.nanoTime()), null,
                    RequestRecord.Outcome.NOT_SENT, 0, "");
            return null;
        }
    }

    /**
     * Receives the response to a request; the connection is closed if it can carry no other.
     *
     * @param before the request before it, if this one was sent ahead
     * @param last whether no further response is awaited on the connection
     */
    private RequestRecord receive(Sent sent, RequestRecord before, boolean last) {
        boolean slow = random.nextDouble() < SLOW_PROBABILITY;
        try {
            long leftMs = sent.route().deadlineMs() + GIVE_UP_MARGIN_MS
                    - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sent.firstByteNanos());
            socket.setSoTimeout((int) Math.max(GIVE_UP_MARGIN_MS, leftMs));
            LoopbackHttp.Answer answer = LoopbackHttp.read(slow ? new SlowStream(in) : in);
            RequestRecord received = add(sent, before,
                    answer.whole() ? RequestRecord.Outcome.COMPLETE : RequestRecord.Outcome.CLOSED, answer.status(),
                    answer.body());
            if (last && (!answer.whole() || "close".equalsIgnoreCase(answer.header("Connection")))) {
                close();
            }
            return received;
        } catch (SocketTimeoutException e) {
            close();
            return add(sent, before, RequestRecord.Outcome.GIVEN_UP, 0, "");
        } catch (SocketException e) {
            close();
            return add(sent, before, RequestRecord.Outcome.RESET, 0, "");
        } catch (IOException e) {
            close();
            return add(sent, before, RequestRecord.Outcome.CLOSED, 0, "");
        }
    }

    private RequestRecord add(Sent sent, RequestRecord before, RequestRecord.Outcome outcome, int status, String body) {
        RequestRecord record = new RequestRecord(sent.id(), node.name(), life, sent.route().name(),
                sent.route().executedOnce(),
                sent.kept(), sent.firstByteNanos(), sent.lastByteNanos(), System.nanoTime(), sent.route().deadlineMs(),
                outcome, status, sent.stream(), body, before);
        records.add(record);
        return record;
    }

    /** Reads little at a time, with pauses. */
    private static final class SlowStream extends FilterInputStream {
        private int sinceLastPause;

        SlowStream(InputStream in) {
            super(in);
        }

        @Override
        public int read() throws IOException {
            pauseAfter(1);
            return super.read();
        }

        @Override
        public int read(byte[] bytes, int offset, int length) throws IOException {
            pauseAfter(SLOW_READ_BYTES);
            return super.read(bytes, offset, Math.min(length, SLOW_READ_BYTES));
        }

        private void pauseAfter(int count) throws IOException {
            sinceLastPause += count;
            if (sinceLastPause < SLOW_READ_BYTES) {
                return;
            }
            sinceLastPause = 0;
            try {
                Thread.sleep(SLOW_READ_PAUSE_MS);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
    }
}
