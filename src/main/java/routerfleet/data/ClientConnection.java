package routerfleet.data;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import routerfleet.log.Loggers;
import routerfleet.wire.SteadyClock;

/**
 * A client connection. It reads complete requests, handles them one at a time and writes their responses. Messages of
 * pipelined requests are queued while a request is in progress; beyond {@value #MAX_PENDING_BYTES} bytes, reading stops
 * until the queue is processed.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements ClientResponseWriter {
    private static final System.Logger LOG = Loggers.get("routerfleet.data");
    /** How long input is read after the last response: closing earlier might reset the connection before it is received. */
    private static final long LINGER_TIMEOUT_MS = 200;

    /** Limit of queued bytes from pipelined requests. */
    private static final int MAX_PENDING_BYTES = 64 << 10;
    /** Approximate memory of a queued message in addition to its content, in bytes. */
    private static final int PENDING_MESSAGE_OVERHEAD_BYTES = 512;

    /** A message of a request that was received while another one was in progress. */
    private record PendingMessage(Object message, long receivedMs) { }

    private final DataPlane plane;
    private final Set<ClientConnection> openConnections;
    private final Deque<PendingMessage> pendingMessages = new ArrayDeque<>();
    private int pendingBytes;
    private ChannelHandlerContext context;
    private HttpRequest request;
    private ByteArrayOutputStream body;
    private Exchange exchange;
    private boolean keepAlive;
    private boolean headRequest;
    private boolean closing;
    private long closingSinceMs;
    private long requestStartedMs;
    private long lastActiveMs = SteadyClock.millis();
    private boolean readingRequest;
    /** Whether bytes have been read behind the last complete request. */
    private boolean partialInput;
    /** Whether the connection was idle when {@link #closeIfIdle} was last called. */
    private boolean idleBefore;

    /** @param openConnections the node's open connections; this one adds and removes itself */
    ClientConnection(DataPlane plane, Set<ClientConnection> openConnections) {
        this.plane = plane;
        this.openConnections = openConnections;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelActive(ChannelHandlerContext active) {
        openConnections.add(this);
    }

    /** Called when bytes have arrived, before they are parsed. */
    void bytesRead() {
        lastActiveMs = SteadyClock.millis();
        partialInput = true;
        if (!readingRequest && exchange == null) {
            readingRequest = true;
            requestStartedMs = lastActiveMs;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext from, Object message) {
        if (message instanceof LastHttpContent) {
            partialInput = false;
        }
        if (closing) {
            logUnanswered(message);
            ReferenceCountUtil.release(message);
        } else if (exchange != null) {
            enqueue(message);
        } else {
            handle(message);
        }
    }

    /** Logs a request that arrives behind the last response of the connection, unless its head never came whole. */
    private void logUnanswered(Object message) {
        if (message instanceof HttpRequest unanswered && unanswered.decoderResult().isSuccess()) {
            LOG.log(System.Logger.Level.INFO, "request not answered: " + unanswered.headers().get(ProxyHeaders.ATTEMPT_ID)
                    + ", read " + (SteadyClock.millis() - closingSinceMs) + " ms after its connection was to be closed");
        }
    }

    /**
     * Queues a message of a pipelined request. Reading continues up to a limit, since a disconnect is detected only while
     * the connection is read.
     */
    private void enqueue(Object message) {
        pendingMessages.add(new PendingMessage(message, SteadyClock.millis()));
        pendingBytes += PENDING_MESSAGE_OVERHEAD_BYTES
                + (message instanceof HttpContent content ? content.content().readableBytes() : 0);
        if (pendingBytes > MAX_PENDING_BYTES) {
            context.channel().config().setAutoRead(false);
        }
    }

    private void handle(Object message) {
        try {
            if (message instanceof HttpRequest head) {
                startRequest(head);
            }
            if (message instanceof HttpContent content && request != null) {
                appendBody(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void startRequest(HttpRequest head) {
        if (head.decoderResult().isFailure()) {
            rejectMalformed(head.decoderResult().cause());
            return;
        }
        if (HttpUtil.isContentLengthSet(head)
                && HttpUtil.getContentLength(head, 0L) > plane.table().limits().maxBodyBytes()) {
            reject(413, "the body is too long");
            return;
        }
        request = head;
        body = new ByteArrayOutputStream((int) Math.min(1 << 16, Math.max(0, HttpUtil.getContentLength(head, 256L))));
        if (HttpUtil.is100ContinueExpected(head)) {
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void rejectMalformed(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException) {
            reject(431, "the headers are too long");
        } else if (cause instanceof TooLongHttpLineException) {
            reject(414, "the request line is too long");
        } else {
            reject(400, "malformed request");
        }
    }

    private void appendBody(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            reject(400, "malformed body");
            return;
        }
        ByteBuf chunk = content.content();
        if (body.size() + chunk.readableBytes() > plane.table().limits().maxBodyBytes()) {
            reject(413, "the body is too long");
            return;
        }
        byte[] bytes = new byte[chunk.readableBytes()];
        chunk.readBytes(bytes);
        body.writeBytes(bytes);
        if (content instanceof LastHttpContent) {
            HttpRequest complete = request;
            request = null;
            readingRequest = false;
            keepAlive = HttpUtil.isKeepAlive(complete);
            headRequest = complete.method().equals(HttpMethod.HEAD);
            exchange = new Exchange(plane, this, complete, body.toByteArray(), requestStartedMs);
            body = null;
            exchange.start();
        }
    }

    /** Responds with an error and closes the connection. */
    private void reject(int status, String message) {
        request = null;
        keepAlive = false;
        headRequest = false;
        respond(status, ProxyHeaders.withoutValidation(), (message + "\n").getBytes(StandardCharsets.US_ASCII));
    }

    // ---- response

    @Override
    public void respond(int status, HttpHeaders headers, byte[] bytes) {
        if (keepAlive && plane.isDraining()) {
            afterNextRead(() -> {
                if (exchange != null) {
                    writeResponse(status, headers, bytes);
                }
            });
        } else {
            writeResponse(status, headers, bytes);
        }
    }

    /** Runs a task once the event loop has read what had arrived by now. */
    private void afterNextRead(Runnable task) {
        // A task that is scheduled by another task is run behind the next reads, not in the same round.
        context.executor().execute(() -> context.executor().schedule(task, 0, TimeUnit.NANOSECONDS));
    }

    private void writeResponse(int status, HttpHeaders headers, byte[] bytes) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status),
                headRequest ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(bytes),
                DefaultHttpHeadersFactory.headersFactory().withValidation(false),
                DefaultHttpHeadersFactory.trailersFactory());
        response.headers().set(headers);
        if (!headRequest) {
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
        }
        boolean close = closesAfterResponse();
        HttpUtil.setKeepAlive(response, !close);
        write(response, close);
        responseFinished();
    }

    /** Whether the current response is the last one: a request that has been read is answered even if the node stops. */
    private boolean closesAfterResponse() {
        return !keepAlive || plane.isDraining() && pendingMessages.isEmpty() && !partialInput;
    }

    private void write(Object message, boolean close) {
        context.writeAndFlush(message).addListener(written -> {
            if (!written.isSuccess()) {
                context.close();
            } else if (close) {
                closeAfterLinger();
            }
        });
        if (close) {
            markClosing();
            context.channel().config().setAutoRead(!keepAlive);
        }
    }

    /** From now on nothing that is read is handled. */
    private void markClosing() {
        closing = true;
        closingSinceMs = SteadyClock.millis();
    }

    /**
     * Shuts down the output, and closes the connection once the client has had time to read the response. What a client
     * sends that could not know of the end stays unread, so that it can tell that its request has not been handled.
     */
    private void closeAfterLinger() {
        Channel channel = context.channel();
        if (channel instanceof io.netty.channel.socket.DuplexChannel duplex && !duplex.isOutputShutdown()) {
            duplex.shutdownOutput();
        }
        context.executor().schedule(() -> channel.close(), LINGER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void startStream(HttpResponse head) {
        // A stream is never the last response of a connection that could be kept: requests may be read until its end.
        HttpUtil.setKeepAlive(head, keepAlive);
        context.write(head, context.voidPromise());
    }

    @Override
    public void writeChunk(byte[] bytes) {
        context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)), context.voidPromise());
    }

    @Override
    public void endStream() {
        write(LastHttpContent.EMPTY_LAST_CONTENT, !keepAlive);
        responseFinished();
    }

    @Override
    public void abort() {
        markClosing();
        exchange = null;
        context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public boolean isWritable() {
        return context.channel().isWritable();
    }

    /** Handles queued messages until the next request is complete, and resumes reading if none is. */
    private void responseFinished() {
        exchange = null;
        lastActiveMs = SteadyClock.millis();
        while (exchange == null && !closing && !pendingMessages.isEmpty()) {
            PendingMessage next = pendingMessages.poll();
            if (!readingRequest) {
                readingRequest = true;
                requestStartedMs = next.receivedMs();
            }
            handle(next.message());
        }
        if (exchange == null && partialInput && !readingRequest) {
            readingRequest = true;
            requestStartedMs = lastActiveMs;
        }
        if (pendingMessages.isEmpty() && !closing) {
            pendingBytes = 0;
            context.channel().config().setAutoRead(true);
        }
    }

    // ---- connection

    /** Times out a request that is received too slowly, and closes a connection that has been idle for too long. */
    void checkTimeouts(long nowMs) {
        if (exchange != null || closing) {
            return;
        }
        long idleMs = nowMs - lastActiveMs;
        if (readingRequest && request == null && nowMs - requestStartedMs > plane.table().limits().headerTimeoutMs()
                || readingRequest && idleMs > plane.table().limits().idleTimeoutMs()) {
            reject(408, "the request took too long");
        } else if (!readingRequest && idleMs > plane.table().limits().idleTimeoutMs()) {
            context.close();
        }
    }

    /**
     * Closes the connection if no request is being read or handled, and none was at the call before either: what had
     * arrived by then has been read meanwhile.
     */
    void closeIfIdle() {
        boolean idle = isIdle();
        if (idle && idleBefore) {
            afterNextRead(() -> {
                if (isIdle()) {
                    markClosing();
                    context.close();
                }
            });
        }
        idleBefore = idle;
    }

    private boolean isIdle() {
        return exchange == null && !readingRequest && !closing;
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext changed) {
        if (exchange != null && changed.channel().isWritable()) {
            exchange.onClientWritable();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        openConnections.remove(this);
        markClosing();
        pendingMessages.forEach(pending -> ReferenceCountUtil.release(pending.message()));
        pendingMessages.clear();
        if (exchange != null) {
            Exchange abandoned = exchange;
            exchange = null;
            abandoned.onClientDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext caught, Throwable cause) {
        if (!(cause instanceof java.io.IOException)) {
            LOG.log(System.Logger.Level.WARNING, "client connection closed", cause);
        }
        caught.close();
    }
}
