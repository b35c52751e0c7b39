package routerfleet.data;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.vavr.control.Either;
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
final class Exchange implements Attempt.Listener {
    private static final int MAX_CONNECT_FAILURES = 4;
    /** A request whose deadline is closer is no longer sent to a server. */
    private static final long MIN_REMAINING_MS = 12;
    /** A failure counts as a response after so many times the target latency. */
    private static final double FAILURE_LATENCY_FACTOR = 3;

    private final DataPlane plane;
    private final ClientResponseWriter responseWriter;
    private final HttpRequest request;
    private final byte[] body;
    private final long receivedMs;
    /** Servers that the request was assigned to, including those to which it was not sent in the end. */
    private final List<Server> triedServers = new ArrayList<>(2);
    private final StreamRelay relay;
    private AdmittedRequest admitted;
    /** Of the service at admission: a configuration that removes the service leaves its open requests their retries. */
    private RetryBudget retryBudget;
    private ScheduledFuture<?> timer;
    /** The open attempts: one, or a second one beside one whose server is silent. The first to respond is forwarded. */
    private final List<Attempt> attempts = new ArrayList<>(2);
    private int sentCount;
    private int connectFailures;
    private final AttemptLog attemptLog = new AttemptLog();
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
            respond(admission.getLeft(), ResponseEnd.REFUSED);
            return;
        }
        admitted = admission.get();
        if (!plane.acceptsUntil(admitted.deadlineMs())) {
            respond(ErrorResponse.stopping(), ResponseEnd.REFUSED);
            return;
        }
        retryBudget = plane.retryBudget(admitted.backend());
        retryBudget.requestReceived(plane.fleetSize().divisor());
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
            respond(ErrorResponse.rateLimited(admission.waitMs(), admitted.targetLatencyMs()), ResponseEnd.REFUSED);
        } else {
            respond(ErrorResponse.noCapacity(admitted.targetLatencyMs()), ResponseEnd.REFUSED);
        }
        return true;
    }

    // ---- sending

    /** Chooses a server and sends the request to it; fails if there is no server. */
    private void send() {
        long now = SteadyClock.millis();
        if (admitted.deadlineMs() - now < MIN_REMAINING_MS) {
            giveUp("no time is left");
            return;
        }
        Server server = choose(now);
        if (server == null) {
            giveUp("no server can take it");
        } else {
            begin(server, now);
        }
    }

    /** Chooses a server that has not been tried; null if there is none. */
    private Server choose(long now) {
        ServerPool pool = pool();
        int capacity = pool.size() == 0 ? 0 : pool.servers().get(0).capacity();
        int limit = plane.inFlightLimit(admitted.backend(), capacity);
        pool.coldAdmission().permitProbability(plane.coldPermitProbability(admitted.backend()));
        return pool.choose(admitted.promptProfile(), limit, triedServers, now);
    }

    /** Begins an attempt at a server, on an idle connection if there is one. */
    private void begin(Server server, long now) {
        triedServers.add(server);
        Attempt attempt = new Attempt(this, server, admitted.route().streaming(),
                pool().coldAdmission().acquirePermit(server, now));
        attempts.add(attempt);
        Server.IdleConnection idle = server.takeIdleConnection(now, pool().idleReuseLimit().maxIdleMs(now));
        if (idle != null) {
            attempt.connectionIdleMs(now - idle.sinceMs());
            sendOn(attempt, idle.connection());
        } else {
            connect(attempt);
        }
    }

    private void connect(Attempt connecting) {
        long connectStartMs = SteadyClock.millis();
        ChannelFuture future = UpstreamConnection.open(plane.loop(), connecting.server());
        Channel channel = future.channel();
        future.addListener(connected -> {
            if (connected.isSuccess()) {
                connecting.server().connected(SteadyClock.millis());
            } else if (connected.cause() instanceof ConnectTimeoutException) {
                connecting.server().connectTimedOut(connectStartMs, SteadyClock.millis());
            }
            if (!attempts.contains(connecting)) {
                channel.close();
            } else if (connected.isSuccess()) {
                sendOn(connecting, UpstreamConnection.of(channel));
            } else {
                onConnectFailed(connecting);
            }
        });
    }

    private void onConnectFailed(Attempt failed) {
        end(failed);
        attemptLog.ended(failed, "failed: no connection");
        failed.server().backOff(SteadyClock.millis());
        recordOutcome(failed, failureLatencyMs(), false);
        connectFailures++;
        if (!attempts.isEmpty()) {
            return;
        }
        if (connectFailures < MAX_CONNECT_FAILURES) {
            send();
        } else {
            giveUp("no server can be reached");
        }
    }

    /** Sends the request on an established connection, after checking what may have changed since the choice. */
    private void sendOn(Attempt connected, UpstreamConnection connection) {
        Server server = connected.server();
        if (!admitted.isKeyStillValid(plane)) {
            connection.channel().close();
            end(connected);
            if (attempts.isEmpty()) {
                giveUp("its key is no longer valid");
            }
            return;
        }
        if (!server.listed()) {
            connection.channel().close(); // drained or evacuated while the connection was established
            chooseAgain(connected);
            return;
        }
        long now = SteadyClock.millis();
        pool().coldAdmission().permitProbability(plane.coldPermitProbability(admitted.backend()));
        if (!pool().coldAdmission().maySend(server, connected.coldPermitSlice(), now)) {
            connection.release(now);
            chooseAgain(connected);
            return;
        }
        sentCount++;
        connected.send(connection, UpstreamRequest.build(request, body, admitted, server, relay.lastEventId(),
                remainingMs()), admitted.id(), relay.resumePoint());
    }

    private void chooseAgain(Attempt unsent) {
        end(unsent);
        if (attempts.isEmpty()) {
            send();
        }
    }

    private void end(Attempt ending) {
        ending.end();
        attempts.remove(ending);
    }

    // ---- the response

    @Override
    public void eventReceived(Attempt from, StreamEvent event) {
        abandonOthers(from);
        relay.forward(from.head(), event);
        if (!responseWriter.isWritable()) {
            from.pauseReading();
        }
    }

    /** Ends the attempts other than the one that has responded. */
    private void abandonOthers(Attempt responding) {
        if (attempts.size() == 1 && attempts.get(0) == responding) {
            return;
        }
        for (Attempt other : List.copyOf(attempts)) {
            if (other != responding) {
                attemptLog.ended(other, "abandoned");
                other.abandon();
                attempts.remove(other);
                if (other.isSilenceReported()) {
                    recordLostConnection(other);
                    recordError(other);
                }
            }
        }
    }

    @Override
    public void responseComplete(Attempt from) {
        end(from);
        int status = from.head().status().code();
        boolean error = status / 100 == 5 || relay.hasStarted() && !from.isStreaming();
        if (from.isNotExecuted()) {
            handleNotExecuted(from);
        } else if (error && !attempts.isEmpty()) {
            recordError(from); // the other attempt may still succeed
        } else if (from.isStreaming()) {
            abandonOthers(from);
            from.server().recordSuccess();
            recordOutcome(from, from.latencyMs(), true);
            relay.writeHead(from.head());
            finish();
            plane.responseLog().ended(ResponseEnd.FORWARDED);
            responseWriter.endStream();
        } else if (relay.hasStarted()) {
            recordError(from);
            attemptLog.ended(from, "failed: status " + status + " instead of a resumed stream");
            retryOrFail();
        } else {
            abandonOthers(from);
            forwardResponse(from);
        }
    }

    private void recordError(Attempt from) {
        from.server().recordError(SteadyClock.millis());
        recordOutcome(from, failureLatencyMs(), false);
    }

    private void handleNotExecuted(Attempt refused) {
        attemptLog.ended(refused, "refused: " + refused.head().status().code());
        if (refused.head().status().code() != HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
            recordOutcome(refused, failureLatencyMs(), false);
        } else if (!request.headers().contains(ProxyHeaders.EXPECT_VERSION)) {
            plane.registry().markEnded(refused.server().uid()); // its address belongs to another instance
        }
        if (!attempts.isEmpty()) {
            return;
        }
        if (sentCount < admitted.route().attempts() && retryBudget.tryAcquire()) {
            send();
        } else {
            giveUp("refused, and no retry is left");
        }
    }

    private void forwardResponse(Attempt from) {
        int status = from.head().status().code();
        if (status / 100 == 5) {
            recordError(from);
        } else {
            from.server().recordSuccess();
            recordOutcome(from, from.latencyMs(), status / 100 == 2);
        }
        HttpHeaders headers = ProxyHeaders.withoutValidation().set(from.head().headers());
        ProxyHeaders.removeHopByHop(headers);
        mayHaveExecuted = true;
        finish();
        plane.responseLog().ended(ResponseEnd.FORWARDED);
        responseWriter.respond(status, headers, from.body());
    }

    @Override
    public void responseFailed(Attempt from, String reason) {
        end(from);
        mayHaveExecuted = true;
        attemptLog.ended(from, "failed: " + reason);
        recordLostConnection(from);
        recordError(from);
        if (attempts.isEmpty()) {
            retryOrFail();
        }
    }

    private void recordLostConnection(Attempt failed) {
        if (failed.head() == null) {
            pool().idleReuseLimit().connectionLost(failed.connectionIdleMs(), SteadyClock.millis());
        }
    }

    private void retryOrFail() {
        if (!isRepeatable() || sentCount >= admitted.route().attempts()) {
            giveUp("no further attempt is allowed");
        } else if (remainingMs() <= MIN_REMAINING_MS) {
            giveUp("no time is left");
        } else if (!retryBudget.tryAcquire()) {
            giveUp("the retry budget is used up");
        } else {
            send();
        }
    }

    /** Whether the request may be sent to another server after one may have executed it. */
    private boolean isRepeatable() {
        return admitted.route().idempotent() && relay.isResumable();
    }

    private double failureLatencyMs() {
        return FAILURE_LATENCY_FACTOR * admitted.targetLatencyMs();
    }

    private ServerPool pool() {
        return plane.registry().pool(admitted.backend());
    }

    private void recordOutcome(Attempt of, double latencyMs, boolean success) {
        pool().recordOutcome(admitted.promptProfile(), of.server(), latencyMs, success);
    }

    // ---- completion

    /** Ends the exchange with an error after the last attempt has failed. */
    private void giveUp(String reason) {
        if (relay.hasStarted()) {
            abortResponse(ResponseEnd.FAILED, reason);
        } else if (mayHaveExecuted) {
            respond(ErrorResponse.withoutRetry(502, "the server gave no whole answer"), ResponseEnd.FAILED);
        } else {
            respond(unsentError(), ResponseEnd.REFUSED);
        }
    }

    /** The error response for a request that no server has executed. */
    private ErrorResponse unsentError() {
        return admitted.isKeyStillValid(plane) ? ErrorResponse.noCapacity(admitted.targetLatencyMs())
                : ErrorResponse.notReady();
    }

    private void abortResponse(ResponseEnd end, String reason) {
        long now = SteadyClock.millis();
        String states = attemptLog.describe(attempts, now);
        finish();
        plane.responseLog().brokenOff(end, () -> admitted.id() + ", " + reason + ", " + sentCount + " sent: "
                + states + "; read " + (now - receivedMs) + " ms ago" + plane.operatorEvents().describe(now));
        responseWriter.abort();
    }

    private void onDeadline() {
        if (done) {
            return;
        }
        long now = SteadyClock.millis();
        for (Attempt attempt : attempts) {
            if (attempt.isSent()) {
                mayHaveExecuted = true;
                if (attempt.head() == null && isSilent(attempt.server(), now)) {
                    attempt.server().backOff(now);
                }
                recordOutcome(attempt, failureLatencyMs(), false);
            }
        }
        if (relay.hasStarted()) {
            abortResponse(ResponseEnd.TIMED_OUT, "deadline");
        } else if (mayHaveExecuted) {
            respond(ErrorResponse.withoutRetry(504, "no answer in time"), ResponseEnd.TIMED_OUT);
        } else {
            respond(unsentError(), ResponseEnd.REFUSED);
        }
    }

    private boolean isSilent(Server server, long nowMs) {
        return SilenceTimeout.isReached(server, admitted.route().timeoutMs(), nowMs);
    }

    /**
     * Begins a second attempt of an idempotent request whose server has been silent for too long. The first one goes on
     * until the second responds: a server that is silent may still work, and the second attempt may fail.
     */
    void checkServerSilence(long nowMs) {
        if (done || attempts.size() != 1 || !isRepeatable()) {
            return;
        }
        Attempt waiting = attempts.get(0);
        boolean silent = waiting.isSent() && !waiting.isReadingPaused()
                && nowMs - waiting.sentMs() > SilenceTimeout.SEVERAL_REQUESTS_MS && isSilent(waiting.server(), nowMs);
        if (!silent) {
            return;
        }
        if (waiting.reportSilence()) {
            waiting.server().backOff(nowMs);
        }
        if (sentCount < admitted.route().attempts() && connectFailures < MAX_CONNECT_FAILURES
                && remainingMs() > MIN_REMAINING_MS) {
            beginSecondAttempt(nowMs);
        }
    }

    private void beginSecondAttempt(long nowMs) {
        if (!retryBudget.tryAcquire()) {
            return;
        }
        Server server = choose(nowMs);
        if (server == null) {
            retryBudget.release();
        } else {
            begin(server, nowMs);
        }
    }

    /** Called when more of the response can be written to the client. */
    void onClientWritable() {
        attempts.forEach(Attempt::resumeReading);
    }

    /** Called when the client has disconnected. */
    void onClientDisconnected() {
        if (!done) {
            finish();
            plane.responseLog().ended(ResponseEnd.CLIENT_LEFT);
        }
    }

    /** Refuses the request if it has not been sent to a server; called when the node is about to stop. */
    void refuseIfUnsent() {
        boolean sent = attempts.stream().anyMatch(Attempt::isSent);
        if (!done && !sent && !mayHaveExecuted && !relay.hasStarted()) {
            respond(ErrorResponse.stopping(), ResponseEnd.REFUSED);
        }
    }

    /** Ends the request, with a complete response unless one has been begun; called before the process ends. */
    void endForShutdown() {
        if (!done) {
            mayHaveExecuted |= attempts.stream().anyMatch(Attempt::isSent);
            giveUp("the process ends");
        }
    }

    private void respond(ErrorResponse error, ResponseEnd end) {
        finish();
        plane.responseLog().ended(end);
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
        attempts.forEach(Attempt::abandon);
        attempts.clear();
        plane.removeExchange(this);
    }
}
