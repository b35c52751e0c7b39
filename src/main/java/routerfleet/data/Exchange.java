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
 * Handles one client request: routing, authentication, quota, choice of a server, retries and the response. Each exchange
 * ends with exactly one response to the client, complete or aborted. A request that a server may have executed is answered
 * with 429 or 503 only if it may be executed again; one that was not executed is refused with a Retry-After header.
 */
final class Exchange {
    private static final int MAX_RESPONSE_BYTES = 16 << 20;
    private static final int MAX_CONNECT_FAILURES = 4;
    /** A request whose deadline is closer is no longer sent to a server. */
    private static final long MIN_REMAINING_MS = 12;
    /** A failure counts as a response after so many times the target latency. */
    private static final double FAILURE_LATENCY_FACTOR = 3;
    /**
     * If a server with at least two requests in flight has sent nothing for so long, it is considered failed, and an
     * idempotent request is retried elsewhere. With a single request in flight, silence mostly means that the server is
     * processing a long prompt; a retry would only make another server process it as well.
     */
    private static final long SILENCE_TIMEOUT_MS = 900;
    /** Silence timeout of a single request, as a fraction of the route's timeout: leaves time for another server. */
    private static final double SILENCE_TIMEOUT_FRACTION = 1.0 / 3;

    private final DataPlane plane;
    private final ClientResponseWriter responseWriter;
    private final HttpRequest request;
    private final byte[] body;
    private final long receivedMs;
    /** Servers that the request was assigned to, including those to which it was not sent in the end. */
    private final List<Server> triedServers = new ArrayList<>(2);
    private final StreamRelay relay;
    private AdmittedRequest admitted;
    private ScheduledFuture<?> timer;
    private Attempt attempt;
    private int sentCount;
    private int connectFailures;
    private boolean mayHaveExecuted;
    private boolean done;

    /** @param receivedMs when the request's first byte was read, on the monotonic clock in milliseconds */
    Exchange(DataPlane plane, ClientResponseWriter responseWriter, HttpRequest request, byte[] body, long receivedMs) {
        this.plane = plane;
        this.responseWriter = responseWriter;
        this.request = request;
        this.body = body;
        this.receivedMs = receivedMs;
        relay = new StreamRelay(responseWriter);
    }

    // ---- admission

    /** Routes, authenticates and sends the request, or responds with an error. */
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

    /** @return whether the request was still waiting for the decision */
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

    /** Chooses a server and sends the request to it, on an idle connection if there is one; fails if there is no server. */
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

    // ---- one attempt

    /** One attempt to send the request to a server, and the handling of its response. */
    private final class Attempt implements UpstreamConnection.ResponseReceiver {
        private final Server server;
        /** The time slice of the permit that was acquired if the server was cold; else {@link ColdAdmission#NO_PERMIT}. */
        private final long coldPermitSlice;
        private UpstreamConnection connection;
        /** For how long its connection had been idle, in milliseconds; 0 for a new connection. */
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

        /** Sends the request on an established connection, after checking what may have changed since the choice. */
        void sendOn(UpstreamConnection established) {
            if (!admitted.isKeyStillValid(plane)) {
                established.channel().close();
                end();
                giveUp();
                return;
            }
            if (!server.listed()) {
                established.channel().close(); // drained or evacuated while the connection was established
                end();
                Exchange.this.send();
                return;
            }
            sentMs = SteadyClock.millis();
            pool().coldAdmission().permitProbability(plane.coldPermitProbability(admitted.backend()));
            if (!pool().coldAdmission().maySend(server, coldPermitSlice, sentMs)) {
                established.release(sentMs);
                end();
                Exchange.this.send();
                return;
            }
            connection = established;
            sentCount++;
            established.send(UpstreamRequest.build(request, body, admitted, server, relay.lastEventId(), remainingMs()),
                    admitted.id(), this);
        }

        /** Releases the server's slot; called once the outcome of the attempt is known. */
        void end() {
            if (!ended) {
                ended = true;
                server.requestEnded();
                if (attempt == this) {
                    attempt = null;
                }
            }
        }

        /** Closes the connection and ends the attempt without an outcome. */
        void abandon() {
            if (connection != null) {
                connection.channel().config().setAutoRead(true);
                connection.abandon();
            }
            end();
        }

        /** Time from sending to the first event, or to the complete response, in milliseconds. */
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
                closeAndFail("successful response without a server signature");
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
                    closeAndFail("event too long");
                }
                return;
            }
            if (responseBody.size() + chunk.readableBytes() > MAX_RESPONSE_BYTES) {
                closeAndFail("response too long");
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
                closeAndFail("events are missing from a resumed stream");
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
                failed("stream ended inside an event");
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

    // ---- completion

    /** Ends the exchange with an error after the last attempt has failed. */
    private void giveUp() {
        if (relay.hasStarted()) {
            abortResponse();
        } else if (mayHaveExecuted) {
            respond(ErrorResponse.withoutRetry(502, "the server gave no whole answer"));
        } else {
            respond(unsentError());
        }
    }

    /** The error response for a request that no server has executed. */
    private ErrorResponse unsentError() {
        return admitted.isKeyStillValid(plane) ? ErrorResponse.noCapacity(admitted.targetLatencyMs())
                : ErrorResponse.notReady();
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
                || server.silentMs(nowMs) > Math.max(SILENCE_TIMEOUT_MS,
                        SILENCE_TIMEOUT_FRACTION * admitted.route().timeoutMs());
    }

    /** Fails the current attempt of an idempotent request, and retries it, if its server has been silent for too long. */
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

    /** Called when more of the response can be written to the client. */
    void onClientWritable() {
        if (attempt != null && attempt.connection != null) {
            attempt.connection.channel().config().setAutoRead(true);
        }
    }

    /** Called when the client has disconnected. */
    void onClientDisconnected() {
        finish();
    }

    /** Refuses the request if it has not been sent to a server; called when the node is about to stop. */
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
