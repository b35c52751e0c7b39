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
 * The rules of the brief as properties of the module, over sequences of events drawn from fixed seeds: legal ones, and
 * odd ones such as late and repeated outcomes, empty lists, lists that flap, clocks that stand. Each property is also
 * shown to fail on a module that is broken on purpose. The rule on cold servers needs several nodes: see ColdServersTest
 * and RulesOfDaysTest.
 */
class ModuleRulesTest {
    private static final int SEEDS = 40;
    private static final int REQUESTS = 600;
    private static final double TICK_MS = 10;
    private static final double SLACK_MS = 20;

    /** What is held to be so after every event. */
    enum Rule {
        /** Each taken request gets exactly one final answer, before its client gives up. */
        FINAL_ANSWER,
        /** At most one try out, at most six in all, none of what must not run twice and may have run. */
        ONE_TRY,
        /** Nothing new to a server that the module was told drains or is gone: here with no grace at all. */
        DRAIN,
        /** In-flight counts are the tries that are out, and every q is in (0, 1]. */
        COUNTS,
        /** What is given up is answered in that event, with advice within the site's bound. */
        AT_ONCE
    }

    /** A module that breaks one rule on purpose; the first one breaks none. */
    enum BrokenModule {
        NOT(null), FORGETS_REFUSALS(Rule.FINAL_ANSWER), REFUSES_TWICE(Rule.FINAL_ANSWER), SENDS_TWICE(Rule.ONE_TRY),
        HEARS_NO_DRAIN(Rule.DRAIN), MISSES_OUTCOMES(Rule.COUNTS), LEARNS_NONSENSE(Rule.COUNTS),
        WAITS_TO_REFUSE(Rule.AT_ONCE), GIVES_NO_ADVICE(Rule.AT_ONCE);

        final Rule rule;

        BrokenModule(Rule rule) {
            this.rule = rule;
        }
    }

    private record Out(long request, int attempt, Server server, double at) { }

    private record Timer(double at, long order, Runnable what) { }

    private static final class Asked {
        final RequestClass type;
        final double arrived;
        final double deadline;
        int tries;
        boolean out;
        boolean mayHaveRun;
        boolean ended;

        Asked(RequestClass type, double arrived, double deadline) {
            this.type = type;
            this.arrived = arrived;
            this.deadline = deadline;
        }
    }

    /** A node's part, played from one seed; it keeps the module's promises and checks the module's own. */
    private static final class Simulation implements Actions {
        private final BrokenModule how;
        private final SplittableRandom random;
        private final Settings settings;
        private final Balancer balancer;
        private final Map<Long, Asked> asked = new LinkedHashMap<>();
        private final Map<Long, Server> told = new TreeMap<>();
        private final Map<Long, Double> starts = new TreeMap<>();
        private final List<Out> out = new ArrayList<>();
        private final List<Out> over = new ArrayList<>();
        private final PriorityQueue<Timer> timers =
                new PriorityQueue<>(Comparator.comparingDouble(Timer::at).thenComparingLong(Timer::order));
        private final Set<Rule> broken = new TreeSet<>();
        private final List<String> notes = new ArrayList<>();
        private double now = 1_000_000;
        private long order;
        private int turn;

        Simulation(long seed, BrokenModule how) {
            this.how = how;
            random = new SplittableRandom(seed);
            RequestClass once = new RequestClass(400, 1200, 2, 0.2, Effect.ONCE, DedupGroup.ALL, 0, false);
            settings = new Settings(1 + random.nextInt(4), 0, 0, List.of(SimulatedSite.classes()[0], SimulatedSite.classes()[1],
                    once), List.of(), 0.1, new Limits(6, true, false, 1000), new Rules(10_000, 0.12, 24_000, 2.5), false,
                    false, false, random.nextInt(2) * 0.08);
            balancer = new Balancer(settings, seed, this);
        }

        private void breaks(Rule rule, String what) {
            broken.add(rule);
            if (notes.size() < 5) {
                notes.add(rule + " at " + now + ": " + what);
            }
        }

        private boolean now(int oneIn) {
            return ++turn % oneIn == 0;
        }

        // ---- what the module is told

