package rowanplank.balancer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import rowanplank.balancer.BalancerApi.Actions;
import rowanplank.balancer.BalancerApi.DedupGroup;
import rowanplank.balancer.BalancerApi.Effect;
import rowanplank.balancer.BalancerApi.Lifecycle;
import rowanplank.balancer.BalancerApi.Limits;
import rowanplank.balancer.BalancerApi.ListKind;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.balancer.BalancerApi.Request;
import rowanplank.balancer.BalancerApi.RequestClass;
import rowanplank.balancer.BalancerApi.Rules;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.balancer.BalancerApi.Settings;

/**
 * A simulation of some dozens of independent modules and of servers that join and restart cold, in virtual time and
 * without sockets. An {@link OverloadCounter} watches each start of a server. Nodes hear of a start at different
 * times, some after seconds. The same scenario and seed give the same run.
 */
final class ColdFleet {
    static final int ZONES = 3;
    private static final int CORES = 2;
    private static final int NONE = -1;
    /** Work of the two classes, as multiples of the mean: 0.7, and 3.1 for one request in eight. */
    private static final double[] WORK = {0.7, 3.1};
    private static final double RARE = 0.125;

    /** What a server does with requests that arrive while it is cold. An overloaded one does not respond at all. */
    enum ColdBehavior { SERVES, REJECTS, FAILS, RESETS, NO_RESPONSE }

    /**
     * Faults injected into the modules: each sizes the warm-up as if it were the only node, or none learns of a
     * start.
     */
    enum InjectedFault { NONE, WARMUP_FOR_ONE_NODE, NO_WARMUP }

    /**
     * A site and what happens there.
     *
     * @param nodes the number of nodes
     * @param servers the number of servers at the beginning
     * @param workMs mean work of a request in milliseconds on one core
     * @param load utilization of all servers' cores before the burst
     * @param burst factor of the load during the burst of 5 s
     * @param cold what servers do while they are cold
     * @param failing fraction of the warm servers' responses that are errors
     * @param quiet whether no requests arrive between the starts and the burst
     * @param fault the fault of the modules
     */
    record Scenario(int nodes, int servers, double workMs, double load, double burst, ColdBehavior cold, double failing,
            boolean quiet, InjectedFault fault) {
        Scenario with(ColdBehavior behavior) {
            return new Scenario(nodes, servers, workMs, load, burst, behavior, failing, quiet, fault);
        }

        Scenario failing(double part) {
            return new Scenario(nodes, servers, workMs, load, burst, cold, part, quiet, fault);
        }

        Scenario with(InjectedFault injected) {
            return new Scenario(nodes, servers, workMs, load, burst, cold, failing, quiet, injected);
        }

        Scenario quietUntilTheBurst() {
            return new Scenario(nodes, servers, workMs, load, burst, cold, failing, true, fault);
        }
    }

    private record ScheduledEvent(double at, long order, Runnable action) { }

    private Server listed(SimulatedServer m) {
        return new Server(m.id, m.zone, 0, Lifecycle.READY, 1,
                scenario.fault() == InjectedFault.NO_WARMUP ? 0 : m.startedAt);
    }

    private static final class SimulatedServer {
        final long id;
        final int zone;
        double startedAt;
        OverloadCounter counter;
        int requestsHeld;

        SimulatedServer(long id) {
            this.id = id;
            zone = (int) (id % ZONES);
        }

    }

    private static final class OpenRequest {
        final int type;
        final double deadline;
        int attempts;
        /** The pending attempt, and when it was sent. */
        int pendingAttempt = NONE;
        double sentAt;
        boolean ended;

        OpenRequest(int type, double deadline) {
            this.type = type;
            this.deadline = deadline;
        }
    }

    private static final Rules RULES = new Rules(10_000, 0.12, 24_000, 2.5);
    static final double OVERLOAD_WINDOW_MS = 1500;

    final List<OverloadCounter> starts = new ArrayList<>();
    /** Numbers of requests: all, those served, and those served by cold servers. */
    int requested;
    int served;
    int servedCold;
    private final Scenario scenario;
    private final SplittableRandom random;
    private final Map<Long, SimulatedServer> serversById = new LinkedHashMap<>();
    private final Node[] nodes;
    private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>(
            Comparator.comparingDouble(ScheduledEvent::at).thenComparingLong(ScheduledEvent::order));
    private double now = 1_000_000;
    private long order;
    private double burst = 1;

