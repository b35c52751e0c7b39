package rowanplank.cost;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tomlj.Toml;

/**
 * Days of operation in a minute or two: a real node, started as in deploy/balancer.toml, on loopback, while members
 * drain, go and come at old addresses under new ids, clients ask once and linger or vanish, bad clients send what they
 * must not, and configurations are replaced. Prints what the node holds, one line a sample. Run by scripts/soak.
 */
public final class SoakTool {
    private static final int SERVERS = 12;
    private static final int BODY_BYTES = 1024;
    private static final int CONNECTIONS = 60;
    private static final int AT_A_TIME = 8;
    private static final long REPLACE_MILLIS = 50;
    private static final long BAD_CLIENT_MILLIS = 10;
    private static final long RELOAD_MILLIS = 2000;
    private static final int KEPT_BAD = 150;
    private static final String SERVE = "-jar target/rowanplank.jar serve";
    private static final Pattern LISTENS = Pattern.compile("listens at 127\\.0\\.0\\.1:(\\d+)");
    private static final Pattern SAMPLE = Pattern.compile("^SAMPLE (\\S+) (\\S+) (\\S+) (\\S+) (\\d+) (\\d+) (.*)$");
    /** What bad clients begin with; the connection then stays as it is until others have taken its turn. */
    private static final List<String> BAD = List.of("", "GET /article HTTP/1.1\r\nX-Long: ", "no request\r\n\r\n",
            "GET /article/1 HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\n\r\n",
            "POST /order HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nContent-Length: 60000\r\n\r\nhalf",
            "GET /article/1 HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Timeout: never\r\n\r\n");

    private final StubServers servers = new StubServers(SERVERS, BODY_BYTES);
    private final String[] ids = new String[SERVERS];
    private final String[] ports = servers.ports().split(" ");
    private final TreeMap<Integer, String> changes = new TreeMap<>();
    private int revision = 1;
    private int replaced;
    private long badClients;
    private volatile boolean over;

    private SoakTool() throws IOException {
        for (int i = 0; i < SERVERS; i++) {
            ids[i] = "s-" + i + "-0";
        }
    }

    // ---- discovery, at two addresses

