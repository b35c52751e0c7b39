package routerfleet.soak;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import routerfleet.demo.LoopbackHttp;

/**
 * Starts a whole fleet of real processes at once, with few processors for its control nodes, and sends the first update of
 * the configuration while they start; then goes on with updates in series and overlapping, with kills and signals to
 * control nodes, SIGTERM and SIGHUP to data nodes, and with clients that keep their connections. A seed determines what is
 * done; the schedule of threads and processes is the machine's. {@link UpdateJudge} and {@link ShutdownJudge} judge it.
 */
final class StartSoak implements AutoCloseable {
    /**
     * The size of a soak.
     *
     * @param controlProcessors how many of the machine's processors the control nodes share; 0 for all
     * @param competitors processes that use the same processors all the time
     * @param disturbedSeconds how long signals and kills go on, once the start is over
     */
    record Size(int controlNodes, int dataNodes, int controlProcessors, int competitors, int clients,
            int disturbedSeconds) { }

    /**
     * What a soak found.
     *
     * @param firstAckMs from the sending of the first update to its acknowledgement
     * @param readyMs from the start of all nodes until every data node was ready
     * @param againAckMs as {@code firstAckMs}, after all nodes had been killed at once and started again
     * @param againReadyMs as {@code readyMs}, then
     * @param processorMs what each control node had used by the first acknowledgement
     * @param notes lines of the control nodes' logs about leaders, voters, starts and slow updates
     */
    record Report(long seed, Size size, int firstRoutes, long firstAckMs, long readyMs, long againAckMs,
            long againReadyMs, List<Long> processorMs, List<SoakUpdate> updates, int requests,
            List<String> violations, List<String> notes) {
        @Override
        public String toString() {
            long slowestNanos = updates.stream().mapToLong(u -> u.endNanos() - u.firstSentNanos()).max().orElse(0);
            return "seed " + seed + ", " + size + ": first update of " + firstRoutes + " routes acknowledged after "
                    + firstAckMs + " ms, data nodes ready " + readyMs + " ms after the start, processor time " + processorMs
                    + "; after the loss of all " + againAckMs + " ms and " + againReadyMs + " ms; " + updates.size()
                    + " updates, slowest " + millis(slowestNanos) + " ms; " + requests + " requests; "
                    + violations.size() + " violations" + lines("\n  ", violations)
                    + (violations.isEmpty() ? "" : lines("\n    log: ", notes));
        }

        private static String lines(String before, List<String> all) {
            return all.stream().map(line -> before + line).collect(Collectors.joining());
        }
    }

    private static final long GRACE_MS = 8_000;
    private static final long ACK_MS = 5_000;
    private static final long CONNECTED_MS = 4_000;
    private static final int HOSTS_LOST = 2;
    private static final int ZONES = 5;
    private static final long HEARTBEAT_MS = 1_200;
    private static final long FIRST_UPDATE_MS = 600;
    /** When the traffic of the deployment begins. */
    private static final long READY_MS = 19_000;
    private static final long GIVE_UP_MS = 60_000;
    private static final long CALL_PAUSE_MS = 60;
    private static final int LLM_SERVERS = 3;
    private static final int FEW_ROUTES = 8;
    private static final int MANY_ROUTES = 300;
    private static final int MAX_EVENT_GAP_MS = 2_500;
    private static final int MAX_UPDATE_GAP_MS = 1_200;
    private static final int MAX_DOWN_MS = 3_500;
    private static final double OVERLAP_PROBABILITY = 0.2;
    private static final double INVALID_PROBABILITY = 0.1;
    private static final int OK = 200;
    private static final int CLIENT_ERROR = 400;
    private static final int SERVER_ERROR = 500;
    private static final String BOUNDS = "bounds.ack_ms=" + ACK_MS + "\nbounds.connected_ms=" + CONNECTED_MS
            + "\nbounds.catch_up_s=6\nbounds.propagation_ms=2500\nbounds.revoke_ms=5000\n";

