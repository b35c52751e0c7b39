package rowanplank.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
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
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.balancer.BalancerApi.Settings;
import rowanplank.balancer.BalancerApi.Tenant;

/**
 * Plays random event sequences to the module and compares a digest of all actions, with their times and order, with a
 * recorded one, so that unintended changes of decisions are noticed. The load ranges from idle to far above capacity,
 * and servers are cold, slow, full, silent and removed by turns. The digests were first recorded before zone routing
 * was added and the cost per decision was made independent of the number of servers, and have been replaced since
 * only where decisions were changed on purpose. A change that is meant to decide differently records new digests, and
 * its commit says for which seeds and why.
 */
class DecisionDigestTest {
    private static final Outcome[] FAILURES = {Outcome.ERROR, Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.RESET,
        Outcome.MOOT};

    /** Digests the actions, which also produce the next events of the sequence. */
    private final class Recorder implements Actions {
        private final MessageDigest digest = digest();

        private void record(String what) {
            digest.update((now + " " + what + "\n").getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public void send(long request, long server, double timeoutMs) {
            record("send " + request + " to " + server + " for " + timeoutMs);
            sent(request, server, timeoutMs);
        }

        @Override
        public void reject(long request, double retryAfterMs) {
            record("refuse " + request + " " + retryAfterMs);
            ended.set((int) request);
        }

        @Override
        public void fail(long request) {
            record("fail " + request);
            ended.set((int) request);
        }

        @Override
        public void cancel(long request, int attempt) {
            record("cancel " + request + "/" + attempt);
            at(now + 1, () -> outcome(request, attempt, Outcome.CANCELLED));
        }

        @Override
        public void timer(double delayMs, long token) {
            record("timer " + delayMs + " " + token);
            at(now + delayMs, () -> m -> m.onTimer(now, token));
        }

        @Override
        public void watchServers() {
            record("watch");
        }

        @Override
        public void closeIdle(long server) {
            record("close " + server);
        }

        @Override
        public void log(String line) {
            record(line);
        }
    }

    private static MessageDigest digest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every Java platform has it
        }
    }

    /** An event that is due at a time. */
    private record ScheduledEvent(double at, long order, Supplier<Consumer<Events>> event) { }

    private record PendingAttempt(long request, int attempt, double at) { }

    private final Recorder recorder = new Recorder();
    private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>(
            Comparator.comparingDouble(ScheduledEvent::at).thenComparingLong(ScheduledEvent::order));
    private final BitSet ended = new BitSet();
    private final List<PendingAttempt> pendingAttempts = new ArrayList<>();
    private final Map<Long, Integer> sends = new HashMap<>();
    private SplittableRandom random;
    private int servers;
    private double now = 1000;
    private long order;
    private double speed = 1;

    private void at(double time, Supplier<Consumer<Events>> event) {
        events.add(new ScheduledEvent(time, order++, event));
    }

    private void sent(long request, long server, double timeoutMs) {
        int attempt = sends.merge(request, 1, Integer::sum) - 1;
        pendingAttempts.add(new PendingAttempt(request, attempt, now));
        boolean fails = random.nextInt(100) < (server % 7 == 1 ? 30 : 3);
        boolean silent = random.nextInt(100) < 2;
        double latency = (10 + 60 * random.nextDouble()) * (1 + server % 4) / speed;
        Outcome outcome = silent || latency >= timeoutMs ? Outcome.TIMEOUT
                : fails ? FAILURES[random.nextInt(FAILURES.length)] : Outcome.OK;
        double took = outcome == Outcome.TIMEOUT ? Math.max(0, timeoutMs) : latency;
        at(now + took, () -> outcome(request, attempt, outcome));
    }

    private Consumer<Events> outcome(long request, int attempt, Outcome outcome) {
        PendingAttempt ends = pendingAttempts.stream()
                .filter(t -> t.request() == request && t.attempt() == attempt).findFirst().orElse(null);
        if (ends == null) {
            return m -> { }; // it was cancelled before
        }
        pendingAttempts.remove(ends);
        if (outcome == Outcome.OK) {
            ended.set((int) request);
        }
        boolean concluded = ended.get((int) request);
        return m -> m.onOutcome(now, request, attempt, outcome, now - ends.at(), concluded);
    }

