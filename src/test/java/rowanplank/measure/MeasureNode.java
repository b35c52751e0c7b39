package rowanplank.measure;

import static java.util.stream.Collectors.joining;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * What a node costs before it decides anything: its start, its memory, and its processor time a request, where page
 * servers and discovery answer at once. Starts built trees by the {@code run} line of their deploy/balancer.toml, one
 * after the other, in turn. Run by scripts/measure-node.sh as a single source file; it is no test.
 */
public final class MeasureNode {
    private static final int SERVERS = 10;
    private static final int CLIENTS = 32;
    private static final int REQUESTS_A_SECOND = 1000;
    private static final int STARTS = 3;
    private static final Duration WARM_UP = Duration.ofSeconds(3);
    /** Short and many, in turn: what else the machine does comes and goes, and falls on all builds alike. */
    private static final Duration SLICE = Duration.ofMillis(500);
    private static final int SLICES = 11;
    private static final long REST_MILLIS = 1000;
    private static final long PATIENCE_SECONDS = 60;
    private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 1024\r\n\r\n"
            + "x".repeat(1024);
    private static final Pattern LENGTH = Pattern.compile("(?i)\r\ncontent-length: *(\\d+)");
    private static final String CONFIG = """
            {"seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 384}, "settings":
             {"balancers": 1, "position": 0, "zone": 0, "zones": ["a"], "membership_mode": "push", "classes": [
               {"name": "article", "aim_ms": 400, "deadline_ms": 1200, "effect": "repeatable"}],
              "ceilings": {"most_tries": 3, "may_cancel": true, "conn_idle_ms": 30000, "connect_timeout_ms": 250},
              "rules": {"answer_slack_ms": 20, "cold_from": 0.1, "cold_ms": 20000, "fall_multiple": 2.5}}}""";

    private enum Figure {
        UP("start to `/up` = 200, ms"), START("resident after start, MB"), LOAD("resident after load, MB"),
        CPU("CPU a request, µs");

        final String title;

        Figure(String title) {
            this.title = title;
        }
    }

    private record Build(String name, Path root, Map<Figure, List<Double>> figures) {
        void add(Figure figure, double value) {
            figures.computeIfAbsent(figure, f -> new ArrayList<>()).add(value);
        }
    }

    /** A node that is up. */
    private record Running(Build build, Process process, Path folder, int port) {
        void stop() throws Exception {
            process.destroyForcibly().waitFor();
            try (Stream<Path> files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(folder);
        }
    }

    private MeasureNode() { }

    /** @param args how many runs, the processor for the nodes, and builds as NAME=FOLDER */
    public static void main(String[] args) throws Exception {
        List<Build> builds = Stream.of(args).skip(2).map(a -> a.split("=", 2))
                .map(a -> new Build(a[0], Path.of(a[1]).toAbsolutePath(), new EnumMap<>(Figure.class))).toList();
        List<String> members = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            members.add(member("s-" + i, serve(request -> ANSWER)));
        }
        int discovery = serve(request -> discovery(request, members));
        for (int run = 0; run < Integer.parseInt(args[0]); run++) {
            List<Build> turns = new ArrayList<>(builds);
            Collections.rotate(turns, run); // no build always comes first
            measure(turns, args[1], discovery);
            System.err.println("run " + run + ": " + builds);
        }
        print(builds);
    }

    private static void print(List<Build> builds) {
        System.out.println("| build |" + Stream.of(Figure.values()).map(f -> " " + f.title + " |").collect(joining()));
        System.out.println("| --- |" + " --- |".repeat(Figure.values().length));
        for (Build b : builds) {
            System.out.println("| " + b.name() + " |" + b.figures().values().stream().map(values -> {
                double[] f = values.stream().mapToDouble(v -> v).sorted().toArray();
                return String.format(Locale.ROOT, " %.1f (%.1f to %.1f) |", f[f.length / 2], f[0], f[f.length - 1]);
            }).collect(joining()));
        }
    }

    // ---- one run

    private static void measure(List<Build> builds, String processor, int discovery) throws Exception {
        List<Running> running = new ArrayList<>();
        try {
            for (int start = 0; start < STARTS; start++) {
                for (Running r : running) {
                    r.stop();
                }
                running.clear();
                for (Build b : builds) {
                    running.add(start(b, processor, discovery));
                }
            }
            Thread.sleep(REST_MILLIS);
            for (Running r : running) {
                r.build().add(Figure.START, residentMb(r.process().pid()));
                load(r.port(), WARM_UP);
            }
            double[][] costs = new double[running.size()][SLICES];
            for (int slice = 0; slice < SLICES; slice++) {
                for (int i = 0; i < running.size(); i++) {
                    costs[i][slice] = cost(running.get(i));
                }
            }
            for (int i = 0; i < running.size(); i++) {
                Arrays.sort(costs[i]);
                running.get(i).build().add(Figure.LOAD, residentMb(running.get(i).process().pid()));
                running.get(i).build().add(Figure.CPU, costs[i][SLICES / 2]);
            }
        } finally {
            for (Running r : running) {
                r.stop();
            }
        }
    }

    /** Microseconds of processor time for each request of a slice. */
    private static double cost(Running r) throws Exception {
        long before = cpuNanos(r.process().pid());
        long requests = load(r.port(), SLICE);
        return (cpuNanos(r.process().pid()) - before) / 1e3 / requests;
    }

