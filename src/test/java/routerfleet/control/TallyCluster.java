package routerfleet.control;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import routerfleet.settings.Bounds;
import routerfleet.settings.HostPort;
import routerfleet.settings.LocalSettings;
import routerfleet.simulation.SimulatedNetwork;
import routerfleet.simulation.VirtualProcess;
import routerfleet.simulation.VirtualWorld;
import routerfleet.wire.PeerCodec;

/**
 * Simulates the tallies of five control nodes in four zones in virtual time; the loss of two machines or of one zone is
 * tolerated.
 */
final class TallyCluster {
    static final int NODES = 5;
    private static final int PORT = 9_000;
    private static final int TOLERATED_LOSSES = 2;
    private static final String[] ZONES = {"a", "a", "b", "c", "d"};

    /** A machine and its current process. */
    private static final class Node {
        private SimulatedDisk disk;
        private SimulatedDisk.Writer writer;
        private VirtualProcess process;
        private ControlService service;
    }

    final VirtualWorld world = new VirtualWorld();
    final SimulatedNetwork network;
    private final PeerCodec codec = new PeerCodec();
    private final SplittableRandom random;
    private final TallyLimits bounds;
    private final List<Node> nodes = new ArrayList<>();
    /** Statuses by number of the call; 0 while there is no response. */
    private final Map<Integer, Integer> statuses = new HashMap<>();
    private int calls;

    TallyCluster(long seed, TallyLimits bounds) {
        this.bounds = bounds;
        random = new SplittableRandom(seed);
        network = new SimulatedNetwork(world, seed, codec);
        for (int i = 0; i < NODES; i++) {
            nodes.add(new Node());
            wipe(i);
            start(i, true);
        }
    }

    private static String ip(int node) {
        return "10.0.0." + (node + 1);
    }

    void advance(long ms) {
        world.runUntilMs(world.nowMs() + ms);
    }

    void start(int index, boolean bootstrap) {
        Node node = nodes.get(index);
        VirtualProcess newProcess = new VirtualProcess(world, random.nextLong() >> 2, () -> { });
        node.process = newProcess;
        node.writer = new SimulatedDisk.Writer(world, newProcess);
        List<HostPort> seeds = List.of(new HostPort(ip(0), PORT), new HostPort(ip(2), PORT), new HostPort(ip(3), PORT));
        LocalSettings settings = new LocalSettings("core-" + index, ip(index), ZONES[index], null, null, null, PORT, seeds,
                bootstrap, Path.of("/"), 400, TOLERATED_LOSSES, 1, java.util.Set.of("a", "b", "c", "d"), Bounds.defaults());
        ControlServiceFactory parts = new ControlServiceFactory(TOLERATED_LOSSES) {
            @Override
            TallyLimits tallyBounds() {
                return bounds;
            }
        };
        node.service = new ControlService(settings, newProcess, network.of(ip(index), newProcess), codec,
                new ReplicaStorage(node.disk, newProcess, node.writer), random.split(), parts);
        ControlService started = node.service;
        newProcess.execute(() -> {
            try {
                started.load(() -> random.nextLong() >>> 2);
                started.start();
                started.listenToPeers().accept();
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    /** Kills a process. */
    void kill(int index) {
        Node node = nodes.get(index);
        node.process.kill();
        network.killed(ip(index), node.process);
    }

    /** Kills a process by a power loss of its machine: what is not synced may be lost. */
    void losePower(int index) {
        Node node = nodes.get(index);
        node.process.kill();
        network.darken(ip(index));
        node.disk.losePower();
        network.lighten(ip(index));
    }

    /** Replaces the disk of a machine, whose process must have ended, by an empty one. */
    void wipe(int index) {
        nodes.get(index).disk = new SimulatedDisk(new Random(random.nextLong()), false, false);
    }

    SimulatedDisk disk(int index) {
        return nodes.get(index).disk;
    }

    void setDiskHanging(int index, boolean hangs) {
        nodes.get(index).writer.setHanging(hangs);
    }

    /** Cuts, or restores, all connections between these nodes and the others. */
    void cut(boolean cut, int... side) {
        for (int i = 0; i < NODES; i++) {
            for (int j = 0; j < NODES; j++) {
                if (contains(side, i) != contains(side, j)) {
                    link(cut, i, j);
                }
            }
        }
    }

    /** Cuts, or restores, one direction between two nodes. */
    void link(boolean cut, int from, int to) {
        if (cut) {
            network.cut(ip(from), ip(to));
        } else {
            network.heal(ip(from), ip(to));
        }
    }

    private static boolean contains(int[] side, int node) {
        for (int member : side) {
            if (member == node) {
                return true;
            }
        }
        return false;
    }

    /** Sends an add. @return the number of the call, for {@link #status} */
    int add(int node, String uid, long amount) {
        int call = ++calls;
        statuses.put(call, 0);
        byte[] body = ("{\"uid\":\"" + uid + "\",\"owner\":" + amount + "}").getBytes(StandardCharsets.UTF_8);
        nodes.get(node).service.handle(new ControlHttp.Request("POST", "/rowanplank/tallies/t/patch", null, body),
                response -> statuses.put(call, response.status()));
        return call;
    }

    /** Returns the status of a call; 0 while there is no response. */
    int status(int call) {
        return statuses.get(call);
    }

    /** Sends an add and waits for a second. @return the status */
    int addAndWait(int node, String uid, long amount) {
        int call = add(node, uid, amount);
        advance(1_000);
        return status(call);
    }

    /** Returns the total that a node reports; negative if it refuses the read. */
    long read(int node) {
        long[] total = {-1};
        nodes.get(node).service.handle(new ControlHttp.Request("GET", "/rowanplank/tallies/t/get", null, new byte[0]),
                response -> {
                    if (response.status() == 200) {
                        String body = new String(response.body(), StandardCharsets.UTF_8);
                        total[0] = Long.parseLong(body.replaceAll("\\D", ""));
                    }
                });
        return total[0];
    }

    /** Returns the total that each node reports. */
    List<Long> readAll() {
        List<Long> all = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            all.add(read(i));
        }
        return all;
    }
}
