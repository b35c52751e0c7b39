package routerfleet.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import routerfleet.settings.HostPort;
import routerfleet.wire.PeerDialer;
import routerfleet.wire.PeerLink;
import routerfleet.wire.PeerMessage;

/**
 * The other control nodes: their addresses, the connections to and from them, and when each was last connected. Every node
 * opens a connection to every other one and sends on it; on incoming connections it only reads messages and replies to
 * them.
 */
final class ControlPeers {
    private static final int MAX_PEERS = 64;
    /** A node that has been disconnected for this long is no longer dialed, unless it is a seed or a replica. */
    private static final long STALE_MS = 60_000;

    /** What a control node has announced about itself in its hello message. */
    record Peer(String ip, String zone, String replica, boolean leaving) { }

    private final String selfIp;
    private final int port;
    private final Map<String, PeerLink> outgoing = new TreeMap<>();
    private final Map<PeerLink, Peer> incoming = new LinkedHashMap<>();
    /** When a node was added, or its last incoming connection closed, whichever is later. */
    private final Map<String, Long> lastHeardNanos = new TreeMap<>();
    private final Set<String> known = new TreeSet<>();
    private final Map<String, String> zones = new TreeMap<>();
    private PeerDialer dialer;

    ControlPeers(String selfIp, int port) {
        this.selfIp = selfIp;
        this.port = port;
    }

    /** @param peerDialer opens the outgoing connections */
    void start(PeerDialer peerDialer) {
        dialer = peerDialer;
    }

    /** Adds the address of a control node and starts dialing it; ignored beyond {@value #MAX_PEERS} nodes. */
    void add(String ip, long nowNanos) {
        if (!ip.equals(selfIp) && known.size() < MAX_PEERS && known.add(ip)) {
            lastHeardNanos.putIfAbsent(ip, nowNanos);
            dialer.want(new HostPort(ip, port));
            dialer.hurry(new HostPort(ip, port));
        }
    }

    /** Removes nodes that have been disconnected for too long. @param retained addresses that are never removed */
    void removeStale(Set<String> retained, long nowNanos) {
        for (String ip : List.copyOf(known)) {
            boolean old = nowNanos - lastHeardNanos.getOrDefault(ip, nowNanos) > TimeUnit.MILLISECONDS.toNanos(STALE_MS);
            if (old && !retained.contains(ip) && !outgoing.containsKey(ip)) {
                known.remove(ip);
                lastHeardNanos.remove(ip);
                zones.remove(ip);
                dialer.forget(new HostPort(ip, port));
            }
        }
    }

    /** This node's own IP address. */
    String selfIp() {
        return selfIp;
    }

    /** Addresses of all known control nodes, connected or not, this one included. */
    List<String> knownAddresses() {
        List<String> all = new ArrayList<>(known);
        all.add(selfIp);
        return all;
    }

    /** The zone that another control node last announced; null if it never has. */
    String zone(String ip) {
        return zones.get(ip);
    }

    /**
     * Whether the given control nodes cover the wanted number of zones, or all zones if fewer are known. If the zone of any
     * known node is unknown, one more zone is assumed to exist.
     *
     * @param holders addresses of control nodes, possibly including this one
     * @param selfZone this node's own zone
     */
    boolean spanZones(Set<String> holders, String selfZone, int zonesWanted) {
        Set<String> all = new TreeSet<>(zones.values());
        all.add(selfZone);
        Set<String> held = new TreeSet<>();
        holders.stream().map(ip -> ip.equals(selfIp) ? selfZone : zones.get(ip)).filter(Objects::nonNull)
                .forEach(held::add);
        int unknown = zones.keySet().containsAll(known) ? 0 : 1;
        return held.size() >= Math.min(zonesWanted, all.size() + unknown);
    }

    /** Addresses of the control nodes with an open outgoing connection, and of this one. */
    List<String> connectedAddresses() {
        List<String> all = new ArrayList<>(outgoing.keySet());
        all.add(selfIp);
        return all;
    }

    void outgoingOpened(String ip, PeerLink link) {
        outgoing.put(ip, link);
    }

