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
 * The data node's client of the control plane. It keeps a connection to each control node, polls them at regular intervals
 * and passes on what they send: servers, configurations, evacuated zones, and answers to quota requests. It also tracks the
 * point in time up to which the local configuration is known to be the newest.
 *
 * <p>Configurations are pushed on one connection, the primary; on the others, control nodes only announce generation
 * numbers, and a configuration is requested there if the primary does not deliver it. Not thread-safe; used on the
 * scheduler's thread.
 */
final class ControlClient {
    private static final System.Logger LOG = Loggers.get("routerfleet.data");
    /** Interval between polls on the primary connection. */
    private static final long POLL_INTERVAL_MS = 400;
    /** The other connections are polled every so many intervals. */
    private static final int SECONDARY_POLL_TICKS = 4;
    /** Staleness above which all connections are polled, at a shorter interval: the node may soon have to stop serving. */
    private static final long STALE_MS = 1_500;
    private static final long STALE_POLL_INTERVAL_MS = 100;
    /** How long to wait for the primary connection to deliver a new configuration before it is requested. */
    private static final long FETCH_DELAY_MS = 150;
    /** After this time without a connection, a control node that is not a seed is no longer dialled. */
    private static final long FORGET_TIMEOUT_MS = 30_000;
    private static final int MAX_OPEN_POLLS = 64;
    /**
     * Minimum interval between polls of a control node before the first configuration: control nodes delay the answers to
     * these polls until they know the newest configuration.
     */
    private static final long FIRST_POLL_INTERVAL_MS = 400;
    /**
     * How long before the end of the connection period ({@code connectedMs}) the sessions from before the control nodes'
     * restart are dropped. The period is counted from the start of the process; the margin allows for the start itself.
     */
    private static final long EARLIER_SESSIONS_MARGIN_MS = 1_000;

    /** Receives what control nodes send. */
    interface Listener {
        /** Called with each configuration that is newer than all before. */
        void configuration(FleetConfiguration configuration);

        /**
         * Called with the number of data nodes that a control node reports.
         *
         * @param present how many data nodes the control node has heard from recently
         * @param warming whether the control node has started so recently that it may not know all of them
         */
        void dataNodes(int present, boolean warming);

        /** Called with the answer to a quota request. */
        void quotaAnswered(PeerMessage.QuotaAnswer answer);

        /** Called when the connection to a control node is lost. */
        void disconnected(String controlNode);
    }

    /** At the time {@code nanos}, {@code generation} was the newest configuration. */
    private record FreshnessPoint(long nanos, long generation) { }

    /** The connection to one control node, with its open polls. */
    private final class Link implements PeerLink.Listener {
        private final String ip;
        /** When each open poll was sent, by poll id, on the monotonic clock in nanoseconds. */
        private final Map<Long, Long> openPolls = new TreeMap<>();
        private PeerLink peerLink;
        private int ticks;
        private long lastPollNanos;
        private long lastHeardNanos = scheduler.nanoTime();

        Link(String ip) {
            this.ip = ip;
        }