    ColdFleet(Scenario scenario, long seed) {
        this.scenario = scenario;
        random = new SplittableRandom(seed);
        for (long id = 1; id <= scenario.servers(); id++) {
            serversById.put(id, new SimulatedServer(id));
        }
        nodes = new Node[scenario.nodes()];
        for (int n = 0; n < scenario.nodes(); n++) {
            nodes[n] = new Node(n);
            nodes[n].receiveList();
        }
    }

    private Settings settings(int node) {
        double targetMs = 8 * scenario.workMs();
        RequestClass common = new RequestClass(targetMs, 2.5 * targetMs, 2, 0.25,
                Effect.REPEATABLE, DedupGroup.ALL, 0, false);
        RequestClass rare = new RequestClass(2 * targetMs, 5 * targetMs, 6, 0.25,
                Effect.REPEATABLE, DedupGroup.ALL, 0, false);
        int nodeCount = scenario.fault() == InjectedFault.WARMUP_FOR_ONE_NODE ? 1 : scenario.nodes();
        return new Settings(nodeCount, node % nodeCount, node % ZONES, List.of(common, rare), List.of(), 0.1,
                new Limits(6, true, false, 1000), RULES, false, false, false, 0.08);
    }

    /** One process of a node. */
    private final class Node implements Actions {
        final int number;
        final Balancer balancer;
        /** The start time of each server that the node was last told. */
        final Map<Long, Double> knownStarts = new HashMap<>();
        final Map<Long, OpenRequest> open = new HashMap<>();

        Node(int number) {
            this.number = number;
            balancer = new Balancer(settings(number), random.nextLong(), this);
        }

        boolean isRunning() {
            return nodes[number] == this;
        }

        /** Passes the current full list to the module. */
        void receiveList() {
            if (isRunning()) {
                serversById.values().forEach(m -> knownStarts.put(m.id, m.startedAt));
                balancer.onServers(now, ListKind.FULL,
                        serversById.values().stream().map(ColdFleet.this::listed).toList());
            }
        }

        void receiveList(SimulatedServer m) {
            if (isRunning()) {
                knownStarts.put(m.id, m.startedAt);
                balancer.onServers(now, ListKind.DELTA, List.of(listed(m)));
            }
        }

        void sendRequest(long id) {
            int type = random.nextDouble() < RARE ? 1 : 0;
            double deadline = now + settings(number).classes().get(type).deadlineMs();
            open.put(id, new OpenRequest(type, deadline));
            balancer.onRequest(now, new Request(id, type, 0, 0, deadline, 0, false));
        }

        @Override
        public void send(long request, long server, double timeoutMs) {
            OpenRequest a = open.get(request);
            SimulatedServer m = serversById.get(server);
            int attempt = a.attempts++;
            a.pendingAttempt = attempt;
            a.sentAt = now;
            double sentAt = now;
            double work = WORK[a.type] * (0.7 + 0.6 * random.nextDouble());
            boolean isCold = m.counter != null && now - m.startedAt < RULES.warmupMs();
            if (isCold) {
                m.counter.arrived(now, work, knownStarts.getOrDefault(server, -1.0) == m.startedAt);
            }
            boolean down = m.counter != null && m.counter.overloaded;
            ColdBehavior behavior = down ? ColdBehavior.NO_RESPONSE : isCold ? scenario.cold() : ColdBehavior.SERVES;
            boolean fails = behavior == ColdBehavior.FAILS
                    || behavior == ColdBehavior.SERVES && !isCold && random.nextDouble() < scenario.failing();
            double minCapacity = 0.12 + 0.88 * (now - m.startedAt) / RULES.warmupMs();
            double capacity = isCold ? Math.min(1, minCapacity) : 1;
            double serviceTime = work * scenario.workMs() / capacity * Math.max(1, ++m.requestsHeld / (double) CORES);
            double start = m.startedAt;
            at(serviceTime, () -> m.requestsHeld -= m.startedAt == start ? 1 : 0);
            double responseTime = behavior == ColdBehavior.NO_RESPONSE ? Double.MAX_VALUE
                    : behavior != ColdBehavior.SERVES || fails ? 1 : serviceTime;
            Outcome outcome = responseTime > timeoutMs ? Outcome.TIMEOUT : fails ? Outcome.ERROR
                    : behavior == ColdBehavior.REJECTS ? Outcome.FULL
                    : behavior == ColdBehavior.RESETS ? Outcome.RESET : Outcome.OK;
            at(Math.max(0, Math.min(responseTime, timeoutMs)), () -> ended(request, attempt, sentAt, outcome, isCold));
        }

