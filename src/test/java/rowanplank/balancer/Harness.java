package rowanplank.balancer;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
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
 * Drives one balancer by hand and checks after every action that requests are answered once and in time, attempts
 * stay within their limits, and only ready servers get them.
 */
final class Harness implements Actions {
    static final Limits LIMITS = new Limits(3, true, true, 1000);
    static final Rules RULES = new Rules(10_000, 0.14, 24_000, 3);
    static final RequestClass SAFE = type(Effect.REPEATABLE, DedupGroup.ALL);
    static final RequestClass UNSAFE = type(Effect.ONCE, DedupGroup.ALL);
    static final RequestClass KEYED = type(Effect.BY_KEY, DedupGroup.ALL);

    record Sent(long request, int attempt, long server, double at) { }

    private record Timer(double at, long order, long token) { }

    private static final class Tracked {
        final RequestClass type;
        final double deadline;
        final List<Sent> attempts = new ArrayList<>();
        final Map<Integer, Outcome> outcomes = new HashMap<>();
        boolean ended;

        Tracked(RequestClass type, double deadline) {
            this.type = type;
            this.deadline = deadline;
        }
    }

    final Settings settings;
    final Balancer balancer;
    final List<Sent> sent = new ArrayList<>();
    final List<Long> rejected = new ArrayList<>();
    final List<Long> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<String> log = new ArrayList<>();
    int watchCalls;
    double lastRetryAfter;
    /** Whether attempts time out by themselves at the deadline. */
    boolean timeoutsEnabled = true;
    double now = 1000;
    private final Map<Long, Tracked> requests = new LinkedHashMap<>();
    private final Map<Long, Server> known = new LinkedHashMap<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>(
            java.util.Comparator.comparingDouble(Timer::at).thenComparingLong(Timer::order));
    private final Set<Long> everListed = new HashSet<>();
    private final Set<Sent> pending = new LinkedHashSet<>();
    private final Set<Tracked> owed = new LinkedHashSet<>();
    private long order;

    Harness(Settings settings) {
        this(settings, 42);
    }

    Harness(Settings settings, long seed) {
        this.settings = settings;
        balancer = new Balancer(settings, seed, this);
    }

    static RequestClass type(Effect effect, DedupGroup group) {
        return new RequestClass(400, 1200, 2, 0.2, effect, group, 2000, false);
    }

    static Settings settings(RequestClass... classes) {
        return settings(3, LIMITS, classes);
    }

    static Settings settings(int nodes, Limits limits, RequestClass... classes) {
        return new Settings(nodes, 0, 0, List.of(classes), List.of(), 0.1, limits, RULES, false, false, false, 0);
    }

    static Server server(long id) {
        return server(id, Lifecycle.READY, 0);
    }

    static Server server(long id, Lifecycle lifecycle, double startedAt) {
        return new Server(id, (int) (id % 3), (int) (id % 2), lifecycle, 1, startedAt);
    }

    Harness servers(int n) {
        List<Server> list = new ArrayList<>();
        for (int i = 1; i <= n; i++) {
            list.add(server(i));
        }
        list(ListKind.CACHED, list);
        return this;
    }

    void list(ListKind kind, List<Server> servers) {
        if (kind == ListKind.FULL || kind == ListKind.CACHED) {
            known.clear();
        }
        servers.forEach(s -> known.put(s.id(), s));
        servers.forEach(s -> everListed.add(s.id()));
        balancer.onServers(now, kind, servers);
    }

    void request(long id, int classIndex) {
        request(id, classIndex, now + settings.classes().get(classIndex).deadlineMs());
    }

    void request(long id, int classIndex, double deadline) {
        request(id, classIndex, deadline, 0, false);
    }

    void keyedRequest(long id, long key) {
        request(id, 0, now + settings.classes().get(0).deadlineMs(), key, false);
    }

    /** Sends a request of a client that has sent it before. */
    void clientRetry(long id, int classIndex) {
        request(id, classIndex, now + settings.classes().get(classIndex).deadlineMs(), 0, true);
    }

    private void request(long id, int classIndex, double deadline, long key, boolean clientRetry) {
        Tracked r = new Tracked(settings.classes().get(classIndex), deadline);
        requests.put(id, r);
        owed.add(r);
        balancer.onRequest(now, new Request(id, classIndex, 0, key, deadline, 0, clientRetry));
    }

