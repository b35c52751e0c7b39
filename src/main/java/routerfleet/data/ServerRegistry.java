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
 * <p>Bound: {@value #MOST_SERVERS} servers in {@value #MOST_ZONES} zones; the ends of {@value #MOST_ENDED} are remembered.
 */
final class ServerRegistry {
    private static final System.Logger LOG = Loggers.get("routerfleet.data");
    private static final int MOST_SERVERS = 20_000;
    private static final int MOST_ENDED = 20_000;
    private static final int MOST_ZONES = 256;
    private static final long ABSENT_VIEW_MS = 3_000;
    private static final long DEFAULT_HEARTBEAT_MS = 1_000;
    /** A server that has said nothing for so many heartbeats is not live any more; one that has turned cold has said so. */
    private static final double DOUBT_BEATS = 3.5;

    /** What one control node says. */
    private static final class View {
        private long epoch;
        private long revision;
        private boolean warming = true;
        private boolean connected;
        private long heardNanos;
        private final Map<String, SessionView> sessions = new HashMap<>();
        /** What it said before it was started again, until its new table has filled. */
        private final Map<String, SessionView> before = new HashMap<>();
    }

    private final Map<String, View> views = new HashMap<>();
    private final Map<String, Server> servers = new HashMap<>();
    private final Map<String, ServerPool> pools = new HashMap<>();
    private final Map<String, ZoneReach> zones = new HashMap<>();
    private final Set<String> ended = new HashSet<>();
    /** What control nodes knew before they started. */
    private final Map<String, SessionView> earlier = new HashMap<>();
    private boolean takesEarlier = true;
    private Set<String> evacuated = Set.of();
    private final long seed;
    private final LongSupplier nanoTime;
    private final String zone;
    private final long doubtMs;

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
        doubtMs = (long) (heartbeatMs * DOUBT_BEATS);
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
        View view = views.get(controlNode);
        return view == null ? 0 : view.epoch;
    }

    long revision(String controlNode) {
        View view = views.get(controlNode);
        return view == null ? 0 : view.revision;
    }

    void told(String controlNode, PeerMessage.SessionChanges changes) {
        View view = views.computeIfAbsent(controlNode, c -> new View());
        view.connected = true;
        view.heardNanos = nanoTime.getAsLong();
        if (changes.whole()) {
            if (view.epoch != changes.epoch()) {
                view.before.putAll(view.sessions);
                view.warming = true;
            }
            view.sessions.clear();
        }
        view.epoch = changes.epoch();
        view.revision = changes.revision();
        Set<String> touched = new HashSet<>();
        for (SessionView told : changes.sessions()) {
            SessionRecord session = told.session();
            touched.add(session.uid());
            if (session.phase() == SessionRecord.Phase.READY) {
                view.sessions.put(session.uid(), told);
                enter(session, told.live() && !changes.whole());
            } else {
                view.sessions.remove(session.uid());
                end(session.uid());
            }
        }
        if (changes.whole()) {
            touched.addAll(servers.keySet());
        }
        reviewAll(touched);
    }

    /** Takes what a control node knew before it started, unless more is known already. */
    void toldEarlier(List<SessionRecord> sessions) {
        if (!takesEarlier) {
            return;
        }
        Set<String> touched = new HashSet<>();
        for (SessionRecord session : sessions) {
            if (session.phase() == SessionRecord.Phase.READY && earlier.size() < MOST_SERVERS) {
                earlier.putIfAbsent(session.uid(), new SessionView(session, true));
                enter(session, false);
                touched.add(session.uid());
            }
        }
        reviewAll(touched);
    }

    /** Takes the zones that are evacuated from now on, in place of those before. */
    void evacuated(Collection<String> zones) {
        Set<String> before = evacuated;
        evacuated = Set.copyOf(zones);
        evacuated.stream().filter(z -> !before.contains(z)).forEach(z -> LOG.log(System.Logger.Level.INFO,
                "zone " + z + " is evacuated: " + count(z) + " servers there get nothing more"));
        before.stream().filter(z -> !evacuated.contains(z)).forEach(z -> LOG.log(System.Logger.Level.INFO,
                "the evacuation of zone " + z + " ends: " + count(z) + " servers there may be used"));
        long nowMs = nowMs();
        for (Server server : servers.values()) {
            if (before.contains(server.zone()) && !evacuated.contains(server.zone())) {
                server.warmth().doubt(doubtMs, nowMs);
            }
        }
        reviewAll(servers.keySet());
    }

    private long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(nanoTime.getAsLong());
    }

    private long count(String ofZone) {
        return servers.values().stream().filter(server -> server.zone().equals(ofZone)).count();
    }

    /** From now on only what control nodes know since their start counts. */
    void dropEarlier() {
        takesEarlier = false;
        if (!earlier.isEmpty()) {
            earlier.clear();
            reviewAll(servers.keySet());
        }
    }

    /** @param warming whether its table may still lack servers */
    void polled(String controlNode, boolean warming) {
        View view = views.computeIfAbsent(controlNode, c -> new View());
        view.heardNanos = nanoTime.getAsLong();
        view.connected = true;
        if (view.warming && !warming) {
            view.warming = false;
            view.before.clear();
            reviewAll(servers.keySet());
        }
        if (!warming) {
            dropEarlier();
        }
    }

    void disconnected(String controlNode) {
        View view = views.get(controlNode);
        if (view != null) {
            view.connected = false;
        }
    }

    /** Drops what long absent control nodes have said, where others are there, and servers that are done with. */
    void tick() {
        long now = nanoTime.getAsLong();
        boolean anyThere = views.values().stream().anyMatch(v -> v.connected && !v.warming);
        for (Iterator<View> i = views.values().iterator(); i.hasNext();) {
            View view = i.next();
            boolean absent = now - view.heardNanos > TimeUnit.MILLISECONDS.toNanos(ABSENT_VIEW_MS);
            if (absent && !view.connected && anyThere) {
                i.remove();
            }
        }
        reviewAll(servers.keySet());
        servers.values().removeIf(s -> !s.listed() && s.inFlight() == 0 && s.connections() == 0 && !isUsable(s.uid()));
        pools.values().removeIf(pool -> pool.size() == 0);
    }

    /** @param fresh whether its heartbeat has just come to a control node */
    private void enter(SessionRecord session, boolean fresh) {
        Server server = servers.get(session.uid());
        if (server != null) {
            server.capacity(session.capacity());
        } else if (!ended.contains(session.uid()) && servers.size() < MOST_SERVERS) {
            server = new Server(session, reach(session.zone()));
            servers.put(session.uid(), server);
        }
        if (server != null) {
            if (server.warmth().told(session.sequence(), session.warmupLeftMs(), fresh, nowMs())) {
                LOG.log(System.Logger.Level.DEBUG, "server " + session.uid() + " of " + session.backend() + " is cold for "
                        + session.warmupLeftMs() + " ms");
            }
        }
    }

    private ZoneReach reach(String ofZone) {
        return zones.size() < MOST_ZONES ? zones.computeIfAbsent(ofZone, z -> new ZoneReach())
                : zones.getOrDefault(ofZone, new ZoneReach());
    }

    /** A server answered under another name, or has said that it ends: it gets nothing more. */
    void end(String uid) {
        if (ended.size() >= MOST_ENDED) {
            ended.clear();
        }
        ended.add(uid);
        reviewAll(Set.of(uid));
    }

    private void reviewAll(Set<String> uids) {
        List.copyOf(uids).forEach(this::review);
        pools.values().forEach(ServerPool::settle);
    }

    private void review(String uid) {
        Server server = servers.get(uid);
        if (server == null) {
            return;
        }
        boolean wanted = isUsable(uid) && !evacuated.contains(server.zone());
        if (wanted && !server.listed()) {
            server.listed(true);
            pool(server.backend()).add(server);
        } else if (!wanted && server.listed()) {
            server.listed(false);
            pool(server.backend()).remove(server);
            server.closeIdle();
        }
    }

    /** Whether it may be used unless its zone is evacuated. */
    private boolean isUsable(String uid) {
        return !ended.contains(uid) && isLive(uid);
    }

    private boolean isLive(String uid) {
        if (earlier.containsKey(uid)) {
            return true;
        }
        for (View view : views.values()) {
            SessionView session = view.sessions.get(uid);
            if (session == null) {
                session = view.before.get(uid);
            }
            if (session != null && session.live()) {
                return true;
            }
        }
        return false;
    }
}
