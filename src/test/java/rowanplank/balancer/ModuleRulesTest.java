package rowanplank.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import rowanplank.balancer.BalancerApi.Actions;
import rowanplank.balancer.BalancerApi.Effect;
import rowanplank.balancer.BalancerApi.Events;
import rowanplank.balancer.BalancerApi.DedupGroup;
import rowanplank.balancer.BalancerApi.Lifecycle;
import rowanplank.balancer.BalancerApi.Limits;
import rowanplank.balancer.BalancerApi.ListKind;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.balancer.BalancerApi.Request;
import rowanplank.balancer.BalancerApi.RequestClass;
import rowanplank.balancer.BalancerApi.Rules;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.balancer.BalancerApi.Settings;
import rowanplank.neural.Neuron;
import rowanplank.balancer.BalancerState.ServerState;

/**
 * The specified rules as properties of the module, over random event sequences from fixed seeds. The sequences
 * contain legal events and odd ones, such as late and repeated outcomes, empty lists, rapidly changing lists and
 * clocks that stand still. Each property is also shown to fail for a module that is broken on purpose. The rule on
 * cold servers needs several nodes: see ColdServersTest and RulesOfDaysTest.
 */
class ModuleRulesTest {
    private static final int SEEDS = 40;
    private static final int REQUESTS = 600;
    private static final double TICK_MS = 10;
    private static final double SLACK_MS = 20;

    /** The properties that must hold after every event. */
    enum Rule {
        /** Each accepted request gets exactly one final response, before its client gives up. */
        FINAL_ANSWER,
        /**
         * At most one attempt is pending, at most six are made, and a request that must run only once is not retried
         * if it may have run.
         */
        ONE_TRY,
        /**
         * No new request is sent to a server that the module was told is draining or gone; here without any grace
         * period.
         */
        DRAIN,
        /** In-flight counts equal the numbers of pending attempts, and every q is in (0, 1]. */
        COUNTS,
        /**
         * A request that is given up gets its final response during the same event, with Retry-After advice within
         * the site's limit.
         */
        AT_ONCE
    }

    /** A module that breaks one property on purpose; {@link #NOT} breaks none. */
    enum BrokenModule {
        NOT(null), FORGETS_REFUSALS(Rule.FINAL_ANSWER), REFUSES_TWICE(Rule.FINAL_ANSWER), SENDS_TWICE(Rule.ONE_TRY),
        IGNORES_DRAIN(Rule.DRAIN), MISSES_OUTCOMES(Rule.COUNTS), LEARNS_NAN(Rule.COUNTS),
        WAITS_TO_REFUSE(Rule.AT_ONCE), GIVES_NO_ADVICE(Rule.AT_ONCE);

        final Rule rule;

        BrokenModule(Rule rule) {
            this.rule = rule;
        }
    }

    private record PendingAttempt(long request, int attempt, Server server, double at) { }

    private record Timer(double at, long order, Runnable action) { }

    private static final class OpenRequest {
        final RequestClass type;
        final double arrived;
        final double deadline;
        int attempts;
        boolean pending;
        boolean mayHaveRun;
        boolean ended;

        OpenRequest(RequestClass type, double arrived, double deadline) {
            this.type = type;
            this.arrived = arrived;
            this.deadline = deadline;
        }
    }

    /**
     * Simulates a node from one seed. It fulfils the node's guarantees to the module and checks the module's
     * properties.
     */
    private static final class Simulation implements Actions {
        private final BrokenModule defect;
        private final SplittableRandom random;
        private final Settings settings;
        private final Balancer balancer;
        private final Map<Long, OpenRequest> requests = new LinkedHashMap<>();
        private final Map<Long, Server> listed = new TreeMap<>();
        private final Map<Long, Double> starts = new TreeMap<>();
        private final List<PendingAttempt> pending = new ArrayList<>();
        private final List<PendingAttempt> finished = new ArrayList<>();
        private final PriorityQueue<Timer> timers =
                new PriorityQueue<>(Comparator.comparingDouble(Timer::at).thenComparingLong(Timer::order));
        private final Set<Rule> violations = new TreeSet<>();
        private final List<String> notes = new ArrayList<>();
        private double now = 1_000_000;
        private long order;
        private int counter;

