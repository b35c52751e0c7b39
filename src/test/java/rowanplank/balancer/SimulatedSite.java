package rowanplank.balancer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import rowanplank.balancer.BalancerApi.Actions;
import rowanplank.balancer.BalancerApi.DedupGroup;
import rowanplank.balancer.BalancerApi.Effect;
import rowanplank.balancer.BalancerApi.Events;
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
 * Some modules and the servers that they share, in virtual time and without sockets, to see whom a module favours, and
 * for how long. An answer takes its work at its server's speed, longer the more the server holds for its two cores; a
 * withdrawn try runs on. Same seed, same run.
 */
final class SimulatedSite {
    static final int COMMON = 0;
    static final int RARE = 1;
    static final double AIM = 680;
    private static final double CORES = 2;
    private static final double COMMON_WORK = 85;
    private static final double RARE_WORK = 200;
    private static final double PAUSE_EVERY = 1500;

    /** What a server does to a try that begins while it is in trouble. */
    enum FaultKind { NONE, SLOW, PAUSES, RESETS, SILENT }

    /** One send; {@code outcome} stays null while it is out. */
    static final class Sent {
        final double at;
        final int node;
        final int server;
        final int type;
        Outcome outcome;
        double latency;

        Sent(double at, int node, int server, int type) {
            this.at = at;
            this.node = node;
            this.server = server;
            this.type = type;
        }
    }

    private record Due(double at, long order, Runnable what) { }

    private static final class Asked {
        final int type;
        final double deadline;
        final List<Sent> tries = new ArrayList<>();
        boolean ended;

        Asked(int type, double deadline) {
            this.type = type;
            this.deadline = deadline;
        }
    }

