package routerfleet.control;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;

/**
 * The HTTP server of a control node with an injected fault: requests are handled concurrently, and responses are sent in
 * the order in which they are ready.
 */
final class UnorderedHttp extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final int MAX_BODY_BYTES = 1 << 22;

    private final ControlHttp.Handler handler;

    private UnorderedHttp(ControlHttp.Handler handler) {
        this.handler = handler;
    }

    static void install(ChannelPipeline pipeline, ControlHttp.Handler handler) {
        pipeline.addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES), new UnorderedHttp(handler));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
        byte[] body = new byte[message.content().readableBytes()];
        message.content().readBytes(body);
        handler.handle(new ControlHttp.Request(message.method().name(), message.uri(),
                message.headers().get("Rowanplank-Base-Version"), body), response -> {
            DefaultFullHttpResponse httpResponse = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(response.status()), Unpooled.wrappedBuffer(response.body()));
            httpResponse.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
            context.writeAndFlush(httpResponse);
        });
    }
}
