package rowanplank.lab.trial;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.IntFunction;
import rowanplank.config.Addresses;
import rowanplank.fleet.wire.VoterFileCodec;
import rowanplank.net.ChildProcesses;
import rowanplank.net.DirectoryFiles;
import rowanplank.net.DoorCalls;
import rowanplank.net.Ports;
import rowanplank.net.SystemClock;

/**
 * Real nodes on loopback with the usual times of an operator's file and nothing between them, or the same nodes without a
 * fleet: what is measured of them. One call after the other, from one thread; all nodes end with it.
 */
public final class RealFleet implements AutoCloseable {
    private static final String FLEET = "measured";
    private static final Duration ANSWERED_WITHIN = Duration.ofSeconds(1);
    private static final Duration UP_WITHIN = Duration.ofSeconds(40);
    private static final Duration LOOK = Duration.ofMillis(5);
    private static final int MOST_NODES = 30;

    /**
     * What the nodes are to be.
     *
     * @param count how many, of which the first five vote, or as many as there are of 1 and 3
     * @param fleet whether their files have a fleet at all
     * @param lease of the one lease that all want
     * @param discovery where each finds its page servers
     * @param command starts a node: the operator's file is put behind it
     */
    public record Plan(int count, boolean fleet, Duration lease, IntFunction<InetSocketAddress> discovery,
            List<String> command) {
        public Plan {
            command = List.copyOf(command);
        }

        /** Nodes that nobody asks for pages. */
        public static Plan idle(int count, boolean fleet, Duration lease, List<String> command) {
            return new Plan(count, fleet, lease, n -> new InetSocketAddress(InetAddress.getLoopbackAddress(), 1), command);
        }

        int voters() {
            return count < 3 ? 1 : count < 5 ? 3 : 5;
        }
    }

    /** What a node has used so far. @param memoryBytes of the machine's; -1 where the system does not tell */
    public record Used(String node, boolean leads, Duration processor, long memoryBytes, long datagrams, long bytes,
            Duration longestTurn) { }

    private static final class Node {
        final String name;
        final InetSocketAddress door;
        final InetSocketAddress front;
        final InetSocketAddress listen;
        final Path file;
        ChildProcesses.Child child;

        Node(String name, InetSocketAddress door, InetSocketAddress front, InetSocketAddress listen, Path file) {
            this.name = name;
            this.door = door;
            this.front = front;
            this.listen = listen;
            this.file = file;
        }
    }

    private final SystemClock clock = new SystemClock();
    private final Plan plan;
    private final Path folder;
    private final Ports ports;
    private final ChildProcesses children = new ChildProcesses();
    private final DoorCalls doors = new DoorCalls();
    private final List<Node> nodes = new ArrayList<>();

    /** @param ports its own until the caller closes them */
    public RealFleet(Plan plan, Path folder, Ports ports) throws IOException {
        this.plan = plan;
        this.folder = Files.createDirectories(folder);
        this.ports = ports;
        if (plan.count() < 1 || plan.count() > MOST_NODES) {
            throw new IllegalArgumentException("1 to " + MOST_NODES + " nodes");
        }
        for (int n = 0; n < plan.count(); n++) {
            String name = TrialPlan.name(n);
            nodes.add(new Node(name, ports.next(), ports.next(), ports.next(), folder.resolve(name + ".toml")));
        }
        List<String> voters = nodes.stream().limit(plan.voters()).map(n -> n.name).toList();
        for (int n = 0; n < plan.count(); n++) {
            Node node = nodes.get(n);
            Files.writeString(node.file, text(n));
            if (plan.fleet() && n < plan.voters()) {
                new DirectoryFiles().create(state(node).toString(), VoterFileCodec.create(FLEET, node.name, voters).bytes());
            }
        }
    }

    private Path state(Node node) {
        return folder.resolve(node.name + ".state");
    }

    private String text(int n) {
        Node node = nodes.get(n);
        StringBuilder text = new StringBuilder("[node]\nname = \"" + node.name + "\"\nadmin = \""
                + Addresses.format(node.door) + "\"\n[[front]]\nlisten = \"" + Addresses.format(node.front)
                + "\"\ndiscovery = \"" + Addresses.format(plan.discovery().apply(n)) + "\"\n[[class]]\nname = \"article\"\n");
        if (!plan.fleet()) {
            return text.toString();
        }
        text.append("[state]\ndir = \"").append(state(node)).append("\"\n[fleet]\nname = \"").append(FLEET)
                .append("\"\nlisten = \"").append(Addresses.format(node.listen)).append("\"\n[fleet.voters]\n");
        nodes.subList(0, plan.voters()).forEach(v -> text.append(v.name).append(" = \"")
                .append(Addresses.format(v.listen)).append("\"\n"));
        text.append("[fleet.members]\n");
        nodes.subList(plan.voters(), plan.count()).stream().filter(m -> m != node).forEach(m -> text.append(m.name)
                .append(" = \"").append(Addresses.format(m.listen)).append("\"\n"));
        return text.append("[[lease]]\nname = \"nightly\"\nlength = \"").append(plan.lease().toMillis()).append("ms\"\n")
                .toString();
    }

