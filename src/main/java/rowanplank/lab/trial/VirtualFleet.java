package rowanplank.lab.trial;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import rowanplank.balancer.BalancerApi;
import rowanplank.config.FleetConfig;
import rowanplank.fleet.FleetComponents;
import rowanplank.fleet.FleetNode;
import rowanplank.fleet.wire.VoterFileCodec;
import rowanplank.lab.day.Day;
import rowanplank.lab.net.Process;
import rowanplank.lab.net.SimMachine;
import rowanplank.lab.net.SimNetwork;
import rowanplank.lab.net.SimProcess;
import rowanplank.lab.net.VirtualDisk;
import rowanplank.lab.world.World;
import rowanplank.ledger.Command;
import rowanplank.ledger.Result;
import rowanplank.metrics.RateLimitedLog;

/**
 * Nodes' parts in their fleets in virtual time, each from a file of its own, on a network where nothing is lost and each
 * datagram takes 0.2 ms: what they cost at rest, and what becomes of files that do not fit each other. Tasks do not run.
 */
public final class VirtualFleet {
    private static final Duration TRANSIT = Duration.ofNanos(200_000);
    private static final int PORT = 7946;
    private static final String FLEET = "press";
    private static final int MOST_PLACES = 200;
    /** One hall, one class of requests. */
    private static final BalancerApi.Settings SITE = new BalancerApi.Settings(1, 0, 0, List.of(new BalancerApi.RequestClass(400,
            1200, 1, 0.2, BalancerApi.Effect.REPEATABLE, BalancerApi.DedupGroup.ALL, 0, false)), List.of(), 0.1,
            new BalancerApi.Limits(3, true, true, 1000), new BalancerApi.Rules(10_000, 0.14, 24_000, 3), true, false, false, 0);
    private static final Duration USED_EACH = Duration.ofSeconds(1);
    private static final Duration USED_FOR = Duration.ofMillis(50);

    /**
     * What a fleet at rest costs, by the usual times of an operator's file.
     *
     * @param perNode bytes that a node sends in a second, on average
     * @param datagrams that a node sends in a second, on average
     * @param leader bytes that the leader sends in a second
     * @param mostOther the most of any other node
     * @param knownMs after a node had died, until all that are left thought it dead
     */
    public record Rest(double perNode, double datagrams, double leader, double mostOther, long knownMs) { }

    private final World world;
    private final SimNetwork network;
    private final Map<InetSocketAddress, Node> nodes = new LinkedHashMap<>();
    private final Map<InetSocketAddress, SimMachine> machines = new LinkedHashMap<>();
    private final List<String> lines = new ArrayList<>();
    private long incarnations;
    private BiPredicate<InetSocketAddress, InetSocketAddress> cut = (from, to) -> false;

    public VirtualFleet(long seed) {
        world = new World(seed);
        Duration none = Duration.ZERO;
        network = new SimNetwork(world, new Day.Network(none, none, none, 0, 0, none, none), 1);
    }

    static InetSocketAddress at(int place) {
        return new InetSocketAddress(SimNetwork.ip(10, 0, 0, place), PORT);
    }

    /** The first so many places. */
    static Map<String, InetSocketAddress> voters(int count) {
        Map<String, InetSocketAddress> voters = new LinkedHashMap<>();
        for (int v = 0; v < count; v++) {
            voters.put(TrialPlan.name(v), at(v + 1));
        }
        return voters;
    }

    final class Node {
        private final FleetConfig config;
        private final FleetNode fleet;
        private final VirtualLoop loop;
        private final VirtualDisk disk;
        private String failed;

