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
 * The HTTP server of a control node, for model servers and operators. Requests of one connection are handled one after
 * the other, so that responses keep the order of the requests, however many arrive at once.
 */
final class ControlHttp {
    private static final int IDLE_S = 60;
    /** Requests that may wait on one connection; a client that sends more is disconnected. */
    private static final int MAX_WAITING = 64;
    /** How long the rest of a body is still read after a response that was sent before the body had arrived. */
    private static final long LINGER_MS = 2_000;

    /**
     * An HTTP request.
     *
     * @param baseVersion the header with the generation that a configuration update builds on; null where it is absent
     * @param callerConnected whether the caller is still connected, as far as can be seen from the connection
     */
    record Request(String method, String path, String baseVersion, byte[] body, BooleanSupplier callerConnected) {
        /** Creates a request whose caller counts as connected forever. */
        Request(String method, String path, String baseVersion, byte[] body) {
            this(method, path, baseVersion, body, () -> true);
        }
    }

    /** Value of Retry-After for status 503, in seconds: about the time that the election of a new leader takes. */
    private static final String RETRY_AFTER_S = "0.4";

    /** A response: status and JSON body. */
    record Response(int status, byte[] body) {
        /** Returns a response with status 503, which promises that the request had no effect. */
        static Response refusal(String problem) {
            return error(HttpResponseStatus.SERVICE_UNAVAILABLE.code(), problem);
        }

        /** Returns a response with status 200 and an empty JSON object. */
        static Response ok() {
            return new Response(HttpResponseStatus.OK.code(), "{}".getBytes(StandardCharsets.UTF_8));
        }

        /** Returns a response with a JSON object that describes the problem. */
        static Response error(int status, String problem) {
            String text = problem.replace("\\", "\\\\").replace("\"", "\\\"").replaceAll("\\p{Cntrl}", " ");
            return new Response(status, ("{\"error\":\"" + text + "\"}").getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Handles requests and responds immediately or later, on the event loop. */
    interface Handler {
        /** @param onResponse to be called once; null closes the connection without a response */
        void handle(Request request, Consumer<Response> onResponse);
    }

    private ControlHttp() { }

    /** Binds the address; connections are accepted once {@link Listeners#accept} is called, and added to those given. */
    static Channel bind(EventLoopGroup group, HostPort address, Handler handler, HttpConnections connections)
            throws BindException {
        return Listeners.listenClosed(group, address, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new ReadTimeoutHandler(IDLE_S));
                install(channel.pipeline(), handler, connections);
            }
        });
    }

    /** Adds the handlers for requests to a new connection's pipeline. */
    static void install(ChannelPipeline pipeline, Handler handler, HttpConnections connections) {
        pipeline.addLast(new HttpServerCodec(), new Aggregator(), new SequentialHandler(handler, connections));
    }

    /** Takes the place of a request whose body is too large. */
    private record TooLarge(String size) { }

    /** Aggregates requests; one that is too large is passed on as {@link TooLarge}, in its place in the sequence. */
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

    /** Handles the requests of one connection one after the other. */
    private static final class SequentialHandler extends SimpleChannelInboundHandler<Object>
            implements HttpConnections.Connection {
        /** @param ready the response where the handler must not see the request; else null */
        private record QueuedRequest(Request request, Response ready, boolean keepAlive) { }

        private final Handler handler;
        private final HttpConnections connections;
        private ChannelHandlerContext ownContext;
        private final Deque<QueuedRequest> queue = new ArrayDeque<>();
        /** The request that is being handled; null for none. */
        private QueuedRequest current;
        /** Whether the connection is about to be closed: nothing more is handled. */
        private boolean closing;

        SequentialHandler(Handler handler, HttpConnections connections) {
            this.handler = handler;
            this.connections = connections;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            ownContext = context;
            connections.add(this);
        }

        @Override
        public void handlerRemoved(ChannelHandlerContext context) {
            connections.remove(this);
        }

        @Override
        public void closeIfIdle() {
            if (current == null && queue.isEmpty() && !closing) {
                closing = true;
                ownContext.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Object message) {
            if (closing) {
                return;
            }
            if (queue.size() >= MAX_WAITING) {
                closing = true;
                context.close();
                return;
            }
            queue.add(read(context, message));
            context.channel().config().setAutoRead(false);
            handleNext(context);
        }

        private QueuedRequest read(ChannelHandlerContext context, Object message) {
            if (message instanceof TooLarge large) {
                return new QueuedRequest(null, Response.error(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE.code(),
                        large.size() + " in a body, and at most " + ConfigOrder.MOST_BODY_BYTES + " are taken"), false);
            }
            FullHttpRequest request = (FullHttpRequest) message;
            if (request.decoderResult().isFailure()) {
                return new QueuedRequest(null, Response.error(HttpResponseStatus.BAD_REQUEST.code(), "no HTTP request"),
                        false);
            }
            byte[] body = new byte[request.content().readableBytes()];
            request.content().readBytes(body);
            return new QueuedRequest(new Request(request.method().name(), request.uri(),
                    request.headers().get("Rowanplank-Base-Version"), body, () -> isOpen(context)), null,
                    HttpUtil.isKeepAlive(request));
        }

        /** Auto-read is off while a request is handled, so that not even the connection's end is noticed: this reads. */
        private boolean isOpen(ChannelHandlerContext context) {
            context.read();
            return !closing && context.channel().isActive();
        }

        private void handleNext(ChannelHandlerContext context) {
            if (current != null || closing) {
                return;
            }
            QueuedRequest next = queue.poll();
            if (next == null) {
                context.channel().config().setAutoRead(true);
                return;
            }
            current = next;
            if (next.ready() != null) {
                respond(context, next, next.ready());
            } else {
                handler.handle(next.request(), response -> respond(context, next, response));
            }
        }

        private void respond(ChannelHandlerContext context, QueuedRequest completed, Response response) {
            if (closing || current != completed) {
                return; // already responded to, or the connection has ended
            }
            current = null;
            if (response == null) {
                closing = true;
                context.close();
                return;
            }
            boolean keepAlive = completed.keepAlive() && !(connections.isDraining() && queue.isEmpty());
            closing = !keepAlive;
            context.writeAndFlush(message(response, keepAlive)).addListener(written -> {
                if (!keepAlive) {
                    end(context, completed.ready() != null); // not earlier, which would lose what is not written yet
                }
            });
            handleNext(context);
        }

        /**
         * @param unread whether bytes of the request may still arrive: closing before they are read would discard the
         * response
         */
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
            closing = true;
            queue.clear();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
