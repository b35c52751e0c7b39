package rowanplank.measure;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.stream.Stream;
import rowanplank.config.Addresses;
import rowanplank.fleet.wire.VoterFileCodec;
import rowanplank.lab.day.DayDraw;
import rowanplank.lab.day.DayEdit;
import rowanplank.lab.live.LiveSiteRun;
import rowanplank.net.DirectoryFiles;
import rowanplank.net.DoorCalls;
import rowanplank.net.Ports;
import rowanplank.net.SystemClock;

/**
 * A rolling restart of real nodes on loopback under load, as staff do it by hand or as the nodes settle it; to be started
 * by scripts/rolling-restart. A front asks each node's {@code /up} every 200 ms, and sends each request to a node that was
 * up then, over connections that are kept. Ends only what it has started.
 */
final class RollingRestart {
    private static final Duration LOOK = Duration.ofMillis(200);
    private static final Duration DEADLINE = Duration.ofMillis(800);
    private static final long SETTLE_MS = 5000;
    private static final int MOST_SECONDS = 1800;
    private static final int TEN = 10;

    private final int nodes;
    private final double rate;
    private final boolean byHand;
    private final boolean kills;
    private final Path jar;
    private final Path folder;
    private final List<InetSocketAddress> doors = new ArrayList<>();
    private final List<InetSocketAddress> fronts = new ArrayList<>();
    private final Process[] running;
    private final boolean[] up;
    private final DoorCalls calls = new DoorCalls();
    private final AtomicLong asked = new AtomicLong();
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong rejected = new AtomicLong();
    private final AtomicLong lost = new AtomicLong();
    /** Of each second, what was asked in it and of that what was served. */
    private final AtomicLongArray askedIn = new AtomicLongArray(MOST_SECONDS);
    private final AtomicLongArray servedIn = new AtomicLongArray(MOST_SECONDS);
    private volatile boolean over;
    private volatile boolean counts;
    private long began;

