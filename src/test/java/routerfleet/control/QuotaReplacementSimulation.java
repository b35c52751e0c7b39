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
 * One tenant's limit while control nodes are cut off, replaced, restarted and come back, in virtual time: data nodes ask
 * every control node that there is, all the time, for more than the limit.
 */
final class QuotaReplacementSimulation {
    /** What a control node that is cut off believes of its own view. */
    enum Fault {
        /** As the product has it: how old its last confirmation is. */
        NONE,
        /** Planted: that it has just been confirmed. */
        BELIEVES_ITSELF
    }

    private static final double RATE = 10_000;
    private static final Bounds BOUNDS = new Bounds(null, null, null, null, null, null, null, null, null, null, null, null,
            8.0, 0.1, 4_000.0, null, null, null, null);
    private static final long WINDOW_MS = 8_000;
    private static final TenantConfig TENANT = new TenantConfig("one", List.of("k"), 0, "token_count", 100, RATE, RATE);
    private static final long STEP_MS = 20;
    private static final long REVIEW_MS = 100;
    /** A replica is removed once it has been gone for so long. */
    private static final long REMOVED_AFTER_MS = 1_500;
    private static final int MACHINES = 5;
    private static final int LEAST_MEMBERS = 3;
    private static final int ASKS_A_STEP = 3;
    private static final double MOST_TOKENS = 1_000;

    /** One machine: its grantor, and what it knows. */
    private static final class Node {
        private final String ip;
        private QuotaGrantor grantor;
        private List<String> view = List.of();
        private long confirmedMs = Long.MIN_VALUE;
        private boolean cut;
        private long goneSinceMs;

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
    private double mostInWindow;

    QuotaReplacementSimulation(long seed, Fault fault) {
        random = new Random(seed);
        this.fault = fault;
        for (int i = 1; i <= MACHINES; i++) {
            nodes.put("10.0.0." + i, new Node("10.0.0." + i));
        }
        members = new ArrayList<>(nodes.keySet()).subList(0, LEAST_MEMBERS + random.nextInt(2));
    }

    /** The most that may be granted in any window: the rules' bound, less what the data nodes' reserves may admit. */
    static double bound() {
        double whole = RATE * BOUNDS.quotaWindowS() + RATE;
        double slack = BOUNDS.quotaSlack() + BOUNDS.quotaOvershoot() * whole;
        return whole + slack - QuotaDivision.reserve(TENANT, BOUNDS, 1);
    }

    /** Plays so long. @return the most that was granted in any window */
    double run(long lengthMs) {
        for (; nowMs < lengthMs; nowMs += STEP_MS) {
            if (nowMs % REVIEW_MS == 0) {
                trouble();
                plan();
                nodes.values().forEach(this::review);
            }
            for (int i = 0; i < ASKS_A_STEP; i++) {
                nodes.values().forEach(this::ask);
            }
        }
        return mostInWindow;
    }

    private void trouble() {
        int lot = random.nextInt(100);
        Node node = nodes.get("10.0.0." + (1 + random.nextInt(MACHINES)));
        if (lot < 2 && nodes.values().stream().noneMatch(n -> n.cut)) {
            node.cut = true;
            node.goneSinceMs = nowMs;
        } else if (lot < 4 && node.cut) {
            node.cut = false;
        } else if (lot == 4) {
            node.grantor = new QuotaGrantor(node.ip, BOUNDS);
            node.confirmedMs = Long.MIN_VALUE;
        }
    }

    /** The leader's part: who is gone leaves, who is there joins; one step at a time. */
    private void plan() {
        for (String member : members) {
            Node node = nodes.get(member);
            if (node.cut && nowMs - node.goneSinceMs >= REMOVED_AFTER_MS && members.size() > LEAST_MEMBERS) {
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

    private void ask(Node node) {
        double amount = 1 + random.nextDouble() * MOST_TOKENS;
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
        mostInWindow = Math.max(mostInWindow, inWindow);
    }
}
