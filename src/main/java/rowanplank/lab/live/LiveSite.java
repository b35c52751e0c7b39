package rowanplank.lab.live;

import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import rowanplank.config.Addresses;
import rowanplank.config.ConfigException;
import rowanplank.lab.day.Day;
import rowanplank.lab.run.NodeControl;
import rowanplank.lab.run.NodeText;
import rowanplank.lab.run.ServerPark;
import rowanplank.lab.run.Timeline;
import rowanplank.lab.site.DiscoveryAgent;
import rowanplank.lab.site.Roster;
import rowanplank.lab.site.Works;
import rowanplank.lab.trace.Trace;
import rowanplank.net.Loop;
import rowanplank.net.Ports;

/**
 * A day's page servers and discovery agents on loopback. All is done on its loop's thread, that of its construction
 * included.
 *
 * <p>Bounds: {@value #MOST_PORTS} ports, of which each node takes three, and one at each page server.
 */
final class LiveSite {
    private static final int MOST_PORTS = 4000;
    private static final int OF_EACH_NODE = 3;

    private final LiveGround ground;
    private final ServerPark park;
    private final NodeText.Places places;
    private final List<DiscoveryAgent> agents = new ArrayList<>();
    private final List<UniformRandomProvider> seeds = new ArrayList<>();
    private final List<LiveProcess> agentProcesses = new ArrayList<>();

    /**
     * @param day with no fault that is not played
     * @throws ConfigException if the day needs more ports than the bound
     * @throws IOException if a port is in use
     */
    LiveSite(Day day, Works works, Loop loop, LiveClock clock, Ports ports, Trace trace) throws IOException {
        int nodes = day.nodes().count();
        long needed = (long) nodes * (day.servers().count() + OF_EACH_NODE);
        if (needed > MOST_PORTS) {
            throw new ConfigException("the day needs " + needed + " ports, and " + MOST_PORTS + " are the most");
        }
        ground = new LiveGround(day, loop, clock, ports, trace);
        try {
            places = new NodeText.Places(addresses(nodes), addresses(nodes), null);
            List<InetSocketAddress> agentAddresses = addresses(nodes);
            park = new ServerPark(ground, works);
            park.begin();
            for (int i = 0; i < nodes; i++) {
                agent(i, agentAddresses.get(i));
            }
        } catch (LiveGround.NoPort e) {
            throw (IOException) e.getCause();
        }
    }

    private List<InetSocketAddress> addresses(int count) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            addresses.add(ground.newAddress());
        }
        return addresses;
    }

    /** Each agent has a list of its own, since each node is told its own addresses of the servers. */
    private void agent(int node, InetSocketAddress address) throws IOException {
        Roster own = new Roster(ground.day().discovery().notices());
        LiveProcess process = new LiveProcess(ground);
        DiscoveryAgent agent = new DiscoveryAgent(node, own, ground.day().discovery(), process,
                ground.random("agent " + node), ground.trace());
        agent.start(address);
        park.roster().follow(c -> agent.changed(
                new Roster.Change(c.revision(), c.knownAt(), ground.as(c.entry(), node))));
        agents.add(agent);
        agentProcesses.add(process);
        seeds.add(ground.random("node " + node + " seeds"));
    }

    LiveGround ground() {
        return ground;
    }

    DiscoveryAgent agent(int node) {
        return agents.get(node);
    }

    /** Where the clients of a node connect. */
    InetSocketAddress listen(int node) {
        return places.listen().get(node);
    }

    /** Brings the day's faults from now on. */
    Timeline faults(List<? extends NodeControl> nodes) {
        Timeline timeline = new Timeline(ground, (from, to) -> {
            throw new UnsupportedOperationException("loopback has no halls");
        }, nodes, park.hosts());
        timeline.enter();
        return timeline;
    }

    /** A node's configuration as the platform writes it, with a new seed each time. @param known its last list */
    String configuration(int node, JsonObject known) {
        return NodeText.write(ground.day(), places, node, ground.hall(node), agent(node).address(),
                seeds.get(node).nextLong(), known);
    }

    /** A node's environment. @param file where its configuration is */
    Map<String, String> environment(int node, String file) {
        Map<String, String> environment = new LinkedHashMap<>();
        environment.put("EDGE_NAME", NodeText.name(node));
        environment.put("EDGE_LISTEN", Addresses.format(listen(node)));
        environment.put("EDGE_DISCOVERY", Addresses.format(agent(node).address()));
        environment.put("EDGE_CONFIG", file);
        return environment;
    }

    /** How late its timers came, in microseconds. */
    Histogram lateness() {
        return ground.lateness();
    }

    /** All ends; a server that is to start again later does not. */
    void end() {
        agents.forEach(DiscoveryAgent::end);
        agentProcesses.forEach(LiveProcess::kill);
    }
}