    private RollingRestart(String[] args, Path folder) {
        byHand = args[0].equals("hand");
        nodes = Integer.parseInt(args[1]);
        rate = Double.parseDouble(args[2]);
        kills = args.length > 4 && args[4].equals("kill");
        jar = Path.of(args[3]);
        this.folder = folder;
        running = new Process[nodes];
        up = new boolean[nodes];
    }

    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("rolling");
        RollingRestart run = new RollingRestart(args, folder);
        Runtime.getRuntime().addShutdownHook(new Thread(run::endAll));
        try {
            run.play();
        } finally {
            run.over = true;
            run.endAll();
            try (Stream<Path> all = Files.walk(folder)) {
                all.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
            }
        }
        System.exit(0);
    }

    private void endAll() {
        for (Process p : running) {
            if (p != null) {
                p.destroyForcibly();
            }
        }
    }

    private static long millis() {
        return System.nanoTime() / 1_000_000;
    }

    private void play() throws Exception {
        Ports ports = Ports.free();
        LiveSiteRun site = new LiveSiteRun(DayEdit.withLength(DayDraw.named(DayDraw.Named.CALM, 1, nodes), Duration.ofHours(1)),
                new SystemClock(), e -> { });
        site.start(ports, Files.createDirectories(folder.resolve("site")));
        List<InetSocketAddress> places = new ArrayList<>();
        for (int n = 0; n < nodes; n++) {
            doors.add(ports.next());
            fronts.add(ports.next());
            places.add(ports.next());
        }
        StringBuilder voters = new StringBuilder("[fleet.voters]\n");
        List<String> names = new ArrayList<>();
        for (int n = 0; n < Math.min(nodes, 5); n++) {
            names.add("n" + (n + 1));
            voters.append("n").append(n + 1).append(" = \"").append(Addresses.format(places.get(n))).append("\"\n");
        }
        for (int n = 0; n < nodes; n++) {
            Path state = folder.resolve("state" + n);
            Files.writeString(file(n), "[node]\nname = \"n" + (n + 1) + "\"\nadmin = \"" + Addresses.format(doors.get(n))
                    + "\"\n[[front]]\nlisten = \"" + Addresses.format(fronts.get(n)) + "\"\ndiscovery = \""
                    + Addresses.format(site.discovery(n)) + "\"\n[[class]]\nname = \"article\"\n[state]\ndir = \"" + state + "\"\n"
                    + (byHand ? "" : "[fleet]\nname = \"rolling\"\nlisten = \"" + Addresses.format(places.get(n)) + "\"\n" + voters
                    + "[fleet.work]\nsettle = \"" + SETTLE_MS + "ms\"\n"));
            if (!byHand && n < names.size()) {
                new DirectoryFiles().create(state.toString(), VoterFileCodec.create("rolling", "n" + (n + 1), names).bytes());
            }
            start(n);
        }
        await("all are up", 90, () -> allUp());
        thread(this::watchFronts);
        thread(this::ask);
        Thread.sleep(10_000);
        began = millis();
        counts = true;
        if (kills) {
            thread(this::killOne);
        }
        if (byHand) {
            rollByHand();
        } else {
            rollByTheNodes();
        }
        long took = millis() - began;
        counts = false;
        Thread.sleep(1500);
        tell(took);
    }

    private Path file(int n) {
        return folder.resolve("n" + n + ".toml");
    }

    private void start(int n) throws IOException {
        running[n] = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx48m", "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-jar", jar.toString(), "serve", "--config", file(n).toString()).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("log" + n).toFile())).start();
    }

    /** As the platform stops and starts it. */
    private void restart(int n) throws Exception {
        running[n].destroy();
        if (!running[n].waitFor(10, TimeUnit.SECONDS)) {
            running[n].destroyForcibly().waitFor();
        }
        start(n);
    }

    private interface Condition {
        boolean holds() throws Exception;
    }

    private static void await(String what, int seconds, Condition condition) throws Exception {
        long until = millis() + seconds * 1000L;
        while (!condition.holds()) {
            if (millis() > until) {
                throw new IOException("not within " + seconds + " s: " + what);
            }
            Thread.sleep(100);
        }
    }

    private DoorCalls.Reply door(int n, String method, String path) {
        try {
            return calls.call(doors.get(n), method, path, Duration.ofSeconds(3));
        } catch (IOException e) {
            return new DoorCalls.Reply(0, "");
        }
    }

    private boolean allUp() {
        for (int n = 0; n < nodes; n++) {
            if (door(n, "GET", "/api/ready").status() != 200) {
                return false;
            }
        }
        return true;
    }

    // ---- the two ways

    /** As in docs/on-call.md: drain, wait until it is empty, restart, wait until it is ready, wait a while, the next one. */
    private void rollByHand() throws Exception {
        for (int n = 0; n < nodes; n++) {
            int node = n;
            door(n, "POST", "/api/evacuate");
            await("n" + (n + 1) + " is empty", 60, () -> {
                Thread.sleep(400);
                return door(node, "GET", "/api/ready").body().contains("\"connections\":0,\"requests\":0");
            });
            restart(n);
            await("n" + (n + 1) + " is ready", 60, () -> {
                Thread.sleep(400);
                return door(node, "GET", "/api/ready").status() == 200;
            });
            Thread.sleep(SETTLE_MS);
        }
    }

    /** Asked once; a supervisor starts anew what the nodes have taken out. */
    private void rollByTheNodes() throws Exception {
        StringBuilder all = new StringBuilder("n1");
        for (int n = 1; n < nodes; n++) {
            all.append(",n").append(n + 1);
        }
        String call = "/api/fleet/work/ask/77/" + all + "/restart/600000/false/new%20version";
        await("it is asked", 20, () -> door(nodes - 1, "POST", call).status() == 200);
        Process[] handled = new Process[nodes];
        await("all are back", MOST_SECONDS, () -> {
            for (int n = 0; n < nodes; n++) {
                if (handled[n] != running[n] && state(n).equals("out")) {
                    restart(n);
                    handled[n] = running[n];
                }
            }
            return isOver();
        });
    }

    private JsonObject status(int n) {
        DoorCalls.Reply reply = door(n, "GET", "/api/fleet");
        return reply.status() == 200 ? Json.parse(reply.body()).asObject() : new JsonObject();
    }

    private String state(int n) {
        JsonObject o = status(n);
        return o.get("turn") == null ? "" : o.get("turn").asObject().getString("state", "");
    }

    private boolean isOver() {
        for (int n = 0; n < Math.min(nodes, 5); n++) {
            JsonObject o = status(n);
            if (o.getString("role", "").equals("leader") && o.get("work").asObject().get("lines").asArray().isEmpty()) {
                return o.get("work").asObject().get("history").asArray().size() >= nodes;
            }
        }
        return false;
    }

    /** One that is up is killed outright 20 s into it, and started by whatever runs it 10 s later. */
    private void killOne() throws Exception {
        Thread.sleep(20_000);
        int n = nodes / 2;
        running[n].destroyForcibly().waitFor();
        System.out.println("n" + (n + 1) + " was killed");
        Thread.sleep(10_000);
        start(n);
    }

    // ---- the front

    private interface Task {
        void run() throws Exception;
    }

    private void thread(Task task) {
        Thread t = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                if (!over) {
                    e.printStackTrace();
                }
            }
        });
        t.setDaemon(true);
        t.start();
    }

    private void watchFronts() throws Exception {
        while (!over) {
            for (int n = 0; n < nodes; n++) {
                int node = n;
                calls.call(fronts.get(n), "GET", "/up", Duration.ofSeconds(1), r -> up[node] = r != null && r.status() == 200);
            }
            Thread.sleep(LOOK.toMillis());
        }
    }

    private void ask() throws Exception {
        long from = System.nanoTime();
        int next = 0;
        for (long i = 0; !over; i++) {
            long due = from + (long) (i * 1e9 / rate);
            long wait = due - System.nanoTime();
            if (wait > 0) {
                TimeUnit.NANOSECONDS.sleep(wait);
            }
            int tried = 0;
            do {
                next = (next + 1) % nodes;
            } while (!up[next] && ++tried < nodes);
            boolean counted = counts;
            int second = counted ? (int) Math.min(MOST_SECONDS - 1, (millis() - began) / 1000) : 0;
            if (counted) {
                asked.incrementAndGet();
                askedIn.incrementAndGet(second);
            }
            int node = next;
            long sent = millis();
            calls.page(fronts.get(next), "/article/" + i, "roll-" + i, DEADLINE, reply -> {
                if (counted) {
                    if (reply == null || reply.status() != 200) {
                        System.out.printf(Locale.ROOT, "after %.1f s n%d: %s after %d ms%n", (sent - began) / 1e3, node + 1,
                                reply == null ? "no answer" : reply.status(), millis() - sent);
                    }
                    (reply == null ? lost : reply.status() == 200 ? served : rejected).incrementAndGet();
                    servedIn.addAndGet(second, reply != null && reply.status() == 200 ? 1 : 0);
                }
            });
        }
    }

    private void tell(long took) {
        double worst = 1;
        int seconds = (int) (took / 1000);
        for (int s = 0; s + TEN <= seconds; s++) {
            long all = 0;
            long good = 0;
            for (int i = s; i < s + TEN; i++) {
                all += askedIn.get(i);
                good += servedIn.get(i);
            }
            worst = Math.min(worst, all == 0 ? 1 : (double) good / all);
        }
        System.out.printf(Locale.ROOT, "%s, %d nodes, %.0f requests a second%s: %.1f s; of %d requests %d served (%.5f), %d rejected,"
                + " %d without an answer; worst 10 s %.5f%n", byHand ? "by hand" : "by the nodes", nodes, rate,
                kills ? ", one killed" : "", took / 1e3, asked.get(), served.get(), (double) served.get() / Math.max(1, asked.get()),
                rejected.get(), lost.get(), worst);
    }
}
