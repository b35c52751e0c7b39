package routerfleet.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import routerfleet.demo.EmulatedServer;
import routerfleet.demo.EmulatedServer.AnswerKind;
import routerfleet.demo.EventNumbering;
import routerfleet.demo.LoopbackHttp;
import routerfleet.settings.HostPort;

/**
 * Control nodes and data nodes as processes on loopback addresses, emulated servers in this process, and an ingress that
 * leaves out data nodes which are not ready. Nothing runs before it is started.
 */
final class ProcessFleet implements AutoCloseable {
    /**
     * What all nodes of a fleet are told.
     *
     * @param bounds further lines of the settings file
     */
    record Options(int controlNodes, int dataNodes, int zones, int hostsLost, long heartbeatMs, long graceMs,
            String bounds, DeployCommands commands) { }

    private static final int FIRST_PORT = 12_000;
    private static final int PORTS = 18_000;
    private static final int OK = 200;
    private static final int SEEDS = 3;
    private static final int READY_WAIT_S = 60;
    private static final int READINESS_INTERVAL_MS = 1_000;

    private final Options options;
    private final Path folder;
    private final int frontendPort = freePort();
    private final int readinessPort = freePort();
    private final int controlPort = freePort();
    private final int internalPort = freePort();
    private final List<FleetProcess> controlNodes = new ArrayList<>();
    private final List<FleetProcess> dataNodes = new ArrayList<>();
    private final List<EmulatedServer> servers = new ArrayList<>();
    private volatile List<FleetProcess> ingress = List.of();
    /** Ids of requests that have arrived at a server. */
    private final Set<String> seenIds = ConcurrentHashMap.newKeySet();

    /** @param folder for settings, disks and logs */
    ProcessFleet(Options options, Path folder) throws IOException {
        this.options = options;
        this.folder = folder;
        for (int i = 1; i <= options.controlNodes(); i++) {
            controlNodes.add(node("control-plane", "control-" + i, "127.0.2." + i, i));
        }
        for (int i = 1; i <= options.dataNodes(); i++) {
            dataNodes.add(node("data-plane", "data-" + i, "127.0.3." + i, i));
        }
    }

    /** A port that is free now on all addresses, and the one behind it. */
    static int freePort() throws IOException {
        SplittableRandom ports = new SplittableRandom();
        while (true) {
            int port = FIRST_PORT + ports.nextInt(PORTS);
            try (ServerSocket first = new ServerSocket(); ServerSocket second = new ServerSocket()) {
                first.bind(new InetSocketAddress("0.0.0.0", port));
                second.bind(new InetSocketAddress("0.0.0.0", port + 1));
                return port;
            } catch (IOException e) {
                // another one is drawn
            }
        }
    }

    private FleetProcess node(String role, String name, String ip, int number) throws IOException {
        boolean isData = role.equals("data-plane");
        String seeds = IntStream.rangeClosed(1, Math.min(SEEDS, options.controlNodes()))
                .mapToObj(i -> "127.0.2." + i + ":" + controlPort).collect(Collectors.joining(","));
        String zones = IntStream.range(0, options.zones()).mapToObj(i -> "zones.z" + i + "=region\n")
                .collect(Collectors.joining());
        String listen = isData
                ? "listen.frontend=" + ip + ":" + frontendPort + "\nlisten.readiness=" + ip + ":" + readinessPort
                : "listen.control_plane=" + ip + ":" + controlPort + "\ndata_path=" + folder.resolve(name + "-disk");
        Path file = folder.resolve(name + ".conf");
        Files.writeString(file, """
                node_name=%s
                ip=%s
                zone=z%d
                %s%s
                port_range=%d,%d
                seed_nodes=%s
                bootstrap=true
                heartbeat_ms=%d
                fault_tolerance.hosts_lost=%d
                bounds.grace_s=%d
                bounds.retry_slack=8
                %s""".formatted(name, ip, (number - 1) % options.zones(), zones, listen, internalPort, internalPort + 1,
                seeds, options.heartbeatMs(), options.hostsLost(), options.graceMs() / 1_000, options.bounds()));
        return new FleetProcess(options.commands().of(role), name, new HostPort(ip, isData ? frontendPort : controlPort),
                file);
    }

    List<FleetProcess> controlNodes() {
        return controlNodes;
    }

    List<FleetProcess> dataNodes() {
        return dataNodes;
    }

    List<EmulatedServer> servers() {
        return servers;
    }

    /** The runs of requests at all servers. */
    List<EmulatedServer.Run> runs() {
        return servers.stream().flatMap(server -> server.runs().stream()).toList();
    }