        Simulation(long seed, BrokenModule defect) {
            this.defect = defect;
            random = new SplittableRandom(seed);
            RequestClass once = new RequestClass(400, 1200, 2, 0.2, Effect.ONCE, DedupGroup.ALL, 0, false);
            settings = new Settings(1 + random.nextInt(4), 0, 0,
                    List.of(SimulatedSite.classes()[0], SimulatedSite.classes()[1], once), List.of(), 0.1,
                    new Limits(6, true, false, 1000), new Rules(10_000, 0.12, 24_000, 2.5), false,
                    false, false, random.nextInt(2) * 0.08);
            balancer = new Balancer(settings, seed, this);
        }

        private void recordViolation(Rule rule, String details) {
            violations.add(rule);
            if (notes.size() < 5) {
                notes.add(rule + " at " + now + ": " + details);
            }
        }

        private boolean everyNth(int n) {
            return ++counter % n == 0;
        }

        // ---- events to the module

        void list(ListKind kind, List<Server> all) {
            List<Server> servers = kind == ListKind.FAILED ? List.of() : all;
            if (kind == ListKind.FULL || kind == ListKind.CACHED) {
                listed.clear();
            }
            servers.forEach(s -> listed.put(s.id(), s));
            List<Server> passedOn = defect != BrokenModule.IGNORES_DRAIN ? servers : servers.stream().map(s ->
                    new Server(s.id(), s.zone(), s.cell(), Lifecycle.READY, s.weight(), s.startedAtMs())).toList();
            balancer.onServers(now, kind, passedOn);
            check();
        }

        void request(long id, int type, double patience) {
            requests.put(id, new OpenRequest(settings.classes().get(type), now, now + patience));
            balancer.onRequest(now, new Request(id, type, 0, 0, now + patience, 0, random.nextInt(9) == 0));
            check();
        }

        void outcome(PendingAttempt o, Outcome outcome) {
            OpenRequest a = requests.get(o.request());
            pending.remove(o);
            finished.add(o);
            a.pending = false;
            a.mayHaveRun |= !outcome.neverRan();
            if (outcome == Outcome.OK && !a.ended) {
                a.ended = true;
            }
            if (defect != BrokenModule.MISSES_OUTCOMES || !everyNth(9)) {
                double latency = defect == BrokenModule.LEARNS_NAN && everyNth(9) ? Double.NaN : now - o.at();
                balancer.onOutcome(now, o.request(), o.attempt(), outcome, latency, a.ended);
            }
            check();
        }

        /**
         * Events that must change nothing: repeated outcomes, and events of attempts never made or requests never
         * sent.
         */
        void injectOddEvents() {
            if (!finished.isEmpty()) {
                PendingAttempt o = finished.get(random.nextInt(finished.size()));
                balancer.onOutcome(now, o.request(), o.attempt(), Outcome.ERROR, 5, true);
            }
            balancer.onOutcome(now, 1_000_000 + random.nextInt(9), 0, Outcome.OK, 5, true);
            balancer.onOutcome(now, 1 + random.nextInt(9), 99, Outcome.OK, 5, false);
            balancer.onClientLeft(now, 1_000_000);
            balancer.onTimer(now, 77);
            check();
        }

        void depart(long id) {
            requests.get(id).ended = true;
            balancer.onClientLeft(now, id);
            check();
        }

        void advance(double ms) {
            double until = now + ms;
            while (!timers.isEmpty() && timers.peek().at() <= until) {
                Timer t = timers.poll();
                now = Math.max(now, t.at());
                t.action().run();
                check();
            }
            now = until;
            for (PendingAttempt o : List.copyOf(pending)) {
                if (now >= requests.get(o.request()).deadline) {
                    outcome(o, Outcome.TIMEOUT);
                }
            }
            requests.values().removeIf(a -> a.ended && !a.pending && a.deadline + 5000 < now);
        }

