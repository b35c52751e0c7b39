package routerfleet.data;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import routerfleet.config.ConfigDelta;
import routerfleet.config.Evacuations;
import routerfleet.config.FleetConfiguration;
import routerfleet.log.Loggers;
import routerfleet.settings.HostPort;
import routerfleet.settings.LocalSettings;
import routerfleet.wire.LinkTiming;
import routerfleet.wire.PeerCodec;
import routerfleet.wire.PeerDialer;
import routerfleet.wire.PeerLink;
import routerfleet.wire.PeerMessage;
import routerfleet.wire.PeerNetwork;
import routerfleet.wire.Scheduler;

/**
 * This node's sessions with the control nodes: a connection to each, regular questions on them, and what comes back:
 * servers, configurations, grants of tenants' limits, and up to when the configuration is known to be the newest.
 *
 * <p>One connection is the primary one, which brings configurations whole; the others tell their numbers, and are asked
 * where the primary one does not deliver.
 */
final class ControlClient {
    private static final System.Logger LOG = Loggers.get("routerfleet.data");
    /** Questions are asked on the primary connection at each tick, on the others each so many ticks. */
    private static final long POLL_INTERVAL_MS = 400;
    private static final int SECONDARY_POLL_TICKS = 4;
    /** Past this the node asks on all connections and more often: it may not serve much longer, or not yet. */
    private static final long STALE_MS = 1_500;
    private static final long STALE_POLL_INTERVAL_MS = 100;
    private static final long FETCH_DELAY_MS = 150;
    private static final long FORGET_TIMEOUT_MS = 30_000;
    private static final int MAX_OPEN_POLLS = 64;
    /** The first questions are answered only once the newest configuration is known: none is put twice within this time. */
    private static final long FIRST_POLL_INTERVAL_MS = 400;
    /**
     * Before this node counts as being in touch with the core, what was known earlier is dropped. A node counts from the
     * start of its process, which this leaves time for.
     */
    private static final long EARLIER_SESSIONS_MARGIN_MS = 1_000;

    /** Who hears what control nodes say. */
    interface Listener {
        /** A configuration newer than any before. */
        void configuration(FleetConfiguration configuration);

        /** How many data nodes there are. @param warming whether the control node that says so has only just started */
        void dataNodes(int present, boolean warming);

        /** An answer to a question about a tenant's limit. */
        void quotaAnswered(PeerMessage.QuotaAnswer answer);

        /** There is no connection to that control node any more. */
        void disconnected(String controlNode);
    }

    private record FreshnessPoint(long nanos, long generation) { }

    private final class Link implements PeerLink.Listener {
        private final String ip;
        /** When each open question was asked, on the steady clock in nanoseconds, by its number. */
        private final Map<Long, Long> openPolls = new TreeMap<>();
        private PeerLink link;
        private int ticks;
        private long lastPollNanos;
        private long lastHeardNanos = scheduler.nanoTime();

        Link(String ip) {
            this.ip = ip;
        }

        @Override
        public void opened(PeerLink opened) {
            link = opened;
            lastHeardNanos = scheduler.nanoTime();
            openPolls.clear();
            opened.send(new PeerMessage.DataHello(settings.nodeName(), settings.ip(), settings.zone(),
                    registry.epoch(ip), registry.revision(ip)));
            choosePrimary();
            poll(this);
        }

        @Override
        public void received(PeerLink from, PeerMessage message) {
            lastHeardNanos = scheduler.nanoTime();
            ControlClient.this.received(this, message);
        }

        @Override
        public void closed(PeerLink closed) {
            if (link == closed) {
                link = null;
                registry.disconnected(ip);
                choosePrimary();
                listener.disconnected(ip);
            }
        }
    }

    private final Scheduler scheduler;
    private final PeerCodec codec;
    private final LocalSettings settings;
    private final ServerRegistry registry;
    private final Listener listener;
    private final PeerDialer dialer;
    private final Map<String, Link> links = new TreeMap<>();
    private List<HostPort> seeds;
    /** Control nodes that hold replicas of the configuration shard, as last told. */
    private List<String> replicas = List.of();
    private Link primary;
    private long lastPollId;
    private FleetConfiguration configuration = new FleetConfiguration(0, null, null, null, null);
    private long generation;
    private Evacuations evacuations = Evacuations.NONE;
    private final long startedNanos;
    private long freshNanos;
    private boolean everFresh;
    private FreshnessPoint waitingForGeneration;
    private final int rankingSeed;

