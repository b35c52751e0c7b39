package routerfleet.data;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import routerfleet.wire.SteadyClock;

/**
 * One request's life: route, key, limit, server, answer. It ends with exactly one answer to the client. A request that
 * may have run is answered 429 or 503 only where it may run again; one that has not is told when to come back.
 */
final class Exchange {
    private static final int MOST_BODY_BYTES = 16 << 20;
    private static final int MOST_CONNECT_FAILURES = 4;
    /** A request with less time left is not sent any more. */
    private static final long LEAST_LEFT_MS = 12;
    /** A failure counts as an answer after so many objectives. */
    private static final double FAILURE_AIMS = 3;
    /**
     * A server that is silent for so long while it owes answers to two requests is taken for dead, where the request may
     * run again. Silence to a single request is most often the reading of a long prompt: to send it on would only have
     * another server read it as well.
     */
    private static final long SILENT_MS = 900;
    /** What a single request waits in silence: a part of the route's timeout that leaves time for another server. */
    private static final double SILENT_PART = 1.0 / 3;

    private final DataPlane plane;
    private final ClientResponseWriter reply;
    private final HttpRequest request;
    private final byte[] body;
    private final long receivedMs;
    private final List<Server> tried = new ArrayList<>(2);
    private final StreamRelay relay;
    private AdmittedRequest admitted;
    private ScheduledFuture<?> timer;
    private Attempt attempt;
    private int sends;
    private int connectFailures;
    private boolean mayHaveRun;
    private boolean done;

    /** @param receivedMs when the request's first byte was read, on the steady clock */
    Exchange(DataPlane plane, ClientResponseWriter reply, HttpRequest request, byte[] body, long receivedMs) {
        this.plane = plane;
        this.reply = reply;
        this.request = request;
        this.body = body;
        this.receivedMs = receivedMs;
        relay = new StreamRelay(reply);
    }

    // ---- admission

    void start() {
        plane.opened(this);
        Either<ErrorResponse, AdmittedRequest> read = AdmittedRequest.admit(plane, request, receivedMs);
        if (read.isLeft()) {
            answer(read.getLeft());
            return;
        }
        admitted = read.get();
        plane.budget(admitted.backend()).earned(plane.fleetSize().divisor());
        timer = plane.loop().schedule(this::timeIsUp, Math.max(1, leftMs()), TimeUnit.MILLISECONDS);
        if (admitted.tenant() == null) {
            send();
        } else {
            double cost = QuotaClient.cost(admitted.tenant(), request.headers().get(ProxyHeaders.TOKEN_USAGE));
            plane.quotas().admit(admitted.tenant(), cost, this::quotaDecided);
        }
    }

    private long leftMs() {
        return admitted.deadlineMs() - SteadyClock.millis();
    }

    /** @return whether the request is still there */
    private boolean quotaDecided(QuotaClient.Admission admission) {
        if (done) {
            return false;
        }
        if (admission.outcome() == QuotaClient.Outcome.ADMITTED) {
            send();
        } else if (admission.outcome() == QuotaClient.Outcome.DENIED) {
            answer(ErrorResponse.rateLimited(admission.waitMs(), admitted.targetLatencyMs()));
        } else {
            answer(ErrorResponse.noCapacity(admitted.targetLatencyMs()));
        }
        return true;
    }

    // ---- sending

    private void send() {
        long now = SteadyClock.millis();
        if (admitted.deadlineMs() - now < LEAST_LEFT_MS) {
            giveUp();
            return;
        }
        ServerPool pool = pool();
        int capacity = pool.size() == 0 ? 0 : pool.servers().get(0).capacity();
        int limit = plane.inFlightLimit(admitted.backend(), capacity);
        pool.coldAdmission().chance(plane.coldChance(admitted.backend()));
        Server server = pool.choose(admitted.promptProfile(), limit, tried, now);
        if (server == null) {
            giveUp();
            return;
        }
        tried.add(server);
        attempt = new Attempt(server, pool.coldAdmission().claim(server, now));
        server.sent(now);
        Server.Idle idle = server.takeIdle(now, pool.restLimit().maxIdleMs(now));
        if (idle != null) {
            attempt.restedMs = now - idle.sinceMs();
            attempt.sendOn(idle.connection());
        } else {
            connect(attempt);
        }
    }

    private void connect(Attempt connecting) {
        long sinceMs = SteadyClock.millis();
        ChannelFuture future = UpstreamConnection.open(plane.loop(), connecting.server);
        Channel channel = future.channel();
        future.addListener(connected -> {
            if (connected.isSuccess()) {
                connecting.server.connected(SteadyClock.millis());
            } else if (connected.cause() instanceof ConnectTimeoutException) {
                connecting.server.connectTimedOut(sinceMs, SteadyClock.millis());
            }
            if (connecting != attempt || done) {
                channel.close();
            } else if (connected.isSuccess()) {
                connecting.sendOn(UpstreamConnection.of(channel));
            } else {
                connectFailed(connecting);
            }
        });
    }

