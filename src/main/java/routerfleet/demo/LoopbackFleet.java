package routerfleet.demo;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import routerfleet.control.ControlNode;
import routerfleet.data.DataNode;
import routerfleet.process.NodeProcess;
import routerfleet.settings.Bounds;
import routerfleet.settings.HostPort;
import routerfleet.settings.LocalSettings;
import routerfleet.settings.SettingsException;

/**
 * A whole fleet in one process, on loopback addresses: control nodes at 127.0.0.1 and on, data nodes at 127.0.1.1 and on,
 * each with its own event loop. For the demo and the tests.
 */
public final class LoopbackFleet implements AutoCloseable {
    private static final int READY_S = 30;
    private static final int MOST_CALLS = 200;
    private static final int FIRST_PORT = 12_000;
    private static final int PORTS = 18_000;
    private static final int HEARTBEAT_MS = 200;
    private static final String ZONE = "a";

    private final Path folder;
    private final int internalPort;
    private final int controlPort;
    private final List<HostPort> seeds = new ArrayList<>();
    private final Map<Integer, ControlNode> controlNodes = new TreeMap<>();
    private final List<DataNode> dataNodes = new ArrayList<>();
    private final List<HostPort> frontends = new ArrayList<>();
    private final int toleratedLosses;

    /** @param folder for the control nodes' disks; @param controls how many of them there are as the system starts */
    public LoopbackFleet(Path folder, int controls) throws IOException {
        this(folder, controls, (controls - 1) / 2);
    }

    /** @param toleratedLosses how many control nodes may be lost at once; nothing is acknowledged by fewer than it takes */
    LoopbackFleet(Path folder, int controls, int toleratedLosses) throws IOException {
        this.folder = folder;
        this.toleratedLosses = toleratedLosses;
        internalPort = freePorts(2);
        controlPort = freePorts(1);
        for (int i = 1; i <= Math.min(3, controls); i++) {
            seeds.add(controlAddress(i));
        }
        for (int i = 1; i <= controls; i++) {
            startControl(i, true);
        }
    }

    /** The first of so many ports that are free now, below those that the system gives to outgoing connections. */
    private static int freePorts(int count) throws IOException {
        for (int i = 0; i < MOST_CALLS; i++) {
            int first = FIRST_PORT + ThreadLocalRandom.current().nextInt(PORTS);
            if (areFree(first, count)) {
                return first;
            }
        }
        throw new BindException("no port is free");
    }

