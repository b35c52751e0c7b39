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
 * Some dozens of modules that know nothing of each other, and servers that join and come back cold, in virtual time and
 * without sockets. Each start of a server is watched by a {@link OverloadCounter}. Nodes hear of a start at different times,
 * some after seconds. Same plan and seed, same run.
 */
final class ColdFleet {
    static final int ZONES = 3;
    private static final int CORES = 2;
    private static final int NONE = -1;
    /** Mean of a request's work is 1: one class of 0.7, every eighth request of 3.1. */
    private static final double[] WORK = {0.7, 3.1};
    private static final double RARE = 0.125;

    /** What a server does with what comes to it while it is cold; one that is down answers nothing. */
    enum ColdBehavior { SERVES, REJECTS, FAILS, RESETS, NO_RESPONSE }

    /** Planted: each module's ramp is sized as if it were the only one; or it hears of no start. */
    enum InjectedFault { NONE, WARMUP_FOR_ONE_NODE, NO_WARMUP }

    /**
     * A site and what happens there.
     *
     * @param workMs mean work of a request, on one core
     * @param load of all servers' cores, before the burst
     * @param burst times as much for 5 s
     * @param failing part of the warm servers' answers that are errors
     * @param quiet whether nothing is asked of the fleet between the starts and the burst
     * @param fault what is wrong with the modules
     */
    record Scenario(int nodes, int servers, double workMs, double load, double burst, ColdBehavior cold, double failing,
            boolean quiet, InjectedFault fault) {
        Scenario with(ColdBehavior how) {
            return new Scenario(nodes, servers, workMs, load, burst, how, failing, quiet, fault);
        }

        Scenario failing(double part) {
            return new Scenario(nodes, servers, workMs, load, burst, cold, part, quiet, fault);
        }

        Scenario with(InjectedFault planted) {
            return new Scenario(nodes, servers, workMs, load, burst, cold, failing, quiet, planted);
        }

        Scenario quietUntilTheBurst() {
            return new Scenario(nodes, servers, workMs, load, burst, cold, failing, true, fault);
        }
    }

    private record Due(double at, long order, Runnable what) { }

    private Server listed(Machine m) {
        return new Server(m.id, m.zone, 0, Lifecycle.READY, 1, plan.fault() == InjectedFault.NO_WARMUP ? 0 : m.startedAt);
    }

    private static final class Machine {
        final long id;
        final int zone;
        double startedAt;
        OverloadCounter counter;
        int held;

        Machine(long id) {
            this.id = id;
            zone = (int) (id % ZONES);
        }

    }

    private static final class Asked {
        final int type;
        final double deadline;
        int tries;
        /** The try that is out, and since when. */
        int out = NONE;
        double outAt;
        boolean ended;

        Asked(int type, double deadline) {
            this.type = type;
            this.deadline = deadline;
        }
    }

    private static final Rules RULES = new Rules(10_000, 0.12, 24_000, 2.5);
    static final double OVERLOAD_WINDOW_MS = 1500;

