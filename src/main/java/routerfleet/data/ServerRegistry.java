package routerfleet.data;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import routerfleet.log.Loggers;
import routerfleet.wire.PeerMessage;
import routerfleet.wire.SessionRecord;
import routerfleet.wire.SessionView;

/**
 * The servers that this node may use, put together from what each control node says. A server is listed while at least
 * one control node has it live, none has told that it drains or is gone, and its zone is not evacuated. One that is live in
 * an evacuated zone is kept, with what is known of its health. What a control node said stays while it
 * cannot be reached, and while its table fills after a start, if there is no other that says more. A node that has just
 * started may be told what control nodes knew before their own start: that counts until a table has filled, and at the most
 * until this node counts as being in touch with the core, from when on drained servers get nothing more.
 *
 * <p>Bound: {@value #MAX_SERVERS} servers in {@value #MAX_ZONES} zones; the ends of {@value #MAX_ENDED} are remembered.
 */
final class ServerRegistry {
    private static final System.Logger LOG = Loggers.get("routerfleet.data");
    private static final int MAX_SERVERS = 20_000;
    private static final int MAX_ENDED = 20_000;
    private static final int MAX_ZONES = 256;
    private static final long ABSENT_VIEW_TIMEOUT_MS = 3_000;
    private static final long DEFAULT_HEARTBEAT_MS = 1_000;
    /** A server that has said nothing for so many heartbeats is not live any more; one that has turned cold has said so. */
    private static final double ASSUME_COLD_HEARTBEATS = 3.5;

    /** What one control node says. */
    private static final class ControlNodeView {
        private long epoch;
        private long revision;
        private boolean warming = true;
        private boolean connected;
        private long lastHeardNanos;
        private final Map<String, SessionView> sessions = new HashMap<>();
        /** What it said before it was started again, until its new table has filled. */
        private final Map<String, SessionView> sessionsBeforeRestart = new HashMap<>();
    }

    private final Map<String, ControlNodeView> views = new HashMap<>();
    private final Map<String, Server> servers = new HashMap<>();
    private final Map<String, ServerPool> pools = new HashMap<>();
    private final Map<String, ZoneReachability> zoneReachability = new HashMap<>();
    private final Set<String> endedServers = new HashSet<>();
    /** What control nodes knew before they started. */
    private final Map<String, SessionView> earlierSessions = new HashMap<>();
    private boolean acceptsEarlierSessions = true;
    private Set<String> evacuatedZones = Set.of();
    private final long seed;
    private final LongSupplier nanoTime;
    private final String zone;
    private final long assumeColdMs;

    /**
     * @param nanoTime the steady clock in nanoseconds
     * @param zone the node's own
     */
    ServerRegistry(long seed, LongSupplier nanoTime, String zone) {
        this(seed, nanoTime, zone, DEFAULT_HEARTBEAT_MS);
    }

    /**
     * @param nanoTime the steady clock in nanoseconds
     * @param zone the node's own
     * @param heartbeatMs how often a server sends its heartbeat
     */
    ServerRegistry(long seed, LongSupplier nanoTime, String zone, long heartbeatMs) {
        assumeColdMs = (long) (heartbeatMs * ASSUME_COLD_HEARTBEATS);
        this.nanoTime = nanoTime;
        this.zone = zone;
        this.seed = seed;
    }

    /** The listed servers of a service; empty where there are none. */
    ServerPool pool(String backend) {
        return pools.computeIfAbsent(backend, b -> new ServerPool(seed ^ b.hashCode(), zone));
    }

    /** Takes the classes of requests of a new configuration. */
    void retainClasses(Set<String> names) {
        pools.values().forEach(pool -> pool.retainClasses(names));
    }

    /** Servers, listed or not, that this node still knows. */
    Iterable<Server> servers() {
        return servers.values();
    }

    long epoch(String controlNode) {
        ControlNodeView view = views.get(controlNode);
        return view == null ? 0 : view.epoch;
    }

    long revision(String controlNode) {
        ControlNodeView view = views.get(controlNode);
        return view == null ? 0 : view.revision;
    }

    void applySessionChanges(String controlNode, PeerMessage.SessionChanges changes) {
        ControlNodeView view = views.computeIfAbsent(controlNode, c -> new ControlNodeView());
        view.connected = true;
        view.lastHeardNanos = nanoTime.getAsLong();
        if (changes.whole()) {
            if (view.epoch != changes.epoch()) {
                view.sessionsBeforeRestart.putAll(view.sessions);
                view.warming = true;
            }
            view.sessions.clear();
        }
        view.epoch = changes.epoch();
        view.revision = changes.revision();
        Set<String> affected = new HashSet<>();
        for (SessionView changed : changes.sessions()) {
            SessionRecord session = changed.session();
            affected.add(session.uid());
            if (session.phase() == SessionRecord.Phase.READY) {
                view.sessions.put(session.uid(), changed);
                addOrUpdate(session, changed.live() && !changes.whole());
            } else {
                view.sessions.remove(session.uid());
                markEnded(session.uid());
            }
        }
        if (changes.whole()) {
            affected.addAll(servers.keySet());
        }
        updateListings(affected);
    }

    /** Takes what a control node knew before it started, unless more is known already. */
    void addEarlierSessions(List<SessionRecord> sessions) {
        if (!acceptsEarlierSessions) {
            return;
        }
        Set<String> affected = new HashSet<>();
        for (SessionRecord session : sessions) {
            if (session.phase() == SessionRecord.Phase.READY && earlierSessions.size() < MAX_SERVERS) {
                earlierSessions.putIfAbsent(session.uid(), new SessionView(session, true));
                addOrUpdate(session, false);
                affected.add(session.uid());
            }
        }
        updateListings(affected);
    }

