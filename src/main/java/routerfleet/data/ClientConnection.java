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
import routerfleet.log.Loggers;
import routerfleet.wire.SteadyClock;

/**
 * A client's connection: reads requests whole, one at a time, and writes their answers. What comes while a request is
 * open waits, and reading stops until it is its turn.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements ClientResponseWriter {
    /** How long after an answer that ends the connection unread bytes may still come before it is closed. */
    private static final long LINGER_MS = 200;

    /** What clients may send before its turn, in bytes. */
    private static final int MOST_WAITING_BYTES = 64 << 10;
    /** What a message takes beside its content, about. */
    private static final int WAITING_OVERHEAD = 512;

    private final DataPlane plane;
    private final Set<ClientConnection> all;
    private final Deque<Object> waiting = new ArrayDeque<>();
    private int waitingBytes;
    private ChannelHandlerContext context;
    private HttpRequest request;
    private ByteArrayOutputStream body;
    private Exchange exchange;
    private boolean keepAlive;
    private boolean headOnly;
    private boolean closing;
    private long startedMs;
    private long activeMs = SteadyClock.millis();
    private boolean readingRequest;

    /** @param all the open connections of the node, which this one enters and leaves */
    ClientConnection(DataPlane plane, Set<ClientConnection> all) {
        this.plane = plane;
        this.all = all;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelActive(ChannelHandlerContext active) {
        all.add(this);
    }

    /** Bytes have come; called before they are parsed. */
    void bytesRead() {
        activeMs = SteadyClock.millis();
        if (!readingRequest && exchange == null) {
            readingRequest = true;
            startedMs = activeMs;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext from, Object message) {
        if (closing) {
            ReferenceCountUtil.release(message);
        } else if (exchange != null) {
            queue(message);
        } else {
            take(message);
        }
    }

    /**
     * Keeps what has come before its turn. Reading goes on up to a bound, since a connection that is not read does not show
     * that its client has gone.
     */
    private void queue(Object message) {
        waiting.add(message);
        waitingBytes += WAITING_OVERHEAD + (message instanceof HttpContent content ? content.content().readableBytes() : 0);
        if (waitingBytes > MOST_WAITING_BYTES) {
            context.channel().config().setAutoRead(false);
        }
    }

    private void take(Object message) {
        try {
            if (message instanceof HttpRequest head) {
                begin(head);
            }
            if (message instanceof HttpContent content && request != null) {
                addBody(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(HttpRequest head) {
        if (head.decoderResult().isFailure()) {
            malformed(head.decoderResult().cause());
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

    private void malformed(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException) {
            reject(431, "the headers are too long");
        } else if (cause instanceof TooLongHttpLineException) {
            reject(414, "the request line is too long");
        } else {
            reject(400, "malformed request");
        }
    }

    private void addBody(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            reject(400, "malformed body");
            return;
        }
        ByteBuf piece = content.content();
        if (body.size() + piece.readableBytes() > plane.table().limits().maxBodyBytes()) {
            reject(413, "the body is too long");
            return;
        }
        byte[] bytes = new byte[piece.readableBytes()];
        piece.readBytes(bytes);
        body.writeBytes(bytes);
        if (content instanceof LastHttpContent) {
            HttpRequest whole = request;
            request = null;
            readingRequest = false;
            keepAlive = HttpUtil.isKeepAlive(whole);
            headOnly = whole.method().equals(HttpMethod.HEAD);
            exchange = new Exchange(plane, this, whole, body.toByteArray(), startedMs);
            body = null;
            exchange.start();
        }
    }

    /** Answers what can't be understood, and ends the connection. */
    private void reject(int status, String text) {
        request = null;
        keepAlive = false;
        headOnly = false;
        respond(status, ProxyHeaders.withoutValidation(), (text + "\n").getBytes(StandardCharsets.US_ASCII));
    }

    // ---- the answer

    @Override
    public void respond(int status, HttpHeaders headers, byte[] bytes) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status),
                headOnly ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(bytes),
                DefaultHttpHeadersFactory.headersFactory().withValidation(false),
                DefaultHttpHeadersFactory.trailersFactory());
        response.headers().set(headers);
        if (!headOnly) {
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
        }
        boolean close = closesAfter();
        HttpUtil.setKeepAlive(response, !close);
        write(response, close);
        answered();
    }

    private boolean closesAfter() {
        return !keepAlive || plane.isLeaving();
    }

    private void write(Object message, boolean close) {
        context.writeAndFlush(message).addListener(written -> {
            if (!written.isSuccess()) {
                context.close();
            } else if (close) {
                closeGently();
            }
        });
        closing |= close;
    }

    /** Ends the output, and the connection once the client has had time to read it. */
    private void closeGently() {
        Channel channel = context.channel();
        if (channel instanceof io.netty.channel.socket.DuplexChannel duplex && !duplex.isOutputShutdown()) {
            duplex.shutdownOutput();
        }
        channel.config().setAutoRead(true);
        context.executor().schedule(() -> channel.close(), LINGER_MS, java.util.concurrent.TimeUnit.MILLISECONDS);
    }

    @Override
    public void startStream(HttpResponse head) {
        HttpUtil.setKeepAlive(head, !closesAfter());
        context.write(head, context.voidPromise());
    }

    @Override
    public void writeChunk(byte[] bytes) {
        context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)), context.voidPromise());
    }

    @Override
    public void endStream() {
        write(LastHttpContent.EMPTY_LAST_CONTENT, closesAfter());
        answered();
    }

    @Override
    public void abort() {
        closing = true;
        exchange = null;
        context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public boolean isWritable() {
        return context.channel().isWritable();
    }

    private void answered() {
        exchange = null;
        activeMs = SteadyClock.millis();
        while (exchange == null && !closing && !waiting.isEmpty()) {
            if (!readingRequest) {
                readingRequest = true;
                startedMs = activeMs;
            }
            take(waiting.poll());
        }
        if (waiting.isEmpty()) {
            waitingBytes = 0;
        }
        if (exchange == null && !closing) {
            context.channel().config().setAutoRead(true);
        }
    }

    // ---- the connection

    /** Closes the connection where the client takes too long. */
    void review(long nowMs) {
        if (exchange != null || closing) {
            return;
        }
        long idle = nowMs - activeMs;
        if (readingRequest && request == null && nowMs - startedMs > plane.table().limits().headerTimeoutMs()
                || readingRequest && idle > plane.table().limits().idleTimeoutMs()) {
            reject(408, "the request took too long");
        } else if (!readingRequest && idle > plane.table().limits().idleTimeoutMs()) {
            context.close();
        }
    }

    /** Closes the connection if nothing has been read on it that waits for an answer. */
    void closeIfIdle() {
        if (exchange == null && !readingRequest && !closing) {
            closing = true;
            context.close();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext changed) {
        if (exchange != null && changed.channel().isWritable()) {
            exchange.writable();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        all.remove(this);
        closing = true;
        waiting.forEach(ReferenceCountUtil::release);
        waiting.clear();
        if (exchange != null) {
            Exchange left = exchange;
            exchange = null;
            left.clientGone();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext caught, Throwable cause) {
        if (!(cause instanceof java.io.IOException)) {
            Loggers.get("routerfleet.data").log(System.Logger.Level.WARNING, "client connection closed", cause);
        }
        caught.close();
    }
}
