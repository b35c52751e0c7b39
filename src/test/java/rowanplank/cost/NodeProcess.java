package rowanplank.cost;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tomlj.Toml;

/** One real node, or the bare relay in its place, started by the {@code run} line of a folder's deploy file. */
final class NodeProcess implements AutoCloseable {
    private static final Pattern LISTENS = Pattern.compile("listens at 127\\.0\\.0\\.1:(\\d+)");
    private static final String PROGRAM = "-jar target/rowanplank.jar serve";
    private static final String RECORDING =
            "-XX:StartFlightRecording=settings=profile,jdk.ExecutionSample#period=1ms,dumponexit=true,filename=";
    /** The kernel counts a process's time in these, on every machine that this tool is made for. */
    private static final double TICK_MICROS = 10_000;
    private static final int USER_TIME = 11; // fields of /proc/PID/stat after the name, from 0 (proc(5): 14 and 15)
    private static final int SYSTEM_TIME = 12;

    private final Process process;
    private final Path folder;
    private final int port;

    /** CPU time that a process has taken since its start, in microseconds. */
    record Cpu(double user, double system) {
        Cpu since(Cpu earlier) {
            return new Cpu(user - earlier.user, system - earlier.system);
        }

        double total() {
            return user + system;
        }
    }

    /**
     * @param root the folder with deploy/balancer.toml and target/rowanplank.jar
     * @param core the core that the node has to itself
     * @param relay the classes of the bare relay, which is then started in place of the node; else null
     * @param profile where a recording of the whole run is written; null for none
     */
    NodeProcess(Path root, int core, String config, StubServers servers, String relay, Path profile)
            throws IOException {
        folder = Files.createTempDirectory("cost");
        Path file = Files.writeString(folder.resolve("config.json"), config);
        String run = Toml.parse(root.resolve("deploy/balancer.toml")).getString("run");
        if (relay != null) {
            run = run.replace(PROGRAM, "-cp " + relay + " rowanplank.cost.BareRelay " + servers.ports());
        }
        if (profile != null) { // the recorder's own classes and code do not fit within the bounds
            run = run.replaceAll("-XX:(MaxMetaspaceSize|ReservedCodeCacheSize)=\\S+", "")
                    .replace(" java ", " java " + RECORDING + profile + " ");
        }
        ProcessBuilder builder = new ProcessBuilder("taskset", "-c", Integer.toString(core), "/bin/sh", "-c", run)
                .directory(root.toFile()).redirectErrorStream(true);
        builder.environment().putAll(Map.of("EDGE_NAME", "n0", "EDGE_LISTEN", "127.0.0.1:0", "EDGE_DISCOVERY",
                servers.discovery(), "EDGE_CONFIG", file.toString(), "TMPDIR", folder.toString()));
        process = builder.start();
        BufferedReader log = new BufferedReader(
                new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        port = awaitPort(log);
        Thread reader = new Thread(() -> log.lines().forEach(line -> {
            if (line.contains("WARN") || line.contains("Error")) {
                System.err.println("node: " + line);
            }
        }));
        reader.setDaemon(true);
        reader.start();
    }

    private static int awaitPort(BufferedReader log) throws IOException {
        StringBuilder seen = new StringBuilder();
        for (String line; (line = log.readLine()) != null;) {
            Matcher m = LISTENS.matcher(line);
            if (m.find()) {
                return Integer.parseInt(m.group(1));
            }
            seen.append(line).append('\n');
        }
        throw new IOException("the node did not come up:\n" + seen);
    }

    int port() {
        return port;
    }

    Cpu cpu() throws IOException {
        String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return new Cpu(Long.parseLong(fields[USER_TIME]) * TICK_MICROS,
                Long.parseLong(fields[SYSTEM_TIME]) * TICK_MICROS);
    }

    /** What the process holds in memory, in MB. */
    double memory() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
            if (line.startsWith("VmRSS:")) {
                return Integer.parseInt(line.replaceAll("\\D", "")) / 1024.0;
            }
        }
        return 0;
    }

    @Override
    public void close() throws IOException {
        process.toHandle().destroy(); // which leaves the log open to its reader
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        try (var files = Files.walk(folder)) {
            for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(p);
            }
        }
    }
}