        private Node(FleetConfig config, byte[] state, FleetNode.Clients clients) {
            this.config = config;
            SimProcess process = machines.computeIfAbsent(config.listen(), at -> network.machine(config.node() + incarnations,
                    0, at.getAddress())).boot(Process.unbounded(config.node()), e -> {
                        throw new IllegalStateException(e);
                    });
            loop = new VirtualLoop(world, process, 1, (from, to, payload) -> world.after(TRANSIT, () -> {
                Node there = nodes.get(to);
                if (there != null && !cut.test(config.listen(), to)) {
                    there.loop.arrived(config.listen(), to, payload);
                }
            }));
            RateLimitedLog log = new RateLimitedLog(loop.clock(), (warning, line, cause) ->
                    lines.add(config.node() + ": " + line));
            fleet = new FleetNode(config, ++incarnations, new FleetComponents(), new FleetNode.Platform(loop,
                    disk = new VirtualDisk(world.random("disk " + incarnations), state),
                    (directory, file, content, outdated, done) -> { }, (command, environment, ended) -> null, log));
            fleet.setClients(clients);
            loop.execute(() -> {
                try {
                    fleet.start();
                } catch (IOException e) {
                    failed = e.getMessage();
                }
            });
        }

        /** Each of so many servers once a second, in turn: one try at a time at each, of 50 ms. */
        private void use(int servers) {
            if (servers == 0) {
                return;
            }
            loop.execute(() -> fleet.slots().updateServers(IntStream.rangeClosed(1, servers).mapToObj(s -> new BalancerApi.Server(s, 0, 0,
                    BalancerApi.Lifecycle.READY, 1, 0)).toList(), true, SITE));
            for (int s = 1; s <= servers; s++) {
                long server = s;
                loop.schedule(USED_EACH.dividedBy(servers).multipliedBy(s), () -> used(server));
            }
        }

        private void used(long server) {
            if (fleet.slots().limit(server) > 0 && fleet.slots().tryAcquire(server, 1)) {
                loop.schedule(USED_FOR, () -> fleet.slots().release(server, true));
            }
            loop.schedule(USED_EACH, () -> used(server));
        }

        JsonObject status() {
            return fleet.status();
        }

        /** Why it did not start; null where it did. */
        String failed() {
            return failed;
        }

        boolean holds(String lease) {
            return status().get("holds").asArray().values().stream()
                    .anyMatch(l -> l.asObject().getString("lease", "").equals(lease));
        }

        void reload(FleetConfig fresh, Consumer<String> told) {
            loop.execute(() -> told.accept(fleet.reload(fresh)));
        }

        /** Outright. */
        void kill() {
            disk.killed();
            loop.process().kill();
            nodes.values().remove(this);
        }

        /** After it was killed: another process from the same file and disk. */
        Node startAgain(FleetNode.Clients clients) {
            return start(config, disk.content(), clients);
        }

        /** What is on its disk. */
        byte[] state() {
            return disk.content();
        }

        FleetConfig config() {
            return config;
        }

        /** Asked to end, as by SIGTERM; then it is gone. */
        void stop(Runnable done) {
            loop.execute(() -> fleet.stop(Duration.ofSeconds(2), () -> {
                kill();
                done.run();
            }));
        }

        void work(Consumer<JsonObject> told) {
            loop.execute(() -> fleet.requestWorkStatus(told));
        }

        void say(Command.Staff words, Consumer<Result> told) {
            loop.execute(() -> fleet.submitStaffCommand(words, told));
        }

        private String thinksOf(String other) {
            for (JsonValue m : status().get("members").asArray()) {
                if (m.asObject().getString("name", "").equals(other)) {
                    return m.asObject().getString("state", "");
                }
            }
            return "";
        }
    }

    /** @param state what is on its disk; null where it has none */
    Node start(FleetConfig config, byte[] state) {
        return start(config, state, FleetNode.Clients.withReadyCheck(() -> true));
    }

    Node start(FleetConfig config, byte[] state, FleetNode.Clients clients) {
        Node node = new Node(config, state, clients);
        nodes.put(config.listen(), node);
        return node;
    }

    /** What does not pass between two places from now on. */
    void cut(BiPredicate<InetSocketAddress, InetSocketAddress> ways) {
        cut = ways;
    }

    void after(Duration time, Runnable task) {
        world.after(time, task);
    }

    Duration now() {
        return Duration.ofNanos(world.nanos());
    }

    void pass(Duration time) {
        world.runUntil(world.nanos() + time.toNanos());
    }

    /** What all nodes have said so far. */
    List<String> lines() {
        return lines;
    }

