package routerfleet.data;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import routerfleet.config.TenantConfig;
import routerfleet.control.QuotaGrantor;
import routerfleet.settings.Bounds;
import routerfleet.wire.PeerMessage;

/** Data nodes that ask control nodes for one tenant's limit, in virtual time, with delays, crashes and silence. */
final class QuotaSimulation {
    /** Limit a second, with slack and sizes of requests in the proportions of a small tenant of a large deployment. */
    static final double RATE = 10_000;
    static final Bounds BOUNDS = new Bounds(null, null, null, null, null, null, null, null, null, null, null, null, 8.0,
            0.1, 40_000.0, null, null, null, null);
    static final TenantConfig TENANT = new TenantConfig("one", List.of("k"), 0, "token_count", 100, RATE, RATE);
    private static final long WINDOW_MS = 8_000;

    /** What control nodes do to the questions that reach them. */
    enum Fault { NONE, CRASHES, SILENCE, ALL_SILENT, GRANTS_EVERYTHING }

    private record Event(long atMs, long number, Runnable task) { }

    private record Sent(long atMs, double amount) { }

    /** @param mostInWindow most that was admitted in any window; @param admittedPart of what was asked */
    record Result(double mostInWindow, double admittedPart) { }

    /** Which part of the small and of the large requests was admitted. */
    record Mixed(double smallPart, double largePart) { }

    private final Random random;
    private final int dataNodes;
    private final Fault fault;
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            java.util.Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));
    private final Map<String, QuotaGrantor> grantors = new TreeMap<>();
    private final List<QuotaClient> clients = new ArrayList<>();
    private final Deque<Sent> window = new ArrayDeque<>();
    private List<String> controlNodes;
    private String silent = "";
    private long nowMs;
    private long lastEvent;
    private double inWindow;
    private double mostInWindow;
    private double asked;
    private double admitted;

    QuotaSimulation(long seed, int controls, int dataNodes, Fault fault) {
        random = new Random(seed);
        this.dataNodes = dataNodes;
        this.fault = fault;
        controlNodes = new ArrayList<>();
        for (int i = 1; i <= controls; i++) {
            controlNodes.add("10.0.0." + i);
        }
        controlNodes.forEach(this::startControl);
        for (int i = 0; i < dataNodes; i++) {
            QuotaClient client = new QuotaClient(BOUNDS, fleetOf(dataNodes), new Wire(i));
            client.configure(List.of(TENANT));
            clients.add(client);
        }
    }

    /** A fleet of so many data nodes, as each of them knows it. */
    static FleetSize fleetOf(int dataNodes) {
        FleetSize size = new FleetSize();
        size.told(dataNodes, false, 0);
        return size;
    }

    private void startControl(String address) {
        QuotaGrantor grantor = new QuotaGrantor(address, BOUNDS);
        grantor.configure(List.of(TENANT), controlNodes, nowMs);
        grantors.put(address, grantor);
    }

    private void at(long delayMs, Runnable task) {
        events.add(new Event(nowMs + delayMs, ++lastEvent, task));
    }

    private final class Wire implements QuotaClient.Transport {
        private final int node;

        Wire(int node) {
            this.node = node;
        }

        @Override
        public List<String> controlNodes() {
            return controlNodes;
        }

        @Override
        public boolean send(String controlNode, PeerMessage message) {
            at(1 + random.nextInt(3), () -> arrive(controlNode, (PeerMessage.QuotaAsk) message));
            return true;
        }

        private void arrive(String controlNode, PeerMessage.QuotaAsk ask) {
            if (fault == Fault.ALL_SILENT || controlNode.equals(silent)) {
                return;
            }
            PeerMessage.QuotaAnswer answer = fault == Fault.GRANTS_EVERYTHING
                    ? PeerMessage.QuotaAnswer.granted(ask.id())
                    : grantors.get(controlNode).answer(ask, 100, nowMs);
            at(1 + random.nextInt(3), () -> clients.get(node).answered(answer));
        }

        @Override
        public long nowMs() {
            return nowMs;
        }

        @Override
        public void schedule(Runnable task, long delayMs) {
            at(delayMs, task);
        }
    }

    /**
     * Plays requests at random times.
     *
     * @param askedPerS what all clients ask for, in the tenant's unit
     * @param cost mean size of a request; sizes lie between a tenth of it and nearly twice as much
     * @param hotPart part of the requests that reach one node, another one every 3 s
     */
    Result play(long forMs, double askedPerS, double cost, double hotPart) {
        if (fault == Fault.CRASHES || fault == Fault.SILENCE) {
            at(random.nextInt(1_000), this::strike);
        }
        at(0, () -> request(askedPerS, cost, hotPart));
        run(forMs);
        return new Result(mostInWindow, admitted / asked);
    }

    /** Plays large requests, and twenty small ones for each of them. */
    Mixed playMixed(long forMs, double askedPerS, double small, double large) {
        long everyMs = Math.max(1, (long) ((20 * small + large) / askedPerS * 1_000 / 21));
        int[] asks = new int[2];
        int[] admits = new int[2];
        for (long ms = 0; ms < forMs; ms += everyMs) {
            int kind = random.nextInt(21) == 0 ? 1 : 0;
            at(ms, () -> {
                asks[kind]++;
                clients.get(random.nextInt(dataNodes)).admit(TENANT, kind == 1 ? large : small, admission -> {
                    admits[kind] += admission.outcome() == QuotaClient.Outcome.ADMITTED ? 1 : 0;
                    return true;
                });
            });
        }
        run(forMs);
        return new Mixed((double) admits[0] / asks[0], (double) admits[1] / asks[1]);
    }

    private void run(long forMs) {
        while (!events.isEmpty() && events.peek().atMs() < forMs) {
            Event event = events.poll();
            nowMs = event.atMs();
            event.task().run();
        }
    }

    private void strike() {
        String struck = controlNodes.get(random.nextInt(controlNodes.size()));
        if (fault == Fault.CRASHES) {
            startControl(struck);
            clients.forEach(client -> client.disconnected(struck));
        } else {
            silent = silent.isEmpty() ? struck : "";
        }
        at(700 + random.nextInt(2_500), this::strike);
    }

    private void request(double askedPerS, double cost, double hotPart) {
        int hot = (int) (nowMs / 3_000 % dataNodes);
        QuotaClient client = clients.get(random.nextDouble() < hotPart ? hot : random.nextInt(dataNodes));
        double amount = cost * (0.1 + 1.8 * random.nextDouble());
        long sentMs = nowMs;
        if (nowMs > WINDOW_MS) {
            asked += amount; // after the buckets have filled
        }
        client.admit(TENANT, amount, admission -> {
            if (admission.outcome() == QuotaClient.Outcome.ADMITTED) {
                count(amount, sentMs);
            }
            return true;
        });
        at(Math.max(1, (long) (-Math.log(1 - random.nextDouble()) * cost / askedPerS * 1_000)),
                () -> request(askedPerS, cost, hotPart));
    }

    private void count(double amount, long sentMs) {
        admitted += sentMs > WINDOW_MS ? amount : 0;
        window.addLast(new Sent(nowMs, amount));
        inWindow += amount;
        while (window.peekFirst().atMs() <= nowMs - WINDOW_MS) {
            inWindow -= window.pollFirst().amount();
        }
        mostInWindow = Math.max(mostInWindow, inWindow);
    }
}