    void outcome(Sent s, Outcome outcome) {
        Tracked r = requests.get(s.request());
        r.outcomes.put(s.attempt(), outcome);
        pending.remove(s);
        r.ended |= outcome == Outcome.OK;
        balancer.onOutcome(now, s.request(), s.attempt(), outcome, now - s.at(), r.ended);
    }

    void clientLeft(long id) {
        requests.get(id).ended = true;
        balancer.onClientLeft(now, id);
    }

    /** Lets time pass, with timers, and time-outs at the deadlines. */
    void advance(double ms) {
        double until = now + ms;
        while (now < until) {
            now = Math.min(until, now + 5);
            while (!timers.isEmpty() && timers.peek().at() <= now) {
                balancer.onTimer(now, timers.poll().token());
            }
            for (Sent s : pending()) {
                if (timeoutsEnabled && now >= requests.get(s.request()).deadline) {
                    outcome(s, Outcome.TIMEOUT);
                }
            }
            owed.removeIf(r -> r.ended);
            owed.forEach(r -> assertTrue(now <= r.deadline + 20, "response overdue"));
        }
    }

    List<Sent> pending() {
        return List.copyOf(pending);
    }

    Sent last() {
        return sent.get(sent.size() - 1);
    }

    boolean ended(long id) {
        return requests.get(id).ended;
    }

    int attempts(long id) {
        return requests.get(id).attempts.size();
    }

    Set<Long> attemptedServers(long id) {
        Set<Long> tried = new HashSet<>();
        requests.get(id).attempts.forEach(s -> tried.add(s.server()));
        return tried;
    }

    @Override
    public void send(long request, long server, double timeoutMs) {
        Tracked r = requests.get(request);
        assertFalse(r.ended, "sent after the final response");
        assertTrue(known.containsKey(server) && known.get(server).lifecycle() == Lifecycle.READY,
                "sent to a server that is not ready");
        assertTrue(r.attempts.size() < settings.limits().maxAttempts(), "too many attempts");
        Sent first = null;
        for (Sent s : r.attempts) {
            Outcome o = r.outcomes.get(s.attempt());
            assertTrue(settings.limits().hedging() || o != null, "a hedged request where none is allowed");
            first = first == null && (o == null || !o.neverRan()) ? s : first;
        }
        if (first != null) {
            assertTrue(r.type.effect() != Effect.ONCE, "an unsafe request that may have run was sent again");
            if (r.type.effect() == Effect.BY_KEY) {
                assertTrue(now - first.at() <= r.type.dedupWindowMs(), "a keyed request sent outside its window");
                assertTrue(sameGroup(r.type.dedupGroup(), first.server(), server), "a keyed request left its group");
            }
        }
        Sent s = new Sent(request, r.attempts.size(), server, now);
        r.attempts.add(s);
        sent.add(s);
        pending.add(s);
    }

    private boolean sameGroup(DedupGroup group, long a, long b) {
        return switch (group) {
            case ALL -> true;
            case ZONE -> a % 3 == b % 3;
            case CELL -> a % 2 == b % 2;
        };
    }

    @Override
    public void reject(long request, double retryAfterMs) {
        lastRetryAfter = retryAfterMs;
        Tracked r = requests.get(request);
        assertFalse(r.ended, "two final responses");
        boolean mayHaveRun = r.attempts.stream().anyMatch(s -> {
            Outcome o = r.outcomes.get(s.attempt());
            return o == null || !o.neverRan();
        });
        assertTrue(!mayHaveRun || r.type.effect() == Effect.REPEATABLE
                || r.type.effect() == Effect.BY_KEY && r.type.dedupGroup() == DedupGroup.ALL, "an unsafe rejection");
        r.ended = true;
        rejected.add(request);
    }

    @Override
    public void fail(long request) {
        assertFalse(requests.get(request).ended, "two final responses");
        requests.get(request).ended = true;
        failed.add(request);
    }

    @Override
    public void cancel(long request, int attempt) {
        assertTrue(settings.limits().cancel(), "a cancellation where none is allowed");
        assertTrue(attempt < requests.get(request).attempts.size(), "cancelled an attempt never made");
        cancelled.add(request + "/" + attempt);
    }

    @Override
    public void timer(double delayMs, long token) {
        assertTrue(delayMs > 0);
        timers.add(new Timer(now + delayMs, order++, token));
    }

    @Override
    public void watchServers() {
        watchCalls++;
    }

    @Override
    public void closeIdle(long server) {
        assertTrue(everListed.contains(server), "closed connections to a server that was never listed");
    }

    @Override
    public void log(String line) {
        log.add(line);
    }
}
