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

/** The HTTP side of a control node with a planted fault: requests are handled at once, and answered as they are done. */
final class UnorderedHttp extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final int MOST_BYTES = 1 << 22;

    private final ControlHttp.Handler handler;

    private UnorderedHttp(ControlHttp.Handler handler) {
        this.handler = handler;
    }

    static void install(ChannelPipeline pipeline, ControlHttp.Handler handler) {
        pipeline.addLast(new HttpServerCodec(), new HttpObjectAggregator(MOST_BYTES), new UnorderedHttp(handler));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
        byte[] body = new byte[message.content().readableBytes()];
        message.content().readBytes(body);
        handler.handle(new ControlHttp.Request(message.method().name(), message.uri(),
                message.headers().get("Rowanplank-Base-Version"), body), response -> {
            DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(response.status()), Unpooled.wrappedBuffer(response.body()));
            answer.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
            context.writeAndFlush(answer);
        });
    }
}
