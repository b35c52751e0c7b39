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
import rowanplank.exchange.Exchange;
import rowanplank.exchange.Header;
import rowanplank.exchange.RequestContext;
import rowanplank.exchange.Response;
import rowanplank.exchange.Transfer;
import rowanplank.http.Headers;
import rowanplank.http.Messages;
import rowanplank.http.RequestReader;
import rowanplank.intake.http.ConnectionQueue.Stage;
import rowanplank.metrics.Counters.Count;
import rowanplank.net.Clock;
import rowanplank.net.LoopConnection;

/**
 * One client's connection: reads a request, opens an exchange for it, writes the answer, and reads the next. Large bodies
 * go through it piece by piece, in both directions.
 */
final class ClientConnection extends LoopConnection implements ConnectionQueue.Connection, Transfer.Source,
        LargeAnswer.Connection, Exchange.Client {
    /** No body takes longer than this: the bound of its length at the slowest pace. */
    private static final Duration LONGEST_UPLOAD = Duration.ofSeconds(Messages.MOST_BODY_BYTES / BodyPace.SLOWEST);
    /** After this, a client that keeps sending ahead is served no more than what is open. */
    private static final Duration LONGEST_AHEAD = Duration.ofMillis(1500);
    /** So much of what a closed connection still sends is read: a body without end must not take the node's core. */
    private static final int MOST_LINGER_BYTES = 4 * Messages.MOST_HELD_BYTES;
    /** What a client may always send, however much the others have sent. */
    private static final int LITTLE = Messages.MOST_HEADER_BYTES;
    /** What a client may send ahead while it waits for an answer. */
    private static final int MOST_UNREAD = Messages.MOST_HELD_BYTES + Messages.MOST_HEADER_BYTES;
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
    private final BodyPace pace = new BodyPace();
    private boolean lastOne;
    private int held;
    /** The large body of the request that is open; null where there is none. */
    private Transfer upload;
    /** Whether it is still coming. */
    private boolean uploading;
    /** Whether more of it was read than there was room for, which is done once until there is room again. */
    private boolean lookedBeyond;
    /** The large answer that is being written; null while there is none. */
    private LargeAnswer answering;

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
    public boolean endIfIdle() {
        if (isIdle()) {
            lastLook();
        }
        if (isIdle() && !unread.hasRemaining()) {
            linger();
        }
        return place.stage() == Stage.LINGERING || isOver();
    }

    @Override
    public void closeLingering() {
        lastLook();
        close();
    }

    /**
     * Ends the sending, and reads and drops what still comes: a close over bytes that nobody has read would be a reset, which
     * takes with it what of the last answer is still on its way.
     */
    private void linger() {
        lastOne = true;
        dropped = 0;
        place.move(Stage.LINGERING, intake.clock.now());
        resumeReading();
        getEndPoint().shutdownOutput();
    }

    @Override
    public void timeUp() {
        switch (place.stage()) {
            case SILENT, RESTING -> endIfIdle();
            case BEGINNING, GOING_ON -> {
                lastLook();
                if (isReading() && !isIdle() && !isOver()) {
                    slow();
                }
            }
            case SENDING -> stalled();
            case WRITING -> close();
            case LINGERING -> closeLingering();
            case WAITING -> { }
        }
    }

    private void slow() {
        Duration more = pace.more(intake.clock.now(), reader.bodySize());
        if (more.isZero()) {
            respondAndClose(408);
        } else {
            place.move(place.stage(), place.since().plus(more));
        }
    }

    /** No piece of a large body has come for too long; but where the node has stopped the client, it is not its fault. */
    private void stalled() {
        Instant since = place.since();
        lastLook();
        if (isPaused()) {
            place.move(Stage.SENDING, intake.clock.now());
        } else if (uploading && place.since().equals(since)) {
            breakOff(408);
        }
    }

    @Override
    protected void onBytes(ByteBuffer bytes) {
        if (place.stage() == Stage.LINGERING || lastOne) {
            drop(bytes.remaining());
            return;
        }
        if (unread.remaining() + bytes.remaining() > MOST_UNREAD + Messages.MOST_HELD_BYTES) {
            giveUpReading(); // sent ahead far more than a client has reason to: it gets what is open, and no more
            drop(bytes.remaining());
            return;
        }
        pace.came(intake.clock.now());
        ByteBuffer joined = ByteBuffer.allocate(unread.remaining() + bytes.remaining());
        unread = joined.put(unread).put(bytes).flip();
        advance();
        int holds = isOver() ? 0 : unread.remaining() + (reader == null ? 0 : reader.bodySize());
        boolean room = intake.hold(holds - held);
        held = holds;
        if (!unread.hasRemaining()) {
            unread = intake.noBytes;
        }
        if (!room && held > LITTLE && upload == null) {
            giveUpReading();
        }
    }

    /** Nothing more is answered here. Reads on, for the client's end; but no client may keep the node at reading. */
    private void drop(int bytes) {
        dropped += bytes;
        if (dropped > MOST_LINGER_BYTES && exchange != null) {
            close(); // paused, its end could not be seen, and its request would be sent on
        } else if (dropped > MOST_LINGER_BYTES) {
            pauseReading();
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
            while ((isReading() || uploading) && unread.hasRemaining() && !isOver()) {
                if (isIdle()) {
                    place.begin(intake.clock.now());
                    reader = intake.takeReader();
                }
                if (uploading) {
                    sendOn();
                } else if (reader.read(unread)) {
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

    /** A piece of a large body has come. */
    private void sendOn() {
        boolean over = reader.read(unread);
        Instant now = intake.clock.now();
        if (!uploading) {
            unread = intake.noBytes; // its answer came first, and is the last here
        } else if (over && reader.isWhole()) {
            uploading = false;
            place.move(Stage.WAITING, now);
            exchange.uploadFinished(now);
            upload.end();
        } else if (over) {
            intake.counters.add(Count.REQUESTS_MALFORMED);
            breakOff(reader.error());
        } else {
            place.move(Stage.SENDING, now);
        }
    }

    /** A large body does not come to its end: whoever waits for the rest of it is told so. */
    private void breakOff(int status) {
        Exchange left = exchange;
        exchange = null;
        left.clientLeft();
        dropUpload();
        respondAndClose(status);
    }

    private void dropUpload() {
        if (upload != null) {
            upload.discard();
            upload = null;
            uploading = false;
            resumeReading();
        }
    }

    @Override
    public void resume() {
        lookedBeyond = false;
        resumeReading();
    }

    /** The peers' side never gives a body up: it ends its try, and the answer that follows is the last here. */
    @Override
    public void abandoned() { }

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
        if (reader.method().equals("OPTIONS") && reader.target().equals("*")) {
            respond(200, HttpFields.build().put(HttpHeader.ALLOW, "GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS"), NOTHING);
        } else if (path == null || !path.startsWith("/")) {
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
        boolean asks = asks(reader.method());
        HttpFields.Mutable fields = HttpFields.build().put(HttpHeader.CONTENT_TYPE, "text/plain; charset=utf-8");
        respond(asks ? status : 405, asks ? fields : fields.put(HttpHeader.ALLOW, "GET, HEAD"),
                asks ? text.getBytes(StandardCharsets.UTF_8) : NOTHING);
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
        if (repeatable ? !asks(reader.method()) : !changes(reader.method())) {
            String allowed = repeatable ? "GET, HEAD" : "POST, PUT, PATCH, DELETE";
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
        if (intake.rejectsAll() || !intake.canServe()) {
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
        open(id, index, target, wait.compareTo(longest) < 0 ? wait : longest);
    }

    private void open(String id, int index, String target, Duration wait) {
        Instant now = intake.clock.now();
        boolean large = reader.isLarge();
        place.move(large ? Stage.SENDING : Stage.WAITING, now);
        RequestContext.Upload rest = null;
        if (large) {
            intake.counters.add(Count.UPLOADS);
            upload = new Transfer(intake.room, this);
            uploading = true;
            rest = new RequestContext.Upload(reader.length(), wait, upload);
        }
        RequestContext context = new RequestContext(id, index, intake.site.tenant(reader.field("X-Tenant-Id")),
                Headers.key(reader.field("X-Route-Key")), "1".equals(reader.field("X-Retried")), now,
                now.plus(large ? LONGEST_UPLOAD.plus(wait) : wait),
                new RequestContext.Payload(reader.method(), target, Headers.endToEnd(reader.fields(), Header::new),
                        reader.body(), rest));
        Exchange opened = intake.exchanges.open(context, this);
        exchange = opened.ended() ? null : opened;
        if (upload != null) {
            reader.passOn(this::passOn);
        }
    }

    private void passOn(ByteBuffer piece) {
        if (uploading && !upload.offer(piece)) {
            pauseReading();
        }
    }

    private static boolean asks(String method) {
        return method.equals("GET") || method.equals("HEAD");
    }

    private static boolean changes(String method) {
        return switch (method) {
            case "POST", "PUT", "PATCH", "DELETE" -> true;
            default -> false;
        };
    }

    /** Its end may have come in together with its request, or wait behind what it has sent ahead. */
    @Override
    public boolean isConnected() {
        if (isPaused() && !lookedBeyond) {
            lookedBeyond = true;
            lookBeyondPause();
        } else {
            lastLook();
        }
        return !isOver();
    }

    @Override
    public void respond(Response answer) {
        exchange = null;
        if (isOver()) {
            return;
        }
        lastOne |= uploading; // answered before its body's end, of which no more is taken
        dropUpload();
        if (answer instanceof Response.Served served) {
            respond(200, Headers.fields(served.headers(), Header::name, Header::value), served.body());
        } else if (answer instanceof Response.Streamed begun) {
            begin(begun);
        } else if (answer instanceof Response.Rejected rejected) {
            reject(rejected.retryAfter());
        } else {
            respond(502, HttpFields.build(), NOTHING);
        }
    }

    private void begin(Response.Streamed begun) {
        LargeAnswer.Framing framing = begun.length() >= 0 ? LargeAnswer.Framing.LENGTH
                : reader.readsChunks() ? LargeAnswer.Framing.CHUNKED : LargeAnswer.Framing.UNTIL_CLOSE;
        HttpFields.Mutable fields = Headers.fields(begun.headers(), Header::name, Header::value);
        lastOne |= framing == LargeAnswer.Framing.UNTIL_CLOSE;
        tellLastOne(fields);
        answering = new LargeAnswer(begun.body(), framing, this);
        answering.begin(framing == LargeAnswer.Framing.UNTIL_CLOSE ? Messages.responseHeadUntilClose(200, fields)
                : Messages.responseHead(200, fields, begun.length()));
    }

    @Override
    public void writePiece(Runnable written, ByteBuffer... piece) {
        place.move(Stage.WRITING, intake.clock.now());
        write(written, piece);
    }

    @Override
    public void awaitsPiece() {
        place.move(Stage.WAITING, intake.clock.now());
    }

    @Override
    public void answerWritten() {
        answering = null;
        written();
    }

    @Override
    public void answerBroken(LargeAnswer.Framing framing) {
        if (framing == LargeAnswer.Framing.UNTIL_CLOSE) {
            abort(); // by its framing it would pass for whole
        } else {
            close();
        }
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
        tellLastOne(fields);
        place.move(Stage.WRITING, intake.clock.now());
        if (reader != null && "HEAD".equals(reader.method())) {
            if (!fields.contains(HttpHeader.CONTENT_LENGTH)) {
                fields.put(HttpHeader.CONTENT_LENGTH, body.length);
            }
            body = NOTHING;
        }
        write(this::written, Messages.response(status, fields, body));
    }

    /** Says whether this answer is the last here, and remembers it. */
    private void tellLastOne(HttpFields.Mutable fields) {
        boolean aheadTooLong = aheadSince != null
                && Duration.between(aheadSince, intake.clock.now()).compareTo(LONGEST_AHEAD) > 0;
        boolean closing = intake.closing() && !unread.hasRemaining(); // what has been read is answered before
        lastOne |= reader == null || !reader.isWhole() || !reader.keepsConnection() || closing || aheadTooLong;
        if (lastOne) {
            fields.put(HttpHeader.CONNECTION, "close");
        }
    }

    private void written() {
        if (lastOne) {
            linger();
            return;
        }
        Instant now = intake.clock.now();
        intake.giveBack(reader);
        reader = null;
        intake.hold(unread.remaining() - held);
        held = unread.remaining();
        continued = false;
        pace.reset();
        place.move(Stage.RESTING, now);
        advance();
        if (intake.closing()) {
            endIfIdle(); // the answer did not say that it is the last: what came behind it is still answered
        } else {
            intake.endServed(now);
        }
    }

    @Override
    protected void onEnd() {
        if (place.stage() != Stage.WRITING && answering == null) {
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
        if (answering != null) {
            answering.abandon();
        }
        if (exchange != null) {
            exchange.clientLeft();
        }
        dropUpload();
    }
}
