package routerfleet.data;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import routerfleet.wire.SessionRecord;

/**
 * Simulates many data nodes in front of emulated engines in virtual time. Each node runs the real {@link ServerPool} and
 * learns only from its own requests. Short prompts arrive at a constant rate; long prompts with shared prefixes optionally.
 */
final class ServerChoiceSimulation {
    static final long SHORT_TARGET_LATENCY_MS = 400;
    static final long LONG_TARGET_LATENCY_MS = 800;
    private static final int FAILURE_LATENCY_FACTOR = 3;
    private static final double SHORT_TOKENS = 383;
    private static final int SHORT_OUTPUT_TOKENS = 45;
    private static final double SHARED_TOKENS = 13_300;
    private static final double OWN_TOKENS = 3_720;
    private static final int LONG_OUTPUT_TOKENS = 120;
    private static final double LOG_NORMAL_SIGMA = 1;
    private static final double MAX_MEAN_MULTIPLE = 8;

    /**
     * The simulated deployment and its load.
     *
     * @param shortsPerS short requests per second, all nodes together
     * @param longsPerS long requests per second, all nodes together
     * @param prefixes number of different shared prefixes
     */
    record Deployment(int nodes, int engines, int zones, double shortsPerS, double longsPerS, int prefixes) { }

    /** A scheduled task. @param number orders tasks of the same time */
    private record Event(double atMs, long number, Runnable task) { }

    /** A data node with its server pool. */
    final class Node {
        final ServerPool pool;
        final Map<Server, EmulatedEngine> engineOf = new HashMap<>();
        final Map<EmulatedEngine, Server> serverOf = new HashMap<>();
        /** Number of responses and failures of all servers that this node has seen. */
        int outcomes;

        Node(String zone) {
            pool = new ServerPool(random.nextLong(), zone);
        }
    }

