package routerfleet.data;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import routerfleet.wire.SteadyClock;

/** One attempt to have a server handle a request. It occupies one of the server's slots until it ends. */
final class Attempt implements UpstreamConnection.ResponseReceiver {
    private static final int MAX_RESPONSE_BYTES = 16 << 20;

    /** Receives the response of an attempt. */
    interface Listener {
        /** Called with each complete event of a streamed response that has not been forwarded from another server. */
        void eventReceived(Attempt attempt, StreamEvent event);

        /** Called when the response is complete; the attempt has ended. */
        void responseComplete(Attempt attempt);

        /** Called when the response failed after the request was sent; the attempt has ended. @param reason for the log */
        void responseFailed(Attempt attempt, String reason);
    }

    private final Listener listener;
    private final Server server;
    private final boolean streamingRoute;
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
    private int events;
    private ResumePoint resumePoint = ResumePoint.START;
    /** The id in the request's {@code Last-Event-Id} header; null if there is none. */
    private String lastEventId;
    private boolean silenceReported;
    private boolean readingPaused;
    private boolean ended;

    /**
     * Takes a slot of the server.
     *
     * @param streamingRoute whether a successful response may be a stream of events
     * @param coldPermitSlice time slice of the permit for a cold server
     */
    Attempt(Listener listener, Server server, boolean streamingRoute, long coldPermitSlice) {
        this.listener = listener;
        this.server = server;
        this.streamingRoute = streamingRoute;
        this.coldPermitSlice = coldPermitSlice;
        server.requestSent(SteadyClock.millis());
    }

    Server server() {
        return server;
    }

    long coldPermitSlice() {
        return coldPermitSlice;
    }

    long connectionIdleMs() {
        return connectionIdleMs;
    }

    void connectionIdleMs(long idleMs) {
        connectionIdleMs = idleMs;
    }

    /**
     * Sends the request on an established connection.
     *
     * @param id its attempt id
     * @param from where the response has to continue one that has been forwarded in part
     */
    void send(UpstreamConnection established, FullHttpRequest request, String id, ResumePoint from) {
        connection = established;
        resumePoint = from;
        lastEventId = request.headers().get(ProxyHeaders.LAST_EVENT_ID);
        sentMs = SteadyClock.millis();
        established.send(request, id, this);
    }

    /** Whether the request has been passed to the server's connection. */
    boolean isSent() {
        return connection != null;
    }

    /** When the request was sent, on the monotonic clock in milliseconds. */
    long sentMs() {
        return sentMs;
    }

    /** Head of the response; null before it has been received. */
    HttpResponse head() {
        return head;
    }

    /** The body of a complete response that is no stream. */
    byte[] body() {
        return responseBody.toByteArray();
    }

    /** Whether the response is a stream of events. */
    boolean isStreaming() {
        return streaming;
    }

    /** Whether the server has declared that it did not execute the request. */
    boolean isNotExecuted() {
        return notExecuted;
    }

    /** Time from sending to the first event, or else until now, in milliseconds. */
    double latencyMs() {
        return firstEventMs > 0 ? firstEventMs : Math.max(1, SteadyClock.millis() - sentMs);
    }

    /** Records that the server has been silent for too long. @return false if this was recorded before */
    boolean reportSilence() {
        boolean before = silenceReported;
        silenceReported = true;
        return !before;
    }

    boolean isSilenceReported() {
        return silenceReported;
    }

    /** Stops reading from the server until {@link #resumeReading}. */
    void pauseReading() {
        readingPaused = true;
        connection.channel().config().setAutoRead(false);
    }

    /** Whether nothing is read from the server at present, so that its silence says nothing. */
    boolean isReadingPaused() {
        return readingPaused;
    }

    void resumeReading() {
        readingPaused = false;
        if (connection != null) {
            connection.channel().config().setAutoRead(true);
        }
    }

    /** Releases the server's slot. @return false if the attempt had ended before */
    boolean end() {
        if (ended) {
            return false;
        }
        ended = true;
        server.requestEnded();
        return true;
    }

    /** Closes the connection and ends the attempt without an outcome. */
    void abandon() {
        if (connection != null) {
            resumeReading();
            connection.abandon();
        }
        end();
    }

    /** Closes the connection and reports a failure. */
    void fail(String reason) {
        connection.abandon();
        failed(reason);
    }

    /** Describes the state of the attempt for the log. */
    String describe(long nowMs) {
        String state = connection == null ? "connecting"
                : "sent " + (nowMs - sentMs) + " ms ago" + (lastEventId == null ? "" : " to continue after " + lastEventId)
                + ", " + (head == null ? "no head" : events + " events");
        return "server " + server.uid() + " (" + state + ", silent for " + server.silentMs(nowMs) + " ms)";
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
            fail("successful response without a server signature");
            return;
        }
        streaming = success && streamingRoute && UpstreamConnection.isEventStream(response);
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
                fail("event too long");
            }
            return;
        }
        if (responseBody.size() + chunk.readableBytes() > MAX_RESPONSE_BYTES) {
            fail("response too long");
            return;
        }
        byte[] bytes = new byte[chunk.readableBytes()];
        chunk.readBytes(bytes);
        responseBody.writeBytes(bytes);
    }

    private void onEvent(StreamEvent event) {
        if (ended) {
            return;
        }
        if (firstEventMs == 0) {
            firstEventMs = Math.max(1, SteadyClock.millis() - sentMs);
        }
        events++;
        if (!resumePoint.isRepeated(event)) {
            listener.eventReceived(this, event);
        }
    }

    @Override
    public void complete() {
        if (streaming && parser.hasPartialEvent()) {
            failed("stream ended inside an event");
        } else if (resumePoint.isAhead()) {
            failed("resumed stream ended before the event after which it was to continue");
        } else if (!ended) {
            forwardRemainder();
            end();
            listener.responseComplete(this);
        }
    }

    /** Forwards empty lines behind the last event. */
    private void forwardRemainder() {
        byte[] emptyLines = streaming ? parser.remainder() : new byte[0];
        if (emptyLines.length > 0) {
            listener.eventReceived(this, new StreamEvent(emptyLines, null, false));
        }
    }

    @Override
    public void failed(String reason) {
        if (end()) {
            listener.responseFailed(this, reason);
        }
    }
}