    void outgoingClosed(String ip, PeerLink link) {
        outgoing.remove(ip, link);
    }

    /** Registers an incoming connection by the hello message of its control node, and adds the nodes that it lists. */
    void onHello(PeerLink link, PeerMessage.ControlHello hello, long nowNanos) {
        closeEarlierConnections(hello);
        incoming.put(link, new Peer(hello.ip(), hello.zone(), hello.replica(), false));
        add(hello.ip(), nowNanos);
        if (known.contains(hello.ip())) {
            zones.put(hello.ip(), hello.zone());
        }
        hello.controlNodes().forEach(ip -> add(ip, nowNanos));
        dialer.callNow(new HostPort(hello.ip(), port));
    }

    /** Addresses of the other control nodes with connections in both directions. */
    Set<String> connectedBothWays() {
        Set<String> both = new TreeSet<>();
        incoming.values().forEach(peer -> both.add(peer.ip()));
        both.retainAll(outgoing.keySet());
        return both;
    }

    /**
     * Closes older connections from the same address. The end of a connection may be noticed only after the process behind
     * it has been restarted, and such a connection must not count as a connected replica.
     */
    private void closeEarlierConnections(PeerMessage.ControlHello hello) {
        for (Map.Entry<PeerLink, Peer> other : List.copyOf(incoming.entrySet())) {
            if (other.getValue().ip().equals(hello.ip())) {
                incoming.remove(other.getKey());
                other.getKey().close();
            }
        }
    }

    /**
     * Records that a node has announced its shutdown. The mark lasts until its connection closes, which happens before the
     * node returns.
     */
    void markLeaving(PeerLink link) {
        incoming.computeIfPresent(link, (l, peer) -> new Peer(peer.ip(), peer.zone(), peer.replica(), true));
    }

    void incomingClosed(PeerLink link, long nowNanos) {
        Peer peer = incoming.remove(link);
        if (peer != null) {
            lastHeardNanos.put(peer.ip(), nowNanos);
        }
    }

    /** The control node that opened a connection; null if no hello message of a control node has arrived on it. */
    Peer peerOf(PeerLink link) {
        return incoming.get(link);
    }

    /**
     * The connected control nodes, as input for planning the replica group.
     *
     * @param selfZone this node's own zone
     * @param caughtUp whether a replica has all committed entries
     */
    ReplicaPlanner.ClusterView clusterView(String selfZone, long nowNanos, Predicate<String> caughtUp) {
        return new ReplicaPlanner.ClusterView() {
            @Override
            public List<String> connectedReplicas() {
                return incoming.values().stream().map(Peer::replica).toList();
            }

            @Override
            public boolean isCaughtUp(String replica) {
                return caughtUp.test(replica);
            }

            @Override
            public boolean isLeaving(String replica) {
                return incoming.values().stream().anyMatch(p -> p.leaving() && p.replica().equals(replica));
            }

            @Override
            public String zone(String ip) {
                return ip.equals(selfIp) ? selfZone : zones.get(ip);
            }

            @Override
            public long disconnectedMs(String ip) {
                return ControlPeers.this.disconnectedMs(ip, nowNanos);
            }
        };
    }

    private long disconnectedMs(String ip, long nowNanos) {
        for (Peer peer : incoming.values()) {
            if (peer.ip().equals(ip)) {
                return 0;
            }
        }
        Long heard = lastHeardNanos.get(ip);
        return heard == null ? 0 : TimeUnit.NANOSECONDS.toMillis(nowNanos - heard);
    }

    /** Sends a message to a control node. @return false if there is no outgoing connection to it */
    boolean send(String ip, PeerMessage message) {
        PeerLink link = outgoing.get(ip);
        if (link == null) {
            return false;
        }
        link.send(message);
        return true;
    }

    void sendToAll(PeerMessage message) {
        outgoing.values().forEach(link -> link.send(message));
    }

    /** Whether a connected control node is not among these replicas and could therefore replace one of them. */
    boolean hasLearner(List<String> replicas) {
        return incoming.values().stream().anyMatch(peer -> !replicas.contains(peer.replica()));
    }

}
