package rowanplank.peer.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.config.Addresses;
import rowanplank.config.HostList.Member;
import rowanplank.exchange.Answer;
import rowanplank.exchange.Header;
import rowanplank.exchange.RequestContext;
import rowanplank.http.Headers;
import rowanplank.http.Messages;
import rowanplank.http.ResponseReader;
import rowanplank.net.Loop;
import rowanplank.net.LoopConnection;

/** One connection to a peer: carries one try at a time, and tells its outcome from what comes back. */
final class PeerConnection extends LoopConnection {
    private final ResponseReader reader = new ResponseReader(Messages.MOST_ANSWER_BYTES);
    private final ByteBuffer probe = ByteBuffer.allocate(1);
    private final Peers peers;
    private final Member peer;
    private final Consumer<PeerConnection> opened;
    private Peers.Sending sending;
    private int held;
    private boolean written;
    private boolean answered;
    /** Where it last rested; null before it has. */
    private IdleConnections.Kept<PeerConnection> kept;

    PeerConnection(EndPoint endPoint, Loop loop, Peers peers, Member peer,
            Consumer<PeerConnection> opened) {
        super(endPoint, loop);
        this.peers = peers;
        this.peer = peer;
        this.opened = opened;
    }

    @Override
    public void onOpen() {
        super.onOpen();
        opened.accept(this);
    }

    void send(Peers.Sending next, Duration left) {
        sending = next;
        written = false;
        answered = false;
        reader.reset();
        RequestContext context = next.attempt.exchange().context();
        RequestContext.Payload payload = context.payload();
        HttpFields.Mutable fields = Headers.fields(payload.headers(), Header::name, Header::value);
        if (!fields.contains(HttpHeader.HOST)) {
            fields.put(HttpHeader.HOST, Addresses.format(peer.address()));
        }
        fields.put("X-Request-ID", context.id());
        fields.put("X-Timeout", Math.max(1, left.toNanos() / 1000) + "u");
        write(() -> written = true, Messages.request(payload.method(), payload.target(), fields, payload.body()));
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
        if (sending == null) {
            close(); // an answer that nobody asked for
            return;
        }
        ResponseReader.Progress progress = reader.read(bytes);
        boolean room = hold(reader.bodySize());
        switch (progress) {
            case MORE -> {
                if (!room && held > Messages.MOST_BODY_BYTES) {
                    finish(Outcome.ERROR, null, false);
                }
            }
            case BROKEN -> finish(Outcome.ERROR, null, false);
            case WHOLE -> {
                boolean reusable = written && reader.keepsConnection() && !bytes.hasRemaining();
                Outcome outcome = outcome();
                finish(outcome, outcome != Outcome.OK ? null
                        : new Answer.Served(Headers.endToEnd(reader.fields(), Header::new), reader.body()), reusable);
            }
        }
    }

    private Outcome outcome() {
        int status = reader.status();
        boolean neverRan = (status == 503 || status == 504) && "1".equals(reader.field("X-Not-Processed"));
        return status == 200 ? Outcome.OK : neverRan ? Outcome.FULL : Outcome.ERROR;
    }

    /** The connection is free, or closed, before the outcome is told: what follows may want to use it. */
    private void finish(Outcome outcome, Answer.Served served, boolean reusable) {
        Peers.Sending done = sending;
        sending = null;
        answered = true;
        hold(0);
        if (reusable) {
            peers.keep(this);
        } else {
            close();
        }
        done.end(outcome, served);
    }

    @Override
    protected void onEnd() {
        close();
    }

    private boolean hold(int bytes) {
        int change = bytes - held;
        held = bytes;
        return peers.hold(change);
    }

    @Override
    protected void onOver() {
        hold(0);
        peers.over(this);
        Peers.Sending lost = sending;
        sending = null;
        if (lost != null) {
            lost.end(written ? Outcome.RESET : Outcome.CONNECT_FAILED, null);
        }
    }
}
