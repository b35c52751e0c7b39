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
    private static final long TICK_MS = 400;
    private static final int OTHER_TICKS = 4;
    /** Past this the node asks on all connections and more often: it may not serve much longer, or not yet. */
    private static final long STALE_MS = 1_500;
    private static final long STALE_TICK_MS = 100;
    private static final long FETCH_AFTER_MS = 150;
    private static final long FORGET_MS = 30_000;
    private static final int MOST_OPEN_POLLS = 64;
    /** The first questions are answered only once the newest configuration is known: none is put twice within this time. */
    private static final long ASK_AGAIN_MS = 400;
    /**
     * Before this node counts as being in touch with the core, what was known earlier is dropped. A node counts from the
     * start of its process, which this leaves time for.
     */
    private static final long EARLIER_MARGIN_MS = 1_000;

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

    private record FreshPoint(long nanos, long generation) { }

    private final class Link implements PeerLink.Listener {
        private final String ip;
        /** When each open question was asked, on the steady clock in nanoseconds, by its number. */
        private final Map<Long, Long> polls = new TreeMap<>();
        private PeerLink link;
        private int turn;
        private long askedNanos;
        private long heardNanos = scheduler.nanoTime();

        Link(String ip) {
            this.ip = ip;
        }

        @Override
        public void opened(PeerLink opened) {
            link = opened;
            heardNanos = scheduler.nanoTime();
            polls.clear();
            opened.send(new PeerMessage.DataHello(settings.nodeName(), settings.ip(), settings.zone(),
                    registry.epoch(ip), registry.revision(ip)));
            choosePrimary();
            poll(this);
        }

        @Override
        public void received(PeerLink from, PeerMessage message) {
            heardNanos = scheduler.nanoTime();
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
    private long lastPoll;
    private FleetConfiguration configuration = new FleetConfiguration(0, null, null, null, null);
    private long generation;
    private Evacuations evacuations = Evacuations.NONE;
    private final long startedNanos;
    private long freshNanos;
    private boolean everFresh;
    private FreshPoint waitingForGeneration;
    private final int preference;

    ControlClient(Scheduler scheduler, PeerNetwork network, LocalSettings settings, ServerRegistry registry,
            PeerCodec codec, Listener listener) {
        this.scheduler = scheduler;
        startedNanos = scheduler.nanoTime();
        this.codec = codec;
        this.settings = settings;
        this.registry = registry;
        this.listener = listener;
        seeds = settings.seeds();
        preference = settings.nodeName().hashCode();
        dialer = new PeerDialer(scheduler, network, LinkTiming.DATA, address -> links.get(address.host()));
    }

    void start() {
        seeds.forEach(seed -> learn(seed.host()));
        hurryPreferred();
        scheduler.schedule(registry::dropEarlier, settings.bounds().connectedMs() - EARLIER_MARGIN_MS,
                TimeUnit.MILLISECONDS);
        tick();
    }

    /** One seed is called more often at the start: all of them by all data nodes would keep the core from starting. */
    private void hurryPreferred() {
        links.values().stream().max(Comparator.comparingInt(this::rank))
                .ifPresent(link -> dialer.hurry(new HostPort(link.ip, settings.dataPort())));
    }

    /** Takes other seeds. */
    void seeds(List<HostPort> changed) {
        seeds = changed;
        seeds.forEach(seed -> learn(seed.host()));
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

    private void learn(String ip) {
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
            if (!seed && link.link == null && now - link.heardNanos > TimeUnit.MILLISECONDS.toNanos(FORGET_MS)) {
                links.remove(link.ip);
                dialer.forget(new HostPort(link.ip, settings.dataPort()));
            } else if (++link.turn % (stale || link == primary ? 1 : OTHER_TICKS) == 0) {
                poll(link);
            }
        }
        scheduler.schedule(this::tick, stale ? STALE_TICK_MS : TICK_MS, TimeUnit.MILLISECONDS);
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
        return (link.ip.hashCode() * 31 ^ preference) * 0x9E3779B1;
    }

    private void poll(Link link) {
        long now = scheduler.nanoTime();
        boolean asked = !link.polls.isEmpty() && now - link.askedNanos < TimeUnit.MILLISECONDS.toNanos(ASK_AGAIN_MS);
        if (link.link == null || generation == 0 && asked) {
            return;
        }
        if (link.polls.size() >= MOST_OPEN_POLLS) {
            link.polls.clear();
        }
        long id = ++lastPoll;
        link.polls.put(id, now);
        link.askedNanos = now;
        link.link.send(new PeerMessage.Poll(id, generation, link == primary));
    }

    private void received(Link link, PeerMessage message) {
        if (message instanceof PeerMessage.PollReply reply) {
            polled(link, reply);
        } else if (message instanceof PeerMessage.SessionChanges changes) {
            registry.told(link.ip, changes);
        } else if (message instanceof PeerMessage.EarlierSessions earlier) {
            takeEarlier(earlier);
        } else if (message instanceof PeerMessage.EvacuationNotice notice) {
            take(notice.evacuations());
        } else if (message instanceof PeerMessage.ConfigNotice notice) {
            fetchIfMissing(link, notice.generation());
        } else if (message instanceof PeerMessage.CommittedConfig committed) {
            take(committed);
        } else if (message instanceof PeerMessage.CommittedDelta delta) {
            take(link, delta);
        } else if (message instanceof PeerMessage.QuotaAnswer answer) {
            listener.quotaAnswered(answer);
        }
    }

    private void takeEarlier(PeerMessage.EarlierSessions earlier) {
        try {
            registry.toldEarlier(codec.decode(earlier.sessions(), PeerMessage.Sessions.class).sessions());
        } catch (PeerCodec.MalformedMessageException e) {
            LOG.log(System.Logger.Level.ERROR, "earlier servers can't be read: " + e.getMessage());
        }
    }

    private void polled(Link link, PeerMessage.PollReply reply) {
        registry.polled(link.ip, reply.warming());
        reply.controlNodes().forEach(this::learn);
        fetchIfMissing(link, reply.generation());
        replicas = reply.replicas();
        listener.dataNodes(reply.dataNodes(), reply.warming());
        take(reply.evacuations()); // before the point in time up to which all is known here
        Long askedNanos = link.polls.remove(reply.id());
        if (askedNanos == null) {
            return;
        }
        if (reply.freshAgeMicros() >= 0) {
            // Counted from before the question, so that the time on the way makes the point older, never newer.
            fresh(new FreshPoint(askedNanos - TimeUnit.MICROSECONDS.toNanos(reply.freshAgeMicros()),
                    reply.generation()));
        }
    }

    private void fresh(FreshPoint point) {
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
            }, FETCH_AFTER_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** What was in force before, as a control node that lags behind tells it, is passed over. */
    private void take(Evacuations told) {
        if (told.revision() > evacuations.revision()) {
            evacuations = told;
            registry.evacuated(told.zones());
        }
    }

    private void take(PeerMessage.CommittedConfig committed) {
        if (committed.generation() <= generation) {
            return;
        }
        try {
            taken(codec.decode(committed.configuration(), FleetConfiguration.class));
        } catch (PeerCodec.MalformedMessageException e) {
            LOG.log(System.Logger.Level.ERROR, "a committed configuration can't be read: " + e.getMessage());
        }
    }

    /** A change of another generation than the one here is of no use: the whole is asked for. */
    private void take(Link link, PeerMessage.CommittedDelta committed) {
        if (committed.generation() <= generation) {
            return;
        }
        if (committed.base() != generation) {
            link.link.send(new PeerMessage.ConfigRequest(generation));
            return;
        }
        try {
            taken(codec.decode(committed.delta(), ConfigDelta.class).applyTo(configuration));
        } catch (PeerCodec.MalformedMessageException e) {
            LOG.log(System.Logger.Level.ERROR, "a change of the configuration can't be read: " + e.getMessage());
        }
    }

    private void taken(FleetConfiguration newer) {
        configuration = newer;
        generation = newer.generation();
        listener.configuration(newer);
        if (waitingForGeneration != null && waitingForGeneration.generation() <= generation) {
            FreshPoint point = waitingForGeneration;
            waitingForGeneration = null;
            fresh(point);
        }
    }
}
