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
import rowanplank.intake.http.ConnectionQueue.Stage;
import rowanplank.metrics.Counters.Count;
import rowanplank.net.Clock;
import rowanplank.net.LoopConnection;

/** One client's connection: reads a request, opens an exchange for it, writes the answer, and reads the next. */
final class ClientConnection extends LoopConnection implements ConnectionQueue.Connection {
    /** After this, a client that keeps sending ahead is served no more than what is open. */
    private static final Duration LONGEST_AHEAD = Duration.ofMillis(1500);
    /** So much of what a closed connection still sends is read: a body without end must not take the node's core. */
    private static final int MOST_LINGER_BYTES = 4 * Messages.MOST_BODY_BYTES;
    /** What a client may always send, however much the others have sent. */
    private static final int LITTLE = Messages.MOST_HEADER_BYTES;
    /** What a client may send ahead while it waits for an answer. */
    private static final int MOST_UNREAD = Messages.MOST_BODY_BYTES + Messages.MOST_HEADER_BYTES;
    /** When a client that found no room here may try again. */
    private static final Duration NO_ROOM = Duration.ofMillis(250);
    private static final byte[] NOTHING = {};
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final Intake intake;
    private final boolean room;
    private final boolean told;
    private final ConnectionQueue.Place place;
    /** Null between requests: connections are many, and most of them rest. */
    private RequestReader reader;
    private ByteBuffer unread;
    /** The request that is open; null where there is none. */
    private Exchange exchange;
    /** Since when the client has sent more than the request that is open; null if it has not. */
    private Instant aheadSince;
    private int dropped;
    private boolean advancing;
    private boolean continued;
    private boolean lastOne;
    private int held;
    private int writes;

    /**
     * @param room whether the node has room for this connection; else it is closed
     * @param told whether it is told so first
     */
    ClientConnection(EndPoint endPoint, Intake intake, ConnectionQueue queue, boolean room, boolean told) {
        super(endPoint, intake.loop);
        this.intake = intake;
        this.room = room;
        this.told = told;
        unread = intake.noBytes;
        place = queue.join(this, intake.clock.now());
    }

    @Override
    public void onOpen() {
        super.onOpen();
        if (!told) {
            close();
        } else if (!room) {
            lastOne = true;
            reject(NO_ROOM);
        }
    }

    private boolean isIdle() {
        return place.stage() == Stage.SILENT || place.stage() == Stage.RESTING;
    }

    private boolean isReading() {
        return isIdle() || place.stage() == Stage.BEGINNING || place.stage() == Stage.GOING_ON;
    }

    @Override
    public boolean closeIfIdle() {
        if (isIdle()) {
            lastLook();
        }
        if (isIdle()) {
            close();
        }
        return isOver();
    }

    @Override
    public void timeUp() {
        switch (place.stage()) {
            case SILENT, RESTING -> closeIfIdle();
            case BEGINNING, GOING_ON -> {
                lastLook();
                if (isReading() && !isIdle()) {
                    respondAndClose(408);
                }
            }
            case WRITING, LINGERING -> close();
            case WAITING -> { }
        }
    }

    @Override
    protected void onBytes(ByteBuffer bytes) {
        if (place.stage() == Stage.LINGERING || lastOne) {
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
        int holds = isOver() ? 0 : unread.remaining() + (reader == null ? 0 : reader.bodySize());
        boolean room = intake.hold(holds - held);
        held = holds;
        if (!unread.hasRemaining()) {
            unread = intake.noBytes;
        }
        if (!room && held > LITTLE) {
            giveUpReading();
        }
    }

    /** No more is taken here, and what was read is let go at once: it is the room for it that is wanting. */
    private void giveUpReading() {
        boolean unanswered = isReading();
        lastOne = true;
        unread = intake.noBytes;
        int holds = unanswered || reader == null ? 0 : reader.bodySize();
        intake.hold(holds - held);
        held = holds;
        if (unanswered) {
            intake.counters.add(Count.REQUESTS_TURNED_AWAY);
            reader = null;
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
            while (isReading() && unread.hasRemaining() && !isOver()) {
                if (isIdle()) {
                    place.begin(intake.clock.now());
                    reader = intake.takeReader();
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
        if (isReading() || !unread.hasRemaining()) {
            aheadSince = null;
        } else if (aheadSince == null) {
            aheadSince = intake.clock.now();
        }
    }

    private void take() {
        place.asked();
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
            own(intake.isUp() ? 200 : 503, intake.isUp() ? "ready\n" : "not ready\n");
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
        Instant now = intake.clock.now();
        place.move(Stage.WAITING, now);
        RequestContext context = new RequestContext(id, index, "1".equals(reader.field("X-Retried")), now,
                now.plus(wait.compareTo(longest) < 0 ? wait : longest),
                new RequestContext.Payload(reader.method(), target, Headers.endToEnd(reader.fields(), Header::new),
                        reader.body()));
        Exchange opened = intake.exchanges.open(context, this::answer);
        exchange = opened.ended() ? null : opened;
    }

    private static boolean changes(String method) {
        return switch (method) {
            case "POST", "PUT", "PATCH", "DELETE" -> true;
            default -> false;
        };
    }

    private void answer(Answer answer) {
        exchange = null;
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
        Instant now = intake.clock.now();
        boolean aheadTooLong = aheadSince != null
                && Duration.between(aheadSince, now).compareTo(LONGEST_AHEAD) > 0;
        lastOne |= reader == null || !reader.keepsConnection() || intake.closing() || aheadTooLong;
        if (lastOne) {
            fields.put(HttpHeader.CONNECTION, "close");
        }
        place.move(Stage.WRITING, now);
        write(this::written, Messages.response(status, fields, body));
    }

    private void written() {
        intake.holdAnswers(-writes);
        writes = 0;
        Instant now = intake.clock.now();
        if (lastOne || intake.closing()) {
            place.move(Stage.LINGERING, now);
            getEndPoint().shutdownOutput();
            return;
        }
        intake.giveBack(reader);
        reader = null;
        intake.hold(unread.remaining() - held);
        held = unread.remaining();
        continued = false;
        place.move(Stage.RESTING, now);
        advance();
        intake.closeServed(now);
    }

    @Override
    protected void onEnd() {
        if (place.stage() != Stage.WRITING) {
            close();
        } else {
            lastOne = true; // the answer is still written out; then nothing is left to do
        }
    }

    @Override
    protected void onOver() {
        place.leave();
        intake.hold(-held);
        held = 0;
        intake.holdAnswers(-writes);
        writes = 0;
        if (exchange != null) {
            exchange.depart();
        }
    }
}
