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
 * A simulation of some modules and the servers that they share, in virtual time and without sockets, to see which
 * servers a module prefers and for how long. A response takes the request's work at the server's speed, and longer
 * the more requests the server holds for its two cores. A cancelled attempt keeps running. The same seed gives the
 * same run.
 */
final class SimulatedSite {
    static final int COMMON = 0;
    static final int RARE = 1;
    static final double AIM = 680;
    private static final double CORES = 2;
    private static final double COMMON_WORK = 85;
    private static final double RARE_WORK = 200;
    private static final double PAUSE_EVERY = 1500;

    /** How a faulty server handles an attempt that begins during the fault. */
    enum FaultKind { NONE, SLOW, PAUSES, RESETS, SILENT }

    /** One attempt; {@code outcome} is null while it is pending. */
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

    private record ScheduledEvent(double at, long order, Runnable action) { }

    private static final class OpenRequest {
        final int type;
        final double deadline;
        final List<Sent> attempts = new ArrayList<>();
        boolean ended;

        OpenRequest(int type, double deadline) {
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
    private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>(
            Comparator.comparingDouble(ScheduledEvent::at).thenComparingLong(ScheduledEvent::order));
    private final Node[] nodes;
    private final double[] speed;
    private final FaultKind[] faults;
    private final double[] severity;
    private final int[] requestsHeld;
    private long order;
    private long requests;

    /**
     * Creates a site.
     *
     * @param ratePerS requests per second, over all nodes
     * @param rareShare the fraction of requests of the class {@link #RARE}
     * @param speeds the speeds of the servers, 1 for a normal one
     */
    SimulatedSite(long seed, int nodes, double ratePerS, double rareShare, double... speeds) {
        random = new SplittableRandom(seed);
        servers = speeds.length;
        this.rareShare = rareShare;
        speed = speeds;
        faults = new FaultKind[servers];
        severity = new double[servers];
        requestsHeld = new int[servers];
        java.util.Arrays.fill(faults, FaultKind.NONE);
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

    /** One module, and its open requests. */
    private final class Node implements Actions {
        final int number;
        final Events balancer;
        final Map<Long, OpenRequest> open = new HashMap<>();

        Node(int number) {
            this.number = number;
            balancer = new Balancer(settings(number), 42 + number + random.nextInt(1000), this);
        }

        @Override
        public void send(long request, long server, double timeoutMs) {
            OpenRequest r = open.get(request);
            int s = (int) server - 1;
            int attempt = r.attempts.size();
            Sent sentAttempt = new Sent(now, number, s, r.type);
            r.attempts.add(sentAttempt);
            sent.add(sentAttempt);
            requestsHeld[s]++;
            double work = (r.type == COMMON ? COMMON_WORK : RARE_WORK) * (0.7 + 0.6 * random.nextDouble());
            double serviceTime = work / speed[s] * Math.max(1, requestsHeld[s] / CORES)
                    * (faults[s] == FaultKind.SLOW ? severity[s] : 1);
            serviceTime += faults[s] == FaultKind.PAUSES ? pause(serviceTime, severity[s]) : 0;
            boolean resets = faults[s] == FaultKind.RESETS && random.nextDouble() < severity[s];
            boolean silent = faults[s] == FaultKind.SILENT && random.nextDouble() < severity[s];
            at(now + serviceTime, () -> requestsHeld[s]--);
            double responseTime = resets ? serviceTime / 4 : silent ? Double.MAX_VALUE : serviceTime;
            Outcome outcome = responseTime > timeoutMs ? Outcome.TIMEOUT : resets ? Outcome.RESET : Outcome.OK;
            at(now + Math.min(responseTime, timeoutMs), () -> ended(request, attempt, outcome));
        }

        private void ended(long request, int attempt, Outcome outcome) {
            OpenRequest r = open.get(request);
            Sent sentAttempt = r.attempts.get(attempt);
            if (sentAttempt.outcome != null || nodes[number] != this) {
                return;
            }
            sentAttempt.outcome = outcome;
            sentAttempt.latency = now - sentAttempt.at;
            if (outcome == Outcome.OK && !r.ended) {
                r.ended = true;
                served++;
            }
            balancer.onOutcome(now, request, attempt, outcome, sentAttempt.latency, r.ended);
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

    /**
     * How long an attempt with this service time waits at a server that pauses for {@code length} every {@link
     * #PAUSE_EVERY}.
     */
    private double pause(double serviceTime, double length) {
        double since = now % PAUSE_EVERY;
        return (since < length ? length - since : 0) + (since + serviceTime > PAUSE_EVERY ? length : 0);
    }

    private void at(double time, Runnable action) {
        events.add(new ScheduledEvent(time, order++, action));
    }

    /** Restarts the node, which then knows only the list of servers; its pending attempts are lost. */
    void restart(int node) {
        nodes[node] = new Node(node);
        List<Server> list = new ArrayList<>();
        for (int s = 1; s <= servers; s++) {
            list.add(new Server(s, 0, 0, Lifecycle.READY, 1, 0));
        }
        nodes[node].balancer.onServers(now, ListKind.FULL, list);
    }

    /** Sets the fault of these servers from now on. */
    void injectFault(FaultKind fault, double amount, int... which) {
        for (int s : which) {
            faults[s] = fault;
            severity[s] = amount;
        }
    }

    private void arrive(double meanGap) {
        at(now - meanGap * Math.log(1 - random.nextDouble()), () -> {
            Node node = nodes[random.nextInt(nodes.length)];
            int type = random.nextDouble() < rareShare ? RARE : COMMON;
            long id = ++requests;
            RequestClass c = classes()[type];
            node.open.put(id, new OpenRequest(type, now + c.deadlineMs()));
            node.balancer.onRequest(now, new Request(id, type, 0, 0, now + c.deadlineMs(), 0, false));
            arrive(meanGap);
        });
    }

    void run(double ms) {
        double until = now + ms;
        while (events.peek().at() <= until) {
            ScheduledEvent next = events.poll();
            now = next.at();
            next.action().run();
        }
        now = until;
    }

    List<Sent> sent(double from, double to, Predicate<Sent> which) {
        return sent.stream().filter(s -> s.at >= from && s.at < to && which.test(s)).toList();
    }

    /** A server's attempts relative to an equal share of all attempts. */
    double share(int server, double from, double to, Predicate<Sent> which) {
        List<Sent> all = sent(from, to, which);
        return all.isEmpty() ? 0 : all.stream().filter(s -> s.server == server).count() * (double) servers / all.size();
    }

    /**
     * Seconds from {@code since} until the server has had this fraction of an equal share over a whole window;
     * infinite if it never had.
     */
    double secondsToShare(int server, double since, double part, double windowMs, Predicate<Sent> which) {
        for (double at = since; at + windowMs <= now; at += 250) {
            if (share(server, at, at + windowMs, which) >= part) {
                return (at - since) / 1000;
            }
        }
        return Double.POSITIVE_INFINITY;
    }
}