    private void connectFailed(Attempt failed) {
        long now = SteadyClock.millis();
        failed.end();
        failed.server.failed(now);
        learn(failed, penaltyMs(), false);
        if (++connectFailures < MOST_CONNECT_FAILURES) {
            send();
        } else {
            giveUp();
        }
    }

    // ---- one send

    /** One send of the request to a server, and what comes of it. */
    private final class Attempt implements UpstreamConnection.ResponseReceiver {
        private final Server server;
        /** The permission that it took where its server was cold. */
        private final long claimed;
        private UpstreamConnection connection;
        /** For how long its connection had rested; 0 where it is new. */
        private long restedMs;
        private long sentMs;
        private HttpResponse head;
        private boolean notExecuted;
        private boolean streams;
        private EventStreamParser parser;
        private ByteArrayOutputStream whole;
        private double firstMs;
        private boolean ended;

        Attempt(Server server, long claimed) {
            this.server = server;
            this.claimed = claimed;
        }

        void sendOn(UpstreamConnection on) {
            if (!admitted.isKeyStillValid(plane)) {
                on.channel().close();
                end();
                giveUp();
                return;
            }
            if (!server.listed()) {
                on.channel().close(); // drained or evacuated while the connection came up
                end();
                Exchange.this.send();
                return;
            }
            sentMs = SteadyClock.millis();
            pool().coldAdmission().chance(plane.coldChance(admitted.backend()));
            if (!pool().coldAdmission().holds(server, claimed, sentMs)) {
                on.release(sentMs);
                end();
                Exchange.this.send();
                return;
            }
            connection = on;
            sends++;
            on.send(UpstreamRequest.build(request, body, admitted, server, relay.lastEventId(), leftMs()), admitted.id(),
                    this);
        }

        void end() {
            if (!ended) {
                ended = true;
                server.ended();
                if (attempt == this) {
                    attempt = null;
                }
            }
        }

        void abandon() {
            if (connection != null) {
                connection.channel().config().setAutoRead(true);
                connection.abandon();
            }
            end();
        }

        private double latencyMs() {
            return firstMs > 0 ? firstMs : Math.max(1, SteadyClock.millis() - sentMs);
        }

        @Override
        public void head(HttpResponse response) {
            head = response;
            String warmup = response.headers().get(ProxyHeaders.WARMUP);
            if (warmup != null) {
                server.warmth().answered(ProxyHeaders.parseMillis(warmup), SteadyClock.millis());
            }
            notExecuted = response.headers().contains(ProxyHeaders.NOT_EXECUTED) || response.status().code() == 421;
            boolean success = response.status().code() / 100 == 2;
            if (success && !response.headers().contains(ProxyHeaders.SIGNATURE)) {
                breakOff("a success without a signature");
                return;
            }
            streams = success && admitted.route().streaming() && UpstreamConnection.isEventStream(response);
            if (streams) {
                parser = new EventStreamParser();
            } else {
                whole = new ByteArrayOutputStream();
            }
        }

        @Override
        public void content(ByteBuf piece) {
            if (streams) {
                if (!parser.feed(piece, this::event)) {
                    breakOff("an event is too long");
                }
                return;
            }
            if (whole.size() + piece.readableBytes() > MOST_BODY_BYTES) {
                breakOff("the answer is too long");
                return;
            }
            byte[] bytes = new byte[piece.readableBytes()];
            piece.readBytes(bytes);
            whole.writeBytes(bytes);
        }

        private void event(byte[] bytes, long eventId) {
            if (ended) {
                return;
            }
            if (firstMs == 0) {
                firstMs = Math.max(1, SteadyClock.millis() - sentMs);
            }
            if (!relay.forward(head, bytes, eventId, sends > 1)) {
                breakOff("events are missing");
            } else if (!reply.isWritable()) {
                connection.channel().config().setAutoRead(false);
            }
        }

        @Override
        public void complete() {
            if (ended) {
                return;
            }
            if (streams && parser.hasPartialEvent()) {
                failed("the stream ends inside an event");
                return;
            }
            end();
            if (notExecuted) {
                rejected();
            } else if (streams) {
                server.succeeded();
                learn(this, latencyMs(), true);
                relay.writeHead(head);
                finish();
                reply.endStream();
            } else if (relay.hasStarted()) {
                server.erred(SteadyClock.millis());
                cutOff();
            } else {
                answered();
            }
        }

