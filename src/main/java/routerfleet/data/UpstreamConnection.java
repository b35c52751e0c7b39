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
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import routerfleet.wire.SteadyClock;

/**
 * One connection to a model server: one request at a time, and the answer handed to its receiver as it comes. An answer
 * that belongs to another request is passed over; bytes that no request waits for end the connection.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    /** A part of the usual objectives, so that another server can still answer within them. */
    private static final int CONNECT_TIMEOUT_MS = 250;
    private static final int MAX_LINE_BYTES = 8 << 10;
    private static final int MAX_HEADER_BYTES = 32 << 10;
    private static final int MAX_CHUNK_BYTES = 32 << 10;
    private static final long DEFAULT_IDLE_TIMEOUT_MS = 20_000;
    private static final long KEEP_ALIVE_MARGIN_MS = 400;
    private static final int MAX_TIMEOUT_DIGITS = 6;
    private static final int MAX_SKIPPED_RESPONSES = 2;

    /** Who gets an answer. Every answer ends with {@link #complete} or {@link #failed}. */
    interface ResponseReceiver {
        /** The head of the answer. */
        void head(HttpResponse response);

        /** A piece of the body; valid during the call. */
        void content(ByteBuf chunk);

        /** The answer is whole. */
        void complete();

        /** No whole answer will come; the request may have run. */
        void failed(String why);
    }

    private final Server server;
    private Channel channel;
    private ResponseReceiver receiver;
    private String expectedId;
    private boolean inResponse;
    private boolean skipping;
    private int skippedResponses;
    private boolean reusable;
    private long idleTimeoutMs = DEFAULT_IDLE_TIMEOUT_MS;

    private UpstreamConnection(Server server) {
        this.server = server;
    }

    /** Opens a connection. The future tells when it is up. */
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
                        channel.pipeline().addLast(new HttpClientCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES,
                                MAX_CHUNK_BYTES, false), connection);
                    }
                }).connect(server.address().socketAddress());
        connected.channel().closeFuture().addListener(closed -> server.connectionClosed(connection));
        return connected;
    }

    /** The handler of a channel that {@link #open} has opened. */
    static UpstreamConnection of(Channel channel) {
        return channel.pipeline().get(UpstreamConnection.class);
    }

    Channel channel() {
        return channel;
    }

    /** Sends a request. @param id that the answer has to carry, if it carries any */
    void send(FullHttpRequest request, String id, ResponseReceiver responseReceiver) {
        receiver = responseReceiver;
        expectedId = id;
        inResponse = false;
        skipping = false;
        skippedResponses = 0;
        reusable = true;
        channel.writeAndFlush(request).addListener(written -> {
            if (!written.isSuccess()) {
                fail("write failed: " + written.cause());
            }
        });
    }

    /** Gives up the answer that is awaited, and the connection. */
    void abandon() {
        receiver = null;
        channel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            server.bytesReceived(SteadyClock.millis());
            if (receiver == null) {
                context.close(); // bytes that belong to no request
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
            fail("not an answer in the protocol");
            return;
        }
        inResponse = true;
        String id = response.headers().get(ProxyHeaders.ATTEMPT_ID);
        skipping = id != null && !id.equals(expectedId);
        if (skipping) {
            if (++skippedResponses > MAX_SKIPPED_RESPONSES) {
                fail("answers to other requests");
            }
            return;
        }
        boolean bounded = HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response)
                || response.status().code() == 204 || response.status().code() == 304;
        if (!bounded) {
            fail("an answer without an end");
            return;
        }
        reusable = HttpUtil.isKeepAlive(response);
        idleTimeoutMs = keepAliveMs(response);
        receiver.head(response);
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
            fail("not an answer in the protocol");
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
        if (reusable) {
            release(SteadyClock.millis());
        } else {
            channel.close();
        }
        done.complete();
    }

    /** No request needs it now: it waits for the next one. */
    void release(long nowMs) {
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

    /** Whether the body of an answer with that head is a series of events. */
    static boolean isEventStream(HttpResponse response) {
        String type = response.headers().get(HttpHeaderNames.CONTENT_TYPE);
        return type != null && type.startsWith("text/event-stream");
    }
}
