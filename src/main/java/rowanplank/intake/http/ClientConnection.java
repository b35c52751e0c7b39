package rowanplank.intake.http;

import java.math.BigDecimal;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.balancer.BalancerApi.Effect;
import rowanplank.balancer.BalancerApi.RequestClass;
import rowanplank.exchange.Answer;
import rowanplank.exchange.Exchange;
import rowanplank.exchange.Header;
import rowanplank.exchange.RequestContext;
import rowanplank.http.Headers;
import rowanplank.http.Messages;
import rowanplank.http.RequestReader;
import rowanplank.metrics.Counters.Count;
import rowanplank.net.Clock;
import rowanplank.net.LoopConnection;

/** One client's connection: reads a request, opens an exchange for it, writes the answer, and reads the next. */
final class ClientConnection extends LoopConnection {
    /** A request must come whole within this time of its first byte, and the first one of the connecting. */
    private static final Duration SLOWEST_REQUEST = Duration.ofMillis(2500);
    private static final Duration SLOWEST_READER = Duration.ofSeconds(10);
    private static final Duration LONGEST_IDLE = Duration.ofSeconds(120);
    /** And where connections are many: clients may ask once and keep their connection for good. */
    private static final Duration LONGEST_IDLE_CROWDED = Duration.ofSeconds(2);
    /** After this, a client that keeps sending ahead is served no more than what is open. */
    private static final Duration LONGEST_AHEAD = Duration.ofMillis(1500);
    /** A connection so new may hold a request that is yet to be read. */
    private static final Duration FRESH = Duration.ofMillis(100);
    /** A client that asks one thing after the other has done so by then. */
    private static final Duration PAUSE = Duration.ofMillis(20);
    /** How long a closed connection is read on, so that the answer is not lost to a reset. */
    private static final Duration LINGER = Duration.ofSeconds(1);
    /** And how much: the rest of a body without end must not take the node's core. */
    private static final int MOST_LINGER_BYTES = 4 * Messages.MOST_BODY_BYTES;
    /** What a client may always send, however much the others have sent. */
    private static final int LITTLE = Messages.MOST_HEADER_BYTES;
    /** What a client may send ahead while it waits for an answer. */
    private static final int MOST_UNREAD = Messages.MOST_BODY_BYTES + Messages.MOST_HEADER_BYTES;
    /** When a client that found no room here may try again. */
    private static final Duration NO_ROOM = Duration.ofMillis(250);
    private static final byte[] NOTHING = {};
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private enum State { READING, WAITING, WRITING, LINGERING }

    private final Intake intake;
    private final boolean room;
    private final RequestReader reader = new RequestReader();
    private ByteBuffer unread = ByteBuffer.wrap(NOTHING);
    private State state = State.READING;
    private Exchange exchange;
    private Instant since;
    /** Since when the client has sent more than the request that is open; null if it has not. */
    private Instant aheadSince;
    private boolean asked;
    private int dropped;
    private boolean advancing;
    private boolean continued;
    private boolean lastOne;
    private int held;
    private int writes;

    /** @param room whether the node has room for this connection; else it is told so and closed */
    ClientConnection(EndPoint endPoint, Intake intake, boolean room) {
        super(endPoint, intake.loop);
        this.intake = intake;
        this.room = room;
        since = intake.clock.now();
    }

    @Override
    public void onOpen() {
        super.onOpen();
        if (!room) {
            lastOne = true;
            reject(NO_ROOM);
        }
    }

    /** Whether nothing of a request has come: it may be closed with no loss. */
    boolean isIdle() {
        return state == State.READING && !reader.begun();
    }

    /** Whether it has never sent a request, though it has had the time to. */
    boolean isSilent(Instant now) {
        return isIdle() && !hasAsked() && Duration.between(since, now).compareTo(FRESH) > 0;
    }

    /** Whether a whole request has come over it. */
    boolean hasAsked() {
        return asked;
    }

    /** Whether it has been served, and has not asked again for some time. */
    boolean isAtRest(Instant now) {
        return hasRested(now, LONGEST_IDLE_CROWDED);
    }

    /** The same for a moment only. */
    boolean hasPaused(Instant now) {
        return hasRested(now, PAUSE);
    }

    private boolean hasRested(Instant now, Duration longerThan) {
        return isIdle() && hasAsked() && Duration.between(since, now).compareTo(longerThan) > 0;
    }

    Instant lastActive() {
        return since;
    }

    /**
     * Closes the connection if it owes nothing, also not for what has come in but was not yet read.
     *
     * @return whether it is closed
     */
    boolean closeIfIdle() {
        if (isIdle()) {
            lastLook();
        }
        if (isIdle()) {
            close();
        }
        return isOver();
    }

