package rowanplank.lab.run;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rowanplank.config.FleetConfig;
import rowanplank.fleet.FleetComponents;
import rowanplank.fleet.FleetNode;
import rowanplank.fleet.wire.VoterFileCodec;
import rowanplank.lab.net.SimProcess;
import rowanplank.lab.net.VirtualDisk;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.node.Node;

/**
 * A node's part in its fleet, over the lives of its process: its disk, and one part after the other. All nodes of the day
 * have the same file; the first one, three or five vote. Workers and tasks do not run.
 */
final class FleetHost {
    private static final String FLEET = "day";
    private static final int FEW = 3;
    private static final int MANY = 5;
    private static final Duration LONGEST_LEAVE = Duration.ofSeconds(2);
    private static final FleetConfig.Timing TIMING = new FleetConfig.Timing(Duration.ofMillis(400),
            Duration.ofNanos(133_333_333), 0.01, Duration.ofSeconds(10), Duration.ofSeconds(1), 1024);

    private final FleetConfig config;
    private final int number;
    private final int nodes;
    private final VirtualDisk disk;
    private long lives;
    private FleetNode fleet;

    FleetHost(Stage stage, int number, FleetConfig.Sharing sharing) {
        this.number = number;
        nodes = stage.day().nodes().count();
        Map<String, InetSocketAddress> voters = new LinkedHashMap<>();
        Map<String, InetSocketAddress> members = new LinkedHashMap<>();
        int votes = nodes < FEW ? 1 : nodes < MANY ? FEW : MANY;
        for (int i = 0; i < nodes; i++) {
            (i < votes ? voters : members).put(NodeText.name(i), SiteMap.fleet(i));
        }
        String name = NodeText.name(number);
        members.remove(name);
        config = new FleetConfig(FLEET, name, SiteMap.fleet(number), SiteMap.fleet(number), voters, new TreeMap<>(), members,
                number < votes ? name : null, TIMING, List.of(), List.of(), null, sharing);
        disk = new VirtualDisk(stage.world().random("disk " + number),
                number < votes ? VoterFileCodec.create(FLEET, name, List.copyOf(voters.keySet())).bytes() : null);
    }

    /** To be called in each life, before the node's start. */
    void join(Node node, SimProcess process, RateLimitedLog log) {
        fleet = new FleetNode(config, ++lives * nodes + number, new FleetComponents(), new FleetNode.Platform(process, disk,
                (directory, file, content, outdated, done) -> { }, (command, environment, ended) -> null, log));
        node.join(fleet);
    }

    /** On the process's loop. */
    void start() throws IOException {
        fleet.start();
    }

    /** In order, as {@link FleetNode#stop}. */
    void stop(SimProcess process, Runnable done) {
        FleetNode of = fleet;
        process.execute(() -> of.stop(LONGEST_LEAVE, done));
    }

    void killed() {
        disk.killed();
    }
}
