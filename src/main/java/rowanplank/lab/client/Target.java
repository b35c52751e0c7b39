package rowanplank.lab.client;

import java.net.InetSocketAddress;
import java.util.List;

/** A node as its clients know it: they connect to its address in all of its lives. */
public record Target(int node, int hall, InetSocketAddress address) {
    /** The nodes that a hall's front may use: its hall's, or all where the hall has none. */
    public static List<Target> of(int hall, List<Target> all) {
        List<Target> own = all.stream().filter(t -> t.hall == hall).toList();
        return own.isEmpty() ? List.copyOf(all) : own;
    }
}