    /** Guards against clients that stop in the middle of something, or never begin, and keep their socket. */
    void review(Instant now) {
        Duration in = Duration.between(since, now);
        switch (state) {
            case READING -> {
                if (isIdle()) {
                    if (in.compareTo(longestIdle()) > 0) {
                        closeIfIdle();
                    }
                } else if (in.compareTo(SLOWEST_REQUEST) > 0) {
                    lastLook();
                    if (state == State.READING && reader.begun()) {
                        respondAndClose(408);
                    }
                }
            }
            case WRITING -> closeAfter(in, SLOWEST_READER);
            case LINGERING -> closeAfter(in, LINGER);
            case WAITING -> { }
        }
    }

    private Duration longestIdle() {
        return intake.closing() ? FRESH : !asked ? SLOWEST_REQUEST
                : intake.crowded() ? LONGEST_IDLE_CROWDED : LONGEST_IDLE;
    }

    private void closeAfter(Duration in, Duration longest) {
        if (in.compareTo(longest) > 0) {
            close();
        }
    }

    @Override
    protected void onBytes(ByteBuffer bytes) {
        if (state == State.LINGERING || lastOne) {
            dropped += bytes.remaining(); // nothing more is answered here
            if (dropped > MOST_LINGER_BYTES) {
                pauseReading();
            }
            return;
        }
        if (unread.remaining() + bytes.remaining() > MOST_UNREAD + Messages.MOST_BODY_BYTES) {
            close(); // sent ahead far more than a client has reason to
            return;
        }
        ByteBuffer joined = ByteBuffer.allocate(unread.remaining() + bytes.remaining());
        unread = joined.put(unread).put(bytes).flip();
        advance();
        int holds = isOver() ? 0 : unread.remaining() + reader.bodySize();
        boolean room = intake.hold(holds - held);
        held = holds;
        if (!room && held > LITTLE && state == State.READING) {
            intake.counters.add(Count.REQUESTS_TURNED_AWAY);
            reader.turnAway();
            lastOne = true;
            reject(NO_ROOM);
        }
    }

    /** Takes requests as long as each is answered at once; a loop, since a client may send many ahead. */
    private void advance() {
        if (advancing) {
            return;
        }
        advancing = true;
        try {
            while (state == State.READING && unread.hasRemaining() && !isOver()) {
                if (!reader.begun() && asked) {
                    since = intake.clock.now(); // the first request's time counts from connecting
                }
                if (reader.read(unread)) {
                    take();
                } else if (reader.expectsContinue() && !continued) {
                    continued = true;
                    write(() -> { }, ByteBuffer.wrap(CONTINUE));
                }
            }
        } finally {
            advancing = false;
        }
        if (state == State.READING || !unread.hasRemaining()) {
            aheadSince = null;
        } else if (aheadSince == null) {
            aheadSince = intake.clock.now();
        }
    }

    private void take() {
        asked = true;
        if (reader.error() != 0) {
            intake.counters.add(Count.REQUESTS_MALFORMED);
            respondAndClose(reader.error());
            return;
        }
        String target;
        String path;
        try {
            HttpURI uri = HttpURI.from(reader.target());
            target = uri.getPathQuery();
            path = uri.getPath();
        } catch (RuntimeException e) {
            target = null;
            path = null;
        }
        if (path == null || !path.startsWith("/")) {
            intake.counters.add(Count.REQUESTS_MALFORMED);
            respondAndClose(400);
        } else if (path.equals("/up")) {
            own(intake.ready() ? 200 : 503, intake.ready() ? "ready\n" : "not ready\n");
        } else if (path.equals("/metrics")) {
            own(200, intake.counters.text());
        } else {
            request(target, path);
        }
    }

    /** Answers a question about the node itself. */
    private void own(int status, String text) {
        boolean get = reader.method().equals("GET");
        HttpFields.Mutable fields = HttpFields.build().put(HttpHeader.CONTENT_TYPE, "text/plain; charset=utf-8");
        respond(get ? status : 405, get ? fields : fields.put(HttpHeader.ALLOW, "GET"),
                get ? text.getBytes(StandardCharsets.UTF_8) : NOTHING);
    }