    // ---- at rest

    /**
     * Plays one fleet at rest, of which the last node dies in the end.
     *
     * @param count how many nodes, of which the first five vote, or as many as there are of 1 and 3
     * @param length how long is counted, after 20 s
     */
    public static Rest rest(int count, long seed, Duration length, Duration lease) {
        return rest(count, seed, length, lease, 0);
    }

    /** @param servers so many page servers, of which all nodes use four places each in turn, the parts as long as the lease */
    public static Rest rest(int count, long seed, Duration length, Duration lease, int servers) {
        VirtualFleet fleet = new VirtualFleet(seed);
        if (count < 2 || count > MOST_PLACES) {
            throw new IllegalArgumentException("from 2 to " + MOST_PLACES + " nodes");
        }
        Map<String, InetSocketAddress> voters = voters(count < 3 ? 1 : count < 5 ? 3 : 5);
        List<Node> all = new ArrayList<>();
        for (int n = 0; n < count; n++) {
            all.add(fleet.start(usual(n, voters, count, lease, servers), n >= voters.size() ? null
                    : VoterFileCodec.create(FLEET, TrialPlan.name(n), List.copyOf(voters.keySet())).bytes()));
        }
        all.forEach(n -> n.use(servers));
        fleet.pass(Duration.ofSeconds(20));
        Map<Node, Long> bytes = new LinkedHashMap<>();
        all.forEach(n -> bytes.put(n, -n.status().getLong("bytes_sent", 0)));
        long datagrams = -sum(all, "datagrams_sent");
        fleet.pass(length);
        all.forEach(n -> bytes.merge(n, n.status().getLong("bytes_sent", 0), Long::sum));
        datagrams += sum(all, "datagrams_sent");
        double s = length.toNanos() / 1e9;
        double leader = all.stream().filter(n -> n.status().getString("role", "").equals("leader"))
                .mapToLong(bytes::get).max().orElse(0) / s;
        double other = all.stream().filter(n -> !n.status().getString("role", "").equals("leader"))
                .mapToLong(bytes::get).max().orElse(0) / s;
        double whole = bytes.values().stream().mapToLong(b -> b).sum() / s;
        return new Rest(whole / count, datagrams / s / count, leader, other, fleet.knownMs(all.get(count - 1), all));
    }

    private static long sum(List<Node> all, String of) {
        return all.stream().mapToLong(n -> n.status().getLong(of, 0)).sum();
    }

    /** An operator's file with the usual times; all know all by name, as their files would. */
    private static FleetConfig usual(int n, Map<String, InetSocketAddress> voters, int count, Duration lease,
            int servers) {
        Map<String, InetSocketAddress> members = new LinkedHashMap<>();
        for (int m = voters.size(); m < count; m++) {
            members.put(TrialPlan.name(m), at(m + 1));
        }
        members.remove(TrialPlan.name(n));
        return new FleetConfig(FLEET, TrialPlan.name(n), at(n + 1), at(n + 1), voters, new TreeMap<>(), members,
                n < voters.size() ? TrialPlan.name(n) : null, new FleetConfig.Timing(Duration.ofMillis(400),
                Duration.ofNanos(133_333_333), 0.01, Duration.ofSeconds(10), Duration.ofSeconds(1), 1024),
                List.of(new FleetConfig.Lease("nightly", lease)), List.of(), null, servers == 0 ? FleetConfig.Sharing.NONE
                : new FleetConfig.Sharing(lease, List.of(), List.of(), new FleetConfig.Places(4, 0, count, Duration.ofMillis(50),
                        Duration.ofSeconds(4))));
    }

    private long knownMs(Node dies, List<Node> all) {
        String name = dies.status().getString("node", "");
        dies.kill();
        long from = world.nanos();
        List<Node> left = all.stream().filter(n -> n != dies).toList();
        while (!left.stream().allMatch(n -> n.thinksOf(name).equals("dead")) && world.nanos() < from + 600_000_000_000L) {
            pass(Duration.ofMillis(50));
        }
        return (world.nanos() - from) / 1_000_000;
    }
}
