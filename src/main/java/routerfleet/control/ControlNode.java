package routerfleet.control;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.BindException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import rowanplank.agreement.Message;
import rowanplank.agreement.Saved;
import routerfleet.config.ConfigOrder;
import routerfleet.settings.HostPort;
import routerfleet.settings.LocalSettings;
import routerfleet.wire.LinkTiming;
import routerfleet.wire.Listeners;
import routerfleet.wire.PeerCodec;
import routerfleet.wire.PeerDialer;
import routerfleet.wire.PeerLink;
import routerfleet.wire.PeerMessage;
import routerfleet.wire.SteadyClock;

/**
 * A control node: its replica of the configuration shard, its copy of the session tables, the operator's and the model
 * servers' interface, and the connections to other control nodes and to data nodes. Everything runs on one event loop
 * but for the writes to disk.
 */
public final class ControlNode {
    private static final System.Logger LOG = System.getLogger("routerfleet.control");
    private static final long FRESHNESS_MS = 80;
    private static final long SECOND_MS = 1_000;
    private static final long RECONCILE_MS = 500;
    private static final long ORDER_TIMEOUT_MS = 900;
    private static final long LEADER_WAIT_MS = 40;
    private static final double WARM_BEATS = 2.5;
    private static final long STOP_MS = 400;
    private static final String CONFIG = "/rowanplank/config/";
    private static final String INSTANCES = "/rowanplank/instances/";

    /** Without a quiet period an event loop may end before it has closed its sockets. */
    private static final long CRASH_QUIET_MS = 10;
    private static final long CRASH_MOST_MS = 2_000;

    private final LocalSettings settings;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final PeerCodec codec = new PeerCodec();
    private final SecureRandom random = new SecureRandom();
    private final ControlPeers peers;
    private final DataNodes dataNodes = new DataNodes();
    private final QuotaGrantor quotas;
    private final SessionTable table;
    private final ReplicaStorage storage;
    private final Map<Long, Consumer<PeerMessage.OrderReply>> forwarded = new HashMap<>();
    private final List<Channel> listeners = new ArrayList<>();
    private String replica;
    private ReplicaGroup replicas;
    private ReplicaPlanner planner;
    private Freshness freshness;
    private SessionService sessions;
    private DataNodeService dataPlane;
    private long lastOrderId;
    private volatile List<HostPort> seeds;

    /** @param settings with an address for the control plane and a folder on disk */
    public ControlNode(LocalSettings settings) {
        this.settings = settings;
        seeds = settings.seeds();
        peers = new ControlPeers(settings.ip(), settings.internalPort());
        quotas = new QuotaGrantor(settings.ip(), settings.bounds());
        table = new SessionTable(settings.heartbeatMs());
        storage = new ReplicaStorage(settings.dataPath(), loop);
    }

    /** Reads the disk, then listens. @throws IOException if the disk can't be read or an address is taken */
    public void start() throws IOException {
        ReplicaStorage.Opened opened = storage.open();
        Saved saved;
        if (opened != null) {
            replica = opened.replica();
            saved = opened.saved();
            storage.start(replica, null);
        } else {
            saved = firstState();
            storage.start(replica, saved);
        }
        loop.submit(() -> assemble(saved)).syncUninterruptibly();
        listeners.add(listenInternally());
        listeners.add(ControlHttp.listen(group, settings.controlPlane(), this::handle));
        LOG.log(System.Logger.Level.INFO, "control node " + settings.nodeName() + " is up as replica " + replica);
    }

    private Saved firstState() {
        List<String> founders = new ArrayList<>();
        for (HostPort seed : settings.seeds()) {
            founders.add(ReplicaNames.founder(seed.host()));
        }
        boolean founds = settings.bootstrap() && founders.contains(ReplicaNames.founder(settings.ip()));
        replica = founds ? ReplicaNames.founder(settings.ip()) : ReplicaNames.fresh(settings.ip(), random.nextLong() >>> 2);
        return Saved.nothing(founds ? founders : List.of());
    }

    private void assemble(Saved saved) {
        replicas = new ReplicaGroup(loop, codec, replica, saved, storage, random.nextLong(), new GroupSurroundings());
        planner = new ReplicaPlanner(replica, settings.toleratedHosts());
        freshness = new Freshness(replicas, peers);
        divideQuotas();
        dataPlane = new DataNodeService(loop, random.nextLong() | 1, table, dataNodes, peers, replicas, freshness,
                (long) (settings.heartbeatMs() * WARM_BEATS));
        sessions = new SessionService(loop, table, peers, settings.toleratedHosts(), dataPlane::changed);
        peers.start(new PeerDialer(loop, codec, LinkTiming.CONTROL, address -> new OutgoingListener(address.host())));
        learnSeeds();
        every(FRESHNESS_MS, freshness::tick);
        every(RECONCILE_MS, this::reconcile);
        every(SECOND_MS, sessions::tick);
    }

