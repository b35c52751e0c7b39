package routerfleet.control;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.BindException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import routerfleet.config.ConfigOrder;
import routerfleet.settings.HostPort;
import routerfleet.wire.Listeners;

/**
 * The HTTP side of a control node: requests of model servers and of the operator. On a connection each request is handled
 * only once the one before it is answered, so that answers have the order of their requests, however many came at once.
 */
final class ControlHttp {
    private static final int IDLE_S = 60;
    /** Requests on one connection that may wait for the one before them; what sends more is cut off. */
    private static final int MOST_WAITING = 64;
    /** For how long the rest of a body is read that was answered before it was there. */
    private static final long LINGER_MS = 2_000;

    /**
     * A request.
     *
     * @param baseVersion the header that an order names its base in; null where there is none
     * @param callerConnected whether the caller has not given up, as far as the connection tells
     */
    record Request(String method, String path, String baseVersion, byte[] body, BooleanSupplier callerConnected) {
        /** A request whose caller waits however long it takes. */
        Request(String method, String path, String baseVersion, byte[] body) {
            this(method, path, baseVersion, body, () -> true);
        }
    }

    /** When who is answered 503 may ask again, in seconds: a new leader is elected in about so long. */
    private static final String RETRY_AFTER_S = "0.4";

    /** A status and a JSON body. */
    record Response(int status, byte[] body) {
        /** A refusal with the promise that nothing was done. */
        static Response refusal(String problem) {
            return error(HttpResponseStatus.SERVICE_UNAVAILABLE.code(), problem);
        }

        static Response ok() {
            return new Response(HttpResponseStatus.OK.code(), "{}".getBytes(StandardCharsets.UTF_8));
        }

        static Response error(int status, String problem) {
            String text = problem.replace("\\", "\\\\").replace("\"", "\\\"").replaceAll("\\p{Cntrl}", " ");
            return new Response(status, ("{\"error\":\"" + text + "\"}").getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Who answers requests, at once or later, on the event loop. */
    interface Handler {
        /** @param answer to be called once; null ends the connection without an answer */
        void handle(Request request, Consumer<Response> answer);
    }

    private ControlHttp() { }

    /** Listens; connections are taken once {@link Listeners#accept} is called. */
    static Channel bind(EventLoopGroup group, HostPort address, Handler handler) throws BindException {
        return Listeners.listenClosed(group, address, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new ReadTimeoutHandler(IDLE_S));
                install(channel.pipeline(), handler);
            }
        });
    }

    /** Puts all that handles requests into a new connection's pipeline. */
    static void install(ChannelPipeline pipeline, Handler handler) {
        pipeline.addLast(new HttpServerCodec(), new Aggregator(), new Exchanges(handler));
    }

    /** A request whose body is larger than any that is taken. */
    private record TooLarge(String size) { }

    /** Gathers whole requests; what is too large is told of in its place among them. */
    private static final class Aggregator extends HttpObjectAggregator {
        Aggregator() {
            super(ConfigOrder.MOST_BODY_BYTES);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
            long length = HttpUtil.getContentLength(oversized, -1L);
            context.fireChannelRead(new TooLarge(length < 0 ? "more" : length + " bytes"));
        }
    }

    private static DefaultFullHttpResponse message(Response response, boolean keepAlive) {
        DefaultFullHttpResponse message = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(response.status()), Unpooled.wrappedBuffer(response.body()));
        message.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                .setInt(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
        if (response.status() == HttpResponseStatus.SERVICE_UNAVAILABLE.code()) {
            message.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_S);
        }
        HttpUtil.setKeepAlive(message, keepAlive);
        return message;
    }

    /** The requests of one connection, one at a time. */
    private static final class Exchanges extends SimpleChannelInboundHandler<Object> {
        /** @param ready the answer where the request is not to be handled; else null */
        private record Waiting(Request request, Response ready, boolean keepAlive) { }

        private final Handler handler;
        private final Deque<Waiting> waiting = new ArrayDeque<>();
        /** The request that is being answered; null for none. */
        private Waiting current;
        /** Nothing more is answered on this connection. */
        private boolean ended;

        Exchanges(Handler handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Object message) {
            if (ended) {
                return;
            }
            if (waiting.size() >= MOST_WAITING) {
                ended = true;
                context.close();
                return;
            }
            waiting.add(read(context, message));
            context.channel().config().setAutoRead(false);
            handleNext(context);
        }

        private Waiting read(ChannelHandlerContext context, Object message) {
            if (message instanceof TooLarge large) {
                return new Waiting(null, Response.error(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE.code(),
                        large.size() + " in a body, and at most " + ConfigOrder.MOST_BODY_BYTES + " are taken"), false);
            }
            FullHttpRequest request = (FullHttpRequest) message;
            if (request.decoderResult().isFailure()) {
                return new Waiting(null, Response.error(HttpResponseStatus.BAD_REQUEST.code(), "no HTTP request"), false);
            }
            byte[] body = new byte[request.content().readableBytes()];
            request.content().readBytes(body);
            return new Waiting(new Request(request.method().name(), request.uri(),
                    request.headers().get("Rowanplank-Base-Version"), body, () -> isOpen(context)), null,
                    HttpUtil.isKeepAlive(request));
        }

        /** Nothing is read by itself while a request is handled, not even the connection's end: it is looked for here. */
        private boolean isOpen(ChannelHandlerContext context) {
            context.read();
            return !ended && context.channel().isActive();
        }

        private void handleNext(ChannelHandlerContext context) {
            if (current != null || ended) {
                return;
            }
            Waiting next = waiting.poll();
            if (next == null) {
                context.channel().config().setAutoRead(true);
                return;
            }
            current = next;
            if (next.ready() != null) {
                answered(context, next, next.ready());
            } else {
                handler.handle(next.request(), response -> answered(context, next, response));
            }
        }

        private void answered(ChannelHandlerContext context, Waiting answered, Response response) {
            if (ended || current != answered) {
                return; // it has its answer, or nobody waits for it any more
            }
            current = null;
            if (response == null) {
                ended = true;
                context.close();
                return;
            }
            ended = !answered.keepAlive();
            context.writeAndFlush(message(response, answered.keepAlive())).addListener(written -> {
                if (!answered.keepAlive()) {
                    end(context, answered.ready() != null); // not sooner: what is not written yet would be lost
                }
            });
            handleNext(context);
        }

        /** @param unread whether bytes of the request may still come: closed over them, a connection resets its answer */
        private static void end(ChannelHandlerContext context, boolean unread) {
            if (unread) {
                context.channel().config().setAutoRead(true);
                context.executor().schedule(() -> context.close(), LINGER_MS, TimeUnit.MILLISECONDS);
            } else {
                context.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            ended = true;
            waiting.clear();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
