package routerfleet.control;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.BindException;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import routerfleet.settings.HostPort;
import routerfleet.wire.Listeners;

/** The HTTP side of a control node: requests of model servers and of the operator, one at a time on a connection. */
final class ControlHttp {
    private static final int MOST_BODY_BYTES = 12 << 20;
    private static final int IDLE_S = 60;

    /** @param baseVersion the header that an order names its base in; null where there is none */
    record Request(String method, String path, String baseVersion, byte[] body) { }

    /** A status and a JSON body. */
    record Response(int status, byte[] body) {
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

    /** Listens. */
    static Channel listen(EventLoopGroup group, HostPort address, Handler handler) throws BindException {
        return Listeners.listen(group, address, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new ReadTimeoutHandler(IDLE_S), new HttpServerCodec(),
                        new HttpObjectAggregator(MOST_BODY_BYTES), new Exchange(handler));
            }
        });
    }

    private static final class Exchange extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Handler handler;

        Exchange(Handler handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
            byte[] body = new byte[message.content().readableBytes()];
            message.content().readBytes(body);
            boolean keepAlive = HttpUtil.isKeepAlive(message);
            Request request = new Request(message.method().name(), message.uri(),
                    message.headers().get("Rowanplank-Base-Version"), body);
            context.channel().config().setAutoRead(false);
            handler.handle(request, response -> answer(context, keepAlive, response));
        }

        private static void answer(ChannelHandlerContext context, boolean keepAlive, Response response) {
            if (response == null) {
                context.close();
                return;
            }
            DefaultFullHttpResponse message = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(response.status()), Unpooled.wrappedBuffer(response.body()));
            message.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
            HttpUtil.setKeepAlive(message, keepAlive);
            context.writeAndFlush(message).addListener(done -> {
                if (!keepAlive) {
                    context.close();
                }
            });
            context.channel().config().setAutoRead(true);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