        @Override
        public void opened(PeerLink opened) {
            peerLink = opened;
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
            if (peerLink == closed) {
                peerLink = null;
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
    /** Control nodes that hold replicas of the configuration shard, as last reported. */
    private List<String> replicas = List.of();
    private Link primary;
    private long lastPollId;
    private FleetConfiguration configuration = new FleetConfiguration(0, null, null, null, null);
    private long generation;
    private Evacuations evacuations = Evacuations.NONE;
    private final long startedNanos;
    /** When the local configuration was last known to be the newest, if {@code everFresh}. */
    private long freshNanos;
    private boolean everFresh;
    /** The latest point for a generation that has not been received yet; null for none. */
    private FreshnessPoint pendingFreshness;
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

    /** Starts to dial the seeds and to poll. */
    void start() {
        seeds.forEach(seed -> addControlNode(seed.host()));
        hurryPreferredSeed();
        scheduler.schedule(registry::dropEarlierSessions, settings.bounds().connectedMs() - EARLIER_SESSIONS_MARGIN_MS,
                TimeUnit.MILLISECONDS);
        tick();
    }

    /**
     * Redials one seed at short intervals during startup. If all data nodes did so to all seeds, the load would keep the
     * control nodes from starting.
     */
    private void hurryPreferredSeed() {
        links.values().stream().max(Comparator.comparingInt(this::rank))
                .ifPresent(link -> dialer.hurry(new HostPort(link.ip, settings.dataPort())));
    }

    /** Replaces the seed addresses. */
    void seeds(List<HostPort> changed) {
        seeds = changed;
        seeds.forEach(seed -> addControlNode(seed.host()));
    }

    /**
     * Time since the configuration was last known to be the newest, in milliseconds; {@link Long#MAX_VALUE} before the
     * first time.
     */
    long staleMs() {
        return everFresh ? TimeUnit.NANOSECONDS.toMillis(scheduler.nanoTime() - freshNanos) : Long.MAX_VALUE;
    }

    /**
     * Whether the local configuration and evacuations include all changes that were acknowledged before this process
     * started. Until this is known they may be arbitrarily old: a replica that has just restarted sends what it had when it
     * stopped, and one that is cut off by a network partition sends what it had when the partition began.
     */
    boolean hasBeenFresh() {
        return everFresh && freshNanos - startedNanos >= 0;
    }

    /** Addresses of the control nodes that hold replicas of the configuration shard; empty before the first poll answer. */
    List<String> replicas() {
        return replicas;
    }

    /** Sends a message to a control node. @return false if there is no connection to it */
    boolean send(String ip, PeerMessage message) {
        Link link = links.get(ip);
        if (link == null || link.peerLink == null) {
            return false;
        }
        link.peerLink.send(message);
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
            if (!seed && link.peerLink == null
                    && now - link.lastHeardNanos > TimeUnit.MILLISECONDS.toNanos(FORGET_TIMEOUT_MS)) {
                links.remove(link.ip);
                dialer.forget(new HostPort(link.ip, settings.dataPort()));
            } else if (++link.ticks % (stale || link == primary ? 1 : SECONDARY_POLL_TICKS) == 0) {
                poll(link);
            }
        }
        scheduler.schedule(this::tick, stale ? STALE_POLL_INTERVAL_MS : POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void choosePrimary() {
        if (primary != null && primary.peerLink != null) {
            return;
        }
        primary = null;
        int best = 0;
        for (Link link : links.values()) {
            if (link.peerLink != null && (primary == null || rank(link) > best)) {
                primary = link;
                best = rank(link);
            }
        }
    }

    /** Ranks control nodes in a different order on each data node, so that data nodes spread over the control nodes. */
    private int rank(Link link) {
        return (link.ip.hashCode() * 31 ^ rankingSeed) * 0x9E3779B1;
    }

    private void poll(Link link) {
        long now = scheduler.nanoTime();
        boolean recentlyPolled = !link.openPolls.isEmpty()
                && now - link.lastPollNanos < TimeUnit.MILLISECONDS.toNanos(FIRST_POLL_INTERVAL_MS);
        if (link.peerLink == null || generation == 0 && recentlyPolled) {
            return;
        }
        if (link.openPolls.size() >= MAX_OPEN_POLLS) {
            link.openPolls.clear();
        }
        long id = ++lastPollId;
        link.openPolls.put(id, now);
        link.lastPollNanos = now;
        link.peerLink.send(new PeerMessage.Poll(id, generation, link == primary));
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
            LOG.log(System.Logger.Level.ERROR, "can't decode earlier sessions: " + e.getMessage());
        }
    }

    private void pollAnswered(Link link, PeerMessage.PollReply reply) {
        registry.pollAnswered(link.ip, reply.warming());
        reply.controlNodes().forEach(this::addControlNode);
        fetchIfMissing(link, reply.generation());
        replicas = reply.replicas();
        listener.dataNodes(reply.dataNodes(), reply.warming());
        apply(reply.evacuations()); // before the freshness is updated, which covers evacuations as well
        Long polledNanos = link.openPolls.remove(reply.id());
        if (polledNanos == null) {
            return;
        }
        if (reply.freshAgeMicros() >= 0) {
            // Counted from the sending of the poll, so that network delay makes the point older, never newer.
            updateFreshness(new FreshnessPoint(polledNanos - TimeUnit.MICROSECONDS.toNanos(reply.freshAgeMicros()),
                    reply.generation()));
        }
    }

    /** Records a point in time, at once or when the configuration that it refers to has been received. */
    private void updateFreshness(FreshnessPoint point) {
        if (point.generation() > generation) {
            if (pendingFreshness == null || point.nanos() - pendingFreshness.nanos() > 0) {
                pendingFreshness = point;
            }
        } else if (!everFresh || point.nanos() - freshNanos > 0) {
            freshNanos = point.nanos();
            everFresh = true;
        }
    }

    private void fetchIfMissing(Link link, long newest) {
        if (newest > generation) {
            scheduler.schedule(() -> {
                if (newest > generation && link.peerLink != null) {
                    link.peerLink.send(new PeerMessage.ConfigRequest(generation));
                }
            }, FETCH_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Applies evacuations unless they are older than the known ones, as a control node that lags behind sends them. */
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
            LOG.log(System.Logger.Level.ERROR, "can't decode a committed configuration: " + e.getMessage());
        }
    }

    /** Applies a delta to the local configuration; if its base is another generation, requests the full configuration. */
    private void apply(Link link, PeerMessage.CommittedDelta committed) {
        if (committed.generation() <= generation) {
            return;
        }
        if (committed.base() != generation) {
            link.peerLink.send(new PeerMessage.ConfigRequest(generation));
            return;
        }
        try {
            configurationReceived(codec.decode(committed.delta(), ConfigDelta.class).applyTo(configuration));
        } catch (PeerCodec.MalformedMessageException e) {
            LOG.log(System.Logger.Level.ERROR, "can't decode a configuration delta: " + e.getMessage());
        }
    }

    private void configurationReceived(FleetConfiguration newer) {
        configuration = newer;
        generation = newer.generation();
        listener.configuration(newer);
        if (pendingFreshness != null && pendingFreshness.generation() <= generation) {
            FreshnessPoint point = pendingFreshness;
            pendingFreshness = null;
            updateFreshness(point);
        }
    }
}
