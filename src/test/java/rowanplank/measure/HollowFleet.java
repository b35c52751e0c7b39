package rowanplank.measure;

import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import rowanplank.config.FleetConfig;
import rowanplank.fleet.FleetComponents;
import rowanplank.fleet.FleetNode;
import rowanplank.fleet.wire.VoterFileCodec;
import rowanplank.lab.net.VirtualDisk;
import rowanplank.lab.world.World;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.net.Programs;

/**
 * Hollow nodes: the parts that nodes have in their fleet, whole and with the usual times, without clients, servers and
 * sockets, all in this process and in virtual time. A datagram takes 0.2 ms, a sync 0.05 to 4 ms; nothing is lost.
 */
final class HollowFleet {
    private static final Duration TRANSIT = Duration.ofNanos(200_000);
    private static final Duration LEASE = Duration.ofSeconds(4);
    private static final int PORT = 7946;
    private static final String FLEET = "press";
    private static final int SNAPSHOT = 1024;

    /**
     * @param voters of the nodes, the first ones
     * @param leases that each node holds, of its own
     * @param budgets that all nodes share, each of one use at every node all the time
     * @param work whether there is an order of work
     */
    record Plan(int nodes, int voters, int leases, int budgets, boolean work) { }

    /**
     * What one kind of node spends in a second.
     *
     * @param sentBytes, sent: datagrams' payload, and how many
     * @param receivedBytes, received: the same, of those that came
     * @param micros processor time, without sockets
     */
    record Rate(double sentBytes, double sent, double receivedBytes, double received, double micros) { }

    /** @param member the mean of all that do not vote @param voter the mean of those that do and don't lead */
    record Seen(Rate leader, Rate voter, Rate member) { }

    private static final class Node {
        HollowLoop loop;
        FleetNode fleet;
        VirtualDisk disk;
        long received;
        long receivedBytes;
        long countedSent;
        long countedSentBytes;
        long countedReceived;
        long countedReceivedBytes;
        long countedNanos;
        long countedTasks;
    }

    private final Plan plan;
    private final World world = new World(1);
    private final Map<InetSocketAddress, Node> nodes = new LinkedHashMap<>();
    private final List<String> lines = new ArrayList<>();
    private final double look = Spent.nanosOfALook();
    private long incarnations = 1_767_225_600_000_000L;

    HollowFleet(Plan plan) {
        this.plan = plan;
        for (int n = 0; n < plan.nodes; n++) {
            start(n, n < plan.voters ? VoterFileCodec.create(FLEET, name(n), voterNames()).bytes() : null);
        }
    }

    static String name(int n) {
        return "node-" + n;
    }

