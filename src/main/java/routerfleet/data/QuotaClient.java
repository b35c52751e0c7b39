package routerfleet.data;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import routerfleet.config.TenantConfig;
import routerfleet.settings.Bounds;
import routerfleet.wire.PeerMessage;
import routerfleet.wire.QuotaDivision;

/**
 * Requests grants from the control nodes to decide whether a client request is within its tenant's limit. Each limit is
 * divided among a few control nodes, its holders ({@link QuotaDivision}). They are asked one after another for the full
 * amount until one grants it; if all deny it but hold enough together, each is asked for what it holds. If the holders
 * that answer do not have enough and another does not answer, the node's own reserve decides.
 *
 * <p>Bounds: {@value #MAX_OPEN_REQUESTS} open quota requests, one account for each configured tenant, and at most twice
 * {@link QuotaDivision#HOLDERS} quota requests for each client request. Not thread-safe; used on one event loop.
 */
final class QuotaClient {
    /** After this time without an answer the next control node is asked. */
    static final long ANSWER_TIMEOUT_MS = 50;
    private static final int MAX_OPEN_REQUESTS = 4_096;
    /** For how long a control node that did not answer is asked after all others. */
    private static final long SUSPECT_DURATION_MS = 400;
    /** A control node that has not answered for longer is asked only once in each {@value #SUSPECT_DURATION_MS} ms. */
    private static final long SILENCE_TIMEOUT_MS = 600;
    /** For how long an amount that was granted too late can be used by other requests. */
    private static final long SPARE_DURATION_MS = 500;
    /** After a denial, requests that would be denied too are denied without asking, for at most so long. */
    private static final long MAX_DENIAL_CACHE_MS = 60;
    private static final double MS_PER_SECOND = 1_000;
    /** Tolerated rounding error in sums of granted shares. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    /** Whether a request is within its tenant's limit; {@code UNKNOWN} if no control node could decide. */
    enum Outcome { ADMITTED, DENIED, UNKNOWN }

    /**
     * The decision on a request.
     *
     * @param waitMs if the request is not admitted: when it may be, in milliseconds; 0 if that is not known
     */
    record Admission(Outcome outcome, long waitMs) {
        static final Admission ADMITTED = new Admission(Outcome.ADMITTED, 0);
        static final Admission UNKNOWN = new Admission(Outcome.UNKNOWN, 0);
    }

    /** Receives the decision on a request, at once or later. */
    interface AdmissionCallback {
        /** @return whether the request was still waiting; if not, the granted amount is kept for another request */
        boolean decided(Admission admission);
    }

    /** Messages to the control nodes, and the clock and timers of the event loop. */
    interface Transport {
        /** Addresses of the control nodes among which limits are divided; empty until one of them has reported them. */
        List<String> controlNodes();

        /** Sends a message to a control node. @return false if there is no connection to it */
        boolean send(String controlNode, PeerMessage message);

        /** The monotonic clock in milliseconds. */
        long nowMs();

        /** Runs a task on the same event loop after a delay. */
        void schedule(Runnable task, long delayMs);
    }

    /** This node's state for one tenant: its reserve, unused grants and the last denial. */
    private static final class Account {
        private final QuotaReserve reserve;
        /** Amount of unused grants, and until when it can be used. */
        private double spare;
        private long spareUntilMs;
        /** The last denial applies to requests of this amount or more, for a short time. */
        private double deniedAmount;
        private long deniedUntilMs;
        private long deniedWaitMs;
        private int nextHolder;

        Account(long windowMs) {
            reserve = new QuotaReserve(windowMs);
        }
    }

    /** An amount that is requested from a control node, in the tenant's unit. */
    private record ShareRequest(String controlNode, double amount) { }

    /** A control node that does not answer: since when, and until when it is asked after all others. */
    private record Unresponsiveness(long sinceMs, long suspectUntilMs) { }

    /** A quota request that has been sent, and the check that it belongs to. */
    private record PendingRequest(AdmissionCheck check, ShareRequest shareRequest) { }