    private final Deployment deployment;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.atMs() != b.atMs()
            ? Double.compare(a.atMs(), b.atMs()) : Long.compare(a.number(), b.number()));
    private long lastEvent;
    private double nowMs;
    final List<EmulatedEngine> engines = new ArrayList<>();
    final List<Node> nodes = new ArrayList<>();
    private int lastServer;
    private int shortCount;
    private int shortsOnTarget;
    private int longCount;
    private int longsOnTarget;

    ServerChoiceSimulation(Deployment deployment, long seed) {
        this.deployment = deployment;
        random = new SplittableRandom(seed);
        for (int i = 0; i < deployment.nodes(); i++) {
            nodes.add(new Node(zone(i)));
        }
        for (int i = 0; i < deployment.engines(); i++) {
            addEngine();
        }
        scheduleArrivals(deployment.shortsPerS(), this::shortRequest);
        scheduleArrivals(deployment.longsPerS(), this::longRequest);
    }

    private String zone(int number) {
        return "z" + number % deployment.zones();
    }

    EmulatedEngine addEngine() {
        int number = lastServer++;
        EmulatedEngine engine = new EmulatedEngine(number % deployment.zones(), EmulatedEngine.Capability.SMALL_BATCH,
                this::after);
        engines.add(engine);
        for (Node node : nodes) {
            Server server = new Server(new SessionRecord("s" + number, "llm", "127.0.0.1:" + (1_000 + number),
                    zone(number), EmulatedEngine.Capability.SMALL_BATCH.slots(), SessionRecord.Phase.READY, 1, 0));
            server.listed(true);
            node.engineOf.put(server, engine);
            node.serverOf.put(engine, server);
            node.pool.add(server);
            node.pool.applyMembership();
        }
        return engine;
    }

    void after(double ms, Runnable task) {
        events.add(new Event(nowMs + ms, lastEvent++, task));
    }

    void runUntil(double ms) {
        while (!events.isEmpty() && events.peek().atMs() <= ms) {
            Event next = events.poll();
            nowMs = next.atMs();
            next.task().run();
        }
        nowMs = ms;
    }

    /** Resets the counts of requests, for instance after the warm-up time. */
    void resetCounts() {
        shortCount = 0;
        shortsOnTarget = 0;
        longCount = 0;
        longsOnTarget = 0;
    }

    /** The fraction of short requests whose first event came within the target latency. */
    double shortsOnTarget() {
        return (double) shortsOnTarget / Math.max(1, shortCount);
    }

    /** The fraction of long requests whose first event came within the target latency. */
    double longsOnTarget() {
        return (double) longsOnTarget / Math.max(1, longCount);
    }

    private void scheduleArrivals(double perS, Runnable request) {
        if (perS > 0) {
            after(-Math.log(1 - random.nextDouble()) * 1_000 / perS, () -> {
                request.run();
                scheduleArrivals(perS, request);
            });
        }
    }

    private double logNormal(double mean) {
        double gauss = Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
        return Math.min(MAX_MEAN_MULTIPLE * mean,
                mean * Math.exp(LOG_NORMAL_SIGMA * gauss - LOG_NORMAL_SIGMA * LOG_NORMAL_SIGMA / 2));
    }

    private void shortRequest() {
        send(new PromptProfile("short", new PromptPrefix(0, 0, (long) SHORT_TOKENS), SHORT_TARGET_LATENCY_MS), 0, 0,
                logNormal(SHORT_TOKENS), (int) Math.ceil(logNormal(SHORT_OUTPUT_TOKENS)));
    }

    private void longRequest() {
        long prefix = 1 + random.nextInt(deployment.prefixes());
        double shared = SHARED_TOKENS * (0.5 + (prefix % 11) / 10.0);
        send(new PromptProfile("long", new PromptPrefix(prefix, (long) shared, (long) (shared + OWN_TOKENS)),
                        LONG_TARGET_LATENCY_MS),
                prefix, shared, logNormal(OWN_TOKENS), (int) Math.ceil(logNormal(LONG_OUTPUT_TOKENS)));
    }

    private void send(PromptProfile profile, long prefix, double shared, double own, int outputTokens) {
        Node node = nodes.get(random.nextInt(nodes.size()));
        int limit = Math.max(4, (int) Math.ceil(2.0 * EmulatedEngine.Capability.SMALL_BATCH.slots() / nodes.size()));
        Server server = node.pool.choose(profile, limit, List.of(), (long) nowMs);
        if (server == null) {
            count(profile, false);
            return;
        }
        server.requestSent((long) nowMs);
        node.engineOf.get(server).submit(new EmulatedEngine.Job(prefix, shared, own, outputTokens,
                new Outcome(node, server, profile, nowMs)));
    }

    private void count(PromptProfile profile, boolean onTarget) {
        if (profile.isLong()) {
            longCount++;
            longsOnTarget += onTarget ? 1 : 0;
        } else {
            shortCount++;
            shortsOnTarget += onTarget ? 1 : 0;
        }
    }

    /** Passes the outcome of one request to its node. */
    private final class Outcome implements EmulatedEngine.JobListener {
        private final Node node;
        private final Server server;
        private final PromptProfile profile;
        private final double sentMs;
        private double firstMs;

        Outcome(Node node, Server server, PromptProfile profile, double sentMs) {
            this.node = node;
            this.server = server;
            this.profile = profile;
            this.sentMs = sentMs;
        }

        @Override
        public void firstEvent() {
            firstMs = Math.max(1, nowMs - sentMs);
        }

        @Override
        public void finished() {
            server.requestEnded();
            server.recordSuccess();
            node.outcomes++;
            node.pool.recordOutcome(profile, server, firstMs, true);
            count(profile, firstMs <= profile.targetLatencyMs());
        }

        @Override
        public void failed() {
            server.requestEnded();
            server.recordError((long) nowMs);
            node.outcomes++;
            node.pool.recordOutcome(profile, server, FAILURE_LATENCY_FACTOR * profile.targetLatencyMs(), false);
            count(profile, false);
        }
    }
}