    private void request(String target, String path) {
        int slash = path.indexOf('/', 1);
        int index = intake.site.classNames().indexOf(path.substring(1, slash < 0 ? path.length() : slash));
        if (index < 0) {
            respond(404, HttpFields.build(), NOTHING);
            return;
        }
        RequestClass type = intake.site.module().classes().get(index);
        boolean repeatable = type.effect() == Effect.REPEATABLE;
        if (repeatable ? !reader.method().equals("GET") : !changes(reader.method())) {
            String allowed = repeatable ? "GET" : "POST, PUT, PATCH, DELETE";
            respond(405, HttpFields.build().put(HttpHeader.ALLOW, allowed), NOTHING);
            return;
        }
        Duration longest = Clock.span(type.deadlineMs());
        Duration wait = Headers.timeout(reader.field("X-Timeout"), longest);
        String id = reader.field("X-Request-ID");
        if (wait == null || id == null || id.isEmpty()) {
            intake.counters.add(Count.REQUESTS_MALFORMED);
            respond(400, HttpFields.build(), NOTHING);
            return;
        }
        if (intake.exchanges.isOpen(id)) {
            intake.counters.add(Count.REQUESTS_MALFORMED);
            respond(409, HttpFields.build(), NOTHING);
            return;
        }
        if (!intake.canServe()) {
            intake.counters.add(Count.REQUESTS_TURNED_AWAY);
            lastOne = true;
            reject(NO_ROOM);
            return;
        }
        if (reader.bodySize() > LITTLE && !intake.hold(0)) {
            intake.counters.add(Count.REQUESTS_TURNED_AWAY);
            reject(NO_ROOM);
            return;
        }
        state = State.WAITING;
        Instant now = intake.clock.now();
        RequestContext context = new RequestContext(id, index, "1".equals(reader.field("X-Retried")), now,
                now.plus(wait.compareTo(longest) < 0 ? wait : longest),
                new RequestContext.Payload(reader.method(), target, Headers.endToEnd(reader.fields(), Header::new),
                        reader.body()));
        exchange = intake.exchanges.open(context, this::answer);
    }

    private static boolean changes(String method) {
        return switch (method) {
            case "POST", "PUT", "PATCH", "DELETE" -> true;
            default -> false;
        };
    }

    private void answer(Answer answer) {
        if (isOver()) {
            return;
        }
        if (answer instanceof Answer.Served served && mayWrite(served.body().length)) {
            respond(200, Headers.fields(served.headers(), Header::name, Header::value), served.body());
        } else if (answer instanceof Answer.Rejected rejected) {
            reject(rejected.retryAfter());
        } else {
            respond(502, HttpFields.build(), NOTHING);
        }
    }

    /** Guards the heap: a large answer takes its room until the client has read it. */
    private boolean mayWrite(int bytes) {
        writes = bytes;
        return intake.holdAnswers(bytes) || bytes <= Messages.MOST_BODY_BYTES;
    }

    private void reject(Duration retryAfter) {
        HttpFields.Mutable fields = HttpFields.build();
        Duration told = intake.site.retryAfter(retryAfter);
        if (!told.isZero()) {
            fields.put(HttpHeader.RETRY_AFTER, seconds(told));
        }
        respond(503, fields, NOTHING);
    }

    private static String seconds(Duration span) {
        return BigDecimal.valueOf(span.toMillis(), 3).stripTrailingZeros().toPlainString();
    }

    private void respondAndClose(int status) {
        lastOne = true;
        respond(status, HttpFields.build(), NOTHING);
    }

    private void respond(int status, HttpFields.Mutable fields, byte[] body) {
        boolean aheadTooLong = aheadSince != null
                && Duration.between(aheadSince, intake.clock.now()).compareTo(LONGEST_AHEAD) > 0;
        lastOne |= !reader.keepsConnection() || intake.closing() || aheadTooLong;
        if (lastOne) {
            fields.put(HttpHeader.CONNECTION, "close");
        }
        state = State.WRITING;
        since = intake.clock.now();
        write(this::written, Messages.response(status, fields, body));
    }

    private void written() {
        intake.holdAnswers(-writes);
        writes = 0;
        since = intake.clock.now();
        if (lastOne || intake.closing()) {
            state = State.LINGERING;
            getEndPoint().shutdownOutput();
            return;
        }
        reader.reset();
        intake.hold(unread.remaining() - held);
        held = unread.remaining();
        continued = false;
        state = State.READING;
        advance();
        intake.closeServed();
    }

    @Override
    protected void onEnd() {
        if (state != State.WRITING) {
            close();
        } else {
            lastOne = true; // the answer is still written out; then nothing is left to do
        }
    }

    @Override
    protected void onOver() {
        intake.over(this);
        intake.hold(-held);
        held = 0;
        intake.holdAnswers(-writes);
        writes = 0;
        if (exchange != null) {
            exchange.depart();
        }
    }
}