    ControlClient(Scheduler scheduler, PeerNetwork network, LocalSettings settings, ServerRegistry registry,
            PeerCodec codec, Listener listener) {
        this.scheduler = scheduler;
        startedNanos = scheduler.nanoTime();
        this.codec = codec;
        this.settings = settings;
        this.registry = registry;
        this.listener = listener;
        seeds = settings.seeds();
        rankingSeed = settings.nodeName().hashCode();
        dialer = new PeerDialer(scheduler, network, LinkTiming.DATA, address -> links.get(address.host()));
    }

    void start() {
        seeds.forEach(seed -> addControlNode(seed.host()));
        hurryPreferredSeed();
        scheduler.schedule(registry::dropEarlierSessions, settings.bounds().connectedMs() - EARLIER_SESSIONS_MARGIN_MS,
                TimeUnit.MILLISECONDS);
        tick();
    }

    /** One seed is called more often at the start: all of them by all data nodes would keep the core from starting. */
    private void hurryPreferredSeed() {
        links.values().stream().max(Comparator.comparingInt(this::rank))
                .ifPresent(link -> dialer.hurry(new HostPort(link.ip, settings.dataPort())));
    }

    /** Takes other seeds. */
    void seeds(List<HostPort> changed) {
        seeds = changed;
        seeds.forEach(seed -> addControlNode(seed.host()));
    }

    /** For how long the configuration has not been known to be the newest, in milliseconds. */
    long staleMs() {
        return everFresh ? TimeUnit.NANOSECONDS.toMillis(scheduler.nanoTime() - freshNanos) : Long.MAX_VALUE;
    }

    /**
     * Whether configuration and evacuations here hold all that was acknowledged before this process began. Before that is
     * known they may be any earlier ones: a replica that has just started tells what it held when it stopped, one that is
     * cut off what it held then.
     */
    boolean hasBeenFresh() {
        return everFresh && freshNanos - startedNanos >= 0;
    }

    /** Control nodes that hold replicas of the configuration shard; empty before one has been heard. */
    List<String> replicas() {
        return replicas;
    }

    /** @return whether there is a connection to that control node to send on */
    boolean send(String ip, PeerMessage message) {
        Link link = links.get(ip);
        if (link == null || link.link == null) {
            return false;
        }
        link.link.send(message);
        return true;
    }

    private void addControlNode(String ip) {
        if (!links.containsKey(ip)) {
            links.put(ip, new Link(ip));
            dialer.want(new HostPort(ip, settings.dataPort()));
        }
    }

