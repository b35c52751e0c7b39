package rowanplank.cost;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * What a request costs a real node, in microseconds of CPU, by the kernel's count: the node is one process on a core
 * of its own, started as in deploy/balancer.toml; clients, discovery and page servers that answer at once run here.
 * Each figure is written to a file, one line a measurement, so that a table can be made of several rounds.
 */
@Command(name = "cost", description = "Measures the CPU that a request costs a node, on loopback.")
public final class CostTool implements Callable<Integer> {
    private static final int BODY_BYTES = 1024;
    /** Well below the places at ten servers: no request waits for another. */
    private static final int AT_A_TIME = 16;
    /** Part of its core that the node must have had where it is kept busy; with less, others were on the core. */
    static final double LEAST_BUSY = 0.93;
    private static final int MOST_ATTEMPTS = 2;
    private static final int ACTIVE = 10;
    /** Bounds on connections follow from it; at rest under a quarter of the most, none of them acts. */
    private static final int ROOMY = 65_536;
    /** What the platform gives. */
    private static final int TIGHT = 1024;

    /** How the connections are used. */
    enum Shape {
        /** All ask in turn, a few at a time. */
        TURN,
        /** Each has asked once; ten ask on. */
        REST,
        /** Each asks once and is kept; the oldest makes place for a new one. */
        ONCE,
        /** All have a request out at any time. */
        ALL,
        /** As TURN, with more connections than the platform's descriptors allow. */
        CROWD
    }

    @Parameters(paramLabel = "SHAPE:CONNECTIONS:SERVERS", arity = "1..*", description = "what to measure")
    private List<String> scenarios;

    @Option(names = "--node", paramLabel = "NAME=ROOT", required = true,
            description = "folders with deploy/balancer.toml and target/rowanplank.jar; NAME relay: the bare relay")
    private Map<String, Path> nodes = new LinkedHashMap<>();

    @Option(names = "--rounds", defaultValue = "1")
    private int rounds;

    @Option(names = "--warm", defaultValue = "3", description = "seconds before each measurement")
    private int warm;

    @Option(names = "--seconds", defaultValue = "4", description = "seconds of each measurement")
    private int seconds;

    @Option(names = "--core", defaultValue = "1", description = "the core that the node runs on, and nothing else")
    private int core;

    @Option(names = "--out", required = true, description = "the file to which each measurement is added")
    private Path out;

    @Option(names = "--profile", description = "a recording of the node (jdk.ExecutionSample) is written there")
    private Path profile;

    public static void main(String[] args) {
        System.exit(new CommandLine(new CostTool()).setCaseInsensitiveEnumValuesAllowed(true).execute(args));
    }

    @Override
    public Integer call() throws IOException {
        for (int round = 0; round < rounds; round++) {
            for (String scenario : scenarios) {
                for (Map.Entry<String, Path> node : nodes.entrySet()) {
                    write(node, scenario);
                }
            }
        }
        return 0;
    }

    private void write(Map.Entry<String, Path> node, String scenario) throws IOException {
        String[] parts = scenario.toUpperCase(Locale.ROOT).split(":");
        for (int attempt = 0; attempt < MOST_ATTEMPTS; attempt++) {
            Figures figures = measure(node.getKey(), node.getValue(), Shape.valueOf(parts[0]),
                    Integer.parseInt(parts[1]), Integer.parseInt(parts[2]));
            String line = node.getKey() + " " + scenario + " " + figures.text(seconds);
            System.out.println(line);
            Files.writeString(out, line + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
            if (figures.busy(seconds) >= LEAST_BUSY) {
                return;
            }
        }
    }

    private record Figures(NodeProcess.Cpu cpu, LoadClient.Counts counts, Histogram latencies, double memory) {
        double busy(int seconds) {
            return cpu.total() / 1e6 / seconds;
        }

        String text(int seconds) {
            return String.format(Locale.ROOT, "cpu_us %.1f user_us %.1f system_us %.1f busy %.2f rate %d served %d"
                    + " refused %d failed %d closed %d p50_ms %.2f p99_ms %.2f memory_mb %.0f",
                    cpu.total() / counts.answered(), cpu.user() / counts.answered(),
                    cpu.system() / counts.answered(), busy(seconds), counts.answered() / seconds, counts.served(),
                    counts.refused(), counts.failed(), counts.closed(), latencies.getValueAtPercentile(50) / 1e6,
                    latencies.getValueAtPercentile(99) / 1e6, memory);
        }
    }

    private Figures measure(String name, Path root, Shape shape, int connections, int servers) throws IOException {
        Path classes = Path.of(System.getProperty("java.class.path").split(":")[0]).toAbsolutePath();
        String relay = name.equals("relay") ? classes.toString() : null;
        try (StubServers stubs = new StubServers(servers, BODY_BYTES);
                NodeProcess node = new NodeProcess(root, core, config(stubs, shape), stubs, relay, profile);
                LoadClient client = new LoadClient(node.port(), connections, shape == Shape.ONCE)) {
            awaitList(client);
            client.prime(AT_A_TIME);
            if (shape == Shape.REST) {
                client.keepAsking(ACTIVE);
            }
            int atATime = shape == Shape.ALL ? connections : Math.min(connections, AT_A_TIME);
            client.run(atATime, Duration.ofSeconds(warm));
            client.latencies().reset();
            LoadClient.Counts before = client.counts();
            NodeProcess.Cpu cpuBefore = node.cpu();
            client.run(atATime, Duration.ofSeconds(seconds));
            NodeProcess.Cpu cpu = node.cpu().since(cpuBefore);
            LoadClient.Counts counts = client.counts().since(before);
            return new Figures(cpu, counts, client.latencies(), node.memory());
        }
    }

    /** Requests are refused until the node has its list. */
    private static void awaitList(LoadClient client) throws IOException {
        long served = client.counts().served();
        while (client.counts().served() == served) {
            client.run(1, Duration.ofMillis(20));
        }
    }

    private static String config(StubServers servers, Shape shape) {
        return """
                {"seed":"8c1f30d27a5be964","name":"n0","listen":"127.0.0.1:0","discovery":"%s","limits":{"sockets":%d},
                 "settings":{"balancers":1,"position":0,"zone":0,"zones":["a"],"membership_mode":"push","classes":[
                  {"name":"article","aim_ms":2000,"deadline_ms":20000,"effect":"repeatable"},
                  {"name":"order","aim_ms":2000,"deadline_ms":20000,"effect":"once"}],
                 "ceilings":{"most_tries":6,"may_cancel":true,"conn_idle_ms":30000,"connect_timeout_ms":250,
                  "retry_after":true,"max_retry_after_ms":2000},
                 "rules":{"answer_slack_ms":20,"cold_from":0.1,"cold_ms":20000,"fall_multiple":2.5}}}"""
                .formatted(servers.discovery(), shape == Shape.CROWD ? TIGHT : ROOMY);
    }
}