        private void rejected() {
            if (head.status().code() == 421) {
                plane.registry().end(server.uid());
            } else {
                learn(this, penaltyMs(), false);
            }
            if (sends < admitted.route().attempts() && plane.budget(admitted.backend()).take()) {
                send();
            } else {
                giveUp();
            }
        }

        private void answered() {
            boolean success = head.status().code() / 100 == 2;
            if (head.status().code() / 100 == 5) {
                server.erred(SteadyClock.millis());
                learn(this, penaltyMs(), false);
            } else {
                server.succeeded();
                learn(this, latencyMs(), success);
            }
            HttpHeaders headers = ProxyHeaders.withoutValidation().set(head.headers());
            ProxyHeaders.removeHopByHop(headers);
            mayHaveRun = true;
            finish();
            reply.respond(head.status().code(), headers, whole.toByteArray());
        }

        private void breakOff(String why) {
            connection.abandon();
            failed(why);
        }

        @Override
        public void failed(String why) {
            if (ended) {
                return;
            }
            end();
            mayHaveRun = true;
            long now = SteadyClock.millis();
            if (head == null) {
                pool().restLimit().connectionLost(restedMs, now);
            }
            server.erred(now);
            learn(this, penaltyMs(), false);
            sendAgainOrFail();
        }
    }

    private void sendAgainOrFail() {
        boolean again = admitted.route().idempotent() && sends < admitted.route().attempts()
                && leftMs() > LEAST_LEFT_MS && plane.budget(admitted.backend()).take();
        if (again) {
            send();
        } else {
            giveUp();
        }
    }

    private double penaltyMs() {
        return FAILURE_AIMS * admitted.targetLatencyMs();
    }

    private ServerPool pool() {
        return plane.registry().pool(admitted.backend());
    }

    private void learn(Attempt of, double latencyMs, boolean success) {
        pool().learn(admitted.promptProfile(), of.server, latencyMs, success);
    }

    // ---- ends

    /** No server has answered, and none will be asked any more. */
    private void giveUp() {
        if (relay.hasStarted()) {
            cutOff();
        } else if (mayHaveRun) {
            answer(ErrorResponse.withoutRetry(502, "the server gave no whole answer"));
        } else {
            answer(refusal());
        }
    }

    private ErrorResponse refusal() {
        return admitted.isKeyStillValid(plane) ? ErrorResponse.noCapacity(admitted.targetLatencyMs()) : ErrorResponse.notReady();
    }

    private void cutOff() {
        finish();
        reply.abort();
    }

    private void timeIsUp() {
        if (done) {
            return;
        }
        if (attempt != null && attempt.connection != null) {
            mayHaveRun = true;
            if (attempt.head == null && isSilent(attempt.server, SteadyClock.millis())) {
                attempt.server.failed(SteadyClock.millis());
            }
            learn(attempt, penaltyMs(), false);
        }
        if (relay.hasStarted()) {
            cutOff();
        } else if (mayHaveRun) {
            answer(ErrorResponse.withoutRetry(504, "no answer in time"));
        } else {
            answer(refusal());
        }
    }

    private boolean isSilent(Server server, long nowMs) {
        return server.silentToTwoMs(nowMs) > SILENT_MS
                || server.silentMs(nowMs) > Math.max(SILENT_MS, SILENT_PART * admitted.route().timeoutMs());
    }

    /** Looks whether the server has fallen silent. */
    void review(long nowMs) {
        if (done || attempt == null || attempt.connection == null || !admitted.route().idempotent()) {
            return;
        }
        if (nowMs - attempt.sentMs > SILENT_MS && isSilent(attempt.server, nowMs)
                && sends < admitted.route().attempts()) {
            Attempt silent = attempt;
            silent.server.failed(nowMs);
            silent.connection.abandon();
            silent.failed("silent");
        }
    }

    /** The client takes more again. */
    void writable() {
        if (attempt != null && attempt.connection != null) {
            attempt.connection.channel().config().setAutoRead(true);
        }
    }

    /** The client has gone. */
    void clientGone() {
        finish();
    }

    /** The node is about to end: what has not been sent is refused. */
    void shutDown() {
        boolean sent = attempt != null && attempt.connection != null;
        if (!done && admitted != null && !sent && !mayHaveRun && !relay.hasStarted()) {
            answer(refusal());
        }
    }

    private void answer(ErrorResponse refusal) {
        finish();
        refusal.writeTo(reply);
    }

    private void finish() {
        if (done) {
            return;
        }
        done = true;
        if (timer != null) {
            timer.cancel(false);
        }
        if (attempt != null) {
            attempt.abandon();
        }
        plane.closed(this);
    }
}