    /**
     * The check of one client request. First each holder in turn is asked for the full amount; if all deny it but hold
     * enough together, each is asked for what it holds.
     */
    private final class AdmissionCheck {
        private final TenantConfig tenant;
        private final Account account;
        private final double amount;
        private final AdmissionCallback callback;
        private final Deque<ShareRequest> remaining = new ArrayDeque<>();
        private final List<ShareRequest> availableShares = new ArrayList<>(QuotaDivision.HOLDERS);
        private long minWaitMs = Long.MAX_VALUE;
        /** The amount that all holders together need for a request of any size to be granted. */
        private double fairLevel;
        /** Whether holders are asked for what they have available, after all denied the full amount. */
        private boolean gathering;
        /** Whether a holder did not answer, so that its share is not available. */
        private boolean holderMissing;
        private double gatheredAmount;
        private boolean decided;

        AdmissionCheck(TenantConfig tenant, Account account, double amount, AdmissionCallback callback) {
            this.tenant = tenant;
            this.account = account;
            this.amount = amount;
            this.callback = callback;
            List<String> holders = QuotaDivision.holders(tenant.name(), transport.controlNodes());
            orderHolders(holders, account.nextHolder++).forEach(holder -> remaining.add(new ShareRequest(holder, amount)));
            holderMissing = remaining.size() < holders.size();
        }

        /** Sends a request to the next holder that is connected; decides the check if there is none left. */
        void requestNext() {
            if (decided) {
                return;
            }
            while (!remaining.isEmpty()) {
                ShareRequest share = remaining.poll();
                long id = ++lastId;
                if (transport.send(share.controlNode(), message(id, share))) {
                    pending.put(id, new PendingRequest(this, share));
                    transport.schedule(() -> onAnswerTimeout(id), ANSWER_TIMEOUT_MS);
                    return;
                }
                holderMissing = true;
            }
            allHoldersAsked();
        }

        /** Asks the next holder after the last one has not answered or does not hold a share. */
        void skipHolder() {
            holderMissing = true;
            requestNext();
        }

        private PeerMessage.QuotaAsk message(long id, ShareRequest share) {
            return new PeerMessage.QuotaAsk(id, tenant.name(), share.amount(), gathering);
        }

        /** Whether a late grant can still admit this request: it is undecided, and the grant covers its full amount. */
        boolean canUse(ShareRequest share) {
            return !decided && !gathering && share.amount() >= amount - ROUNDING_TOLERANCE;
        }

        /** Counts a granted share, and admits the request once all shares together cover its amount. */
        void granted(ShareRequest share) {
            if (decided) {
                keepSpare(account, share.amount()); // a holder that had been skipped has answered first
                return;
            }
            gatheredAmount += share.amount();
            if (gatheredAmount >= amount - ROUNDING_TOLERANCE) {
                if (!decide(Admission.ADMITTED)) {
                    keepSpare(account, gatheredAmount);
                }
            } else {
                requestNext();
            }
        }

        private boolean decide(Admission admission) {
            decided = true;
            return callback.decided(admission);
        }

        /** Records what the holder has available, and asks the next one. */
        void denied(ShareRequest share, PeerMessage.QuotaAnswer answer) {
            if (decided) {
                return;
            }
            minWaitMs = Math.min(minWaitMs, answer.waitMs());
            if (gathering) {
                remaining.clear(); // other requests have used the share meanwhile
            } else {
                fairLevel = Math.max(fairLevel, answer.fairLevel());
                availableShares.add(new ShareRequest(share.controlNode(), answer.available()));
            }
            requestNext();
        }

        /** Takes the amount from the node's reserve, which is empty while the number of data nodes is unknown. */
        private boolean tryReserve() {
            int sharers = fleetSize.divisor();
            return sharers > 0 && account.reserve.tryAcquire(amount, QuotaDivision.reserve(tenant, bounds, sharers),
                    transport.nowMs());
        }

