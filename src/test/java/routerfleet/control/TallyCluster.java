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

/** Five control nodes in four zones in virtual time, of which two machines or one zone may be lost: only their tallies. */
final class TallyCluster {
    static final int NODES = 5;
    private static final int PORT = 9_000;
    private static final int LOST = 2;
    private static final String[] ZONES = {"a", "a", "b", "c", "d"};

    /** One machine and the life of its process. */
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
    /** Statuses by the number of the call; 0 while there is none. */
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
        VirtualProcess life = new VirtualProcess(world, random.nextLong() >> 2, () -> { });
        node.process = life;
        node.writer = new SimulatedDisk.Writer(world, life);
        List<HostPort> seeds = List.of(new HostPort(ip(0), PORT), new HostPort(ip(2), PORT), new HostPort(ip(3), PORT));
        LocalSettings settings = new LocalSettings("core-" + index, ip(index), ZONES[index], null, null, null, PORT, seeds,
                bootstrap, Path.of("/"), 400, LOST, 1, java.util.Set.of("a", "b", "c", "d"), Bounds.defaults());
        ControlServiceFactory parts = new ControlServiceFactory(LOST) {
            @Override
            TallyLimits tallyBounds() {
                return bounds;
            }
        };
        node.service = new ControlService(settings, life, network.of(ip(index), life), codec,
                new ReplicaStorage(node.disk, life, node.writer), random.split(), parts);
        ControlService started = node.service;
        life.execute(() -> {
            try {
                started.load(() -> random.nextLong() >>> 2);
                started.start();
                started.listenToPeers().accept();
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    /** Ends a process. */
    void kill(int index) {
        Node node = nodes.get(index);
        node.process.kill();
        network.killed(ip(index), node.process);
    }

    /** Ends a process with its machine's power: what is not synced may be gone. */
    void losePower(int index) {
        Node node = nodes.get(index);
        node.process.kill();
        network.darken(ip(index));
        node.disk.losePower();
        network.lighten(ip(index));
    }

    /** Puts an empty disk into a machine whose process has ended. */
    void wipe(int index) {
        nodes.get(index).disk = new SimulatedDisk(new Random(random.nextLong()), false, false);
    }

    SimulatedDisk disk(int index) {
        return nodes.get(index).disk;
    }

    void setDiskHanging(int index, boolean hangs) {
        nodes.get(index).writer.setHanging(hangs);
    }

    /** Nothing passes between these nodes and the others, or all again. */
    void cut(boolean cut, int... side) {
        for (int i = 0; i < NODES; i++) {
            for (int j = 0; j < NODES; j++) {
                if (contains(side, i) != contains(side, j)) {
                    link(cut, i, j);
                }
            }
        }
    }

    /** Nothing passes from one node to another, or all again. */
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

    /** What a call was answered; 0 for nothing yet. */
    int status(int call) {
        return statuses.get(call);
    }

    /** Adds, and waits a second. @return the status */
    int addAndWait(int node, String uid, long amount) {
        int call = add(node, uid, amount);
        advance(1_000);
        return status(call);
    }

    /** What a node tells of the tally; negative where it refuses. */
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

    /** What each node tells. */
    List<Long> readAll() {
        List<Long> all = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            all.add(read(i));
        }
        return all;
    }
}
