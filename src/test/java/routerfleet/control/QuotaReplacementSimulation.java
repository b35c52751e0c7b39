package routerfleet.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import routerfleet.config.TenantConfig;
import routerfleet.settings.Bounds;
import routerfleet.wire.PeerMessage;
import routerfleet.wire.QuotaDivision;

/**
 * Simulates the quota of one tenant in virtual time while control nodes are cut off, replaced, restarted and reconnected.
 * Data nodes continuously request more than the limit from every control node.
 */
final class QuotaReplacementSimulation {
    /** How old a disconnected control node takes its own view of the members to be. */
    enum Fault {
        /** As in the real implementation: the age of its last confirmation. */
        NONE,
        /** Injected fault: it always takes its view for just confirmed. */
        BELIEVES_ITSELF
    }

    private static final double RATE = 10_000;
    private static final Bounds BOUNDS = new Bounds(null, null, null, null, null, null, null, null, null, null, null, null,
            8.0, 0.1, 4_000.0, null, null, null, null);
    private static final long WINDOW_MS = 8_000;
    private static final TenantConfig TENANT = new TenantConfig("one", List.of("k"), 0, "token_count", 100, RATE, RATE);
    private static final long STEP_MS = 20;
    private static final long REVIEW_MS = 100;
    /** A replica is removed once it has been disconnected for this long. */
    private static final long REMOVE_AFTER_MS = 1_500;
    private static final int MACHINES = 5;
    private static final int MIN_MEMBERS = 3;
    private static final int REQUESTS_PER_STEP = 3;
    private static final double MAX_TOKENS = 1_000;

    /** One machine with its quota grantor and its view of the members. */
    private static final class Node {
        private final String ip;
        private QuotaGrantor grantor;
        private List<String> view = List.of();
        private long confirmedMs = Long.MIN_VALUE;
        private boolean cut;
        private long cutSinceMs;

        Node(String ip) {
            this.ip = ip;
            grantor = new QuotaGrantor(ip, BOUNDS);
        }
    }

    private record Granted(long atMs, double amount) { }

    private final Random random;
    private final Fault fault;
    private final Map<String, Node> nodes = new TreeMap<>();
    private final Deque<Granted> window = new ArrayDeque<>();
    private List<String> members;
    private long nowMs;
    private double inWindow;
    private double maxInWindow;

    QuotaReplacementSimulation(long seed, Fault fault) {
        random = new Random(seed);
        this.fault = fault;
        for (int i = 1; i <= MACHINES; i++) {
            nodes.put("10.0.0." + i, new Node("10.0.0." + i));
        }
        members = new ArrayList<>(nodes.keySet()).subList(0, MIN_MEMBERS + random.nextInt(2));
    }

    /**
     * The maximum that may be granted in any window: the documented bound less what the reserves of the data nodes may
     * admit.
     */
    static double bound() {
        double total = RATE * BOUNDS.quotaWindowS() + RATE;
        double slack = BOUNDS.quotaSlack() + BOUNDS.quotaOvershoot() * total;
        return total + slack - QuotaDivision.reserve(TENANT, BOUNDS, 1);
    }

    /** Runs for a virtual duration. @return the maximum that was granted in any window */
    double run(long durationMs) {
        for (; nowMs < durationMs; nowMs += STEP_MS) {
            if (nowMs % REVIEW_MS == 0) {
                injectFault();
                plan();
                nodes.values().forEach(this::review);
            }
            for (int i = 0; i < REQUESTS_PER_STEP; i++) {
                nodes.values().forEach(this::requestQuota);
            }
        }
        return maxInWindow;
    }

    private void injectFault() {
        int choice = random.nextInt(100);
        Node node = nodes.get("10.0.0." + (1 + random.nextInt(MACHINES)));
        if (choice < 2 && nodes.values().stream().noneMatch(n -> n.cut)) {
            node.cut = true;
            node.cutSinceMs = nowMs;
        } else if (choice < 4 && node.cut) {
            node.cut = false;
        } else if (choice == 4) {
            node.grantor = new QuotaGrantor(node.ip, BOUNDS);
            node.confirmedMs = Long.MIN_VALUE;
        }
    }

    /** The leader's planning: removes a disconnected member or adds a connected node, one step at a time. */
    private void plan() {
        for (String member : members) {
            Node node = nodes.get(member);
            if (node.cut && nowMs - node.cutSinceMs >= REMOVE_AFTER_MS && members.size() > MIN_MEMBERS) {
                members = new ArrayList<>(members);
                members.remove(member);
                return;
            }
        }
        for (Node node : nodes.values()) {
            if (!node.cut && !members.contains(node.ip)) {
                members = new ArrayList<>(members);
                members.add(node.ip);
                return;
            }
        }
    }

    private void review(Node node) {
        if (!node.cut) {
            node.confirmedMs = nowMs;
            node.view = List.copyOf(members);
        }
        node.grantor.configure(List.of(TENANT), node.view, nowMs);
    }

    private void requestQuota(Node node) {
        double amount = 1 + random.nextDouble() * MAX_TOKENS;
        long age = node.confirmedMs == Long.MIN_VALUE ? -1 : nowMs - node.confirmedMs;
        PeerMessage.QuotaAnswer answer = node.grantor.answer(new PeerMessage.QuotaAsk(1, TENANT.name(), amount, false),
                fault == Fault.BELIEVES_ITSELF ? 0 : age, nowMs);
        if (answer.verdict() == PeerMessage.QuotaVerdict.GRANTED) {
            granted(amount);
        }
    }

    private void granted(double amount) {
        window.add(new Granted(nowMs, amount));
        inWindow += amount;
        while (window.peek().atMs() <= nowMs - WINDOW_MS) {
            inWindow -= window.poll().amount();
        }
        maxInWindow = Math.max(maxInWindow, inWindow);
    }
}