        private void allHoldersAsked() {
            boolean denied = minWaitMs < Long.MAX_VALUE;
            if (denied && !gathering && totalAvailable() >= requiredAmount()) {
                gather();
            } else if ((holderMissing || !denied) && tryReserve()) {
                if (!decide(Admission.ADMITTED)) {
                    keepSpare(account, amount);
                }
            } else if (denied) {
                deny();
            } else {
                decide(Admission.UNKNOWN);
            }
        }

        /** The amount that all holders together must have: a small request has to leave enough for a large one. */
        private double requiredAmount() {
            return amount * 2 >= fairLevel ? amount : fairLevel;
        }

        private double totalAvailable() {
            return availableShares.stream().mapToDouble(ShareRequest::amount).sum();
        }

        /** Begins to request from each holder what it has available, up to the missing amount. */
        private void gather() {
            gathering = true;
            double missing = amount;
            for (ShareRequest share : availableShares) {
                double taken = Math.min(missing, share.amount());
                missing -= taken;
                if (taken > 0) {
                    remaining.add(new ShareRequest(share.controlNode(), taken));
                }
            }
            requestNext();
        }

        /** Denies the request, and remembers the denial for requests that would be denied too. */
        private void deny() {
            if (gatheredAmount > 0) {
                keepSpare(account, gatheredAmount);
            }
            double missing = requiredAmount() - totalAvailable();
            long togetherMs = (long) Math.ceil(missing / tenant.ratePerS() * MS_PER_SECOND);
            long waitMs = Math.max(1, Math.min(minWaitMs, togetherMs));
            account.deniedAmount = totalAvailable() < fairLevel ? 0 : amount;
            account.deniedWaitMs = waitMs;
            account.deniedUntilMs = transport.nowMs() + Math.min(MAX_DENIAL_CACHE_MS, waitMs);
            decide(new Admission(Outcome.DENIED, waitMs));
        }
    }