    private HttpServer discovery() throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/discovery/hosts", this::tell);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.start();
        return server;
    }

    private String member(int slot, String phase) {
        long started = replaced % 4 == 0 ? System.currentTimeMillis() : 0;
        return "{\"id\":\"" + ids[slot] + "\",\"host_port\":\"127.0.0.1:" + ports[slot] + "\",\"locality\":\"a\",\"cell\":0,"
                + "\"phase\":\"" + phase + "\",\"size\":1.0,\"up_since_ms\":" + started + "}";
    }

    private synchronized void change(String members) {
        changes.put(++revision, members);
        notifyAll();
    }

    /** One drains, and the one that drained before goes; another takes its address under a new id. */
    private synchronized void replace() {
        int slot = replaced % SERVERS;
        int next = (replaced + 1) % SERVERS;
        String gone = member(slot, "gone");
        ids[slot] = "s-" + slot + "-" + ++replaced;
        change(gone + "," + member(slot, "ready") + "," + member(next, "draining"));
    }

    private void tell(HttpExchange call) throws IOException {
        Matcher index = Pattern.compile("index=(\\d+)").matcher(String.valueOf(call.getRequestURI().getQuery()));
        String text;
        synchronized (this) {
            boolean whole = !index.find();
            try {
                if (!whole && Integer.parseInt(index.group(1)) == revision) {
                    wait(1500);
                }
            } catch (InterruptedException e) {
                return;
            }
            String members = whole ? Stream.iterate(0, i -> i < SERVERS, i -> i + 1).map(i -> member(i, "ready"))
                    .collect(Collectors.joining(",")) : String.join(",",
                    changes.tailMap(Integer.parseInt(index.group(1)), false).values());
            text = "{\"revision\":" + revision + ",\"complete\":" + whole + ",\"members\":[" + members + "]}";
        }
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        call.sendResponseHeaders(200, bytes.length);
        call.getResponseBody().write(bytes);
        call.close();
    }

    // ---- clients

    private Thread thread(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                if (!over) {
                    e.printStackTrace();
                }
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private interface Task {
        void run() throws Exception;
    }

    private void usualClients(int port) throws IOException {
        try (LoadClient client = new LoadClient(port, CONNECTIONS, true)) {
            while (!over) {
                client.run(AT_A_TIME, Duration.ofMillis(200));
            }
        }
    }

    /** They stay open, silent or half done, until so many others have come; half of them end by a reset. */
    private void badClients(int port) throws Exception {
        Deque<Socket> kept = new ArrayDeque<>();
        while (!over) {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
            kept.add(socket);
            badClients++;
            String text = BAD.get((int) (badClients % BAD.size())).formatted("bad-" + badClients);
            try {
                socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            } catch (IOException e) {
                // the node has closed it
            }
            if (kept.size() > KEPT_BAD) {
                Socket oldest = kept.poll();
                oldest.setSoLinger(badClients % 2 == 0, 0);
                oldest.close();
            }
            Thread.sleep(BAD_CLIENT_MILLIS);
        }
        for (Socket s : kept) {
            s.close();
        }
    }

    // ---- the node

    private static String config(String discovery) {
        return """
                {"seed":"8c1f30d27a5be964","name":"n0","listen":"127.0.0.1:0","discovery":"%s",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":384},
                 "settings":{"balancers":3,"position":0,"zone":0,"zones":["a"],"membership_mode":"push","classes":[
                  {"name":"article","aim_ms":680,"deadline_ms":1700,"effect":"repeatable"},
                  {"name":"order","aim_ms":680,"deadline_ms":1700,"effect":"once"}],
                 "ceilings":{"most_tries":6,"may_cancel":true,"conn_idle_ms":30000,"connect_timeout_ms":250,
                  "retry_after":true,"max_retry_after_ms":2000},
                 "rules":{"answer_slack_ms":20,"cold_from":0.12,"cold_ms":24000,"fall_multiple":2.5}}}"""
                .formatted(discovery);
    }

    private static int descriptors(long pid) throws IOException {
        try (Stream<Path> all = Files.list(Path.of("/proc/" + pid + "/fd"))) {
            return (int) all.count();
        }
    }

    private static double status(long pid, String key) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream().filter(l -> l.startsWith(key + ":"))
                .mapToDouble(l -> Double.parseDouble(l.replaceAll("[^0-9]", ""))).findFirst().orElse(0);
    }

    private static long bytes(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            return all.filter(Files::isRegularFile).mapToLong(f -> f.toFile().length()).sum();
        }
    }

    private void run(Path root, int samples) throws Exception {
        Path folder = Files.createTempDirectory("soak");
        Path file = folder.resolve("config.json");
        List<HttpServer> discoveries = new ArrayList<>(List.of(discovery(), discovery()));
        String[] addresses = discoveries.stream().map(d -> "127.0.0.1:" + d.getAddress().getPort()).toArray(String[]::new);
        Files.writeString(file, config(addresses[0]));
        Path tests = Path.of(SoakTool.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        String run = "ulimit -n 384; " + Toml.parse(root.resolve("deploy/balancer.toml")).getString("run")
                .replace(SERVE, "-cp target/rowanplank.jar:" + tests + " rowanplank.cli.SoakNode");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(root.toFile()).redirectErrorStream(true);
        builder.environment().putAll(Map.of("EDGE_NAME", "n0", "EDGE_LISTEN", "127.0.0.1:0", "EDGE_DISCOVERY",
                addresses[0], "EDGE_CONFIG", file.toString(), "TMPDIR", folder.toString()));
        Process node = builder.start();
        try (BufferedReader log = new BufferedReader(new InputStreamReader(node.getInputStream(), StandardCharsets.UTF_8))) {
            System.out.println("s, replaced, bad clients, RSS MB, heap MB, descriptors, threads, log bytes, file bytes, "
                    + "decision us p50 p99 max, events, open, counters");
            watch(node, log, file, folder, addresses, samples);
        } finally {
            over = true;
            node.destroyForcibly().waitFor();
            discoveries.forEach(d -> d.stop(0));
            servers.close();
            Files.delete(file);
            Files.delete(folder);
        }
    }

    private void watch(Process node, BufferedReader log, Path file, Path folder, String[] addresses, int samples)
            throws Exception {
        long began = System.nanoTime();
        long logged = 0;
        int taken = 0;
        for (String line; taken < samples && (line = log.readLine()) != null;) {
            Matcher listens = LISTENS.matcher(line);
            Matcher sample = SAMPLE.matcher(line);
            if (listens.find()) {
                begin(Integer.parseInt(listens.group(1)), node, file, addresses);
            }
            if (!sample.find()) {
                logged += line.length() + 1;
                continue;
            }
            taken++;
            System.out.printf(Locale.ROOT, "%.0f, %d, %d, %.1f, %s, %d, %.0f, %d, %d, %s %s %s, %s, %s, %s%n",
                    (System.nanoTime() - began) / 1e9, replaced, badClients, status(node.pid(), "VmRSS") / 1024,
                    sample.group(1), descriptors(node.pid()), status(node.pid(), "Threads"), logged, bytes(folder),
                    sample.group(2), sample.group(3), sample.group(4), sample.group(5), sample.group(6), sample.group(7));
        }
    }

    private void begin(int port, Process node, Path file, String[] addresses) {
        thread(() -> {
            while (!over) {
                Thread.sleep(REPLACE_MILLIS);
                replace();
            }
        });
        thread(() -> usualClients(port));
        thread(() -> badClients(port));
        thread(() -> {
            for (int i = 1; !over; i++) {
                Thread.sleep(RELOAD_MILLIS);
                Files.writeString(file, i % 5 == 0 ? "{" : config(addresses[i % 2]));
                new ProcessBuilder("kill", "-HUP", Long.toString(node.pid())).start().waitFor();
            }
        });
    }

    public static void main(String[] args) throws Exception {
        new SoakTool().run(Path.of("").toAbsolutePath(), args.length > 0 ? Integer.parseInt(args[0]) : 12);
    }
}