    /** Takes the zones that are evacuated from now on, in place of those before. */
    void setEvacuatedZones(Collection<String> zones) {
        Set<String> before = evacuatedZones;
        evacuatedZones = Set.copyOf(zones);
        evacuatedZones.stream().filter(z -> !before.contains(z)).forEach(z -> LOG.log(System.Logger.Level.INFO,
                "zone " + z + " is evacuated: " + countServers(z) + " servers there get nothing more"));
        before.stream().filter(z -> !evacuatedZones.contains(z)).forEach(z -> LOG.log(System.Logger.Level.INFO,
                "the evacuation of zone " + z + " ends: " + countServers(z) + " servers there may be used"));
        long nowMs = nowMs();
        for (Server server : servers.values()) {
            if (before.contains(server.zone()) && !evacuatedZones.contains(server.zone())) {
                server.warmupState().assumeCold(assumeColdMs, nowMs);
            }
        }
        updateListings(servers.keySet());
    }

    private long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(nanoTime.getAsLong());
    }

    private long countServers(String ofZone) {
        return servers.values().stream().filter(server -> server.zone().equals(ofZone)).count();
    }

    /** From now on only what control nodes know since their start counts. */
    void dropEarlierSessions() {
        acceptsEarlierSessions = false;
        if (!earlierSessions.isEmpty()) {
            earlierSessions.clear();
            updateListings(servers.keySet());
        }
    }

    /** @param warming whether its table may still lack servers */
    void pollAnswered(String controlNode, boolean warming) {
        ControlNodeView view = views.computeIfAbsent(controlNode, c -> new ControlNodeView());
        view.lastHeardNanos = nanoTime.getAsLong();
        view.connected = true;
        if (view.warming && !warming) {
            view.warming = false;
            view.sessionsBeforeRestart.clear();
            updateListings(servers.keySet());
        }
        if (!warming) {
            dropEarlierSessions();
        }
    }

    void disconnected(String controlNode) {
        ControlNodeView view = views.get(controlNode);
        if (view != null) {
            view.connected = false;
        }
    }

    /** Drops what long absent control nodes have said, where others are there, and servers that are done with. */
    void removeStale() {
        long now = nanoTime.getAsLong();
        boolean anyConnected = views.values().stream().anyMatch(v -> v.connected && !v.warming);
        for (Iterator<ControlNodeView> i = views.values().iterator(); i.hasNext();) {
            ControlNodeView view = i.next();
            boolean absent = now - view.lastHeardNanos > TimeUnit.MILLISECONDS.toNanos(ABSENT_VIEW_TIMEOUT_MS);
            if (absent && !view.connected && anyConnected) {
                i.remove();
            }
        }
        updateListings(servers.keySet());
        servers.values().removeIf(s -> !s.listed() && s.inFlight() == 0 && s.connections() == 0 && !isUsable(s.uid()));
        pools.values().removeIf(pool -> pool.size() == 0);
    }

    /** @param fresh whether its heartbeat has just come to a control node */
    private void addOrUpdate(SessionRecord session, boolean fresh) {
        Server server = servers.get(session.uid());
        if (server != null) {
            server.capacity(session.capacity());
        } else if (!endedServers.contains(session.uid()) && servers.size() < MAX_SERVERS) {
            server = new Server(session, reachabilityOf(session.zone()));
            servers.put(session.uid(), server);
        }
        if (server != null) {
            if (server.warmupState().heartbeatReported(session.sequence(), session.warmupLeftMs(), fresh, nowMs())) {
                LOG.log(System.Logger.Level.DEBUG, "server " + session.uid() + " of " + session.backend() + " is cold for "
                        + session.warmupLeftMs() + " ms");
            }
        }
    }

    private ZoneReachability reachabilityOf(String ofZone) {
        return zoneReachability.size() < MAX_ZONES ? zoneReachability.computeIfAbsent(ofZone, z -> new ZoneReachability())
                : zoneReachability.getOrDefault(ofZone, new ZoneReachability());
    }

    /** A server answered under another name, or has said that it ends: it gets nothing more. */
    void markEnded(String uid) {
        if (endedServers.size() >= MAX_ENDED) {
            endedServers.clear();
        }
        endedServers.add(uid);
        updateListings(Set.of(uid));
    }

    private void updateListings(Set<String> uids) {
        List.copyOf(uids).forEach(this::updateListing);
        pools.values().forEach(ServerPool::applyMembership);
    }

    private void updateListing(String uid) {
        Server server = servers.get(uid);
        if (server == null) {
            return;
        }
        boolean wanted = isUsable(uid) && !evacuatedZones.contains(server.zone());
        if (wanted && !server.listed()) {
            server.listed(true);
            pool(server.backend()).add(server);
        } else if (!wanted && server.listed()) {
            server.listed(false);
            pool(server.backend()).remove(server);
            server.closeIdleConnections();
        }
    }

    /** Whether it may be used unless its zone is evacuated. */
    private boolean isUsable(String uid) {
        return !endedServers.contains(uid) && isLive(uid);
    }

    private boolean isLive(String uid) {
        if (earlierSessions.containsKey(uid)) {
            return true;
        }
        for (ControlNodeView view : views.values()) {
            SessionView session = view.sessions.get(uid);
            if (session == null) {
                session = view.sessionsBeforeRestart.get(uid);
            }
            if (session != null && session.live()) {
                return true;
            }
        }
        return false;
    }
}
