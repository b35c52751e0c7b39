package routerfleet.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;

/**
 * Runs a fleet of real processes on loopback under planned work: series of SIGTERM, SIGHUP, restarts and configurations
 * that overlap, with clients and emulated servers in this process. A seed determines what is planned; the schedule of
 * threads and processes is the machine's. Nothing breaks but what the operator does.
 */
final class ShutdownSoak implements AutoCloseable {
    /** How many processes and clients there are, and for how long they run. */
    record Size(int controlNodes, int dataNodes, int servers, int clients, int seconds) {
        static final Size SMALL = new Size(3, 3, 3, 40, 25);

        /** @param arguments the components in their order */
        static Size of(List<String> arguments) {
            List<Integer> numbers = arguments.stream().map(Integer::valueOf).toList();
            return new Size(numbers.get(0), numbers.get(1), numbers.get(2), numbers.get(3), numbers.get(4));
        }
    }

    /**
     * What a soak found.
     *
     * @param brokenOff lines of the nodes' logs about responses that were broken off for another reason than the deadline
     */
    record Report(long seed, List<RequestRecord> requests, List<String> violations, List<String> brokenOff) {
        @Override
        public String toString() {
            Map<String, Long> ends = requests.stream().collect(Collectors.groupingBy(
                    r -> r.outcome() + " " + r.status(), java.util.TreeMap::new, Collectors.counting()));
            return "seed " + seed + ": " + requests.size() + " requests " + ends + ", " + violations.size()
                    + " violations" + lines("\n  ", violations) + lines("\n    log: ", brokenOff);
        }

        private static String lines(String before, List<String> all) {
            String more = all.size() > MAX_LINES ? before + (all.size() - MAX_LINES) + " more" : "";
            return all.stream().limit(MAX_LINES).map(line -> before + line).collect(Collectors.joining()) + more;
        }
    }

    /** Lines of each kind that a report shows. */
    private static final int MAX_LINES = 15;
    private static final long GRACE_MS = 8_000;
    private static final long HEARTBEAT_MS = 300;
    private static final int MAX_RUN_S = 20;
    private static final int MAX_EVENT_GAP_MS = 1_500;
    private static final int SERIES_GAP_MS = 700;

