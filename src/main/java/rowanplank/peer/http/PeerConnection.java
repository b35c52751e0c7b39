package rowanplank.peer.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.config.Addresses;
import rowanplank.config.HostList.Member;
import rowanplank.exchange.Header;
import rowanplank.exchange.RequestContext;
import rowanplank.exchange.Response;
import rowanplank.exchange.Transfer;
import rowanplank.http.Headers;
import rowanplank.http.Messages;
import rowanplank.http.ResponseReader;
import rowanplank.net.Clock;
import rowanplank.net.Loop;
import rowanplank.net.LoopConnection;

/**
 * One connection to a peer: carries one try at a time, and tells its outcome from what comes back. Large bodies go
 * through it piece by piece, in both directions.
 */
final class PeerConnection extends LoopConnection implements Transfer.Source {
    /** An answer that does not tell its length is passed on once it has taken so long after its head. */
    private static final Duration LONGEST_HELD_BACK = Duration.ofMillis(100);

    /** A large body that has not moved for so long through no fault of its client's is given up. */
    static final Duration STALLED = Duration.ofSeconds(10);

    private final ResponseReader reader = new ResponseReader(Messages.MOST_HELD_BYTES, Messages.MOST_BODY_BYTES);
    private final ByteBuffer probe = ByteBuffer.allocate(1);
    private final Loop loop;
    private final Peers peers;
    private final Member peer;
    private final Consumer<PeerConnection> opened;
    private Clock clock;
    private Peers.Sending sending;
    private RequestContext.Upload upload;
    /** A large answer on its way to the client; null while there is none. */
    private Transfer answer;
    private Instant headAt;
    private boolean pieceOut;
    private boolean written;
    private boolean answered;
    private boolean moved;
    private long pieces;
    /** The id of the request that was answered here last; null before the first answer. */
    private String answeredLast;
    /** Where it last rested; null before it has. */
    private IdleConnections.Kept<PeerConnection> kept;

    PeerConnection(EndPoint endPoint, Loop loop, Peers peers, Member peer,
            Consumer<PeerConnection> opened) {
        super(endPoint, loop);
        this.loop = loop;
        this.peers = peers;
        this.peer = peer;
        this.opened = opened;
    }

    @Override
    public void onOpen() {
        super.onOpen();
        opened.accept(this);
    }

    void send(Peers.Sending next, Duration left, Clock now) {
        sending = next;
        clock = now;
        written = false;
        answered = false;
        headAt = null;
        RequestContext context = next.attempt.exchange().context();
        RequestContext.Payload payload = context.payload();
        upload = payload.upload();
        reader.reset(payload.method().equals("HEAD"));
        HttpFields.Mutable fields = Headers.fields(payload.headers(), Header::name, Header::value);
        if (!fields.contains(HttpHeader.HOST)) {
            fields.put(HttpHeader.HOST, Addresses.format(peer.address()));
        }
        fields.put("X-Request-ID", context.id());
        Duration wait = payload.isUploading() && upload.responseTimeout().compareTo(left) < 0 ? upload.responseTimeout() : left;
        fields.put("X-Timeout", Math.max(1, wait.toNanos() / 1000) + "u");
        if (upload == null) {
            write(() -> written = true, Messages.request(payload.method(), payload.target(), fields, payload.body()));
        } else {
            write(() -> { }, Messages.requestHead(payload.method(), payload.target(), fields, upload.length()));
            writePiece(ByteBuffer.wrap(payload.body()));
            loop.schedule(STALLED, this::lookAtUpload);
        }
    }

    /** Guards sockets against peers that stop reading in the middle of a large body. */
    private void lookAtUpload() {
        if (upload != null && !isOver()) {
            if (pieceOut && !moved) {
                close();
            } else {
                moved = false;
                loop.schedule(STALLED, this::lookAtUpload);
            }
        }
    }

    private void writePiece(ByteBuffer piece) {
        pieceOut = true;
        ByteBuffer[] framed = upload.length() >= 0 ? new ByteBuffer[] {piece} : Messages.chunk(piece);
        write(() -> {
            pieceOut = false;
            moved = true;
            if (upload != null && !upload.remainder().hasReadStarted()) {
                upload.remainder().setReader(this::sendOn);
            } else {
                sendOn();
            }
        }, framed);
    }

    /** Writes the next piece of a large body, one at a time. */
    private void sendOn() {
        if (upload == null || pieceOut || isOver()) {
            return;
        }
        Transfer rest = upload.remainder();
        ByteBuffer piece = rest.poll();
        if (piece != null) {
            writePiece(piece);
        } else if (rest.isFullyRead()) {
            boolean chunked = upload.length() < 0;
            upload = null;
            if (chunked) {
                write(this::sent, Messages.lastChunk());
            } else {
                sent();
            }
        } else if (rest.hasFailed()) {
            close();
        }
    }

    private void sent() {
        written = true;
        if (sending != null) {
            sending.attempt.sendFinished(clock.now());
        }
    }

    /** Whether no byte of a large body has moved since this was last asked, though its client wants it to. */
    boolean hasStalled() {
        boolean stalled = !moved && !isPaused();
        moved = false;
        return stalled;
    }

    /** How many pieces have come here: it grows as long as an answer moves. */
    long pieces() {
        return pieces;
    }