        // ---- actions of the module

        private void at(double delayMs, Runnable action) {
            timers.add(new Timer(now + delayMs, order++, action));
        }

        @Override
        public void send(long request, long server, double timeoutMs) {
            OpenRequest a = requests.get(request);
            Server s = listed.get(server);
            if (s == null || s.lifecycle() != Lifecycle.READY) {
                recordViolation(Rule.DRAIN, "sent to " + server + "; listed as " + s);
                s = new Server(server, 0, 0, Lifecycle.GONE, 1, -1);
            }
            int copies = defect == BrokenModule.SENDS_TWICE && everyNth(9) ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                if (a.ended || a.pending || a.attempts >= 6 || a.mayHaveRun && a.type.effect() == Effect.ONCE) {
                    recordViolation(Rule.ONE_TRY, request + " sent, attempt " + a.attempts + ", pending " + a.pending
                            + ", ended " + a.ended);
                }
                a.pending = true;
                if (i == 0) {
                    pending.add(new PendingAttempt(request, a.attempts, s, now));
                }
                a.attempts++;
            }
        }

        @Override
        public void reject(long request, double retryAfterMs) {
            if (defect == BrokenModule.FORGETS_REFUSALS && everyNth(5)) {
                return;
            }
            double advice = defect == BrokenModule.GIVES_NO_ADVICE ? 0 : retryAfterMs;
            if (!(advice > 0 && advice <= settings.limits().maxRetryAfterMs())) {
                recordViolation(Rule.AT_ONCE, request + " rejected with Retry-After " + advice);
            }
            OpenRequest a = requests.get(request);
            if (a.type.effect() == Effect.ONCE && (a.mayHaveRun || a.pending)) {
                recordViolation(Rule.ONE_TRY, request + " rejected, though it may have run");
            }
            if (defect == BrokenModule.WAITS_TO_REFUSE) {
                at(Math.max(0, a.deadline - now), () -> respond(request));
                return;
            }
            respond(request);
            if (defect == BrokenModule.REFUSES_TWICE && everyNth(5)) {
                respond(request);
            }
        }

        @Override
        public void fail(long request) {
            respond(request);
        }

        private void respond(long request) {
            OpenRequest a = requests.get(request);
            if (a.ended) {
                recordViolation(Rule.FINAL_ANSWER, request + " has two final responses");
            }
            a.ended = true;
        }

        @Override
        public void cancel(long request, int attempt) {
            pending.stream().filter(o -> o.request() == request && o.attempt() == attempt).toList()
                    .forEach(o -> at(random.nextInt(3), () -> {
                        if (pending.contains(o)) {
                            outcome(o, random.nextInt(9) == 0 ? Outcome.RESET : Outcome.CANCELLED);
                        }
                    }));
        }

        @Override
        public void timer(double delayMs, long token) {
            at(delayMs, () -> balancer.onTimer(now, token));
        }

        @Override
        public void watchServers() { }

        @Override
        public void closeIdle(long server) { }

        @Override
        public void log(String line) { }

        // ---- properties that must hold between events

        private void check() {
            for (Map.Entry<Long, OpenRequest> e : requests.entrySet()) {
                OpenRequest a = e.getValue();
                if (a.ended) {
                    continue;
                }
                if (now > a.deadline + SLACK_MS) {
                    recordViolation(Rule.FINAL_ANSWER, e.getKey() + " has no response");
                }
                double most = a.attempts > 0 ? a.type.targetMs() : (a.deadline - a.arrived) / 2;
                if (!a.pending && (a.attempts >= 6 || now > a.arrived + Math.max(0, most) + TICK_MS)) {
                    recordViolation(Rule.AT_ONCE, e.getKey() + " waits after " + a.attempts + " attempts, "
                            + (now - a.arrived) + " ms");
                }
            }
            for (ServerState t : balancer.readyServers()) {
                long expected = pending.stream().filter(o -> o.server().id() == t.server.id()
                        && o.server().startedAtMs() >= t.server.startedAtMs()).count();
                if (t.limit.inFlight != expected) {
                    recordViolation(Rule.COUNTS, t.limit.inFlight + " counted at " + t.server.id()
                            + ", pending " + expected);
                }
                for (Neuron n : t.neurons) {
                    if (!(n.quality() > 0 && n.quality() <= 1)) {
                        recordViolation(Rule.COUNTS, "q " + n.quality());
                    }
                }
            }
        }