    final List<OverloadCounter> starts = new ArrayList<>();
    /** Requests that came, those served, and those served by servers in their cold time. */
    int requested;
    int served;
    int servedCold;
    private final Scenario plan;
    private final SplittableRandom random;
    private final Map<Long, Machine> machines = new LinkedHashMap<>();
    private final Node[] nodes;
    private final PriorityQueue<Due> agenda =
            new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::order));
    private double now = 1_000_000;
    private long order;
    private double burst = 1;

    ColdFleet(Scenario plan, long seed) {
        this.plan = plan;
        random = new SplittableRandom(seed);
        for (long id = 1; id <= plan.servers(); id++) {
            machines.put(id, new Machine(id));
        }
        nodes = new Node[plan.nodes()];
        for (int n = 0; n < plan.nodes(); n++) {
            nodes[n] = new Node(n);
            nodes[n].hear();
        }
    }

    private Settings settings(int node) {
        double aim = 8 * plan.workMs();
        RequestClass common = new RequestClass(aim, 2.5 * aim, 2, 0.25, Effect.REPEATABLE, DedupGroup.ALL, 0, false);
        RequestClass rare = new RequestClass(2 * aim, 5 * aim, 6, 0.25, Effect.REPEATABLE, DedupGroup.ALL, 0, false);
        int of = plan.fault() == InjectedFault.WARMUP_FOR_ONE_NODE ? 1 : plan.nodes();
        return new Settings(of, node % of, node % ZONES, List.of(common, rare), List.of(), 0.1,
                new Limits(6, true, false, 1000), RULES, false, false, false, 0.08);
    }

    /** One life of a node. */
    private final class Node implements Actions {
        final int number;
        final Balancer module;
        /** The start of each server that it was told last. */
        final Map<Long, Double> told = new HashMap<>();
        final Map<Long, Asked> open = new HashMap<>();

        Node(int number) {
            this.number = number;
            module = new Balancer(settings(number), random.nextLong(), this);
        }

        boolean lives() {
            return nodes[number] == this;
        }

        /** The whole list as it is now. */
        void hear() {
            if (lives()) {
                machines.values().forEach(m -> told.put(m.id, m.startedAt));
                module.onServers(now, ListKind.FULL, machines.values().stream().map(ColdFleet.this::listed).toList());
            }
        }

        void hear(Machine m) {
            if (lives()) {
                told.put(m.id, m.startedAt);
                module.onServers(now, ListKind.DELTA, List.of(listed(m)));
            }
        }

        void ask(long id) {
            int type = random.nextDouble() < RARE ? 1 : 0;
            double deadline = now + settings(number).classes().get(type).deadlineMs();
            open.put(id, new Asked(type, deadline));
            module.onRequest(now, new Request(id, type, 0, 0, deadline, 0, false));
        }

        @Override
        public void send(long request, long server, double timeoutMs) {
            Asked a = open.get(request);
            Machine m = machines.get(server);
            int attempt = a.tries++;
            a.out = attempt;
            a.outAt = now;
            double sentAt = now;
            double work = WORK[a.type] * (0.7 + 0.6 * random.nextDouble());
            boolean isCold = m.counter != null && now - m.startedAt < RULES.warmupMs();
            if (isCold) {
                m.counter.arrived(now, work, told.getOrDefault(server, -1.0) == m.startedAt);
            }
            boolean down = m.counter != null && m.counter.overloaded;
            ColdBehavior how = down ? ColdBehavior.NO_RESPONSE : isCold ? plan.cold() : ColdBehavior.SERVES;
            boolean fails = how == ColdBehavior.FAILS || how == ColdBehavior.SERVES && !isCold && random.nextDouble() < plan.failing();
            double least = 0.12 + 0.88 * (now - m.startedAt) / RULES.warmupMs();
            double warm = isCold ? Math.min(1, least) : 1;
            double takes = work * plan.workMs() / warm * Math.max(1, ++m.held / (double) CORES);
            double start = m.startedAt;
            at(takes, () -> m.held -= m.startedAt == start ? 1 : 0);
            double answers = how == ColdBehavior.NO_RESPONSE ? Double.MAX_VALUE : how != ColdBehavior.SERVES || fails ? 1 : takes;
            Outcome outcome = answers > timeoutMs ? Outcome.TIMEOUT : fails ? Outcome.ERROR
                    : how == ColdBehavior.REJECTS ? Outcome.FULL : how == ColdBehavior.RESETS ? Outcome.RESET : Outcome.OK;
            at(Math.max(0, Math.min(answers, timeoutMs)), () -> ended(request, attempt, sentAt, outcome, isCold));
        }

        private void ended(long request, int attempt, double sentAt, Outcome outcome, boolean isCold) {
            Asked a = open.get(request);
            if (!lives() || a.out != attempt) {
                return;
            }
            a.out = NONE;
            if (outcome == Outcome.OK && !a.ended) {
                a.ended = true;
                served++;
                servedCold += isCold ? 1 : 0;
            }
            module.onOutcome(now, request, attempt, outcome, now - sentAt, a.ended);
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
            double sentAt = open.get(request).outAt;
            at(0, () -> ended(request, attempt, sentAt, Outcome.CANCELLED, false));
        }

        @Override
        public void timer(double delayMs, long token) {
            at(delayMs, () -> {
                if (lives()) {
                    module.onTimer(now, token);
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

    private void at(double delay, Runnable what) {
        agenda.add(new Due(now + delay, order++, what));
    }

    private void arrive(double untilMs) {
        double rate = plan.load() * burst * plan.servers() * CORES / plan.workMs();
        at(-Math.log(1 - random.nextDouble()) / rate, () -> {
            if (now < untilMs) {
                Node node = nodes[random.nextInt(nodes.length)];
                if (node != null) {
                    node.ask(++requested);
                }
                arrive(untilMs);
            }
        });
    }

    /** The server's process starts anew, or for the first time; each node is told at a time of its own, some late. */
    private void start(long id, boolean whole) {
        Machine m = machines.computeIfAbsent(id, Machine::new);
        m.startedAt = now;
        m.held = 0;
        double warmRate = CORES / plan.workMs();
        m.counter = new OverloadCounter(new OverloadCounter.ServerTerms(RULES.initialCapacity(), RULES.warmupMs(), RULES.overloadMultiple(), OVERLOAD_WINDOW_MS,
                warmRate), now);
        starts.add(m.counter);
        for (Node node : nodes) {
            double late = random.nextInt(8) == 0 ? 3000 * random.nextDouble() : 60 * random.nextDouble();
            if (node != null) {
                at(late, whole && random.nextBoolean() ? node::hear : () -> node.hear(m));
            }
        }
    }

    private void kill(int number, double forMs) {
        nodes[number] = null;
        at(forMs, () -> {
            nodes[number] = new Node(number);
            nodes[number].hear();
        });
    }

    /**
     * After 3 s a quarter of the servers comes back cold, one by one or together, and as many join; a tenth of the nodes dies
     * and comes back within seconds, twice; then there is a burst of 5 s.
     */
    ColdFleet run() {
        double begin = now;
        double end = begin + 20_000;
        double quietFrom = begin + 3000;
        double burstAt = begin + 9000;
        arrive(plan.quiet() ? quietFrom : end);
        for (int i = 0; i < Math.max(2, plan.servers() / 4); i++) {
            long back = 1 + i;
            long joins = plan.servers() + 1 + i;
            at(3000 + (i % 2 == 0 ? 0 : random.nextDouble() * 5000), () -> start(back, true));
            at(3000 + (i % 2 == 0 ? 0 : random.nextDouble() * 5000), () -> start(joins, false));
        }
        for (int i = 0; i < 2 * Math.max(1, plan.nodes() / 10); i++) {
            int number = random.nextInt(plan.nodes());
            at(2500 + random.nextDouble() * 7000, () -> kill(number, 500 + random.nextDouble() * 1500));
        }
        at(burstAt - begin, () -> {
            burst = plan.burst();
            if (plan.quiet()) {
                arrive(end);
            }
        });
        at(burstAt - begin + 5000, () -> burst = 1);
        while (agenda.peek() != null && agenda.peek().at() <= end + 5000) {
            Due due = agenda.poll();
            now = due.at();
            due.what().run();
        }
        return this;
    }

    long rulesBroken() {
        return starts.stream().filter(c -> c.ruleBroken).count();
    }

    long overloaded() {
        return starts.stream().filter(c -> c.overloaded).count();
    }

    /** The most of all starts that told nodes sent in one window, as a part of what the server bears. */
    double maxInformedLoad() {
        return starts.stream().mapToDouble(c -> c.maxInformedLoad).max().orElse(0);
    }
}
