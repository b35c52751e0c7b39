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

/** Simulates data nodes' quota requests for one tenant, with delays, crashes and unresponsive nodes, in virtual time. */
final class QuotaSimulation {
    /** Limit per second. Slack and request costs are proportioned as for a small tenant of a large deployment. */
    static final double RATE = 10_000;
    static final Bounds BOUNDS = new Bounds(null, null, null, null, null, null, null, null, null, null, null, null, 8.0,
            0.1, 40_000.0, null, null, null, null);
    static final TenantConfig TENANT = new TenantConfig("one", List.of("k"), 0, "token_count", 100, RATE, RATE);
    private static final long WINDOW_MS = 8_000;

    /** Faults of the control nodes. */
    enum Fault { NONE, CRASHES, SILENCE, ALL_SILENT, GRANTS_EVERYTHING }

    /** A scheduled task. @param number orders tasks of the same time */
    private record Event(long atMs, long number, Runnable task) { }

    /** An amount that was admitted at a time. */
    private record AdmittedAmount(long atMs, double amount) { }

    /**
     * The result of a run.
     *
     * @param maxInWindow the maximum amount admitted in any window
     * @param admittedShare the admitted fraction of the requested amount
     */
    record Result(double maxInWindow, double admittedShare) { }

    /** The fractions of the small and of the large requests that were admitted. */
    record MixedResult(double smallAdmittedShare, double largeAdmittedShare) { }

    private final Random random;
    private final int dataNodes;
    private final Fault fault;
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            java.util.Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));
    private final Map<String, QuotaGrantor> grantors = new TreeMap<>();
    private final List<QuotaClient> clients = new ArrayList<>();
    private final Deque<AdmittedAmount> window = new ArrayDeque<>();
    private List<String> controlNodes;
    private String unresponsive = "";
    private long nowMs;
    private long lastEvent;
    private double windowTotal;
    private double maxWindowTotal;
    private double requested;
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
            QuotaClient client = new QuotaClient(BOUNDS, fleetSizeOf(dataNodes), new SimulatedTransport(i));
            client.configure(List.of(TENANT));
            clients.add(client);
        }
    }

    /** The fleet size as known to each of so many data nodes. */
    static FleetSize fleetSizeOf(int dataNodes) {
        FleetSize size = new FleetSize();
        size.countReported(dataNodes, false, 0);
        return size;
    }

    private void startControl(String address) {
        QuotaGrantor grantor = new QuotaGrantor(address, BOUNDS);
        grantor.configure(List.of(TENANT), controlNodes, nowMs);
        grantors.put(address, grantor);
    }

    private void scheduleEvent(long delayMs, Runnable task) {
        events.add(new Event(nowMs + delayMs, ++lastEvent, task));
    }

    /** Delivers a data node's messages to the grantors, with random delays and the simulated fault. */
    private final class SimulatedTransport implements QuotaClient.Transport {
        private final int node;

        SimulatedTransport(int node) {
            this.node = node;
        }

        @Override
        public List<String> controlNodes() {
            return controlNodes;
        }

        @Override
        public boolean send(String controlNode, PeerMessage message) {
            scheduleEvent(1 + random.nextInt(3), () -> arrive(controlNode, (PeerMessage.QuotaAsk) message));
            return true;
        }

        private void arrive(String controlNode, PeerMessage.QuotaAsk ask) {
            if (fault == Fault.ALL_SILENT || controlNode.equals(unresponsive)) {
                return;
            }
            PeerMessage.QuotaAnswer answer = fault == Fault.GRANTS_EVERYTHING
                    ? PeerMessage.QuotaAnswer.granted(ask.id())
                    : grantors.get(controlNode).answer(ask, 100, nowMs);
            scheduleEvent(1 + random.nextInt(3), () -> clients.get(node).answered(answer));
        }

        @Override
        public long nowMs() {
            return nowMs;
        }

        @Override
        public void schedule(Runnable task, long delayMs) {
            scheduleEvent(delayMs, task);
        }
    }

    /**
     * Simulates requests at random times.
     *
     * @param requestedPerS amount that all clients request per second, in the tenant's unit
     * @param cost mean cost of a request; costs are between a tenth of it and nearly twice as much
     * @param hotShare fraction of the requests that go to one node, a different one every 3 s
     */
    Result simulate(long durationMs, double requestedPerS, double cost, double hotShare) {
        if (fault == Fault.CRASHES || fault == Fault.SILENCE) {
            scheduleEvent(random.nextInt(1_000), this::injectFault);
        }
        scheduleEvent(0, () -> request(requestedPerS, cost, hotShare));
        runEvents(durationMs);
        return new Result(maxWindowTotal, admitted / requested);
    }

    /** Simulates large requests, and twenty small ones for each of them. */
    MixedResult simulateMixed(long durationMs, double requestedPerS, double small, double large) {
        long everyMs = Math.max(1, (long) ((20 * small + large) / requestedPerS * 1_000 / 21));
        int[] requests = new int[2];
        int[] admissions = new int[2];
        for (long ms = 0; ms < durationMs; ms += everyMs) {
            int kind = random.nextInt(21) == 0 ? 1 : 0;
            scheduleEvent(ms, () -> {
                requests[kind]++;
                clients.get(random.nextInt(dataNodes)).admit(TENANT, kind == 1 ? large : small, admission -> {
                    admissions[kind] += admission.outcome() == QuotaClient.Outcome.ADMITTED ? 1 : 0;
                    return true;
                });
            });
        }
        runEvents(durationMs);
        return new MixedResult((double) admissions[0] / requests[0], (double) admissions[1] / requests[1]);
    }

    private void runEvents(long durationMs) {
        while (!events.isEmpty() && events.peek().atMs() < durationMs) {
            Event event = events.poll();
            nowMs = event.atMs();
            event.task().run();
        }
    }

    private void injectFault() {
        String target = controlNodes.get(random.nextInt(controlNodes.size()));
        if (fault == Fault.CRASHES) {
            startControl(target);
            clients.forEach(client -> client.disconnected(target));
        } else {
            unresponsive = unresponsive.isEmpty() ? target : "";
        }
        scheduleEvent(700 + random.nextInt(2_500), this::injectFault);
    }

    private void request(double requestedPerS, double cost, double hotShare) {
        int hot = (int) (nowMs / 3_000 % dataNodes);
        QuotaClient client = clients.get(random.nextDouble() < hotShare ? hot : random.nextInt(dataNodes));
        double amount = cost * (0.1 + 1.8 * random.nextDouble());
        long sentMs = nowMs;
        if (nowMs > WINDOW_MS) {
            requested += amount; // counted only after the token buckets have filled
        }
        client.admit(TENANT, amount, admission -> {
            if (admission.outcome() == QuotaClient.Outcome.ADMITTED) {
                count(amount, sentMs);
            }
            return true;
        });
        scheduleEvent(Math.max(1, (long) (-Math.log(1 - random.nextDouble()) * cost / requestedPerS * 1_000)),
                () -> request(requestedPerS, cost, hotShare));
    }

    private void count(double amount, long sentMs) {
        admitted += sentMs > WINDOW_MS ? amount : 0;
        window.addLast(new AdmittedAmount(nowMs, amount));
        windowTotal += amount;
        while (window.peekFirst().atMs() <= nowMs - WINDOW_MS) {
            windowTotal -= window.pollFirst().amount();
        }
        maxWindowTotal = Math.max(maxWindowTotal, windowTotal);
    }
}
