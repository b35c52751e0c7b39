package routerfleet.data;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.BindException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import routerfleet.config.FleetConfiguration;
import routerfleet.log.Loggers;
import routerfleet.settings.LocalSettings;
import routerfleet.wire.EventLoopScheduler;
import routerfleet.wire.HashMix;
import routerfleet.wire.Listeners;
import routerfleet.wire.NettyPeerNetwork;
import routerfleet.wire.PeerCodec;
import routerfleet.wire.PeerMessage;
import routerfleet.wire.SteadyClock;

/**
 * A data node: accepts client requests and forwards them to model servers. It stores nothing on disk; configuration,
 * servers and quota grants come from the control nodes. Everything runs on one event loop.
 */
public final class DataNode {
    private static final System.Logger LOG = Loggers.get("routerfleet.data");
    private static final int MAX_LINE_BYTES = 8 << 10;
    private static final int MAX_CHUNK_BYTES = 16 << 10;
    private static final int READINESS_BODY_BYTES = 1 << 12;
    private static final long TIMEOUT_CHECK_INTERVAL_MS = 250;
    private static final long MS_PER_SECOND = 1_000;
    private static final long STOP_CHECK_INTERVAL_MS = 50;

    /** Without a quiet period an event loop may terminate before it has closed its sockets. */
    private static final long CRASH_QUIET_PERIOD_MS = 10;
    private static final long CRASH_TIMEOUT_MS = 2_000;

    private final LocalSettings settings;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final SplittableRandom random;
    private final ServerRegistry registry;
    private final FleetSize fleetSize = new FleetSize();
    private final QuotaClient quotas;
    private final DataPlane plane;
    private final ControlClient control;
    private final Set<ClientConnection> clients = new LinkedHashSet<>();
    private final CompletableFuture<Void> ready = new CompletableFuture<>();
    private volatile Channel frontend;

    /** Creates a node that does not listen yet. @param settings with the addresses for clients and readiness probes */
    public DataNode(LocalSettings settings) {
        this.settings = settings;
        // Not a secure source: the choices need no secrecy, and seeding one delays the start by some 10 ms. The node's name
        // makes the seeds of different nodes differ.
        random = new SplittableRandom(HashMix.of(settings.nodeName()) ^ System.nanoTime());
        registry = new ServerRegistry(random.nextLong(), System::nanoTime, settings.zone(),
                settings.heartbeatMs());
        quotas = new QuotaClient(settings.bounds(), fleetSize, new QuotaTransport());
        plane = new DataPlane(loop, settings.bounds(), registry, quotas, fleetSize, random.nextLong());
        PeerCodec codec = new PeerCodec();
        control = new ControlClient(new EventLoopScheduler(loop), new NettyPeerNetwork(group, loop, codec), settings,
                registry, codec, new ControlListener());
        plane.control(control);
    }

