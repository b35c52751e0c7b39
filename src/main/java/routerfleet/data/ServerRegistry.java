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
 * The servers that this node may use, merged from the sessions that each control node reports. A server is listed while at
 * least one control node reports it as live, none has reported it as draining or gone, and its zone is not evacuated. A
 * live server in an evacuated zone is kept together with its health state.
 *
 * <p>The sessions of a control node are kept while it is disconnected, unless another one with a complete table is
 * connected, and while its table is incomplete after a restart. A data node that has just started may receive sessions from
 * before the control nodes' restart. They count until a control node's table is complete, and at most until this node
 * counts as connected to the control plane: from then on, drained servers must not get any requests.
 *
 * <p>Bounds: {@value #MAX_SERVERS} servers in {@value #MAX_ZONES} zones, and {@value #MAX_ENDED} ended servers. Not
 * thread-safe; used on one event loop.
 */
final class ServerRegistry {
    private static final System.Logger LOG = Loggers.get("routerfleet.data");
    private static final int MAX_SERVERS = 20_000;
    private static final int MAX_ENDED = 20_000;
    private static final int MAX_ZONES = 256;
    private static final long ABSENT_VIEW_TIMEOUT_MS = 3_000;
    private static final long DEFAULT_HEARTBEAT_MS = 1_000;
    /**
     * A server that misses so many heartbeats is no longer live; one that is still live has reported by then if it has
     * become cold.
     */
    private static final double ASSUME_COLD_HEARTBEATS = 3.5;

    /** The sessions that one control node reports. */
    private static final class ControlNodeView {
        private long epoch;
        private long revision;
        private boolean warming = true;
        private boolean connected;
        private long lastHeardNanos;
        private final Map<String, SessionView> sessions = new HashMap<>();
        /** The sessions it reported before it was restarted, kept until its new table is complete. */
        private final Map<String, SessionView> sessionsBeforeRestart = new HashMap<>();
    }

    private final Map<String, ControlNodeView> views = new HashMap<>();
    private final Map<String, Server> servers = new HashMap<>();
    private final Map<String, ServerPool> pools = new HashMap<>();
    private final Map<String, ZoneReachability> zoneReachability = new HashMap<>();
    private final Set<String> endedServers = new HashSet<>();
    /** Sessions that control nodes knew before they were restarted. */
    private final Map<String, SessionView> earlierSessions = new HashMap<>();
    private boolean acceptsEarlierSessions = true;
    private Set<String> evacuatedZones = Set.of();
    private final long seed;
    private final LongSupplier nanoTime;
    private final String zone;
    private final long assumeColdMs;

    /**
     * Creates a registry for servers with the default heartbeat interval.
     *
     * @param nanoTime the monotonic clock in nanoseconds
     * @param zone the node's own
     */
    ServerRegistry(long seed, LongSupplier nanoTime, String zone) {
        this(seed, nanoTime, zone, DEFAULT_HEARTBEAT_MS);
    }

    /**
     * Creates an empty registry.
     *
     * @param nanoTime the monotonic clock in nanoseconds
     * @param zone the node's own
     * @param heartbeatMs interval of the servers' heartbeats, in milliseconds
     */
    ServerRegistry(long seed, LongSupplier nanoTime, String zone, long heartbeatMs) {
        assumeColdMs = (long) (heartbeatMs * ASSUME_COLD_HEARTBEATS);
        this.nanoTime = nanoTime;
        this.zone = zone;
        this.seed = seed;
    }

    /** The listed servers of a service; empty if there are none. */
    ServerPool pool(String backend) {
        return pools.computeIfAbsent(backend, b -> new ServerPool(seed ^ b.hashCode(), zone));
    }

    /** Removes what was learned for request classes that a new configuration no longer has. */
    void retainClasses(Set<String> names) {
        pools.values().forEach(pool -> pool.retainClasses(names));
    }

    /** All known servers, listed or not. */
    Iterable<Server> servers() {
        return servers.values();
    }

    /** The epoch of a control node's session table as last received; 0 for none. */
    long epoch(String controlNode) {
        ControlNodeView view = views.get(controlNode);
        return view == null ? 0 : view.epoch;
    }

    /** The revision of a control node's session table as last received; 0 for none. */
    long revision(String controlNode) {
        ControlNodeView view = views.get(controlNode);
        return view == null ? 0 : view.revision;
    }

    /** Applies changes of a control node's session table, or the full table. */
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

    /** Adds the sessions that a control node knew before it was restarted, unless a complete table has been received. */
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

    /** Replaces the set of evacuated zones. Servers of zones that are no longer evacuated are assumed to be cold. */
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

    /** Drops the sessions from before the control nodes' restart, and ignores them from now on. */
    void dropEarlierSessions() {
        acceptsEarlierSessions = false;
        if (!earlierSessions.isEmpty()) {
            earlierSessions.clear();
            updateListings(servers.keySet());
        }
    }

    /** Records that a control node has answered a poll. @param warming whether its table may still be incomplete */
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

    /** Records that the connection to a control node was lost. */
    void disconnected(String controlNode) {
        ControlNodeView view = views.get(controlNode);
        if (view != null) {
            view.connected = false;
        }
    }

    /**
     * Drops the sessions of control nodes that have been disconnected for long, if another one with a complete table is
     * connected, and removes servers and pools that are no longer used. To be called regularly.
     */
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

    /** Adds or updates a server. @param fresh whether the control node has just received the session's heartbeat */
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

    /** Stops using a server for good: it reported its end, or another instance responded at its address. */
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

    /** Whether a server may be used, evacuations aside. */
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
