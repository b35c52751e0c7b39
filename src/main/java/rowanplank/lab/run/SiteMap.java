package rowanplank.lab.run;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.stream.IntStream;
import rowanplank.lab.day.Day;
import rowanplank.lab.net.SimNetwork;

/** Where everything in a day is: addresses and halls, by number. */
final class SiteMap {
    static final InetSocketAddress ALL_PEERS = new InetSocketAddress(SimNetwork.ip(10, 9, 255, 1), 7946);
    private static final int PORT = 7070;
    private static final int PEER_PORT = 7946;
    private static final int FLEET_PORT = 7947;
    private static final int AGENT_PORT = 8500;
    private static final int NODES = 1;
    private static final int SERVERS = 2;
    private static final int CLIENTS = 3;
    private static final int LOW = 250;

    private final Day day;

    SiteMap(Day day) {
        this.day = day;
    }

    /** The hall of the node or server of this number: they follow each other in turn. */
    int hall(int number) {
        return number % day.halls().size();
    }

    static InetAddress node(int node) {
        return ip(NODES, node);
    }

    static InetSocketAddress listen(int node) {
        return new InetSocketAddress(node(node), PORT);
    }

    static InetSocketAddress peer(int node) {
        return new InetSocketAddress(node(node), PEER_PORT);
    }

    static InetSocketAddress fleet(int node) {
        return new InetSocketAddress(node(node), FLEET_PORT);
    }

    static NodeText.Places places(int nodes) {
        return new NodeText.Places(IntStream.range(0, nodes).mapToObj(SiteMap::listen).toList(),
                IntStream.range(0, nodes).mapToObj(SiteMap::peer).toList(), ALL_PEERS);
    }

    /** @param moves how often the agent has moved */
    static InetSocketAddress agent(int node, int moves) {
        return new InetSocketAddress(node(node), AGENT_PORT + moves);
    }

    /** @param machine counts all machines that servers ever had */
    static InetAddress server(int machine) {
        return ip(SERVERS, machine);
    }

    static InetSocketAddress served(InetAddress server) {
        return new InetSocketAddress(server, PORT);
    }

    /** The machine of a hall's clients; that of the bad ones comes after the last hall's. */
    static InetAddress clients(int hall) {
        return ip(CLIENTS, hall);
    }

    /** Ten million of each kind have a place. */
    private static InetAddress ip(int kind, int number) {
        return SimNetwork.ip(10, 16 * kind + number / (LOW * LOW), number / LOW % LOW, 1 + number % LOW);
    }
}