    @ParameterizedTest
    @CsvSource({"1, bf9c7fbc18a441f0", "2, fc44edc43f0f6a12", "3, 9910b8daae5384c4", "4, db2fa1ec261aca69",
        "5, 65cb10f3a8974aaa", "6, eb24f529f958f52e", "7, 0e5d97c92941415c", "8, 8fb60197159c78ba",
        "9, 72153fb20885d48c", "10, a834248fcef49a17", "11, 5d2938db05f33598", "12, ef11f9c1115806ac"})
    void decisionsMatchTheRecordedDigest(long seed, String digest) {
        random = new SplittableRandom(seed);
        servers = 1 + random.nextInt(seed % 4 == 0 ? 40 : 14);
        Events module = new Balancer(settings(), seed, recorder);
        at(now, () -> list(ListKind.FULL));
        for (int id = 1; id <= 4000; id++) {
            arrival(id);
        }
        while (!events.isEmpty() && !(events.peek().at() > 1_000_000)) {
            ScheduledEvent next = events.poll();
            now = next.at();
            next.event().get().accept(module);
        }
        assertTrue(sends.size() > 500, sends.size() + " requests sent");
        assertTrue(ended.cardinality() > 3500, ended.cardinality() + " requests ended");
        assertEquals(digest, HexFormat.of().formatHex(recorder.digest.digest(), 0, 8));
    }

    /** The arrival rate varies between idle and several times the capacity of the servers. */
    private void arrival(int id) {
        double time = now + id * 8 + 2000 * StrictMath.sin(id / 300.0) + random.nextInt(5);
        double patience = 200 + random.nextInt(1500);
        int type = random.nextInt(5);
        int tenant = random.nextInt(3);
        long key = random.nextInt(20);
        boolean clientRetry = random.nextInt(6) == 0;
        at(time, () -> m -> m.onRequest(now, new Request(id, type, tenant, key, now + patience, 0, clientRetry)));
        if (id % 400 == 0) {
            at(time, () -> list(random.nextBoolean() ? ListKind.FULL : ListKind.DELTA));
            double next = 0.3 + 4 * random.nextDouble();
            at(time, () -> {
                speed = next;
                return m -> { };
            });
        }
        if (id % 37 == 0) {
            at(time + random.nextInt(300), () -> {
                ended.set(id);
                return m -> m.onClientLeft(now, id);
            });
        }
        if (id % 41 == 0) {
            at(time + 30, () -> m -> m.onStreamStarted(now, id, 0));
        }
    }

    private Consumer<Events> list(ListKind kind) {
        List<Server> list = new ArrayList<>();
        double started = random.nextInt(3) == 0 ? now + random.nextInt(30_000) : 0;
        for (long s = 1; s <= servers; s++) {
            if (random.nextInt(6) > 0) {
                Lifecycle lifecycle = random.nextInt(8) > 0 ? Lifecycle.READY : Lifecycle.DRAINING;
                list.add(new Server(s, (int) (s % 3), (int) (s % 5), lifecycle, 1 + s % 2, s % 3 == 0 ? started : 0));
            }
        }
        return m -> m.onServers(now, kind, list);
    }

    private Settings settings() {
        List<RequestClass> classes = List.of(Harness.SAFE, Harness.UNSAFE, Harness.KEYED,
                Harness.type(Effect.BY_KEY, DedupGroup.CELL), Harness.type(Effect.BY_KEY, DedupGroup.ZONE));
        Limits limits = new Limits(1 + random.nextInt(5), random.nextInt(4) > 0, random.nextBoolean(), 1000);
        int nodes = 1 + random.nextInt(3); // with more, each uses a part of the servers: SubsetTest
        return new Settings(nodes, random.nextInt(nodes), random.nextInt(3), classes,
                List.of(new Tenant(30), new Tenant(100)), 0.1, limits, Harness.RULES, false, random.nextBoolean(),
                random.nextBoolean(), 0);
    }
}
