package rowanplank.measure;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.balancer.BalancerApi.Settings;
import rowanplank.subset.Subset;

/** How many servers a node uses, and how many nodes a server: counted, since both follow from numbers and names alone. */
final class SubsetCapacity {
    /** As the decision module has it: tries that a server holds while requests are refused, and so nodes that use it. */
    private static final double WANTED = 3;

    /**
     * @param ofNode servers that a node uses: least, mean and most of all nodes
     * @param ofServer nodes that use a server: least, mean and most of all servers
     * @param ownZone part of a node's servers in its own zone
     */
    record Seen(double[] ofNode, double[] ofServer, double ownZone) { }

    private SubsetCapacity() { }

    private static Subset subset(int nodes, int node, int zone, boolean crossing, List<Server> all) {
        Subset subset = new Subset(nodes, node, zone, crossing, WANTED);
        Set<Integer> zones = new TreeSet<>();
        all.forEach(s -> zones.add(s.zone()));
        subset.updateServers(all.size(), zones);
        return subset;
    }

    /** How many of these a node with these settings uses. */
    static int used(Settings settings, List<Server> all) {
        Subset subset = subset(settings.nodes(), settings.node(), settings.zone(), settings.crossZoneCost() > 0, all);
        return (int) all.stream().filter(s -> subset.uses(s.id(), s.zone())).count();
    }

    /** @param zones among which nodes and servers stand in turn */
    static Seen count(int nodes, int servers, int zones) {
        List<Server> all = ModuleCapacity.servers(servers, zones);
        double[] ofNode = new double[nodes];
        double[] ofServer = new double[servers];
        double own = 0;
        for (int n = 0; n < nodes; n++) {
            Subset subset = subset(nodes, n, n % zones, zones > 1, all);
            for (int s = 0; s < servers; s++) {
                if (subset.uses(all.get(s).id(), all.get(s).zone())) {
                    ofNode[n]++;
                    ofServer[s]++;
                    own += all.get(s).zone() == n % zones ? 1 : 0;
                }
            }
        }
        return new Seen(spread(ofNode), spread(ofServer), own / Arrays.stream(ofNode).sum());
    }

    private static double[] spread(double[] all) {
        return new double[] {Arrays.stream(all).min().orElse(0), Arrays.stream(all).average().orElse(0),
            Arrays.stream(all).max().orElse(0)};
    }
}