    /** Starts everything, and waits until all data nodes are ready with the first configuration. */
    void start(int llmServers) throws IOException, InterruptedException {
        for (FleetProcess node : controlNodes) {
            node.start();
        }
        for (FleetProcess node : dataNodes) {
            node.start();
        }
        startServers(llmServers);
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_WAIT_S);
        while (!configure("replace", 0, SoakConfigurations.routes(1, 0)) && System.nanoTime() - endNanos < 0) {
            Thread.sleep(100);
        }
        while (dataNodes.stream().anyMatch(node -> !isReady(node)) && System.nanoTime() - endNanos < 0) {
            Thread.sleep(100);
        }
        openIngress();
    }

    /** Sends a configuration to the control nodes in turn. @return whether it was acknowledged */
    boolean configure(String kind, long baseVersion, String json) {
        for (FleetProcess node : controlNodes) {
            try {
                int status = LoopbackHttp.call(node.address(), "POST", "/rowanplank/config/" + kind,
                        Map.of("Rowanplank-Base-Version", Long.toString(baseVersion)),
                        json.getBytes(StandardCharsets.UTF_8)).status();
                if (status == OK) {
                    return true;
                }
            } catch (IOException e) {
                // the next one is called
            }
        }
        return false;
    }

    /** Starts servers of the three backends that the configurations of {@link SoakConfigurations} name. */
    void startServers(int llmServers) throws IOException {
        List<HostPort> control = controlNodes.stream().map(FleetProcess::address).toList();
        servers.add(new EmulatedServer("web-1", "web", control, this::pace));
        servers.add(new EmulatedServer("web-2", "web", control, this::pace));
        servers.add(new EmulatedServer("solo-1", "solo", control, this::pace));
        for (int i = 1; i <= llmServers; i++) {
            servers.add(new EmulatedServer("llm-" + i, "llm", control, this::pace));
        }
    }

    /** Paces a response as the request's path says; only the first server that is asked refuses or breaks off. */
    private EmulatedServer.Pace pace(EmulatedServer.Arrival arrival) {
        boolean first = seenIds.add(arrival.headers().get("rowanplank-attempt-id"));
        int events = (int) parameter(arrival, "events");
        return new EmulatedServer.Pace(parameter(arrival, "silence"), events, parameter(arrival, "gap"),
                parameter(arrival, "stall"), EventNumbering.values()[(int) parameter(arrival, "numbering")],
                first ? (int) parameter(arrival, "cut") : -1,
                first && parameter(arrival, "refuse") > 0 ? AnswerKind.REFUSED
                        : parameter(arrival, "unframed") > 0 ? AnswerKind.WITHOUT_LENGTH : AnswerKind.SERVED);
    }

    private static long parameter(EmulatedServer.Arrival arrival, String name) {
        String path = arrival.path();
        int from = path.indexOf(name + "=") + name.length() + 1;
        int to = path.indexOf('&', from);
        return Long.parseLong(path.substring(from, to < 0 ? path.length() : to));
    }

    /** Whether a data node says that it is ready. */
    boolean isReady(FleetProcess node) {
        try {
            return LoopbackHttp.call(new HostPort(node.address().host(), readinessPort), "GET", "/rowanplank/readyz",
                    Map.of(), new byte[0]).status() == OK;
        } catch (IOException e) {
            return false;
        }
    }

    /** Opens the ingress to all data nodes. */
    void openIngress() {
        ingress = List.copyOf(dataNodes);
    }

    /** Leaves out nodes that have not been ready twice in a row, as the ingress does, until it is stopped. */
    Void watchReadiness(AtomicBoolean stopped) throws InterruptedException {
        Map<FleetProcess, Integer> misses = new HashMap<>();
        while (!stopped.get()) {
            Thread.sleep(READINESS_INTERVAL_MS);
            dataNodes.forEach(node -> misses.put(node, isReady(node) ? 0 : misses.getOrDefault(node, 0) + 1));
            List<FleetProcess> in = dataNodes.stream().filter(node -> misses.get(node) < 2).toList();
            ingress = in.size() * 2 < dataNodes.size() ? List.copyOf(dataNodes) : in;
        }
        return null;
    }

    /** A data node for a client's new connection; null if there is none. */
    FleetProcess chooseNode(SplittableRandom random) {
        List<FleetProcess> in = ingress;
        return in.isEmpty() ? null : in.get(random.nextInt(in.size()));
    }

    @Override
    public void close() throws IOException {
        for (EmulatedServer server : servers) {
            server.close();
        }
        for (FleetProcess node : dataNodes) {
            node.close();
        }
        for (FleetProcess node : controlNodes) {
            node.close();
        }
    }
}