        private void ended(long request, int attempt, double sentAt, Outcome outcome, boolean isCold) {
            OpenRequest a = open.get(request);
            if (!isRunning() || a.pendingAttempt != attempt) {
                return;
            }
            a.pendingAttempt = NONE;
            if (outcome == Outcome.OK && !a.ended) {
                a.ended = true;
                served++;
                servedCold += isCold ? 1 : 0;
            }
            balancer.onOutcome(now, request, attempt, outcome, now - sentAt, a.ended);
        }

        @Override
        public void reject(long request, double retryAfterMs) {
            open.get(request).ended = true;
        }

        @Override
        public void fail(long request) {
            open.get(request).ended = true;
        }

        @Override
        public void cancel(long request, int attempt) {
            double sentAt = open.get(request).sentAt;
            at(0, () -> ended(request, attempt, sentAt, Outcome.CANCELLED, false));
        }

        @Override
        public void timer(double delayMs, long token) {
            at(delayMs, () -> {
                if (isRunning()) {
                    balancer.onTimer(now, token);
                }
            });
        }

        @Override
        public void watchServers() { }

        @Override
        public void closeIdle(long server) { }

        @Override
        public void log(String line) { }
    }

    private void at(double delay, Runnable action) {
        events.add(new ScheduledEvent(now + delay, order++, action));
    }

    private void arrive(double untilMs) {
        double rate = scenario.load() * burst * scenario.servers() * CORES / scenario.workMs();
        at(-Math.log(1 - random.nextDouble()) / rate, () -> {
            if (now < untilMs) {
                Node node = nodes[random.nextInt(nodes.length)];
                if (node != null) {
                    node.sendRequest(++requested);
                }
                arrive(untilMs);
            }
        });
    }

    /** Starts or restarts the server's process. Each node is told at a different time, some late. */
    private void start(long id, boolean fullList) {
        SimulatedServer m = serversById.computeIfAbsent(id, SimulatedServer::new);
        m.startedAt = now;
        m.requestsHeld = 0;
        double warmRate = CORES / scenario.workMs();
        m.counter = new OverloadCounter(new OverloadCounter.ServerTerms(RULES.initialCapacity(), RULES.warmupMs(),
                RULES.overloadMultiple(), OVERLOAD_WINDOW_MS, warmRate), now);
        starts.add(m.counter);
        for (Node node : nodes) {
            double late = random.nextInt(8) == 0 ? 3000 * random.nextDouble() : 60 * random.nextDouble();
            if (node != null) {
                at(late, fullList && random.nextBoolean() ? node::receiveList : () -> node.receiveList(m));
            }
        }
    }

    private void kill(int number, double forMs) {
        nodes[number] = null;
        at(forMs, () -> {
            nodes[number] = new Node(number);
            nodes[number].receiveList();
        });
    }

    /**
     * Runs the scenario. After 3 s a quarter of the servers restart cold, one by one or together, and as many join. A
     * tenth of the nodes fail and restart within seconds, twice. Then there is a burst of 5 s.
     */
    ColdFleet run() {
        double startedAtMs = now;
        double end = startedAtMs + 20_000;
        double quietFrom = startedAtMs + 3000;
        double burstAt = startedAtMs + 9000;
        arrive(scenario.quiet() ? quietFrom : end);
        for (int i = 0; i < Math.max(2, scenario.servers() / 4); i++) {
            long back = 1 + i;
            long joins = scenario.servers() + 1 + i;
            at(3000 + (i % 2 == 0 ? 0 : random.nextDouble() * 5000), () -> start(back, true));
            at(3000 + (i % 2 == 0 ? 0 : random.nextDouble() * 5000), () -> start(joins, false));
        }
        for (int i = 0; i < 2 * Math.max(1, scenario.nodes() / 10); i++) {
            int number = random.nextInt(scenario.nodes());
            at(2500 + random.nextDouble() * 7000, () -> kill(number, 500 + random.nextDouble() * 1500));
        }
        at(burstAt - startedAtMs, () -> {
            burst = scenario.burst();
            if (scenario.quiet()) {
                arrive(end);
            }
        });
        at(burstAt - startedAtMs + 5000, () -> burst = 1);
        while (events.peek() != null && events.peek().at() <= end + 5000) {
            ScheduledEvent next = events.poll();
            now = next.at();
            next.action().run();
        }
        return this;
    }

    long rulesBroken() {
        return starts.stream().filter(c -> c.ruleBroken).count();
    }

    long overloaded() {
        return starts.stream().filter(c -> c.overloaded).count();
    }

    /**
     * The highest load in one window that nodes aware of the start have sent to any starting server, as a fraction of
     * what overloads it.
     */
    double maxInformedLoad() {
        return starts.stream().mapToDouble(c -> c.maxInformedLoad).max().orElse(0);
    }
}