    private void every(long periodMs, Runnable task) {
        loop.scheduleWithFixedDelay(task, periodMs, periodMs, TimeUnit.MILLISECONDS);
    }

    private void learnSeeds() {
        seeds.forEach(seed -> peers.learn(seed.host(), System.nanoTime()));
        replicas.voters().forEach(voter -> peers.learn(ReplicaNames.ip(voter), System.nanoTime()));
    }

    private Channel listenInternally() throws BindException {
        return Listeners.listen(group, new HostPort(settings.ip(), settings.internalPort()),
                new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        PeerLink.install(channel.pipeline(), codec, LinkTiming.DATA, new IncomingListener());
                    }
                });
    }

    /** Takes new settings: only the seeds may change while the process runs. */
    public void reload(LocalSettings changed) {
        seeds = changed.seeds();
        loop.execute(this::learnSeeds);
    }

    /** Hands leadership on and ends. Blocks for a moment. */
    public void stop() {
        loop.submit(() -> replicas.handOver()).awaitUninterruptibly(STOP_MS);
        loop.schedule(() -> listeners.forEach(Channel::close), STOP_MS / 2, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(STOP_MS);
        storage.close();
    }

    /** Ends at once: nothing is handed on, and what has not been written is not. */
    public void crash() {
        storage.close();
        group.shutdownGracefully(CRASH_QUIET_MS, CRASH_MOST_MS, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    // ---- wanted replicas and connections

    private void reconcile() {
        long now = System.nanoTime();
        learnSeeds();
        divideQuotas();
        Set<String> kept = new TreeSet<>();
        seeds.forEach(seed -> kept.add(seed.host()));
        replicas.voters().forEach(voter -> kept.add(ReplicaNames.ip(voter)));
        peers.forget(kept, now);
        if (replicas.leads() && replicas.votersAreDecided()) {
            List<String> wanted = planner.next(replicas.voters(), peers.presence(now));
            if (!wanted.equals(replicas.voters())) {
                replicas.proposeVoters(wanted);
            }
        }
    }

    private void divideQuotas() {
        quotas.configure(replicas.tenants(), replicas.replicaAddresses(), SteadyClock.millis());
    }

    private PeerMessage.QuotaAnswer grant(PeerMessage.QuotaAsk ask) {
        long ageMicros = freshness.ageMicros(System.nanoTime());
        long ageMs = ageMicros < 0 ? -1 : TimeUnit.MICROSECONDS.toMillis(ageMicros);
        return quotas.answer(ask, ageMs, SteadyClock.millis());
    }

    // ---- the HTTP interface

    private void handle(ControlHttp.Request request, Consumer<ControlHttp.Response> answer) {
        String path = request.path();
        if (request.method().equals("GET") && path.equals(CONFIG + "get")) {
            freshness.whenFresh(() -> answer.accept(new ControlHttp.Response(200, replicas.document())),
                    () -> answer.accept(ControlHttp.Response.error(503, "no majority of replicas answers")));
        } else if (request.method().equals("POST") && path.equals(CONFIG + "replace")) {
            order(ConfigOrder.Kind.REPLACE, request, answer);
        } else if (request.method().equals("POST") && path.equals(CONFIG + "patch")) {
            order(ConfigOrder.Kind.PATCH, request, answer);
        } else if (request.method().equals("POST") && path.startsWith(INSTANCES)) {
            instance(path.substring(INSTANCES.length()).split("/"), request, answer);
        } else {
            answer.accept(ControlHttp.Response.error(404, "no such resource: " + path));
        }
    }

    private void instance(String[] parts, ControlHttp.Request request, Consumer<ControlHttp.Response> answer) {
        if (parts.length == 2 && parts[1].equals("heartbeat")) {
            sessions.heartbeat(parts[0], request.body(), answer);
        } else if (parts.length == 2 && parts[1].equals("deregister")) {
            sessions.deregister(parts[0], answer);
        } else {
            answer.accept(ControlHttp.Response.error(404, "no such resource: " + request.path()));
        }
    }

    private void order(ConfigOrder.Kind kind, ControlHttp.Request request, Consumer<ControlHttp.Response> answer) {
        long base;
        try {
            base = Long.parseLong(String.valueOf(request.baseVersion()).strip());
        } catch (NumberFormatException e) {
            answer.accept(ControlHttp.Response.error(400, "Rowanplank-Base-Version is no number"));
            return;
        }
        ConfigOrder order = new ConfigOrder(kind, base, request.body());
        long id = ++lastOrderId;
        forwarded.put(id, reply -> answer.accept(response(reply)));
        route(id, order);
        loop.schedule(() -> orderAnswered(new PeerMessage.OrderReply(id, 0, "no clear answer in time")),
                ORDER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Brings an order to the leader, as soon as there is one. */
    private void route(long id, ConfigOrder order) {
        if (!forwarded.containsKey(id)) {
            return; // answered, or out of time
        }
        if (replicas.leads()) {
            replicas.order(order, result -> orderAnswered(reply(id, result)));
        } else if (replicas.leader() == null || replicas.leader().equals(replica)
                || !peers.send(ReplicaNames.ip(replicas.leader()), new PeerMessage.OrderRequest(id, order))) {
            loop.schedule(() -> route(id, order), LEADER_WAIT_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void orderAnswered(PeerMessage.OrderReply reply) {
        Consumer<PeerMessage.OrderReply> waiting = forwarded.remove(reply.id());
        if (waiting != null) {
            waiting.accept(reply);
        }
    }

    private static PeerMessage.OrderReply reply(long id, ReplicaGroup.Answer answer) {
        int status = switch (answer.outcome()) {
            case TAKEN -> 200;
            case CONFLICT -> 412;
            case INVALID -> 400;
            case UNCLEAR -> 0;
        };
        return new PeerMessage.OrderReply(id, status, answer.text());
    }

    private static ControlHttp.Response response(PeerMessage.OrderReply reply) {
        return reply.status() == 200 ? ControlHttp.Response.ok()
                : ControlHttp.Response.error(reply.status() == 0 ? 503 : reply.status(), reply.text());
    }

    // ---- messages

    private void received(PeerLink link, PeerMessage message) {
        if (message instanceof PeerMessage.Replication replication) {
            if (replication.to().equals(replica)) {
                replicas.received(replication.from(), replication.message());
            }
        } else if (message instanceof PeerMessage.Poll poll) {
            dataPlane.poll(link, poll);
        } else if (message instanceof PeerMessage.QuotaAsk ask) {
            link.send(grant(ask));
        } else if (message instanceof PeerMessage.Sessions told) {
            sessions.received(link, told);
        } else if (message instanceof PeerMessage.SessionsAck ack) {
            sessions.acknowledged(ack.id());
        } else if (message instanceof PeerMessage.ReadIndexRequest request) {
            freshness.answer(link, request.id());
        } else if (message instanceof PeerMessage.ReadIndexReply reply) {
            freshness.answered(reply);
        } else if (message instanceof PeerMessage.OrderRequest request) {
            replicas.order(request.order(), result -> link.send(reply(request.id(), result)));
        } else if (message instanceof PeerMessage.OrderReply reply) {
            orderAnswered(reply);
        } else if (message instanceof PeerMessage.ConfigRequest request) {
            dataPlane.configuration(link, request.knownGeneration());
        } else if (message instanceof PeerMessage.DataHello hello) {
            dataPlane.hello(link, hello);
        } else if (message instanceof PeerMessage.ControlHello hello) {
            link.timing(LinkTiming.CONTROL);
            peers.introduced(link, hello, System.nanoTime());
        }
    }

    private final class GroupSurroundings implements ReplicaGroup.Surroundings {
        @Override
        public void send(String to, Message message) {
            peers.send(ReplicaNames.ip(to), new PeerMessage.Replication(replica, to, message));
        }

        @Override
        public void configurationChanged(long generation, byte[] document) {
            divideQuotas();
            dataPlane.changed();
        }
    }

    /** A connection that this node has opened to another control node. */
    private final class OutgoingListener implements PeerLink.Listener {
        private final String ip;

        OutgoingListener(String ip) {
            this.ip = ip;
        }

        @Override
        public void opened(PeerLink link) {
            link.send(new PeerMessage.ControlHello(settings.nodeName(), settings.ip(), replica, peers.known()));
            peers.outgoingOpened(ip, link);
            link.send(new PeerMessage.Sessions(0, table.records()));
        }

        @Override
        public void received(PeerLink link, PeerMessage message) {
            ControlNode.this.received(link, message);
        }

        @Override
        public void closed(PeerLink link) {
            peers.outgoingClosed(ip, link);
        }
    }

    /** A connection that another control node or a data node has opened. */
    private final class IncomingListener implements PeerLink.Listener {
        @Override
        public void opened(PeerLink link) {
            // it introduces itself first
        }

        @Override
        public void received(PeerLink link, PeerMessage message) {
            if (message instanceof PeerMessage.SessionsDigest digest) {
                ControlPeers.Peer peer = peers.find(link);
                if (peer != null) {
                    sessions.reconcile(peer.ip(), digest.digest());
                }
                return;
            }
            ControlNode.this.received(link, message);
        }

        @Override
        public void closed(PeerLink link) {
            peers.incomingClosed(link, System.nanoTime());
            dataNodes.close(link);
        }
    }
}
