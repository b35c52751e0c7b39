package rowanplank.measure;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import rowanplank.balancer.Balancer;
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
import rowanplank.balancer.BalancerApi.Tenant;

/**
 * What a request and a change of the list cost the decision module, and what it holds. It is driven alone, in virtual
 * time, by requests at an even pace that are all answered after the same time: each costs an event for itself, one for
 * its outcome and the ticks while it is open. The driver's own work, some tenths of a microsecond, is in the figures.
 */
final class ModuleCapacity {
    private static final double ANSWER_MS = 50;
    private static final double FAR = 1e6;
    private static final int ROUNDS = 5;
    private static final int CHANGES = 20;
    private static final int COPIES = 4;

    /**
     * @param listed servers that discovery lists
     * @param nodes among which they are divided: 1 where this node uses all of them
     * @param zones in which they stand
     * @param rate requests a second at this node
     */
    record Size(int listed, int nodes, int zones, int classes, int tenants, double rate) { }

    /**
     * @param used servers of the listed ones that this node uses
     * @param micros processor time a request
     * @param bytes allocated a request
     * @param listMicros processor time of a whole list
     * @param changeMicros of the change of one server
     * @param held bytes of the heap
     */
    record Cost(int used, double micros, double bytes, double listMicros, double changeMicros, double held) { }

    private record Event(double at, long order, Runnable task) { }

    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.at != b.at ? Double.compare(a.at, b.at)
            : Long.compare(a.order, b.order));
    private final Size size;
    private final Balancer balancer;
    private double now = FAR;
    private long order;
    private long requests;
    private long served;
    private long refused;

    private ModuleCapacity(Size size) {
        this.size = size;
        balancer = new Balancer(settings(size), 1, new Play());
    }

    static Settings settings(Size s) {
        List<RequestClass> classes = new ArrayList<>();
        for (int c = 0; c < s.classes; c++) {
            classes.add(new RequestClass(500, 5000, 1, 0.2, Effect.REPEATABLE, DedupGroup.ALL, 0, false));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (int t = 0; t < s.tenants; t++) {
            tenants.add(new Tenant(1000));
        }
        return new Settings(s.nodes, s.nodes / 2, 0, classes, tenants, 0.1, new Limits(3, true, true, 1000),
                new Rules(10_000, 0.14, 24_000, 3), true, false, false, s.zones > 1 ? 0.05 : 0);
    }

    /** Servers in as many zones, in turn; numbers that are spread as those of names are. */
    static List<Server> servers(int count, int zones) {
        List<Server> all = new ArrayList<>();
        for (int s = 0; s < count; s++) {
            all.add(server(s, zones, 0));
        }
        return all;
    }

    private static Server server(int s, int zones, double startedAtMs) {
        return new Server((s + 1) * 0x9e3779b97f4a7c15L, s % zones, 0, Lifecycle.READY, 1, startedAtMs);
    }

    private final class Play implements Actions {
        @Override
        public void send(long request, long server, double timeoutMs) {
            at(now + ANSWER_MS, () -> {
                served++;
                balancer.onOutcome(now, request, 0, Outcome.OK, ANSWER_MS, true);
            });
        }

        @Override
        public void reject(long request, double retryAfterMs) {
            refused++;
        }

        @Override
        public void fail(long request) {
            refused++;
        }

        @Override
        public void cancel(long request, int attempt) { }

        @Override
        public void timer(double delayMs, long token) {
            at(now + delayMs, () -> balancer.onTimer(now, token));
        }

        @Override
        public void watchServers() { }

        @Override
        public void closeIdle(long server) { }

        @Override
        public void log(String line) { }
    }

    private void at(double time, Runnable task) {
        events.add(new Event(time, order++, task));
    }

    private void arrive() {
        long id = ++requests;
        balancer.onRequest(now, new Request(id, (int) (id % size.classes), size.tenants == 0 ? 0 : (int) (id % size.tenants),
                0, now + 5000, 0, false));
        at(now + 1000 / size.rate, this::arrive);
    }

    private void play(int count) {
        for (long until = requests + count; requests < until;) {
            Event next = events.poll();
            now = next.at;
            next.task.run();
        }
    }

    /** @param count requests in each round, and as many before the first */
    static Cost measure(Size size, int count) {
        double held = Spent.retained(COPIES, () -> {
            ModuleCapacity one = new ModuleCapacity(size);
            one.balancer.onServers(one.now, ListKind.FULL, servers(size.listed, size.zones));
            return one;
        });
        ModuleCapacity m = new ModuleCapacity(size);
        List<Server> all = servers(size.listed, size.zones);
        m.balancer.onServers(m.now, ListKind.FULL, all);
        m.at(m.now, m::arrive);
        m.play(count);
        double[] micros = new double[ROUNDS];
        double[] bytes = new double[ROUNDS];
        for (int r = 0; r < ROUNDS; r++) {
            Spent before = Spent.now();
            m.play(count);
            Spent spent = Spent.now().since(before);
            micros[r] = spent.nanos() / 1e3 / count;
            bytes[r] = (double) spent.bytes() / count;
        }
        if (m.refused > 0 || m.served == 0) {
            throw new IllegalStateException(m.refused + " of " + m.requests + " requests were refused");
        }
        double list = m.list(() -> m.balancer.onServers(m.now, ListKind.FULL, all));
        int[] restarts = new int[1];
        double change = m.list(() -> m.balancer.onServers(m.now, ListKind.DELTA,
                List.of(server(restarts[0] % size.listed, size.zones, ++restarts[0]))));
        return new Cost(used(size, all), median(micros), median(bytes), list, change, held);
    }

    private double list(Runnable event) {
        double[] micros = new double[CHANGES];
        for (int i = 0; i < CHANGES; i++) {
            Spent before = Spent.now();
            event.run();
            micros[i] = Spent.now().since(before).nanos() / 1e3;
        }
        return median(micros);
    }

    private static int used(Size size, List<Server> all) {
        return SubsetCapacity.used(settings(size), all);
    }

    static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }
}