    private final long seed;
    private final Size size;
    private final SplittableRandom random;
    private final SplittableRandom updateRandom;
    private final ProcessFleet fleet;
    private final List<Long> disturbances = new ArrayList<>();
    private final Queue<SoakUpdate> updates = new ConcurrentLinkedQueue<>();
    private final Queue<RequestRecord> requests = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final AtomicBoolean updatesStopped = new AtomicBoolean();
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "start-soak");
        thread.setDaemon(true);
        return thread;
    });
    private final List<String> violations = new ArrayList<>();
    private final List<Future<?>> dataRestarts = new ArrayList<>();
    private final List<Process> competitors = new ArrayList<>();
    private final String controlProcessors;
    private long startNanos;
    private long generation;

    /** @param folder for settings, disks and logs */
    StartSoak(long seed, Size size, Path folder) throws IOException, InterruptedException {
        this.seed = seed;
        this.size = size;
        random = new SplittableRandom(seed);
        updateRandom = random.split();
        int processors = Runtime.getRuntime().availableProcessors();
        String last = range(processors - size.controlProcessors(), processors - 1);
        String others = range(0, processors - size.controlProcessors() - 1);
        boolean isBound = size.controlProcessors() > 0 && size.controlProcessors() < processors;
        controlProcessors = isBound ? last : range(0, processors - 1);
        DeployCommands commands = DeployCommands.ofDeployFile(isBound ? last : "", isBound ? others : "");
        fleet = new ProcessFleet(new ProcessFleet.Options(size.controlNodes(), size.dataNodes(), ZONES, HOSTS_LOST,
                HEARTBEAT_MS, GRACE_MS, BOUNDS, commands), folder);
    }

    private static String range(int first, int last) {
        return first + "-" + last;
    }

    /** Starts everything, lets it run, and judges what was seen. */
    Report run() throws Exception {
        int firstRoutes = drawRoutes();
        start();
        sleepUntil(startNanos + TimeUnit.MILLISECONDS.toNanos(FIRST_UPDATE_MS));
        SoakUpdate first = send(updateRandom, 1, firstRoutes, SoakConfigurations.routes(1, idle(firstRoutes)));
        List<Long> processorMs = fleet.controlNodes().stream().map(FleetProcess::processorMs).toList();
        generation = first.isAcknowledged() ? 1 : 0;
        long firstMs = millis(first.endNanos() - first.firstSentNanos());
        if (!first.isAcknowledged()) {
            violations.add("ACKS never: " + first.describe(startNanos));
        }
        long readyMs = awaitReady(startNanos);
        violations.addAll(lostLeaders());
        disturb();
        long againNanos = restartAll();
        int againRoutes = drawRoutes();
        SoakUpdate again = send(updateRandom, generation + 1, againRoutes,
                SoakConfigurations.routes(generation + 1, idle(againRoutes)));
        long againReadyMs = awaitReady(againNanos);
        UpdateJudge judge = new UpdateJudge(ACK_MS, CONNECTED_MS);
        violations.addAll(judge.violations(List.copyOf(updates), disturbances, startNanos));
        violations.addAll(new ShutdownJudge(GRACE_MS, fleet.runs()).violations(List.copyOf(requests)));
        return new Report(seed, size, firstRoutes, first.isAcknowledged() ? firstMs : -1, readyMs,
                millis(again.endNanos() - again.firstSentNanos()), againReadyMs, processorMs, List.copyOf(updates),
                requests.size(), List.copyOf(violations), notes());
    }

    private int drawRoutes() {
        return updateRandom.nextBoolean() ? FEW_ROUTES : MANY_ROUTES;
    }

    private static int idle(int routes) {
        return routes - SoakConfigurations.CLIENT_ROUTES;
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    private void start() throws IOException {
        for (int i = 0; i < size.competitors(); i++) {
            competitors.add(new ProcessBuilder("taskset", "-c", controlProcessors, "sh", "-c", "while :; do :; done")
                    .start());
        }
        startNanos = System.nanoTime();
        for (FleetProcess node : fleet.controlNodes()) {
            node.start();
        }
        for (FleetProcess node : fleet.dataNodes()) {
            node.start();
        }
        disturbances.add(System.nanoTime());
        fleet.startServers(LLM_SERVERS);
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        long leftMs = millis(nanos - System.nanoTime());
        if (leftMs > 0) {
            Thread.sleep(leftMs);
        }
    }

    /** Kills all nodes at once, as a loss of power does, and starts them again. @return when they were started */
    private long restartAll() throws Exception {
        List<FleetProcess> all = new ArrayList<>(fleet.controlNodes());
        all.addAll(fleet.dataNodes());
        disturbed();
        for (FleetProcess node : all) {
            node.setStartedBefore();
            node.kill();
        }
        Thread.sleep(FIRST_UPDATE_MS);
        long nanos = System.nanoTime();
        for (FleetProcess node : all) {
            node.start();
        }
        disturbed();
        sleepUntil(nanos + TimeUnit.MILLISECONDS.toNanos(FIRST_UPDATE_MS));
        return nanos;
    }

    /** @return from the start until all data nodes were ready, in milliseconds */
    private long awaitReady(long sinceNanos) throws InterruptedException {
        while (fleet.dataNodes().stream().anyMatch(node -> !fleet.isReady(node))
                && millis(System.nanoTime() - sinceNanos) < GIVE_UP_MS) {
            Thread.sleep(CALL_PAUSE_MS);
        }
        long readyMs = millis(System.nanoTime() - sinceNanos);
        if (readyMs > READY_MS) {
            violations.add("DUTY the data nodes were ready only " + readyMs + " ms after the start");
        }
        return readyMs;
    }

    /** Before any disturbance there is no reason to lose a leader. */
    private List<String> lostLeaders() throws IOException {
        List<String> found = new ArrayList<>();
        for (FleetProcess node : fleet.controlNodes()) {
            node.log().stream().filter(line -> line.contains("leads no more"))
                    .forEach(line -> found.add("LEADER lost in a calm start: " + line));
        }
        return found;
    }

    private List<String> notes() throws IOException {
        List<String> found = new ArrayList<>();
        for (FleetProcess node : fleet.controlNodes()) {
            node.log().stream().filter(line -> line.contains("leads") || line.contains("slow update")
                    || line.contains("from now on") || line.contains("start, ms")).forEach(found::add);
        }
        found.sort(String::compareTo);
        return found;
    }

    // ---- the operator's updates

    private void disturb() throws Exception {
        fleet.openIngress();
        List<Future<?>> running = new ArrayList<>();
        running.add(threads.submit(() -> fleet.watchReadiness(stopped)));
        for (int i = 0; i < size.clients(); i++) {
            running.add(threads.submit(new SoakClient("c" + i, ServerTrouble.STALLS, random.split(), fleet::chooseNode,
                    requests, stopped)));
        }
        Future<?> updating = threads.submit(() -> {
            updateOnAndOn();
            return null;
        });
        signalNodes(System.nanoTime() + TimeUnit.SECONDS.toNanos(size.disturbedSeconds()));
        updatesStopped.set(true);
        updating.get();
        stopped.set(true);
        for (Future<?> task : running) {
            task.get();
        }
    }

    private void updateOnAndOn() throws Exception {
        while (!updatesStopped.get()) {
            Thread.sleep(updateRandom.nextInt(MAX_UPDATE_GAP_MS));
            long next = generation + 1;
            int routes = drawRoutes();
            if (updateRandom.nextDouble() < INVALID_PROBABILITY) {
                send(updateRandom, next, routes, SoakConfigurations.routes(generation, idle(routes)));
            }
            String update = SoakConfigurations.routes(next, idle(routes));
            if (updateRandom.nextDouble() < OVERLAP_PROBABILITY) {
                SplittableRandom otherRandom = updateRandom.split();
                Future<SoakUpdate> other = threads.submit(() -> send(otherRandom, next, SoakConfigurations.CLIENT_ROUTES,
                        SoakConfigurations.routes(next, 0)));
                boolean isFirst = send(updateRandom, next, routes, update).isAcknowledged();
                generation += isFirst | other.get().isAcknowledged() ? 1 : 0;
            } else {
                generation += send(updateRandom, next, routes, update).isAcknowledged() ? 1 : 0;
            }
        }
    }

    /** Sends an update to one control node after the other until there is a clear answer. */
    private SoakUpdate send(SplittableRandom order, long next, int routes, String update) throws InterruptedException {
        boolean valid = update.contains("{\"generation\":" + next + ",");
        long sentNanos = System.nanoTime();
        int status = 0;
        int calls = 0;
        int node = order.nextInt(size.controlNodes());
        while (!isClear(status) && millis(System.nanoTime() - sentNanos) < GIVE_UP_MS) {
            status = call(fleet.controlNodes().get((node + calls) % size.controlNodes()), next - 1, update);
            calls++;
            if (!isClear(status)) {
                Thread.sleep(CALL_PAUSE_MS);
            }
        }
        SoakUpdate ended = new SoakUpdate(next, routes, valid, sentNanos, System.nanoTime(), isClear(status) ? status : 0,
                calls);
        updates.add(ended);
        return ended;
    }

    private static boolean isClear(int status) {
        return status == OK || status >= CLIENT_ERROR && status < SERVER_ERROR;
    }

    private static int call(FleetProcess node, long base, String update) {
        try {
            return LoopbackHttp.call(node.address(), "POST", "/rowanplank/config/replace",
                    Map.of("Rowanplank-Base-Version", Long.toString(base)),
                    update.getBytes(StandardCharsets.UTF_8)).status();
        } catch (IOException e) {
            return 0;
        }
    }

    // ---- signals and kills

    private void signalNodes(long endNanos) throws Exception {
        List<Future<?>> restarts = new ArrayList<>();
        while (System.nanoTime() - endNanos < 0) {
            Thread.sleep(random.nextInt(MAX_EVENT_GAP_MS));
            FleetProcess data = fleet.dataNodes().get(random.nextInt(size.dataNodes()));
            FleetProcess control = fleet.controlNodes().get(random.nextInt(size.controlNodes()));
            restarts.removeIf(Future::isDone);
            switch (random.nextInt(8)) {
                case 0, 1 -> {
                    int downMs = random.nextInt(MAX_DOWN_MS);
                    restartControl(control, restarts, () -> control.restartAfterKill(downMs));
                }
                case 2 -> restartControl(control, restarts, () -> {
                    control.terminate();
                    control.restartAfterEnd(GRACE_MS);
                });
                case 3 -> terminate(data);
                case 4 -> data.hangUp();
                case 5 -> {
                    control.hangUp();
                    disturbed();
                }
                default -> Thread.sleep(CONNECTED_MS + random.nextInt((int) ACK_MS)); // a stretch of calm
            }
        }
        restarts.addAll(dataRestarts);
        for (Future<?> restart : restarts) {
            restart.get();
        }
        Thread.sleep(CONNECTED_MS + ACK_MS);
    }

    /** What is done to a process; it ends with the process's next start. */
    private interface Restart {
        void run() throws Exception;
    }

    /** Restarts a control node, unless as many are down as may be lost. */
    private void restartControl(FleetProcess node, List<Future<?>> restarts, Restart restart) throws IOException {
        if (restarts.size() >= HOSTS_LOST || node.life().isEnding()) {
            return;
        }
        node.setStartedBefore();
        node.life().markEnding();
        disturbed();
        restarts.add(threads.submit(() -> {
            restart.run();
            disturbed();
            return null;
        }));
    }

    private void terminate(FleetProcess data) {
        if (data.life().termNanos() == FleetProcess.NEVER) {
            data.terminate();
            dataRestarts.add(threads.submit(() -> {
                data.restartAfterEnd(GRACE_MS);
                return null;
            }));
        }
    }

    private synchronized void disturbed() {
        disturbances.add(System.nanoTime());
    }

    private void endProcesses() {
        try {
            close();
        } catch (IOException e) {
            System.err.println("a process may be left: " + e.getMessage());
        }
    }

    @Override
    public void close() throws IOException {
        stopped.set(true);
        updatesStopped.set(true);
        threads.shutdownNow();
        competitors.forEach(process -> process.destroyForcibly().onExit().join());
        fleet.close();
    }

    /** Runs soaks by hand. @param args as scripts/start-soak has them */
    public static void main(String[] args) throws Exception {
        List<Integer> numbers = IntStream.range(3, args.length).mapToObj(i -> Integer.valueOf(args[i])).toList();
        Size size = numbers.size() < 6 ? new Size(9, 17, numbers.get(0), numbers.get(1), 20, 20)
                : new Size(numbers.get(2), numbers.get(3), numbers.get(0), numbers.get(1), numbers.get(4), numbers.get(5));
        long first = Long.parseLong(args[1]);
        for (long seed = first; seed < first + Long.parseLong(args[2]); seed++) {
            Path folder = Files.createDirectories(Path.of(args[0], "seed-" + seed));
            try (StartSoak soak = new StartSoak(seed, size, folder)) {
                Runtime.getRuntime().addShutdownHook(new Thread(soak::endProcesses)); // also if it is interrupted
                System.out.println(soak.run());
            } catch (Exception e) {
                System.out.println("seed " + seed + " failed: " + e);
            }
        }
        System.exit(0);
    }
}