    private static boolean areFree(int first, int count) throws IOException {
        for (int port = first; port < first + count; port++) {
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress("0.0.0.0", port));
            } catch (BindException e) {
                return false;
            }
        }
        return true;
    }

    private static String controlIp(int number) {
        return "127.0.0." + number;
    }

    /** Where a control node answers the operator and servers. */
    public HostPort controlAddress(int number) {
        return new HostPort(controlIp(number), controlPort);
    }

    /** Where the first control nodes answer. */
    public List<HostPort> seeds() {
        return List.copyOf(seeds);
    }

    private Path disk(int number) {
        return folder.resolve("control-" + number);
    }

    /** Starts a control node. @param bootstrap whether the whole system starts for the first time */
    public void startControl(int number, boolean bootstrap) throws IOException {
        LocalSettings settings = new LocalSettings("control-" + number, controlIp(number), ZONE, null, null,
                controlAddress(number), internalPort, seeds, bootstrap, disk(number), HEARTBEAT_MS, toleratedLosses, 0,
                Set.of(ZONE), Bounds.defaults());
        ControlNode node = new ControlNode(settings);
        node.start();
        controlNodes.put(number, node);
    }

    /**
     * Starts a control node as a process of its own does, by a settings file, at the first start of the whole system.
     *
     * @param file where the settings are written
     */
    public void startControlByFile(int number, Path file) throws IOException {
        Files.writeString(file, """
                node_name=control-%d
                ip=%s
                zone=%s
                listen.control_plane=%s
                data_path=%s
                port_range=%d,%d
                seed_nodes=%s
                bootstrap=true
                heartbeat_ms=%d
                fault_tolerance.hosts_lost=%d
                """.formatted(number, controlIp(number), ZONE, controlAddress(number), disk(number), internalPort,
                internalPort + 1, seedList(), HEARTBEAT_MS, toleratedLosses));
        try {
            controlNodes.put(number, NodeProcess.startControlNode(file.toString()));
        } catch (SettingsException e) {
            throw new IOException(e);
        }
    }

    private String seedList() {
        return seeds.stream().map(HostPort::toString).collect(Collectors.joining(","));
    }

    /** Ends a control node as a crash would: nothing is handed on. */
    public void crashControl(int number) {
        controlNodes.remove(number).crash();
    }

    /** Takes a stopped control node's disk away. */
    public void wipe(int number) throws IOException {
        try (Stream<Path> files = Files.walk(disk(number))) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    /** Starts a data node, and waits until it is ready if a configuration is there. @return its place in the list */
    public int startData(boolean waitUntilReady) throws IOException {
        return startData(waitUntilReady, Bounds.defaults());
    }

    /** Starts a data node with these bounds, and waits as the other method does. @return its place in the list */
    public int startData(boolean waitUntilReady, Bounds bounds) throws IOException {
        String ip = nextDataIp();
        HostPort frontend = new HostPort(ip, freePorts(1));
        LocalSettings settings = new LocalSettings(nextDataName(), ip, ZONE, frontend,
                new HostPort(ip, freePorts(1)), null, internalPort, seeds, true, null, HEARTBEAT_MS, toleratedLosses, 0,
                Set.of(ZONE), bounds);
        DataNode node = new DataNode(settings);
        node.start();
        return added(node, frontend, waitUntilReady);
    }

    /**
     * Starts a data node as a process of its own does, by a settings file, and waits until it says that it is ready.
     *
     * @param file where the settings are written
     * @return its place in the list
     */
    public int startDataByFile(Path file) throws IOException {
        String ip = nextDataIp();
        HostPort frontend = new HostPort(ip, freePorts(1));
        HostPort readiness = new HostPort(ip, freePorts(1));
        Files.writeString(file, """
                node_name=%s
                ip=%s
                zone=a
                listen.frontend=%s
                listen.readiness=%s
                port_range=%d,%d
                seed_nodes=%s
                bootstrap=true
                heartbeat_ms=%d
                fault_tolerance.hosts_lost=%d
                bounds.grace_s=8
                bounds.revocation=true
                bounds.retry_budget_ratio=0.2
                """.formatted(nextDataName(), ip, frontend, readiness, internalPort, internalPort + 1,
                seedList(), HEARTBEAT_MS, toleratedLosses));
        try {
            int index = added(NodeProcess.startDataNode(file.toString()), frontend, true);
            LoopbackHttp.call(readiness, "GET", "/rowanplank/readyz", Map.of(), new byte[0]);
            return index;
        } catch (SettingsException e) {
            throw new IOException(e);
        }
    }

    private String nextDataIp() {
        return "127.0.1." + (dataNodes.size() + 1);
    }

    private String nextDataName() {
        return "data-" + (dataNodes.size() + 1);
    }

    private int added(DataNode node, HostPort frontend, boolean waitUntilReady) {
        dataNodes.add(node);
        frontends.add(frontend);
        if (waitUntilReady) {
            awaitReady(dataNodes.size() - 1);
        }
        return dataNodes.size() - 1;
    }

    /** Waits until a data node says that it is ready. */
    public void awaitReady(int index) {
        dataNodes.get(index).ready().orTimeout(READY_S, TimeUnit.SECONDS).join();
    }

    /** Where clients reach a data node. */
    public HostPort frontend(int index) {
        return frontends.get(index);
    }

    /** Ends a data node in order. */
    public void stopData(int index) {
        dataNodes.get(index).stop();
    }

    /**
     * Gives an order, as the operator does: to one control node after the other until there is a clear answer.
     *
     * @param kind {@code replace} or {@code patch}
     * @return the status
     */
    public int order(String kind, long base, String json) throws IOException {
        List<Integer> numbers = new ArrayList<>(controlNodes.keySet());
        for (int i = 0; i < MOST_CALLS; i++) {
            int status = orderAt(numbers.get(i % numbers.size()), kind, base, json);
            if (status / 100 != 5) {
                return status;
            }
        }
        throw new IOException("no clear answer");
    }

    /** Gives an order to one control node. @return the status */
    public int orderAt(int number, String kind, long base, String json) throws IOException {
        return LoopbackHttp.call(controlAddress(number), "POST", "/rowanplank/config/" + kind,
                Map.of("Rowanplank-Base-Version", Long.toString(base)), json.getBytes(StandardCharsets.UTF_8)).status();
    }

    /** Calls a control node as an operator or a server does. @param path behind {@code /rowanplank/} */
    public LoopbackHttp.Answer call(int number, String method, String path, String body) throws IOException {
        return LoopbackHttp.call(controlAddress(number), method, "/rowanplank/" + path, Map.of(),
                body.getBytes(StandardCharsets.UTF_8));
    }

    /** Reads the configuration back at a control node. */
    public LoopbackHttp.Answer configuration(int number) throws IOException {
        return LoopbackHttp.call(controlAddress(number), "GET", "/rowanplank/config/get", Map.of(), new byte[0]);
    }

    @Override
    public void close() {
        dataNodes.forEach(DataNode::crash);
        controlNodes.values().forEach(ControlNode::crash);
    }
}