    final List<Sent> sent = new ArrayList<>();
    int served;
    int rejected;
    double now = 1000;
    private final int servers;
    private final double rareShare;
    private final SplittableRandom random;
    private final PriorityQueue<Due> agenda =
            new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::order));
    private final Node[] nodes;
    private final double[] speed;
    private final FaultKind[] trouble;
    private final double[] size;
    private final int[] held;
    private long order;
    private long requests;

    /** @param speeds of the servers, 1 for the usual one */
    SimulatedSite(long seed, int nodes, double ratePerS, double rareShare, double... speeds) {
        random = new SplittableRandom(seed);
        servers = speeds.length;
        this.rareShare = rareShare;
        speed = speeds;
        trouble = new FaultKind[servers];
        size = new double[servers];
        held = new int[servers];
        java.util.Arrays.fill(trouble, FaultKind.NONE);
        this.nodes = new Node[nodes];
        for (int n = 0; n < nodes; n++) {
            restart(n);
        }
        arrive(1000 / ratePerS);
    }

    static RequestClass[] classes() {
        return new RequestClass[] {new RequestClass(AIM, 1700, 2, 0.25, Effect.REPEATABLE, DedupGroup.ALL, 0, false),
            new RequestClass(1600, 4000, 6, 0.25, Effect.REPEATABLE, DedupGroup.ALL, 0, false)};
    }

    private Settings settings(int node) {
        return new Settings(nodes.length, node, 0, List.of(classes()), List.of(), 0.1, new Limits(6, true, false, 1000),
                new Rules(10_000, 0.12, 24_000, 2.5), false, false, false, 0);
    }

    /** One module, and what it has asked for. */
    private final class Node implements Actions {
        final int number;
        final Events module;
        final Map<Long, Asked> open = new HashMap<>();

        Node(int number) {
            this.number = number;
            module = new Balancer(settings(number), 42 + number + random.nextInt(1000), this);
        }

        @Override
        public void send(long request, long server, double timeoutMs) {
            Asked asked = open.get(request);
            int s = (int) server - 1;
            int attempt = asked.tries.size();
            Sent out = new Sent(now, number, s, asked.type);
            asked.tries.add(out);
            sent.add(out);
            held[s]++;
            double work = (asked.type == COMMON ? COMMON_WORK : RARE_WORK) * (0.7 + 0.6 * random.nextDouble());
            double takes = work / speed[s] * Math.max(1, held[s] / CORES) * (trouble[s] == FaultKind.SLOW ? size[s] : 1);
            takes += trouble[s] == FaultKind.PAUSES ? pause(takes, size[s]) : 0;
            boolean resets = trouble[s] == FaultKind.RESETS && random.nextDouble() < size[s];
            boolean silent = trouble[s] == FaultKind.SILENT && random.nextDouble() < size[s];
            at(now + takes, () -> held[s]--);
            double answers = resets ? takes / 4 : silent ? Double.MAX_VALUE : takes;
            Outcome outcome = answers > timeoutMs ? Outcome.TIMEOUT : resets ? Outcome.RESET : Outcome.OK;
            at(now + Math.min(answers, timeoutMs), () -> ended(request, attempt, outcome));
        }

        private void ended(long request, int attempt, Outcome outcome) {
            Asked asked = open.get(request);
            Sent out = asked.tries.get(attempt);
            if (out.outcome != null || nodes[number] != this) {
                return;
            }
            out.outcome = outcome;
            out.latency = now - out.at;
            if (outcome == Outcome.OK && !asked.ended) {
                asked.ended = true;
                served++;
            }
            module.onOutcome(now, request, attempt, outcome, out.latency, asked.ended);
        }

        @Override
        public void reject(long request, double retryAfterMs) {
            rejected += open.get(request).ended ? 0 : 1;
            open.get(request).ended = true;
        }

        @Override
        public void fail(long request) {
            reject(request, 0);
        }

        @Override
        public void cancel(long request, int attempt) {
            at(now, () -> ended(request, attempt, Outcome.CANCELLED));
        }

        @Override
        public void timer(double delayMs, long token) {
            at(now + delayMs, () -> {
                if (nodes[number] == this) {
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

    /** How long a try that would take so long waits, where the server stands still for a while each second and a half. */
    private double pause(double takes, double length) {
        double since = now % PAUSE_EVERY;
        return (since < length ? length - since : 0) + (since + takes > PAUSE_EVERY ? length : 0);
    }

    private void at(double time, Runnable what) {
        agenda.add(new Due(time, order++, what));
    }

    /** The node begins anew, knowing nothing but the list of servers; what it had out is lost. */
    void restart(int node) {
        nodes[node] = new Node(node);
        List<Server> list = new ArrayList<>();
        for (int s = 1; s <= servers; s++) {
            list.add(new Server(s, 0, 0, Lifecycle.READY, 1, 0));
        }
        nodes[node].module.onServers(now, ListKind.FULL, list);
    }

    /** From now on, for these servers. */
    void injectFault(FaultKind kind, double howMuch, int... which) {
        for (int s : which) {
            trouble[s] = kind;
            size[s] = howMuch;
        }
    }

    private void arrive(double meanGap) {
        at(now - meanGap * Math.log(1 - random.nextDouble()), () -> {
            Node node = nodes[random.nextInt(nodes.length)];
            int type = random.nextDouble() < rareShare ? RARE : COMMON;
            long id = ++requests;
            RequestClass c = classes()[type];
            node.open.put(id, new Asked(type, now + c.deadlineMs()));
            node.module.onRequest(now, new Request(id, type, 0, 0, now + c.deadlineMs(), 0, false));
            arrive(meanGap);
        });
    }

    void run(double ms) {
        double until = now + ms;
        while (agenda.peek().at() <= until) {
            Due due = agenda.poll();
            now = due.at();
            due.what().run();
        }
        now = until;
    }

    List<Sent> sent(double from, double to, Predicate<Sent> which) {
        return sent.stream().filter(s -> s.at >= from && s.at < to && which.test(s)).toList();
    }

    /** A server's sends over those that it would get if all got the same. */
    double share(int server, double from, double to, Predicate<Sent> which) {
        List<Sent> all = sent(from, to, which);
        return all.isEmpty() ? 0 : all.stream().filter(s -> s.server == server).count() * (double) servers / all.size();
    }

    /** Seconds from then until the server has had this part of an equal share over a whole window. */
    double secondsToShare(int server, double since, double part, double windowMs, Predicate<Sent> which) {
        for (double at = since; at + windowMs <= now; at += 250) {
            if (share(server, at, at + windowMs, which) >= part) {
                return (at - since) / 1000;
            }
        }
        return Double.POSITIVE_INFINITY;
    }
}
