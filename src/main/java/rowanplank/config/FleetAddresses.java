package rowanplank.config;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Where the nodes of a tier hear each other.
 *
 * @param listen where this node hears the others
 * @param all what is sent there comes to every node of the tier
 * @param nodes from where each node's datagrams come, in the order of their numbers, this one's included
 */
public record FleetAddresses(InetSocketAddress listen, InetSocketAddress all, List<InetSocketAddress> nodes) {
    public FleetAddresses {
        nodes = List.copyOf(nodes);
    }
}
