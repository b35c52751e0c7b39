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
 * The other control nodes: which there are, the connections to and from them, and when each was last there. Every node
 * opens a connection to every other one and sends on it; what comes in on the others' connections is only read and
 * answered.
 */
final class ControlPeers {
    private static final int MOST_PEERS = 64;
    /** A node that was not heard of for so long is no longer called, unless it is a seed or a replica. */
    private static final long FORGET_MS = 60_000;

    /** What is known of a control node that has introduced itself. */
    record Peer(String ip, String zone, String replica, boolean leaving) { }

    private final String selfIp;
    private final int port;
    private final Map<String, PeerLink> outgoing = new TreeMap<>();
    private final Map<PeerLink, Peer> incoming = new LinkedHashMap<>();
    private final Map<String, Long> lastHeardNanos = new TreeMap<>();
    private final Set<String> known = new TreeSet<>();
    private final Map<String, String> zones = new TreeMap<>();
    private PeerDialer dialer;

    ControlPeers(String selfIp, int port) {
        this.selfIp = selfIp;
        this.port = port;
    }

    /** @param opener opens the connections */
    void start(PeerDialer opener) {
        dialer = opener;
    }

    /** Learns that a control node may be there. */
    void add(String ip, long nowNanos) {
        if (!ip.equals(selfIp) && known.size() < MOST_PEERS && known.add(ip)) {
            lastHeardNanos.putIfAbsent(ip, nowNanos);
            dialer.want(new HostPort(ip, port));
            dialer.hurry(new HostPort(ip, port));
        }
    }

    /** Gives up nodes that have been gone for long. @param kept addresses that are called whatever happens */
    void removeStale(Set<String> kept, long nowNanos) {
        for (String ip : List.copyOf(known)) {
            boolean old = nowNanos - lastHeardNanos.getOrDefault(ip, nowNanos) > TimeUnit.MILLISECONDS.toNanos(FORGET_MS);
            if (old && !kept.contains(ip) && !outgoing.containsKey(ip)) {
                known.remove(ip);
                lastHeardNanos.remove(ip);
                zones.remove(ip);
                dialer.forget(new HostPort(ip, port));
            }
        }
    }

    /** This node's own address. */
    String selfIp() {
        return selfIp;
    }

    List<String> knownAddresses() {
        List<String> all = new ArrayList<>(known);
        all.add(selfIp);
        return all;
    }

    /** The zone of another control node, as it has last told; null for one that was not heard of. */
    String zone(String ip) {
        return zones.get(ip);
    }

    /**
     * Whether control nodes stand in so many zones, as far as those that are known do.
     *
     * @param holders addresses, of which this node's may be one
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

    /** Addresses of the control nodes that are connected, this one included. */
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

    void onHello(PeerLink link, PeerMessage.ControlHello hello, long nowNanos) {
        forgetEarlierLives(hello);
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

    /** A connection of a process that has ended may be seen to close only later: it must not stand for its replica. */
    private void forgetEarlierLives(PeerMessage.ControlHello hello) {
        for (Map.Entry<PeerLink, Peer> other : List.copyOf(incoming.entrySet())) {
            if (other.getValue().ip().equals(hello.ip())) {
                incoming.remove(other.getKey());
                other.getKey().close();
            }
        }
    }

    /** A node has said that it is about to stop; so until its connection ends, which is before it comes back. */
    void markLeaving(PeerLink link) {
        incoming.computeIfPresent(link, (l, peer) -> new Peer(peer.ip(), peer.zone(), peer.replica(), true));
    }

    void incomingClosed(PeerLink link, long nowNanos) {
        Peer peer = incoming.remove(link);
        if (peer != null) {
            lastHeardNanos.put(peer.ip(), nowNanos);
        }
    }

    /** Who has opened a connection; null where it has not introduced itself as a control node. */
    Peer peerOf(PeerLink link) {
        return incoming.get(link);
    }

    /**
     * Which control nodes have a connection to this one.
     *
     * @param selfZone this node's own zone
     * @param holdsAll whether a replica holds all that is decided
     */
    ReplicaPlanner.ClusterView clusterView(String selfZone, long nowNanos, Predicate<String> holdsAll) {
        return new ReplicaPlanner.ClusterView() {
            @Override
            public List<String> connectedReplicas() {
                return incoming.values().stream().map(Peer::replica).toList();
            }

            @Override
            public boolean isCaughtUp(String replica) {
                return holdsAll.test(replica);
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
                return ControlPeers.this.absentMs(ip, nowNanos);
            }
        };
    }

    private long absentMs(String ip, long nowNanos) {
        for (Peer peer : incoming.values()) {
            if (peer.ip().equals(ip)) {
                return 0;
            }
        }
        Long heard = lastHeardNanos.get(ip);
        return heard == null ? 0 : TimeUnit.NANOSECONDS.toMillis(nowNanos - heard);
    }

    /** @return whether there is a connection to send on */
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

    /** Whether a connected control node is none of these replicas, and so may take the place of one. */
    boolean hasLearner(List<String> replicas) {
        return incoming.values().stream().anyMatch(peer -> !replicas.contains(peer.replica()));
    }

}