    private final long seed;
    private final Size size;
    private final ServerTrouble trouble;
    private final SplittableRandom random;
    private final ProcessFleet fleet;
    private final List<FleetProcess> controlNodes;
    private final List<FleetProcess> dataNodes;
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final Queue<RequestRecord> records = new ConcurrentLinkedQueue<>();
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "soak");
        thread.setDaemon(true);
        return thread;
    });
    private long generation;

    /**
     * @param commands start the nodes
     * @param folder for settings, disks and logs
     */
    ShutdownSoak(long seed, Size size, ServerTrouble trouble, DeployCommands commands, Path folder) throws IOException {
        this.seed = seed;
        this.size = size;
        this.trouble = trouble;
        random = new SplittableRandom(seed);
        fleet = new ProcessFleet(new ProcessFleet.Options(size.controlNodes(), size.dataNodes(), 1, 1, HEARTBEAT_MS,
                GRACE_MS, "", commands), folder);
        controlNodes = fleet.controlNodes();
        dataNodes = fleet.dataNodes();
    }

    /** Starts everything, lets it run, and judges what was seen. */
    Report run() throws Exception {
        fleet.start(size.servers());
        generation = 1;
        threads.submit(() -> fleet.watchReadiness(stopped));
        List<Future<?>> clients = new ArrayList<>();
        for (int i = 0; i < size.clients(); i++) {
            clients.add(threads.submit(
                    new SoakClient("c" + i, trouble, random.split(), fleet::chooseNode, records, stopped)));
        }
        operate(System.nanoTime() + TimeUnit.SECONDS.toNanos(size.seconds()));
        stopped.set(true);
        for (Future<?> client : clients) {
            client.get();
        }
        awaitServers();
        List<RequestRecord> requests = List.copyOf(records);
        List<String> brokenOff = new ArrayList<>();
        for (FleetProcess node : dataNodes) {
            node.log().stream().filter(line -> line.contains("broken off, ")
                    && !line.contains("timed out")).forEach(brokenOff::add);
        }
        return new Report(seed, requests, new ShutdownJudge(GRACE_MS, fleet.runs()).violations(requests), brokenOff);
    }

    /** Waits until servers have ended the runs of requests whose clients and nodes have gone. */
    private void awaitServers() throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_RUN_S);
        while (fleet.servers().stream().anyMatch(server -> server.runs().size() < server.arrivals().size())
                && System.nanoTime() - endNanos < 0) {
            Thread.sleep(100);
        }
    }

    // ---- the operator

    private void operate(long endNanos) throws Exception {
        Queue<Future<?>> restarts = new ConcurrentLinkedQueue<>();
        while (System.nanoTime() - endNanos < 0) {
            Thread.sleep(random.nextInt(MAX_EVENT_GAP_MS));
            FleetProcess data = dataNodes.get(random.nextInt(dataNodes.size()));
            FleetProcess control = controlNodes.get(random.nextInt(controlNodes.size()));
            switch (random.nextInt(10)) {
                case 0, 1, 2 -> terminate(data, restarts);
                case 3 -> terminateAll(restarts);
                case 4 -> terminate(control, restarts);
                case 5 -> {
                    data.hangUp();
                    control.hangUp();
                }
                case 6 -> changeSeeds(data);
                case 7 -> restarts.add(threads.submit(() -> terminateInTurn(restarts)));
                case 8 -> configure("patch", SoakConfigurations.idleRoute(generation + 1));
                default -> configure("replace", SoakConfigurations.routes(generation + 1, 0));
            }
        }
        for (Future<?> restart = restarts.poll(); restart != null; restart = restarts.poll()) {
            restart.get();
        }
    }

    /** SIGTERM for each data node in turn, beside whatever else is planned; the ones before may not have ended. */
    private Void terminateInTurn(Queue<Future<?>> restarts) throws Exception {
        for (FleetProcess node : dataNodes) {
            terminate(node, restarts);
            Thread.sleep(SERIES_GAP_MS);
        }
        return null;
    }

    /** SIGTERM for up to half of the data nodes, shortly one behind the other. */
    private void terminateAll(Queue<Future<?>> restarts) throws Exception {
        for (int i = 0; i < Math.max(1, dataNodes.size() / 2); i++) {
            terminate(dataNodes.get(random.nextInt(dataNodes.size())), restarts);
            Thread.sleep(random.nextInt(200));
        }
    }

    /** Sends SIGTERM, again if it was sent before, and starts the process again once it has ended. */
    private synchronized void terminate(FleetProcess node, Queue<Future<?>> restarts) throws Exception {
        boolean first = node.life().termNanos() == FleetProcess.NEVER;
        boolean controlStopping = controlNodes.stream().anyMatch(c -> c.life().termNanos() != FleetProcess.NEVER);
        if (first && controlNodes.contains(node) && controlStopping) {
            return; // one tolerated loss at a time
        }
        node.terminate();
        if (first) {
            node.setStartedBefore();
            restarts.add(threads.submit(() -> {
                node.restartAfterEnd(GRACE_MS);
                return null;
            }));
        }
    }

    private void configure(String kind, String json) {
        if (fleet.configure(kind, generation, json)) {
            generation++;
        }
    }

    /** Names the seeds in another order, with SIGHUP behind it. */
    private void changeSeeds(FleetProcess node) throws Exception {
        String text = Files.readString(node.settings());
        String line = text.lines().filter(l -> l.startsWith("seed_nodes=")).findFirst().orElseThrow();
        String list = line.substring(line.indexOf('=') + 1);
        String rotated = list.substring(list.indexOf(',') + 1) + "," + list.substring(0, list.indexOf(','));
        Files.writeString(node.settings(), text.replace(line, "seed_nodes=" + rotated));
        node.hangUp();
    }

    @Override
    public void close() throws IOException {
        stopped.set(true);
        threads.shutdownNow();
        fleet.close();
    }

    /** Runs soaks by hand; see {@link SoakArguments}. If it is told to end, its nodes end with it. */
    public static void main(String[] args) throws Exception {
        SoakArguments arguments;
        try {
            arguments = SoakArguments.parse(List.of(args));
        } catch (IllegalArgumentException e) {
            System.err.println("shutdown-soak: " + e.getMessage() + "; " + SoakArguments.USAGE);
            System.exit(2);
            return;
        }
        AtomicReference<ShutdownSoak> running = new AtomicReference<>();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> endNodes(running.get())));
        for (long i = 0; i < arguments.seeds(); i++) {
            run(arguments, arguments.firstSeed() + i, running);
        }
        System.exit(0);
    }

    private static void run(SoakArguments arguments, long seed, AtomicReference<ShutdownSoak> running) throws Exception {
        Path folder = Files.createDirectories(arguments.folder().resolve("seed-" + seed));
        try (ShutdownSoak soak = new ShutdownSoak(seed, arguments.size(), arguments.trouble(), arguments.commands(),
                folder)) {
            running.set(soak);
            System.out.println(soak.run());
        } catch (ExecutionException e) {
            System.out.println("seed " + seed + " failed: " + e.getCause());
        }
    }

    private static void endNodes(ShutdownSoak soak) {
        try {
            if (soak != null) {
                soak.close();
            }
        } catch (IOException e) {
            System.err.println("shutdown-soak: " + e.getMessage());
        }
    }
}