        void list(ListKind kind, List<Server> all) {
            List<Server> servers = kind == ListKind.FAILED ? List.of() : all;
            if (kind == ListKind.FULL || kind == ListKind.CACHED) {
                told.clear();
            }
            servers.forEach(s -> told.put(s.id(), s));
            List<Server> heard = how != BrokenModule.HEARS_NO_DRAIN ? servers : servers.stream().map(s ->
                    new Server(s.id(), s.zone(), s.cell(), Lifecycle.READY, s.weight(), s.startedAtMs())).toList();
            balancer.onServers(now, kind, heard);
            check();
        }

        void request(long id, int type, double patience) {
            asked.put(id, new Asked(settings.classes().get(type), now, now + patience));
            balancer.onRequest(now, new Request(id, type, 0, 0, now + patience, 0, random.nextInt(9) == 0));
            check();
        }

        void outcome(Out o, Outcome outcome) {
            Asked a = asked.get(o.request());
            out.remove(o);
            over.add(o);
            a.out = false;
            a.mayHaveRun |= !outcome.neverRan();
            if (outcome == Outcome.OK && !a.ended) {
                a.ended = true;
            }
            if (how != BrokenModule.MISSES_OUTCOMES || !now(9)) {
                double latency = how == BrokenModule.LEARNS_NONSENSE && now(9) ? Double.NaN : now - o.at();
                balancer.onOutcome(now, o.request(), o.attempt(), outcome, latency, a.ended);
            }
            check();
        }

        /** What must change nothing: outcomes told again, of tries never made, of requests never heard of. */
        void odd() {
            if (!over.isEmpty()) {
                Out o = over.get(random.nextInt(over.size()));
                balancer.onOutcome(now, o.request(), o.attempt(), Outcome.ERROR, 5, true);
            }
            balancer.onOutcome(now, 1_000_000 + random.nextInt(9), 0, Outcome.OK, 5, true);
            balancer.onOutcome(now, 1 + random.nextInt(9), 99, Outcome.OK, 5, false);
            balancer.onClientLeft(now, 1_000_000);
            balancer.onTimer(now, 77);
            check();
        }

        void depart(long id) {
            asked.get(id).ended = true;
            balancer.onClientLeft(now, id);
            check();
        }

        void advance(double ms) {
            double until = now + ms;
            while (!timers.isEmpty() && timers.peek().at() <= until) {
                Timer t = timers.poll();
                now = Math.max(now, t.at());
                t.what().run();
                check();
            }
            now = until;
            for (Out o : List.copyOf(out)) {
                if (now >= asked.get(o.request()).deadline) {
                    outcome(o, Outcome.TIMEOUT);
                }
            }
            asked.values().removeIf(a -> a.ended && !a.out && a.deadline + 5000 < now);
        }

        // ---- what the module asks for

        private void at(double delayMs, Runnable what) {
            timers.add(new Timer(now + delayMs, order++, what));
        }

        @Override
        public void send(long request, long server, double timeoutMs) {
            Asked a = asked.get(request);
            Server s = told.get(server);
            if (s == null || s.lifecycle() != Lifecycle.READY) {
                breaks(Rule.DRAIN, "sent to " + server + ", told as " + s);
                s = new Server(server, 0, 0, Lifecycle.GONE, 1, -1);
            }
            int copies = how == BrokenModule.SENDS_TWICE && now(9) ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                if (a.ended || a.out || a.tries >= 6 || a.mayHaveRun && a.type.effect() == Effect.ONCE) {
                    breaks(Rule.ONE_TRY, request + " sent, try " + a.tries + ", out " + a.out + ", ended " + a.ended);
                }
                a.out = true;
                if (i == 0) {
                    out.add(new Out(request, a.tries, s, now));
                }
                a.tries++;
            }
        }

        @Override
        public void reject(long request, double retryAfterMs) {
            if (how == BrokenModule.FORGETS_REFUSALS && now(5)) {
                return;
            }
            double advice = how == BrokenModule.GIVES_NO_ADVICE ? 0 : retryAfterMs;
            if (!(advice > 0 && advice <= settings.limits().maxRetryAfterMs())) {
                breaks(Rule.AT_ONCE, request + " told to come back in " + advice);
            }
            Asked a = asked.get(request);
            if (a.type.effect() == Effect.ONCE && (a.mayHaveRun || a.out)) {
                breaks(Rule.ONE_TRY, request + " refused, though it may have run");
            }
            if (how == BrokenModule.WAITS_TO_REFUSE) {
                at(Math.max(0, a.deadline - now), () -> answer(request));
                return;
            }
            answer(request);
            if (how == BrokenModule.REFUSES_TWICE && now(5)) {
                answer(request);
            }
        }