    private final Bounds bounds;
    private final FleetSize fleetSize;
    private final Transport transport;
    private final Map<String, Account> accounts = new HashMap<>();
    private final Map<Long, PendingRequest> pending = new HashMap<>();
    /** Requests that may still be answered although another control node has been asked since; the oldest are dropped. */
    private final Map<Long, PendingRequest> timedOut = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, PendingRequest> eldest) {
            return size() > MAX_OPEN_REQUESTS;
        }
    };
    private final Map<String, Unresponsiveness> unresponsive = new HashMap<>();
    private long lastId;

    /** @param fleetSize the number of data nodes that share the reserves */
    QuotaClient(Bounds bounds, FleetSize fleetSize, Transport transport) {
        this.bounds = bounds;
        this.fleetSize = fleetSize;
        this.transport = transport;
    }

    /** Applies the tenants of a new configuration; accounts of tenants that remain are kept. */
    void configure(List<TenantConfig> tenants) {
        Map<String, Account> before = new HashMap<>(accounts);
        accounts.clear();
        long windowMs = (long) (bounds.quotaWindowS() * MS_PER_SECOND);
        for (TenantConfig tenant : tenants) {
            Account known = before.get(tenant.name());
            accounts.put(tenant.name(), known == null ? new Account(windowMs) : known);
        }
    }

    /**
     * The cost of a request in its tenant's unit: 1, or the sum of its token counts.
     *
     * @param tokenUsage the client's comma-separated token counts; the tenant's default applies if null or invalid
     */
    static double cost(TenantConfig tenant, String tokenUsage) {
        if (!tenant.countsTokens()) {
            return 1;
        }
        if (tokenUsage == null) {
            return tenant.uncachedTokens();
        }
        double sum = 0;
        for (String count : tokenUsage.split(",")) {
            try {
                sum += Math.max(0, Double.parseDouble(count.strip()));
            } catch (NumberFormatException e) {
                return tenant.uncachedTokens();
            }
        }
        return Double.isFinite(sum) ? sum : tenant.uncachedTokens();
    }

    /** Decides whether a request is within its tenant's limit, and counts it if it is. */
    void admit(TenantConfig tenant, double amount, AdmissionCallback callback) {
        Account account = accounts.get(tenant.name());
        long nowMs = transport.nowMs();
        if (account == null || tenant.ratePerS() <= 0) {
            callback.decided(Admission.ADMITTED);
        } else if (nowMs < account.spareUntilMs && account.spare >= amount) {
            account.spare -= amount;
            callback.decided(Admission.ADMITTED);
        } else if (nowMs < account.deniedUntilMs && amount >= account.deniedAmount) {
            callback.decided(new Admission(Outcome.DENIED, account.deniedWaitMs));
        } else if (pending.size() >= MAX_OPEN_REQUESTS) {
            callback.decided(Admission.UNKNOWN);
        } else {
            new AdmissionCheck(tenant, account, amount, callback).requestNext();
        }
    }

    /** Rotates the holders, moves suspects to the end and leaves out those that have not answered for long. */
    private List<String> orderHolders(List<String> holders, int first) {
        long nowMs = transport.nowMs();
        List<String> ordered = new ArrayList<>(holders.size());
        List<String> suspects = new ArrayList<>(0);
        for (int i = 0; i < holders.size(); i++) {
            String holder = holders.get(Math.floorMod(first + i, holders.size()));
            Unresponsiveness state = unresponsive.get(holder);
            if (state == null || state.suspectUntilMs() <= nowMs) {
                ordered.add(holder);
            } else if (nowMs - state.sinceMs() < SILENCE_TIMEOUT_MS) {
                suspects.add(holder);
            }
        }
        ordered.addAll(suspects);
        return ordered;
    }

    /** Called with the answer of a control node. */
    void answered(PeerMessage.QuotaAnswer answer) {
        boolean granted = answer.verdict() == PeerMessage.QuotaVerdict.GRANTED;
        PendingRequest request = pending.remove(answer.id());
        if (request == null) {
            answeredAfterTimeout(timedOut.remove(answer.id()), granted);
            return;
        }
        unresponsive.remove(request.shareRequest().controlNode());
        if (granted) {
            request.check().granted(request.shareRequest());
        } else if (answer.verdict() == PeerMessage.QuotaVerdict.DENIED) {
            request.check().denied(request.shareRequest(), answer);
        } else {
            request.check().skipHolder();
        }
    }

    /** Handles an answer after its timeout: a grant admits the request if it still waits, else it is kept for another. */
    private void answeredAfterTimeout(PendingRequest request, boolean granted) {
        if (request != null) {
            unresponsive.remove(request.shareRequest().controlNode());
        }
        if (request == null || !granted) {
            return;
        }
        if (request.check().canUse(request.shareRequest())) {
            request.check().granted(request.shareRequest());
        } else {
            keepSpare(request.check().account, request.shareRequest().amount());
        }
    }

    private void onAnswerTimeout(long id) {
        PendingRequest request = pending.remove(id);
        if (request != null) {
            if (transport.controlNodes().contains(request.shareRequest().controlNode())) {
                markUnresponsive(request.shareRequest().controlNode());
            }
            timedOut.put(id, request);
            request.check().skipHolder();
        }
    }

    private void markUnresponsive(String controlNode) {
        long nowMs = transport.nowMs();
        Unresponsiveness before = unresponsive.get(controlNode);
        unresponsive.put(controlNode,
                new Unresponsiveness(before == null ? nowMs : before.sinceMs(), nowMs + SUSPECT_DURATION_MS));
    }

    private void keepSpare(Account account, double amount) {
        long nowMs = transport.nowMs();
        account.spare = (nowMs < account.spareUntilMs ? account.spare : 0) + amount;
        account.spareUntilMs = nowMs + SPARE_DURATION_MS;
    }

    /** Called when the connection to a control node is lost: its open requests go to the next holder. */
    void disconnected(String controlNode) {
        unresponsive.remove(controlNode);
        List<Long> lost = pending.entrySet().stream()
                .filter(entry -> controlNode.equals(entry.getValue().shareRequest().controlNode()))
                .map(Map.Entry::getKey).toList();
        lost.forEach(id -> pending.remove(id).check().skipHolder());
    }
}
