package routerfleet.data;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import routerfleet.wire.SteadyClock;

/**
 * A connection to a model server. It carries one request at a time and passes the response to a receiver as it arrives. A
 * response that does not name the request is skipped; bytes behind a response, or while no request is pending, close the
 * connection. A response without length or chunked encoding is complete when its connection is closed in order, but not
 * when it is reset (RFC 9112, section 6.3).
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    /** Well below the usual target latencies, so that another server can still respond in time after a timeout. */
    private static final int CONNECT_TIMEOUT_MS = 250;
    private static final int MAX_LINE_BYTES = 8 << 10;
    private static final int MAX_HEADER_BYTES = 32 << 10;
    private static final int MAX_CHUNK_BYTES = 32 << 10;
    private static final long DEFAULT_IDLE_TIMEOUT_MS = 20_000;
    private static final long KEEP_ALIVE_MARGIN_MS = 400;
    private static final int MAX_TIMEOUT_DIGITS = 6;
    private static final int MAX_SKIPPED_RESPONSES = 2;

    /** Receives a response. Each response ends with a call of {@link #complete} or {@link #failed}, unless abandoned. */
    interface ResponseReceiver {
        /** Called with the head of the response. */
        void head(HttpResponse response);

        /** Called with a chunk of the body, which is valid only during the call. */
        void content(ByteBuf chunk);

        /** Called when the response is complete. */
        void complete();

        /** Called when the response failed; the request may have been executed. */
        void failed(String reason);
    }

    /** Decodes responses, and tells whether bytes follow the message that is being handled. */
    private static final class ResponseDecoder extends HttpResponseDecoder {
        private boolean headRequest;

        ResponseDecoder() {
            super(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
        }

        /** Sets whether the next responses are those to a HEAD request. */
        void headRequest(boolean isHeadRequest) {
            headRequest = isHeadRequest;
        }

        boolean hasMoreInput() {
            return actualReadableBytes() > 0;
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return headRequest || super.isContentAlwaysEmpty(message);
        }
    }

    private final Server server;
    private final ResponseDecoder decoder = new ResponseDecoder();
    private Channel channel;
    private ResponseReceiver receiver;
    private String expectedId;
    private boolean inResponse;
    private boolean skipping;
    private int skippedResponses;
    private boolean reusable;
    /** Whether something that belongs to no request, or to another one, has been received. */
    private boolean strayInput;
    private long idleTimeoutMs = DEFAULT_IDLE_TIMEOUT_MS;

    private UpstreamConnection(Server server) {
        this.server = server;
    }

    /** Opens a connection. The future completes when it is established or has failed. */
    static ChannelFuture open(EventLoop loop, Server server) {
        UpstreamConnection connection = new UpstreamConnection(server);
        server.connectionOpened();
        ChannelFuture connected = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connection.channel = channel;
                        channel.pipeline().addLast(connection.idleGuard(), connection.decoder, new HttpRequestEncoder(),
                                connection);
                    }
                }).connect(server.address().socketAddress());
        connected.channel().closeFuture().addListener(closed -> server.connectionClosed(connection));
        return connected;
    }

    /** Closes the connection when bytes arrive while no request is pending, even if they are only a part of a message. */
    private ChannelInboundHandlerAdapter idleGuard() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object bytes) {
                if (receiver == null) {
                    ReferenceCountUtil.release(bytes);
                    context.close();
                } else {
                    context.fireChannelRead(bytes);
                }
            }
        };
    }

    /** The connection of a channel that {@link #open} has opened. */
    static UpstreamConnection of(Channel channel) {
        return channel.pipeline().get(UpstreamConnection.class);
    }

    Channel channel() {
        return channel;
    }

    /** Sends a request. @param id the attempt id, which its response has to name */
    void send(FullHttpRequest request, String id, ResponseReceiver responseReceiver) {
        receiver = responseReceiver;
        expectedId = id;
        inResponse = false;
        skipping = false;
        skippedResponses = 0;
        reusable = true;
        strayInput = false;
        decoder.headRequest(request.method().equals(HttpMethod.HEAD));
        channel.writeAndFlush(request).addListener(written -> {
            if (!written.isSuccess()) {
                fail("write failed: " + written.cause());
            }
        });
    }

    /** Abandons the pending response and closes the connection. */
    void abandon() {
        receiver = null;
        channel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            server.bytesReceived(SteadyClock.millis());
            if (receiver == null) {
                context.close(); // bytes without a pending request
                return;
            }
            if (message instanceof HttpResponse response) {
                handleHead(response);
            }
            if (message instanceof HttpContent content && receiver != null) {
                handleContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void handleHead(HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            fail("malformed response");
            return;
        }
        inResponse = true;
        skipping = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
                || !expectedId.equals(response.headers().get(ProxyHeaders.ATTEMPT_ID));
        if (skipping) {
            skip(response);
            return;
        }
        reusable = HttpUtil.isKeepAlive(response);
        idleTimeoutMs = keepAliveMs(response);
        receiver.head(response);
    }

    /**
     * Skips a response that does not name the request: servers may send more bytes behind a response, which belong to no
     * request. A failure without an id ends the wait, and is trusted in nothing that it says.
     */
    private void skip(HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            return;
        }
        strayInput = true;
        boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
        if (!success && !response.headers().contains(ProxyHeaders.ATTEMPT_ID)) {
            fail("status " + response.status().code() + " that names no request");
        } else if (++skippedResponses > MAX_SKIPPED_RESPONSES) {
            fail("responses to other requests");
        }
    }

    private static long keepAliveMs(HttpResponse response) {
        String keepAlive = response.headers().get("Keep-Alive");
        int at = keepAlive == null ? -1 : keepAlive.indexOf("timeout=");
        if (at < 0) {
            return DEFAULT_IDLE_TIMEOUT_MS;
        }
        int from = at + "timeout=".length();
        int to = from;
        while (to < keepAlive.length() && keepAlive.charAt(to) >= '0' && keepAlive.charAt(to) <= '9') {
            to++;
        }
        return to == from || to - from > MAX_TIMEOUT_DIGITS ? DEFAULT_IDLE_TIMEOUT_MS
                : Math.max(0, Long.parseLong(keepAlive, from, to, 10) * 1_000 - KEEP_ALIVE_MARGIN_MS);
    }

    private void handleContent(HttpContent content) {
        if (content.decoderResult().isFailure() || !inResponse) {
            fail("malformed response");
            return;
        }
        if (!skipping && content.content().isReadable()) {
            receiver.content(content.content());
        }
        if (receiver == null || !(content instanceof LastHttpContent)) {
            return;
        }
        inResponse = false;
        if (skipping) {
            skipping = false;
            return;
        }
        ResponseReceiver done = receiver;
        receiver = null;
        if (reusable && channel.isActive() && !strayInput && !decoder.hasMoreInput()) {
            release(SteadyClock.millis());
        } else {
            channel.close();
        }
        done.complete();
    }

    /** Returns the connection to the server's idle connections for reuse. */
    void release(long nowMs) {
        channel.config().setAutoRead(true); // it is off if the client was slow at the end of a stream
        if (server.listed()) {
            server.addIdleConnection(this, nowMs, nowMs + idleTimeoutMs);
        } else {
            channel.close();
        }
    }

    private void fail(String reason) {
        ResponseReceiver waiting = receiver;
        receiver = null;
        channel.close();
        if (waiting != null) {
            waiting.failed(reason);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail("connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(String.valueOf(cause.getMessage()));
    }

    /** Whether a response with this head is a {@code text/event-stream}. */
    static boolean isEventStream(HttpResponse response) {
        String type = response.headers().get(HttpHeaderNames.CONTENT_TYPE);
        return type != null && type.startsWith("text/event-stream");
    }
}