        Simulation run() {
            int servers = new int[] {1, 2, 8}[random.nextInt(3)];
            list(ListKind.CACHED, randomServers(servers));
            for (long id = 1; id <= REQUESTS; id++) {
                request(id, random.nextInt(3), random.nextInt(30) == 0 ? 0 : random.nextDouble() * 4000);
                if (random.nextInt(25) == 0) {
                    list(ListKind.values()[random.nextInt(4)], random.nextInt(4) == 0 ? List.of()
                            : randomServers(servers));
                }
                if (random.nextInt(30) == 0 && !requests.get(id).ended) {
                    depart(id);
                }
                if (random.nextInt(10) == 0) {
                    injectOddEvents();
                }
                for (PendingAttempt o : List.copyOf(pending)) {
                    if (random.nextInt(5) == 0 && pending.contains(o)) {
                        outcome(o, random.nextInt(3) > 0 ? Outcome.OK : Outcome.values()[random.nextInt(8)]);
                    }
                }
                advance(random.nextInt(5) < 2 ? 0 : random.nextInt(50) == 0 ? 3000 : random.nextDouble() * 30);
            }
            for (int i = 0; i < 50; i++) {
                advance(200);
            }
            return this;
        }

        private List<Server> randomServers(int servers) {
            List<Server> list = new ArrayList<>();
            for (long id = 1; id <= servers; id++) {
                double started = starts.getOrDefault(id, 0.0);
                Lifecycle lifecycle = random.nextInt(4) > 0 ? Lifecycle.READY
                        : random.nextBoolean() ? Lifecycle.DRAINING : Lifecycle.GONE;
                if (random.nextInt(4) > 0) {
                    starts.put(id, random.nextInt(9) == 0 ? Math.max(started, now - 100) : started);
                    list.add(new Server(id, (int) id % 3, 0, lifecycle, 1, starts.get(id)));
                }
            }
            return list;
        }
    }

    @Test
    void noRuleBreaksOnAnySeed() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Simulation simulation = new Simulation(seed, BrokenModule.NOT).run();
            assertEquals(Set.of(), simulation.violations, "seed " + seed + ": " + simulation.notes);
        }
    }

    /** Ten thousand servers, as many as the largest supported group has, half of which drain at once. */
    @Test
    void noRuleBreaksWithTenThousandServers() {
        Simulation simulation = new Simulation(1, BrokenModule.NOT);
        List<Server> all = LongStream.rangeClosed(1, 10_000).mapToObj(id ->
                new Server(id, (int) id % 3, 0, Lifecycle.READY, 1, 0)).toList();
        simulation.list(ListKind.FULL, all);
        for (long id = 1; id <= 30; id++) {
            simulation.request(id, (int) id % 3, 4000);
        }
        simulation.list(ListKind.DELTA, all.subList(0, 5000).stream().map(s ->
                new Server(s.id(), s.zone(), 0, Lifecycle.DRAINING, 1, 0)).toList());
        List.copyOf(simulation.pending).forEach(
                o -> simulation.outcome(o, o.request() % 4 == 0 ? Outcome.RESET : Outcome.OK));
        simulation.advance(5000);
        assertEquals(Set.of(), simulation.violations, simulation.notes.toString());
        assertTrue(simulation.requests.values().stream().allMatch(a -> a.ended));
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NOT")
    void aModuleBrokenOnPurposeIsFound(BrokenModule defect) {
        Set<Rule> found = new TreeSet<>();
        for (long seed = 1; seed <= 5; seed++) {
            found.addAll(new Simulation(seed, defect).run().violations);
        }
        assertTrue(found.contains(defect.rule), defect + " breaks " + found);
    }
}