    private void tick() {
        long now = scheduler.nanoTime();
        boolean stale = staleMs() > STALE_MS || !hasBeenFresh();
        for (Link link : List.copyOf(links.values())) {
            boolean seed = seeds.stream().anyMatch(s -> s.host().equals(link.ip));
            if (!seed && link.link == null && now - link.lastHeardNanos > TimeUnit.MILLISECONDS.toNanos(FORGET_TIMEOUT_MS)) {
                links.remove(link.ip);
                dialer.forget(new HostPort(link.ip, settings.dataPort()));
            } else if (++link.ticks % (stale || link == primary ? 1 : SECONDARY_POLL_TICKS) == 0) {
                poll(link);
            }
        }
        scheduler.schedule(this::tick, stale ? STALE_POLL_INTERVAL_MS : POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void choosePrimary() {
        if (primary != null && primary.link != null) {
            return;
        }
        primary = null;
        int best = 0;
        for (Link link : links.values()) {
            if (link.link != null && (primary == null || rank(link) > best)) {
                primary = link;
                best = rank(link);
            }
        }
    }

    /** In another order at each data node, so that they spread over the control nodes. */
    private int rank(Link link) {
        return (link.ip.hashCode() * 31 ^ rankingSeed) * 0x9E3779B1;
    }

    private void poll(Link link) {
        long now = scheduler.nanoTime();
        boolean recentlyPolled = !link.openPolls.isEmpty() && now - link.lastPollNanos < TimeUnit.MILLISECONDS.toNanos(FIRST_POLL_INTERVAL_MS);
        if (link.link == null || generation == 0 && recentlyPolled) {
            return;
        }
        if (link.openPolls.size() >= MAX_OPEN_POLLS) {
            link.openPolls.clear();
        }
        long id = ++lastPollId;
        link.openPolls.put(id, now);
        link.lastPollNanos = now;
        link.link.send(new PeerMessage.Poll(id, generation, link == primary));
    }

    private void received(Link link, PeerMessage message) {
        if (message instanceof PeerMessage.PollReply reply) {
            pollAnswered(link, reply);
        } else if (message instanceof PeerMessage.SessionChanges changes) {
            registry.applySessionChanges(link.ip, changes);
        } else if (message instanceof PeerMessage.EarlierSessions earlier) {
            applyEarlierSessions(earlier);
        } else if (message instanceof PeerMessage.EvacuationNotice notice) {
            apply(notice.evacuations());
        } else if (message instanceof PeerMessage.ConfigNotice notice) {
            fetchIfMissing(link, notice.generation());
        } else if (message instanceof PeerMessage.CommittedConfig committed) {
            apply(committed);
        } else if (message instanceof PeerMessage.CommittedDelta delta) {
            apply(link, delta);
        } else if (message instanceof PeerMessage.QuotaAnswer answer) {
            listener.quotaAnswered(answer);
        }
    }

    private void applyEarlierSessions(PeerMessage.EarlierSessions earlier) {
        try {
            registry.addEarlierSessions(codec.decode(earlier.sessions(), PeerMessage.Sessions.class).sessions());
        } catch (PeerCodec.MalformedMessageException e) {
            LOG.log(System.Logger.Level.ERROR, "earlier servers can't be read: " + e.getMessage());
        }
    }

    private void pollAnswered(Link link, PeerMessage.PollReply reply) {
        registry.pollAnswered(link.ip, reply.warming());
        reply.controlNodes().forEach(this::addControlNode);
        fetchIfMissing(link, reply.generation());
        replicas = reply.replicas();
        listener.dataNodes(reply.dataNodes(), reply.warming());
        apply(reply.evacuations()); // before the point in time up to which all is known here
        Long polledNanos = link.openPolls.remove(reply.id());
        if (polledNanos == null) {
            return;
        }
        if (reply.freshAgeMicros() >= 0) {
            // Counted from before the question, so that the time on the way makes the point older, never newer.
            updateFreshness(new FreshnessPoint(polledNanos - TimeUnit.MICROSECONDS.toNanos(reply.freshAgeMicros()),
                    reply.generation()));
        }
    }

    private void updateFreshness(FreshnessPoint point) {
        if (point.generation() > generation) {
            if (waitingForGeneration == null || point.nanos() - waitingForGeneration.nanos() > 0) {
                waitingForGeneration = point;
            }
        } else if (!everFresh || point.nanos() - freshNanos > 0) {
            freshNanos = point.nanos();
            everFresh = true;
        }
    }

    private void fetchIfMissing(Link link, long newest) {
        if (newest > generation) {
            scheduler.schedule(() -> {
                if (newest > generation && link.link != null) {
                    link.link.send(new PeerMessage.ConfigRequest(generation));
                }
            }, FETCH_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** What was in force before, as a control node that lags behind tells it, is passed over. */
    private void apply(Evacuations received) {
        if (received.revision() > evacuations.revision()) {
            evacuations = received;
            registry.setEvacuatedZones(received.zones());
        }
    }

    private void apply(PeerMessage.CommittedConfig committed) {
        if (committed.generation() <= generation) {
            return;
        }
        try {
            configurationReceived(codec.decode(committed.configuration(), FleetConfiguration.class));
        } catch (PeerCodec.MalformedMessageException e) {
            LOG.log(System.Logger.Level.ERROR, "a committed configuration can't be read: " + e.getMessage());
        }
    }

    /** A change of another generation than the one here is of no use: the whole is asked for. */
    private void apply(Link link, PeerMessage.CommittedDelta committed) {
        if (committed.generation() <= generation) {
            return;
        }
        if (committed.base() != generation) {
            link.link.send(new PeerMessage.ConfigRequest(generation));
            return;
        }
        try {
            configurationReceived(codec.decode(committed.delta(), ConfigDelta.class).applyTo(configuration));
        } catch (PeerCodec.MalformedMessageException e) {
            LOG.log(System.Logger.Level.ERROR, "a change of the configuration can't be read: " + e.getMessage());
        }
    }

    private void configurationReceived(FleetConfiguration newer) {
        configuration = newer;
        generation = newer.generation();
        listener.configuration(newer);
        if (waitingForGeneration != null && waitingForGeneration.generation() <= generation) {
            FreshnessPoint point = waitingForGeneration;
            waitingForGeneration = null;
            updateFreshness(point);
        }
    }
}
