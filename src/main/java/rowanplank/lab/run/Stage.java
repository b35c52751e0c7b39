package rowanplank.lab.run;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import rowanplank.lab.day.Day;
import rowanplank.lab.net.SimNetwork;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Trace;
import rowanplank.lab.world.World;

/** What all that takes part in a day shares: a ground in virtual time. */
record Stage(Day day, World world, SimNetwork network, SiteMap map, Trace trace, Map<InetAddress, Integer> nodes)
        implements Ground {
    Stage(Day day, World world, SimNetwork network, SiteMap map, Trace trace) {
        this(day, world, network, map, trace, new LinkedHashMap<>());
        for (int i = 0; i < day.nodes().count(); i++) {
            nodes.put(SiteMap.node(i), i);
        }
    }

    @Override
    public long nanos() {
        return world.nanos();
    }

    @Override
    public Instant now() {
        return world.now();
    }

    @Override
    public void at(long nanos, Runnable task) {
        world.at(nanos, task);
    }

    @Override
    public UniformRandomProvider random(String name) {
        return world.random(name);
    }

    @Override
    public ServerMachine machine(String name, int hall, int number) {
        return new SimServerMachine(network.machine(name, hall, SiteMap.server(number)));
    }

    @Override
    public int nodeAt(InetSocketAddress remote) {
        return nodes.getOrDefault(remote.getAddress(), Event.NONE);
    }
}