    /** Whether the next piece is not read because the client has not taken those before. */
    boolean isHeldByClient() {
        return isPaused();
    }

    /** Whether the try's answer has come whole, so that the connection can be kept. */
    boolean answered() {
        return answered;
    }

    /** Whom it was opened to, as listed then. */
    Member peer() {
        return peer;
    }

    void kept(IdleConnections.Kept<PeerConnection> at) {
        kept = at;
    }

    IdleConnections.Kept<PeerConnection> kept() {
        return kept;
    }

    /** Guards against sending on a connection whose end has come in but was not yet read. */
    boolean isUsable() {
        try {
            probe.clear().limit(0);
            return !isOver() && getEndPoint().fill(probe) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    protected void onBytes(ByteBuffer bytes) {
        if (sending == null || answeredLast != null && !written && upload == null) {
            close(); // an answer that nobody asked for, or not yet
            return;
        }
        moved = true;
        pieces++;
        ResponseReader.Progress progress = reader.read(bytes);
        if (answersLastAgain()) {
            close();
            return;
        }
        while (sending != null && progress == ResponseReader.Progress.MORE && answer == null && reader.isLarge()) {
            if (reader.status() != 200) {
                finish(outcome(), null, false); // whatever else it says, this is known
                return;
            }
            begin();
            progress = sending == null ? progress : reader.read(bytes);
        }
        if (sending == null) {
            return; // its client has left meanwhile
        }
        switch (progress) {
            case MORE -> holdBackNoLonger();
            case BROKEN -> finish(Outcome.ERROR, null, false);
            case WHOLE -> whole(written && reader.keepsConnection() && !bytes.hasRemaining());
        }
    }

    /** Guards requests against a second answer to the one before, where servers name the request that they answer. */
    private boolean answersLastAgain() {
        return answeredLast != null && reader.hasHead() && answeredLast.equals(reader.field("X-Request-ID"))
                && !answeredLast.equals(sending.attempt.exchange().context().id());
    }

    private void whole(boolean reusable) {
        peers.answered(peer, reader::field);
        Outcome outcome = outcome();
        boolean served = outcome == Outcome.OK && answer == null;
        finish(outcome, served ? new Response.Served(headers(), reader.body()) : null, reusable);
    }

    private List<Header> headers() {
        List<Header> headers = Headers.endToEnd(reader.fields(), Header::new);
        String length = reader.field("Content-Length");
        if (reader.isToHead() && length != null) {
            headers.add(new Header("Content-Length", length));
        }
        return headers;
    }

    /** Guards clients against waiting for a slow answer of unknown length; a short one can still be sent again. */
    private void holdBackNoLonger() {
        if (headAt == null && reader.hasHead()) {
            headAt = clock.now();
            if (answer == null && reader.isFramed() && reader.length() < 0) {
                Peers.Sending of = sending;
                loop.schedule(LONGEST_HELD_BACK, () -> {
                    if (sending == of && answer == null && !isOver() && reader.status() == 200) {
                        begin();
                    }
                });
            }
        }
    }

    private void begin() {
        answer = new Transfer(peers.room(), this);
        answer.offer(ByteBuffer.wrap(reader.body()));
        Response.Streamed begun = new Response.Streamed(headers(), reader.length(), answer);
        sending.begin(begun, headAt == null ? clock.now() : headAt);
        reader.passOn(this::passOn);
    }

    private void passOn(ByteBuffer piece) {
        if (answer != null && !answer.offer(piece)) {
            pauseReading();
        }
    }

    @Override
    public void resume() {
        moved = true;
        pieces++;
        resumeReading();
    }

    @Override
    public void abandoned() {
        if (sending != null) {
            finish(Outcome.CANCELLED, null, false);
        }
    }

    private Outcome outcome() {
        int status = reader.status();
        boolean neverRan = (status == 503 || status == 504) && "1".equals(reader.field("X-Not-Processed"));
        return status == 200 ? Outcome.OK : neverRan ? Outcome.FULL : Outcome.ERROR;
    }

    /** The connection is free, or closed, before the outcome is told: what follows may want to use it. */
    private void finish(Outcome outcome, Response.Served served, boolean reusable) {
        Peers.Sending done = sending;
        Transfer passed = answer;
        sending = null;
        answer = null;
        answered = true;
        upload = null; // what is not yet sent of it may go to another peer, if nothing of it was
        if (reusable) {
            answeredLast = done.attempt.exchange().context().id();
            reader.reset(); // connections that rest are many: none keeps its last answer
            resumeReading();
            peers.keep(this);
        } else {
            close();
        }
        done.end(outcome, served); // before the answer's end, which may bring the next try on this connection
        if (passed != null && outcome == Outcome.OK) {
            passed.end();
        } else if (passed != null) {
            passed.fail();
        }
    }

    /** An answer without framing ends so; any other is cut short. */
    @Override
    protected void onEnd() {
        if (sending != null && written && reader.end() == ResponseReader.Progress.WHOLE) {
            whole(false);
        } else {
            close();
        }
    }

    @Override
    protected void onOver() {
        peers.over(this);
        Peers.Sending lost = sending;
        sending = null;
        if (answer != null) {
            answer.fail();
        }
        if (lost != null) {
            lost.end(written ? Outcome.RESET : Outcome.CONNECT_FAILED, null);
        }
    }
}