    private static InetSocketAddress at(int n) {
        try {
            return new InetSocketAddress(InetAddress.getByAddress(new byte[] {10, 0, (byte) (n >> 8), (byte) n}), PORT);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    private List<String> voterNames() {
        return IntStream.range(0, plan.voters).mapToObj(HollowFleet::name).toList();
    }

    private void start(int n, byte[] state) {
        Node node = new Node();
        nodes.put(at(n), node);
        node.loop = new HollowLoop(world, (from, to, payload) -> world.after(TRANSIT, () -> {
            Node there = nodes.get(to);
            if (there != null) {
                there.received++;
                there.receivedBytes += payload.length;
                there.loop.arrived(from, payload);
            }
        }));
        node.disk = new VirtualDisk(world.random("disk " + incarnations), state);
        RateLimitedLog log = new RateLimitedLog(world.clock(), (warning, line, cause) -> {
            if (warning) {
                lines.add(name(n) + ": " + line + (cause == null ? "" : " " + cause));
            }
        });
        Programs programs = (command, environment, ended) -> {
            node.loop.schedule(Duration.ofSeconds(1), () -> ended.accept(0));
            return new Programs.Running() {
                @Override
                public void stop() { }

                @Override
                public void kill() { }
            };
        };
        node.fleet = new FleetNode(config(n), ++incarnations, new FleetComponents(), new FleetNode.Platform(node.loop, node.disk,
                (directory, file, content, outdated, done) -> { }, programs, log));
        node.fleet.setClients(FleetNode.Clients.withReadyCheck(() -> true));
        node.loop.execute(() -> {
            try {
                node.fleet.start();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    private FleetConfig config(int n) {
        Map<String, InetSocketAddress> voters = new LinkedHashMap<>();
        for (int v = 0; v < plan.voters; v++) {
            voters.put(name(v), at(v));
        }
        Map<String, InetSocketAddress> members = new LinkedHashMap<>();
        for (int m = plan.voters; m < plan.nodes; m++) {
            if (m != n) {
                members.put(name(m), at(m));
            }
        }
        List<FleetConfig.Lease> leases = IntStream.range(0, plan.leases)
                .mapToObj(l -> new FleetConfig.Lease("lease-" + n + "-" + l, LEASE)).toList();
        FleetConfig.Sharing sharing = plan.budgets == 0 ? FleetConfig.Sharing.NONE : new FleetConfig.Sharing(LEASE,
                IntStream.range(0, plan.budgets).mapToObj(b -> new FleetConfig.Budget("budget-" + b, false, 2L * plan.nodes, 0, 0, 0))
                        .toList(),
                IntStream.range(0, plan.budgets).mapToObj(b -> new FleetConfig.Worker("worker-" + b, "budget-" + b, 1,
                        Duration.ofSeconds(1), Duration.ofSeconds(2), Duration.ofMillis(200), List.of("true"))).toList());
        return new FleetConfig(FLEET, name(n), at(n), at(n), voters, new TreeMap<>(), members, n < plan.voters ? name(n) : null,
                new FleetConfig.Timing(Duration.ofMillis(400), Duration.ofNanos(133_333_333), 0.01, Duration.ofSeconds(10),
                        Duration.ofSeconds(1), SNAPSHOT), leases, List.of(), null, sharing, plan.work ? new FleetConfig.Order(name(n),
                "zone-" + n % CapacityTool.ZONES, 4, 1, Duration.ofSeconds(5), false, Duration.ofSeconds(30)) : null);
    }

    void pass(Duration time) {
        world.runUntil(world.nanos() + time.toNanos());
    }

    /** What any of them has warned of. */
    List<String> lines() {
        return lines;
    }

    private Node node(int n) {
        return nodes.get(at(n));
    }

    JsonObject status(int n) {
        return node(n).fleet.status();
    }

    /** The number of the node that leads; -1 where none does. */
    int leader() {
        for (int v = 0; v < plan.voters; v++) {
            if (node(v) != null && status(v).getString("role", "").equals("leader")) {
                return v;
            }
        }
        return -1;
    }

    /** Counts from now on. */
    void count() {
        for (Node n : nodes.values()) {
            JsonObject status = n.fleet.status();
            n.countedSent = status.getLong("datagrams_sent", 0);
            n.countedSentBytes = status.getLong("bytes_sent", 0);
            n.countedReceived = n.received;
            n.countedReceivedBytes = n.receivedBytes;
            n.countedNanos = n.loop.nanos();
            n.countedTasks = n.loop.tasks();
        }
    }

    private Rate rate(List<Node> of, double seconds) {
        double[] sums = new double[5];
        for (Node n : of) {
            JsonObject status = n.fleet.status();
            sums[0] += status.getLong("bytes_sent", 0) - n.countedSentBytes;
            sums[1] += status.getLong("datagrams_sent", 0) - n.countedSent;
            sums[2] += n.receivedBytes - n.countedReceivedBytes;
            sums[3] += n.received - n.countedReceived;
            sums[4] += (n.loop.nanos() - n.countedNanos - look * (n.loop.tasks() - n.countedTasks)) / 1e3;
        }
        double over = seconds * Math.max(1, of.size());
        return new Rate(sums[0] / over, sums[1] / over, sums[2] / over, sums[3] / over, sums[4] / over);
    }

    /** What each kind of node spent in a second since it was counted from. */
    Seen seen(Duration length) {
        int leader = leader();
        List<Node> voters = new ArrayList<>();
        List<Node> members = new ArrayList<>();
        for (int n = 0; n < plan.nodes; n++) {
            if (n != leader && node(n) != null) {
                (n < plan.voters ? voters : members).add(node(n));
            }
        }
        double seconds = length.toNanos() / 1e9;
        return new Seen(rate(List.of(node(leader)), seconds), rate(voters, seconds), rate(members, seconds));
    }

    /** Bytes that all nodes have sent since it was counted from. */
    double bytesOfAll() {
        return rate(List.copyOf(nodes.values()), 1).sentBytes() * nodes.size();
    }

    /** Outright, without a word. */
    void kill(int n) {
        node(n).loop.kill();
        nodes.remove(at(n));
    }

    /** A new process of a node that does not vote. */
    void startAgain(int n) {
        start(n, null);
    }

    /** Runs on until all others think so of these. @return the milliseconds; -1 where they did not within so long */
    long until(List<Integer> these, String state, Duration most) {
        long from = world.nanos();
        while (!all(these, state)) {
            if (world.nanos() - from > most.toNanos()) {
                return -1;
            }
            pass(Duration.ofMillis(100));
        }
        return (world.nanos() - from) / 1_000_000;
    }

    private boolean all(List<Integer> these, String state) {
        List<String> names = these.stream().map(HollowFleet::name).toList();
        for (int n = 0; n < plan.nodes; n++) {
            if (node(n) == null || these.contains(n)) {
                continue;
            }
            long so = node(n).fleet.status().get("members").asArray().values().stream().map(m -> m.asObject())
                    .filter(m -> names.contains(m.getString("name", "")) && m.getString("state", "").equals(state)).count();
            if (so < these.size()) {
                return false;
            }
        }
        return true;
    }

    /** How many members the node with the fewest knows to be alive. */
    int leastAlive() {
        return nodes.values().stream().mapToInt(n -> (int) n.fleet.status().get("members").asArray().values().stream()
                .filter(m -> m.asObject().getString("state", "").equals("alive")).count()).min().orElse(0);
    }

    /** Staff ask at a node for the order of work. @return {milliseconds, bytes of the answer, datagrams of all}; null if none */
    long[] work(int n) {
        long[] told = new long[] {-1, 0, 0};
        long before = nodes.values().stream().mapToLong(o -> o.received).sum();
        long from = world.nanos();
        node(n).loop.execute(() -> node(n).fleet.requestWorkStatus(o -> {
            told[0] = (world.nanos() - from) / 1_000_000;
            told[1] = o == null ? 0 : o.toString().length();
        }));
        while (told[0] < 0 && world.nanos() - from < 60_000_000_000L) {
            pass(Duration.ofMillis(1));
        }
        told[2] = nodes.values().stream().mapToLong(o -> o.received).sum() - before;
        return told[0] < 0 ? null : told;
    }

    /** Of a voter's disk. */
    long diskBytes(int n) {
        byte[] content = node(n).disk.content();
        return content == null ? 0 : content.length;
    }
}
