package routerfleet.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import routerfleet.settings.HostPort;

/** Keeps a connection to each wanted address, opened anew after a pause whenever it is lost. For one event loop. */
public final class PeerDialer {
    private static final long RETRY_MS = 250;
    private static final int CONNECT_TIMEOUT_MS = 600;

    private final EventLoop loop;
    private final PeerCodec codec;
    private final LinkTiming timing;
    private final Function<HostPort, PeerLink.Listener> listeners;
    private final Map<String, Target> targets = new TreeMap<>();

    private static final class Target {
        private final HostPort address;
        private boolean wanted = true;
        private Channel channel;

        Target(HostPort address) {
            this.address = address;
        }
    }

    /** @param listeners who hears the connection to an address; asked for each new connection */
    public PeerDialer(EventLoop loop, PeerCodec codec, LinkTiming timing,
            Function<HostPort, PeerLink.Listener> listeners) {
        this.loop = loop;
        this.codec = codec;
        this.timing = timing;
        this.listeners = listeners;
    }

    /** Connects to an address from now on; no effect where it is wanted already. */
    public void want(HostPort address) {
        if (!targets.containsKey(address.toString())) {
            Target target = new Target(address);
            targets.put(address.toString(), target);
            connect(target);
        }
    }

    /** Gives up an address. */
    public void forget(HostPort address) {
        Target target = targets.remove(address.toString());
        if (target != null) {
            target.wanted = false;
            if (target.channel != null) {
                target.channel.close();
            }
        }
    }

    /** Whether an address is wanted. */
    public boolean wants(HostPort address) {
        return targets.containsKey(address.toString());
    }

    private void connect(Target target) {
        if (!target.wanted) {
            return;
        }
        Bootstrap bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        PeerLink.install(channel.pipeline(), codec, timing, listeners.apply(target.address));
                    }
                });
        target.channel = bootstrap.connect(target.address.socketAddress()).channel();
        target.channel.closeFuture().addListener(
                closed -> loop.schedule(() -> connect(target), RETRY_MS, TimeUnit.MILLISECONDS));
    }
}