    private static Running start(Build build, String processor, int discovery) throws Exception {
        Path folder = Files.createTempDirectory("measure-node");
        Path config = Files.writeString(folder.resolve("config.json"), CONFIG);
        int port = freePort();
        List<String> command = new ArrayList<>(List.of("/bin/sh", "-c", runLine(build.root())));
        if (!processor.isEmpty()) {
            command.addAll(0, List.of("taskset", "-c", processor));
        }
        ProcessBuilder builder = new ProcessBuilder(command).directory(build.root().toFile())
                .redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile());
        builder.environment().putAll(Map.of("TMPDIR", folder.toString(), "EDGE_CONFIG", config.toString(),
                "EDGE_NAME", "n0", "EDGE_LISTEN", "127.0.0.1:" + port, "EDGE_DISCOVERY", "127.0.0.1:" + discovery));
        long began = System.nanoTime();
        Running running = new Running(build, builder.start(), folder, port);
        try {
            awaitUp(running);
        } catch (IOException e) {
            running.stop();
            throw e;
        }
        build.add(Figure.UP, (System.nanoTime() - began) / 1e6);
        return running;
    }

    private static String runLine(Path root) throws IOException {
        String deployment = Files.readString(root.resolve("deploy/balancer.toml"));
        Matcher m = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deployment);
        if (!m.find() || !Files.exists(root.resolve("target/rowanplank.jar"))) {
            throw new IOException(root + " is no built tree with a run line");
        }
        return m.group(1).replace("\\\"", "\"");
    }

    private static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return s.getLocalPort();
        }
    }

    private static void awaitUp(Running node) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
        while (!isUp(node.port())) {
            if (!node.process().isAlive() || System.nanoTime() > until) {
                throw new IOException("the node is not up: " + Files.readString(node.folder().resolve("log")));
            }
            Thread.sleep(1);
        }
    }

    private static boolean isUp(int port) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            return ask(socket, in, "/up", "up").startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends requests at an even pace, whatever the answers take; each must be served. @return how many */
    private static long load(int port, Duration time) throws Exception {
        long began = System.nanoTime();
        long ends = began + time.toNanos();
        long step = TimeUnit.SECONDS.toNanos(1) * CLIENTS / REQUESTS_A_SECOND;
        AtomicLong served = new AtomicLong();
        AtomicLong failed = new AtomicLong();
        List<Thread> clients = IntStream.range(0, CLIENTS).mapToObj(i -> new Thread(() -> {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                long number = 0;
                for (long at = began + i * step / CLIENTS; at < ends; at += step) {
                    TimeUnit.NANOSECONDS.sleep(at - System.nanoTime());
                    String answer = ask(socket, in, "/article/7", began + "-" + i + "-" + number++);
                    (answer.startsWith("HTTP/1.1 200") ? served : failed).incrementAndGet();
                }
            } catch (IOException | InterruptedException e) {
                failed.incrementAndGet();
            }
        })).toList();
        clients.forEach(Thread::start);
        for (Thread client : clients) {
            client.join();
        }
        if (failed.get() > 0) {
            throw new IOException(failed + " requests were not served, " + served + " were");
        }
        return served.get();
    }

    private static double residentMb(long pid) throws IOException {
        String status = Files.readString(Path.of("/proc/" + pid + "/status"));
        Matcher m = Pattern.compile("VmRSS:\\s+(\\d+) kB").matcher(status);
        m.find();
        return Long.parseLong(m.group(1)) / 1024.0;
    }

    /** Processor time of all threads; none of a node's ends before the node does. */
    private static long cpuNanos(long pid) throws IOException {
        long sum = 0;
        try (Stream<Path> tasks = Files.list(Path.of("/proc/" + pid + "/task"))) {
            for (Path task : tasks.toList()) {
                sum += Long.parseLong(Files.readString(task.resolve("schedstat")).split(" ")[0]);
            }
        }
        return sum;
    }

    // ---- the site

    private static String member(String id, int port) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:" + port
                + "\",\"locality\":\"a\",\"cell\":0,\"phase\":\"ready\",\"size\":1.0,\"up_since_ms\":0}";
    }

    private static String discovery(String request, List<String> members) {
        Matcher wait = Pattern.compile("&wait=(\\d+)").matcher(request);
        boolean watches = wait.find();
        if (watches) {
            sleep(Long.parseLong(wait.group(1)));
        }
        String list = "{\"revision\":1,\"complete\":" + !watches + ",\"members\":" + (watches ? "[]" : members) + "}";
        return "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list;
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Answers each request on a port of its own. @return the port */
    private static int serve(Function<String, String> answers) throws IOException {
        @SuppressWarnings("resource") // it ends with the program
        ServerSocket listener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
        daemon(() -> {
            while (true) {
                Socket socket = accept(listener);
                daemon(() -> converse(socket, answers));
            }
        });
        return listener.getLocalPort();
    }

    private static Socket accept(ServerSocket listener) {
        try {
            return listener.accept();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void converse(Socket socket, Function<String, String> answers) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String request; !(request = message(in)).isEmpty();) {
                socket.getOutputStream().write(answers.apply(request).getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            // the node has ended
        }
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private static String ask(Socket socket, InputStream in, String target, String id) throws IOException {
        String request = "GET " + target + " HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + id + "\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        return message(in);
    }

    /** A message's head; its body is read over. Empty at the end of the stream. */
    private static String message(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < 4 || head.indexOf("\r\n\r\n", head.length() - 4) < 0) {
            int b = in.read();
            if (b < 0) {
                return "";
            }
            head.append((char) b);
        }
        Matcher m = LENGTH.matcher(head);
        in.skipNBytes(m.find() ? Long.parseLong(m.group(1)) : 0);
        return head.toString();
    }
}
