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
    private static final int MAX_RESPONSE_BYTES = 16 << 20;
    private static final int MAX_CONNECT_FAILURES = 4;
    /** A request with less time left is not sent any more. */
    private static final long MIN_REMAINING_MS = 12;
    /** A failure counts as an answer after so many objectives. */
    private static final double FAILURE_LATENCY_FACTOR = 3;
    /**
     * A server that is silent for so long while it owes answers to two requests is taken for dead, where the request may
     * run again. Silence to a single request is most often the reading of a long prompt: to send it on would only have
     * another server read it as well.
     */
    private static final long SILENCE_TIMEOUT_MS = 900;
    /** What a single request waits in silence: a part of the route's timeout that leaves time for another server. */
    private static final double SILENCE_TIMEOUT_FRACTION = 1.0 / 3;

    private final DataPlane plane;
    private final ClientResponseWriter responseWriter;
    private final HttpRequest request;
    private final byte[] body;
    private final long receivedMs;
    private final List<Server> triedServers = new ArrayList<>(2);
    private final StreamRelay relay;
    private AdmittedRequest admitted;
    private ScheduledFuture<?> timer;
    private Attempt attempt;
    private int sentCount;
    private int connectFailures;
    private boolean mayHaveExecuted;
    private boolean done;

    /** @param receivedMs when the request's first byte was read, on the steady clock */
    Exchange(DataPlane plane, ClientResponseWriter responseWriter, HttpRequest request, byte[] body, long receivedMs) {
        this.plane = plane;
        this.responseWriter = responseWriter;
        this.request = request;
        this.body = body;
        this.receivedMs = receivedMs;
        relay = new StreamRelay(responseWriter);
    }

    // ---- admission

    void start() {
        plane.addExchange(this);
        Either<ErrorResponse, AdmittedRequest> admission = AdmittedRequest.admit(plane, request, receivedMs);
        if (admission.isLeft()) {
            respond(admission.getLeft());
            return;
        }
        admitted = admission.get();
        plane.retryBudget(admitted.backend()).requestReceived(plane.fleetSize().divisor());
        timer = plane.loop().schedule(this::onDeadline, Math.max(1, remainingMs()), TimeUnit.MILLISECONDS);
        if (admitted.tenant() == null) {
            send();
        } else {
            double cost = QuotaClient.cost(admitted.tenant(), request.headers().get(ProxyHeaders.TOKEN_USAGE));
            plane.quotas().admit(admitted.tenant(), cost, this::onQuotaDecision);
        }
    }

    private long remainingMs() {
        return admitted.deadlineMs() - SteadyClock.millis();
    }

    /** @return whether the request is still there */
    private boolean onQuotaDecision(QuotaClient.Admission admission) {
        if (done) {
            return false;
        }
        if (admission.outcome() == QuotaClient.Outcome.ADMITTED) {
            send();
        } else if (admission.outcome() == QuotaClient.Outcome.DENIED) {
            respond(ErrorResponse.rateLimited(admission.waitMs(), admitted.targetLatencyMs()));
        } else {
            respond(ErrorResponse.noCapacity(admitted.targetLatencyMs()));
        }
        return true;
    }

    // ---- sending

    private void send() {
        long now = SteadyClock.millis();
        if (admitted.deadlineMs() - now < MIN_REMAINING_MS) {
            giveUp();
            return;
        }
        ServerPool pool = pool();
        int capacity = pool.size() == 0 ? 0 : pool.servers().get(0).capacity();
        int limit = plane.inFlightLimit(admitted.backend(), capacity);
        pool.coldAdmission().permitProbability(plane.coldPermitProbability(admitted.backend()));
        Server server = pool.choose(admitted.promptProfile(), limit, triedServers, now);
        if (server == null) {
            giveUp();
            return;
        }
        triedServers.add(server);
        attempt = new Attempt(server, pool.coldAdmission().acquirePermit(server, now));
        server.requestSent(now);
        Server.IdleConnection idle = server.takeIdleConnection(now, pool.idleReuseLimit().maxIdleMs(now));
        if (idle != null) {
            attempt.connectionIdleMs = now - idle.sinceMs();
            attempt.sendOn(idle.connection());
        } else {
            connect(attempt);
        }
    }

    private void connect(Attempt connecting) {
        long connectStartMs = SteadyClock.millis();
        ChannelFuture future = UpstreamConnection.open(plane.loop(), connecting.server);
        Channel channel = future.channel();
        future.addListener(connected -> {
            if (connected.isSuccess()) {
                connecting.server.connected(SteadyClock.millis());
            } else if (connected.cause() instanceof ConnectTimeoutException) {
                connecting.server.connectTimedOut(connectStartMs, SteadyClock.millis());
            }
            if (connecting != attempt || done) {
                channel.close();
            } else if (connected.isSuccess()) {
                connecting.sendOn(UpstreamConnection.of(channel));
            } else {
                onConnectFailed(connecting);
            }
        });
    }

    private void onConnectFailed(Attempt failed) {
        long now = SteadyClock.millis();
        failed.end();
        failed.server.backOff(now);
        recordOutcome(failed, failureLatencyMs(), false);
        if (++connectFailures < MAX_CONNECT_FAILURES) {
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
        private final long coldPermitSlice;
        private UpstreamConnection connection;
        /** For how long its connection had rested; 0 where it is new. */
        private long connectionIdleMs;
        private long sentMs;
        private HttpResponse head;
        private boolean notExecuted;
        private boolean streaming;
        private EventStreamParser parser;
        private ByteArrayOutputStream responseBody;
        private double firstEventMs;
        private boolean ended;

        Attempt(Server server, long coldPermitSlice) {
            this.server = server;
            this.coldPermitSlice = coldPermitSlice;
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
            pool().coldAdmission().permitProbability(plane.coldPermitProbability(admitted.backend()));
            if (!pool().coldAdmission().maySend(server, coldPermitSlice, sentMs)) {
                on.release(sentMs);
                end();
                Exchange.this.send();
                return;
            }
            connection = on;
            sentCount++;
            on.send(UpstreamRequest.build(request, body, admitted, server, relay.lastEventId(), remainingMs()), admitted.id(),
                    this);
        }

        void end() {
            if (!ended) {
                ended = true;
                server.requestEnded();
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
            return firstEventMs > 0 ? firstEventMs : Math.max(1, SteadyClock.millis() - sentMs);
        }

        @Override
        public void head(HttpResponse response) {
            head = response;
            String warmup = response.headers().get(ProxyHeaders.WARMUP);
            if (warmup != null) {
                server.warmupState().responseReported(ProxyHeaders.parseMillis(warmup), SteadyClock.millis());
            }
            notExecuted = response.headers().contains(ProxyHeaders.NOT_EXECUTED) || response.status().code() == 421;
            boolean success = response.status().code() / 100 == 2;
            if (success && !response.headers().contains(ProxyHeaders.SIGNATURE)) {
                closeAndFail("a success without a signature");
                return;
            }
            streaming = success && admitted.route().streaming() && UpstreamConnection.isEventStream(response);
            if (streaming) {
                parser = new EventStreamParser();
            } else {
                responseBody = new ByteArrayOutputStream();
            }
        }

        @Override
        public void content(ByteBuf chunk) {
            if (streaming) {
                if (!parser.feed(chunk, this::onEvent)) {
                    closeAndFail("an event is too long");
                }
                return;
            }
            if (responseBody.size() + chunk.readableBytes() > MAX_RESPONSE_BYTES) {
                closeAndFail("the answer is too long");
                return;
            }
            byte[] bytes = new byte[chunk.readableBytes()];
            chunk.readBytes(bytes);
            responseBody.writeBytes(bytes);
        }

        private void onEvent(byte[] bytes, long eventId) {
            if (ended) {
                return;
            }
            if (firstEventMs == 0) {
                firstEventMs = Math.max(1, SteadyClock.millis() - sentMs);
            }
            if (!relay.forward(head, bytes, eventId, sentCount > 1)) {
                closeAndFail("events are missing");
            } else if (!responseWriter.isWritable()) {
                connection.channel().config().setAutoRead(false);
            }
        }

        @Override
        public void complete() {
            if (ended) {
                return;
            }
            if (streaming && parser.hasPartialEvent()) {
                failed("the stream ends inside an event");
                return;
            }
            end();
            if (notExecuted) {
                handleNotExecuted();
            } else if (streaming) {
                server.recordSuccess();
                recordOutcome(this, latencyMs(), true);
                relay.writeHead(head);
                finish();
                responseWriter.endStream();
            } else if (relay.hasStarted()) {
                server.recordError(SteadyClock.millis());
                abortResponse();
            } else {
                forwardResponse();
            }
        }

        private void handleNotExecuted() {
            if (head.status().code() == 421) {
                plane.registry().markEnded(server.uid());
            } else {
                recordOutcome(this, failureLatencyMs(), false);
            }
            if (sentCount < admitted.route().attempts() && plane.retryBudget(admitted.backend()).tryAcquire()) {
                send();
            } else {
                giveUp();
            }
        }

        private void forwardResponse() {
            boolean success = head.status().code() / 100 == 2;
            if (head.status().code() / 100 == 5) {
                server.recordError(SteadyClock.millis());
                recordOutcome(this, failureLatencyMs(), false);
            } else {
                server.recordSuccess();
                recordOutcome(this, latencyMs(), success);
            }
            HttpHeaders headers = ProxyHeaders.withoutValidation().set(head.headers());
            ProxyHeaders.removeHopByHop(headers);
            mayHaveExecuted = true;
            finish();
            responseWriter.respond(head.status().code(), headers, responseBody.toByteArray());
        }

        private void closeAndFail(String reason) {
            connection.abandon();
            failed(reason);
        }

        @Override
        public void failed(String reason) {
            if (ended) {
                return;
            }
            end();
            mayHaveExecuted = true;
            long now = SteadyClock.millis();
            if (head == null) {
                pool().idleReuseLimit().connectionLost(connectionIdleMs, now);
            }
            server.recordError(now);
            recordOutcome(this, failureLatencyMs(), false);
            retryOrFail();
        }
    }

    private void retryOrFail() {
        boolean retry = admitted.route().idempotent() && sentCount < admitted.route().attempts()
                && remainingMs() > MIN_REMAINING_MS && plane.retryBudget(admitted.backend()).tryAcquire();
        if (retry) {
            send();
        } else {
            giveUp();
        }
    }

    private double failureLatencyMs() {
        return FAILURE_LATENCY_FACTOR * admitted.targetLatencyMs();
    }

    private ServerPool pool() {
        return plane.registry().pool(admitted.backend());
    }

    private void recordOutcome(Attempt of, double latencyMs, boolean success) {
        pool().recordOutcome(admitted.promptProfile(), of.server, latencyMs, success);
    }

    // ---- ends

    /** No server has answered, and none will be asked any more. */
    private void giveUp() {
        if (relay.hasStarted()) {
            abortResponse();
        } else if (mayHaveExecuted) {
            respond(ErrorResponse.withoutRetry(502, "the server gave no whole answer"));
        } else {
            respond(unsentError());
        }
    }

    private ErrorResponse unsentError() {
        return admitted.isKeyStillValid(plane) ? ErrorResponse.noCapacity(admitted.targetLatencyMs()) : ErrorResponse.notReady();
    }

    private void abortResponse() {
        finish();
        responseWriter.abort();
    }

    private void onDeadline() {
        if (done) {
            return;
        }
        if (attempt != null && attempt.connection != null) {
            mayHaveExecuted = true;
            if (attempt.head == null && isSilent(attempt.server, SteadyClock.millis())) {
                attempt.server.backOff(SteadyClock.millis());
            }
            recordOutcome(attempt, failureLatencyMs(), false);
        }
        if (relay.hasStarted()) {
            abortResponse();
        } else if (mayHaveExecuted) {
            respond(ErrorResponse.withoutRetry(504, "no answer in time"));
        } else {
            respond(unsentError());
        }
    }

    private boolean isSilent(Server server, long nowMs) {
        return server.silentWithTwoRequestsMs(nowMs) > SILENCE_TIMEOUT_MS
                || server.silentMs(nowMs) > Math.max(SILENCE_TIMEOUT_MS, SILENCE_TIMEOUT_FRACTION * admitted.route().timeoutMs());
    }

    /** Looks whether the server has fallen silent. */
    void checkServerSilence(long nowMs) {
        if (done || attempt == null || attempt.connection == null || !admitted.route().idempotent()) {
            return;
        }
        if (nowMs - attempt.sentMs > SILENCE_TIMEOUT_MS && isSilent(attempt.server, nowMs)
                && sentCount < admitted.route().attempts()) {
            Attempt silent = attempt;
            silent.server.backOff(nowMs);
            silent.connection.abandon();
            silent.failed("silent");
        }
    }

    /** The client takes more again. */
    void onClientWritable() {
        if (attempt != null && attempt.connection != null) {
            attempt.connection.channel().config().setAutoRead(true);
        }
    }

    /** The client has gone. */
    void onClientDisconnected() {
        finish();
    }

    /** The node is about to end: what has not been sent is refused. */
    void refuseIfUnsent() {
        boolean sent = attempt != null && attempt.connection != null;
        if (!done && admitted != null && !sent && !mayHaveExecuted && !relay.hasStarted()) {
            respond(unsentError());
        }
    }

    private void respond(ErrorResponse error) {
        finish();
        error.writeTo(responseWriter);
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
        plane.removeExchange(this);
    }
}
