package routerfleet.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.net.BindException;
import java.util.function.Supplier;
import routerfleet.log.Loggers;
import routerfleet.settings.HostPort;

/** Connections between processes over TCP: frames of four bytes' length and a message. */
public final class NettyPeerNetwork implements PeerNetwork {
    private static final int LENGTH_BYTES = 4;
    private static final int CONNECT_TIMEOUT_MS = 600;

    private final EventLoopGroup group;
    private final EventLoop loop;
    private final PeerCodec codec;

    /** @param group with this loop only */
    public NettyPeerNetwork(EventLoopGroup group, EventLoop loop, PeerCodec codec) {
        this.group = group;
        this.loop = loop;
        this.codec = codec;
    }

    /** Puts a link into a new channel's pipeline. */
    static void install(ChannelPipeline pipeline, PeerCodec codec, LinkTiming timing, PeerLink.Listener listener) {
        pipeline.addLast(new LengthFieldBasedFrameDecoder(PeerLink.MOST_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new LinkHandler(codec, timing, listener));
    }

    private ChannelInitializer<Channel> initializer(LinkTiming timing, Supplier<PeerLink.Listener> listeners) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                install(channel.pipeline(), codec, timing, listeners.get());
            }
        };
    }

    @Override
    public Connection connect(HostPort address, LinkTiming timing, PeerLink.Listener listener, Runnable ended) {
        Channel channel = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(initializer(timing, () -> listener))
                .connect(address.socketAddress()).channel();
        channel.closeFuture().addListener(closed -> ended.run());
        return channel::close;
    }

    @Override
    public Listener listen(HostPort address, LinkTiming timing, Supplier<PeerLink.Listener> listeners)
            throws BindException {
        Channel channel = Listeners.listenClosed(group, address, initializer(timing, listeners));
        return new Listener() {
            @Override
            public void accept() {
                Listeners.accept(channel);
            }

            @Override
            public void close() {
                channel.close();
            }
        };
    }

    /** Carries a link's frames on a channel. */
    private static final class LinkHandler extends SimpleChannelInboundHandler<ByteBuf> implements PeerLink.Carrier {
        private final PeerCodec codec;
        private final LinkTiming timing;
        private final PeerLink.Listener listener;
        private Channel channel;
        private PeerLink link;

        LinkHandler(PeerCodec codec, LinkTiming timing, PeerLink.Listener listener) {
            this.codec = codec;
            this.timing = timing;
            this.listener = listener;
        }

        @Override
        public boolean isOpen() {
            return channel.isActive();
        }

        @Override
        public long waitingBytes() {
            return channel.unsafe().outboundBuffer() == null ? 0
                    : channel.unsafe().outboundBuffer().totalPendingWriteBytes();
        }

        @Override
        public void write(byte[] message) {
            ByteBuf frame = Unpooled.buffer(LENGTH_BYTES + message.length);
            frame.writeInt(message.length).writeBytes(message);
            channel.writeAndFlush(frame, channel.voidPromise());
        }

        @Override
        public void close() {
            channel.close();
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            link = new PeerLink(codec, new EventLoopScheduler(channel.eventLoop()), timing, listener, this);
            link.opened();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            byte[] message = new byte[frame.readableBytes()];
            frame.readBytes(message);
            link.received(message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (link != null) {
                link.closed();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof java.io.IOException)) {
                Loggers.get("routerfleet.wire").log(System.Logger.Level.WARNING, "connection closed: " + cause);
            }
            context.close();
        }
    }
}