    public String name(int n) {
        return nodes.get(n).name;
    }

    /** Where it answers clients. */
    public InetSocketAddress front(int n) {
        return nodes.get(n).front;
    }

    /** Where it hears other nodes. */
    public InetSocketAddress listen(int n) {
        return nodes.get(n).listen;
    }

    public String fleetName() {
        return FLEET;
    }

    /** Starts it, and returns at once. */
    public void start(int n) throws IOException {
        Node node = nodes.get(n);
        List<String> command = new ArrayList<>(plan.command());
        command.add(node.file.toString());
        node.child = children.start(command, new TreeMap<>(), folder.resolve(node.name + ".log").toString(), status -> { });
    }

    /** Outright. */
    public void kill(int n) {
        nodes.get(n).child.kill();
    }

    /** @return from the start of its process until it answers at its door */
    public Duration startAndWait(int n) throws IOException {
        Instant from = now();
        start(n);
        awaitThat(nodes.get(n).name + " does not answer: see its log in " + folder, () -> ask(n, "/api/ready") != null);
        return since(from);
    }

    /** @throws IOException with this line, if it does not come to be in good time */
    public void awaitThat(String failure, BooleanSupplier condition) throws IOException {
        Instant until = now().plus(UP_WITHIN);
        while (!condition.getAsBoolean()) {
            if (now().isAfter(until)) {
                throw new IOException(failure);
            }
            pass(LOOK);
        }
    }

    Instant now() {
        return clock.now();
    }

    Duration since(Instant from) {
        return Duration.between(from, now());
    }

    static void pass(Duration time) throws IOException {
        try {
            Thread.sleep(time.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /** Null where it does not answer. */
    private JsonObject ask(int n, String path) {
        try {
            return Json.parse(doors.call(nodes.get(n).door, "GET", path, ANSWERED_WITHIN).body()).asObject();
        } catch (IOException e) {
            return null;
        }
    }

    public boolean isReady(int n) {
        JsonObject o = ask(n, "/api/ready");
        return o != null && o.getBoolean("ready", false);
    }

    /** Staff have it give back the lease; nothing happens where it does not hold it. */
    public void release(int n) throws IOException {
        doors.call(nodes.get(n).door, "POST", "/api/fleet/release/nightly", ANSWERED_WITHIN);
    }

    /** -1 where nobody says that it leads. */
    public int leader() {
        for (int n = 0; n < plan.voters(); n++) {
            JsonObject o = nodes.get(n).child.isAlive() ? ask(n, "/api/fleet") : null;
            if (o != null && o.getString("role", "").equals("leader")) {
                return n;
            }
        }
        return -1;
    }

    /** What it thinks of another one; empty where it does not know it. */
    public String thinksOf(int n, String other) {
        JsonObject o = ask(n, "/api/fleet");
        if (o == null) {
            return "";
        }
        for (JsonValue m : o.get("members").asArray()) {
            if (m.asObject().getString("name", "").equals(other)) {
                return m.asObject().getString("state", "");
            }
        }
        return "";
    }

    public Used used(int n) throws IOException {
        Node node = nodes.get(n);
        JsonObject ready = ask(n, "/api/ready");
        JsonObject fleet = plan.fleet() ? ask(n, "/api/fleet") : new JsonObject();
        if (ready == null || fleet == null) {
            throw new IOException(node.name + " does not answer: see its log in " + folder);
        }
        return new Used(node.name, fleet.getString("role", "").equals("leader"), node.child.processorTime(),
                memory(node.child.pid()), fleet.getLong("datagrams_sent", 0), fleet.getLong("bytes_sent", 0),
                Duration.ofNanos(1000 * ready.getLong("longest_turn_us", 0)));
    }

    private static long memory(long pid) {
        try {
            for (String line : Files.readAllLines(Path.of("/proc", Long.toString(pid), "status"))) {
                if (line.startsWith("VmRSS:")) {
                    return Long.parseLong(line.replaceAll("[^0-9]", "")) * 1024;
                }
            }
        } catch (IOException e) {
            return -1; // this system tells it elsewhere, or nowhere
        }
        return -1;
    }

    @Override
    public void close() {
        children.close();
    }
}