    /**
     * Starts to listen for clients and readiness probes. Probes fail until a current configuration has been received.
     *
     * @throws BindException if an address is in use
     */
    public void start() throws BindException {
        listenForReadiness();
        frontend = Listeners.listen(group, settings.frontend(), new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                ClientConnection connection = new ClientConnection(plane, clients);
                channel.pipeline().addLast(new ReadNotifier(connection), new HttpServerCodec(MAX_LINE_BYTES,
                        plane.table().limits().maxHeaderBytes(), MAX_CHUNK_BYTES), connection);
            }
        });
        loop.execute(control::start);
        loop.scheduleWithFixedDelay(this::checkTimeouts, TIMEOUT_CHECK_INTERVAL_MS, TIMEOUT_CHECK_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(registry::removeStale, MS_PER_SECOND, MS_PER_SECOND, TimeUnit.MILLISECONDS);
        LOG.log(System.Logger.Level.INFO, "data node " + settings.nodeName() + " listens at " + settings.frontend());
    }

    private void listenForReadiness() throws BindException {
        Listeners.listen(group, settings.readiness(), new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(READINESS_BODY_BYTES),
                        new ReadinessHandler());
            }
        });
    }

    private void checkTimeouts() {
        long now = SteadyClock.millis();
        if (plane.isReady()) {
            ready.complete(null);
        }
        plane.openExchanges().forEach(exchange -> exchange.checkServerSilence(now));
        List.copyOf(clients).forEach(client -> client.checkTimeouts(now));
    }

    /** Applies changed settings: only the seeds can change while the process runs. */
    public void reload(LocalSettings changed) {
        loop.execute(() -> control.seeds(changed.seeds()));
    }

    /** Records that the process received SIGHUP, for the log. */
    public void hangupReceived() {
        loop.execute(() -> plane.operatorEvents().record(OperatorEvents.Kind.SIGHUP, SteadyClock.millis()));
    }

    /**
     * Shuts down gracefully. Readiness probes fail at once; clients are served until the ingress has had time to notice,
     * then each connection is closed once all requests that were read on it are answered. Blocks until all client
     * connections are closed, at most for the platform's grace period.
     */
    public void stop() {
        if (loop.isShuttingDown()) {
            return;
        }
        long graceMs = (long) (settings.bounds().graceS() * MS_PER_SECOND);
        ShutdownSchedule schedule = new ShutdownSchedule(SteadyClock.millis(), graceMs);
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            LOG.log(System.Logger.Level.INFO, "data node " + settings.nodeName() + " was told to stop, "
                    + plane.openExchanges().size() + " requests and " + clients.size() + " connections are open");
            plane.startDraining(schedule);
            loop.scheduleWithFixedDelay(() -> continueDrain(schedule, done), STOP_CHECK_INTERVAL_MS,
                    STOP_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        });
        try {
            done.await(graceMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Stops at once, without draining, as in a crash of the process. */
    public void crash() {
        group.shutdownGracefully(CRASH_QUIET_PERIOD_MS, CRASH_TIMEOUT_MS, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    /** Completes when the node has become ready for the first time. */
    public CompletableFuture<Void> ready() {
        return ready;
    }

    /** Called regularly while the node stops. */
    private void continueDrain(ShutdownSchedule schedule, CountDownLatch done) {
        long now = SteadyClock.millis();
        if (done.getCount() == 0 || !schedule.closesIdleConnections(now)) {
            return;
        }
        if (frontend != null) {
            frontend.close();
        }
        List.copyOf(clients).forEach(ClientConnection::closeIfIdle);
        if (schedule.refusesUnsent(now)) {
            plane.openExchanges().forEach(Exchange::refuseIfUnsent);
        }
        if (schedule.endsOpenRequests(now)) {
            plane.openExchanges().forEach(Exchange::endForShutdown);
        }
        if (clients.isEmpty() || schedule.isOver(now)) {
            LOG.log(System.Logger.Level.INFO, "data node " + settings.nodeName() + " stops after "
                    + (now - schedule.startMs()) + " ms with " + clients.size() + " connections open; "
                    + plane.responseLog().summary());
            done.countDown();
        }
    }

    /** Notifies a connection of received bytes before they are parsed. */
    private static final class ReadNotifier extends ChannelInboundHandlerAdapter {
        private final ClientConnection connection;

        ReadNotifier(ClientConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof ByteBuf) {
                connection.bytesRead();
            }
            context.fireChannelRead(message);
        }
    }

    /** Answers readiness probes: 200 while the node accepts client requests, else 503. */
    private final class ReadinessHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    plane.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                    Unpooled.EMPTY_BUFFER);
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, 0);
            HttpUtil.setKeepAlive(response, keepAlive);
            context.writeAndFlush(response).addListener(written -> {
                if (!keepAlive) {
                    context.close();
                }
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** Passes on what control nodes send to the other components of the node. */
    private final class ControlListener implements ControlClient.Listener {
        @Override
        public void configuration(FleetConfiguration configuration) {
            plane.table(new RoutingTable(configuration, plane.table()));
        }

        @Override
        public void dataNodes(int present, boolean warming) {
            fleetSize.countReported(present, warming, SteadyClock.millis());
        }

        @Override
        public void quotaAnswered(PeerMessage.QuotaAnswer answer) {
            quotas.answered(answer);
        }

        @Override
        public void disconnected(String controlNode) {
            quotas.disconnected(controlNode);
        }
    }

    /** Sends quota requests on the connections to the control nodes. */
    private final class QuotaTransport implements QuotaClient.Transport {
        @Override
        public List<String> controlNodes() {
            return control.replicas();
        }

        @Override
        public boolean send(String controlNode, PeerMessage message) {
            return control.send(controlNode, message);
        }

        @Override
        public long nowMs() {
            return SteadyClock.millis();
        }

        @Override
        public void schedule(Runnable task, long delayMs) {
            loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
        }
    }
}