        @Override
        public void fail(long request) {
            answer(request);
        }

        private void answer(long request) {
            Asked a = asked.get(request);
            if (a.ended) {
                breaks(Rule.FINAL_ANSWER, request + " answered twice");
            }
            a.ended = true;
        }

        @Override
        public void cancel(long request, int attempt) {
            out.stream().filter(o -> o.request() == request && o.attempt() == attempt).toList()
                    .forEach(o -> at(random.nextInt(3), () -> {
                        if (out.contains(o)) {
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

        // ---- what must hold between events

        private void check() {
            for (Map.Entry<Long, Asked> e : asked.entrySet()) {
                Asked a = e.getValue();
                if (a.ended) {
                    continue;
                }
                if (now > a.deadline + SLACK_MS) {
                    breaks(Rule.FINAL_ANSWER, e.getKey() + " has no answer");
                }
                double most = a.tries > 0 ? a.type.targetMs() : (a.deadline - a.arrived) / 2;
                if (!a.out && (a.tries >= 6 || now > a.arrived + Math.max(0, most) + TICK_MS)) {
                    breaks(Rule.AT_ONCE, e.getKey() + " waits after " + a.tries + " tries, " + (now - a.arrived) + " ms");
                }
            }
            for (ServerState t : balancer.readyServers()) {
                long there = out.stream().filter(o -> o.server().id() == t.server.id()
                        && o.server().startedAtMs() >= t.server.startedAtMs()).count();
                if (t.limit.inFlight != there) {
                    breaks(Rule.COUNTS, t.limit.inFlight + " counted at " + t.server.id() + ", out " + there);
                }
                for (Neuron n : t.neurons) {
                    if (!(n.quality() > 0 && n.quality() <= 1)) {
                        breaks(Rule.COUNTS, "q " + n.quality());
                    }
                }
            }
        }

        Simulation run() {
            int servers = new int[] {1, 2, 8}[random.nextInt(3)];
            list(ListKind.CACHED, some(servers));
            for (long id = 1; id <= REQUESTS; id++) {
                request(id, random.nextInt(3), random.nextInt(30) == 0 ? 0 : random.nextDouble() * 4000);
                if (random.nextInt(25) == 0) {
                    list(ListKind.values()[random.nextInt(4)], random.nextInt(4) == 0 ? List.of() : some(servers));
                }
                if (random.nextInt(30) == 0 && !asked.get(id).ended) {
                    depart(id);
                }
                if (random.nextInt(10) == 0) {
                    odd();
                }
                for (Out o : List.copyOf(out)) {
                    if (random.nextInt(5) == 0 && out.contains(o)) {
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

        private List<Server> some(int servers) {
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
            Simulation play = new Simulation(seed, BrokenModule.NOT).run();
            assertEquals(Set.of(), play.broken, "seed " + seed + ": " + play.notes);
        }
    }

    /** As many servers as the group keeps, half of which drain at once. */
    @Test
    void noRuleBreaksWithTenThousandServers() {
        Simulation play = new Simulation(1, BrokenModule.NOT);
        List<Server> all = LongStream.rangeClosed(1, 10_000).mapToObj(id ->
                new Server(id, (int) id % 3, 0, Lifecycle.READY, 1, 0)).toList();
        play.list(ListKind.FULL, all);
        for (long id = 1; id <= 30; id++) {
            play.request(id, (int) id % 3, 4000);
        }
        play.list(ListKind.DELTA, all.subList(0, 5000).stream().map(s ->
                new Server(s.id(), s.zone(), 0, Lifecycle.DRAINING, 1, 0)).toList());
        List.copyOf(play.out).forEach(o -> play.outcome(o, o.request() % 4 == 0 ? Outcome.RESET : Outcome.OK));
        play.advance(5000);
        assertEquals(Set.of(), play.broken, play.notes.toString());
        assertTrue(play.asked.values().stream().allMatch(a -> a.ended));
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NOT")
    void aModuleBrokenOnPurposeIsFound(BrokenModule how) {
        Set<Rule> found = new TreeSet<>();
        for (long seed = 1; seed <= 5; seed++) {
            found.addAll(new Simulation(seed, how).run().broken);
        }
        assertTrue(found.contains(how.rule), how + " breaks " + found);
    }
}
