package routerfleet.wire;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.BindException;
import routerfleet.settings.HostPort;

/** Opens listening sockets. An address that an earlier process still holds for a moment is tried again. */
public final class Listeners {
    private static final int BACKLOG = 1_024;
    private static final int TRIES = 60;
    private static final long PAUSE_MS = 50;

    private Listeners() { }

    /**
     * Listens at an address; not to be called on the group's own thread.
     *
     * @throws BindException if the address stays taken
     */
    public static Channel listen(EventLoopGroup group, HostPort address, ChannelHandler children) throws BindException {
        Channel channel = listenClosed(group, address, children);
        accept(channel);
        return channel;
    }

    /** Takes connections at a channel of {@link #listenClosed} from now on. */
    public static void accept(Channel listening) {
        listening.config().setAutoRead(true);
    }

    /**
     * Listens at an address, and leaves connections to the operating system until {@link #accept}; not to be called on the
     * group's own thread.
     *
     * @throws BindException if the address stays taken
     */
    public static Channel listenClosed(EventLoopGroup group, HostPort address, ChannelHandler children)
            throws BindException {
        ServerBootstrap bootstrap = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(children);
        for (int i = 1; i < TRIES; i++) {
            ChannelFuture bound = bootstrap.bind(address.socketAddress()).awaitUninterruptibly();
            if (bound.isSuccess()) {
                return bound.channel();
            }
            if (!(bound.cause() instanceof BindException) || !pause()) {
                break;
            }
        }
        throw new BindException(address + " can't be listened at");
    }

    private static boolean pause() {
        try {
            Thread.sleep(PAUSE_MS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
