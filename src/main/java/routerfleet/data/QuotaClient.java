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
 * Asks the control nodes whether a request is within its tenant's limit. Each limit is divided among a few control nodes
 * ({@link QuotaDivision}); they are asked one after another until one of them grants, and for what each of them holds
 * where only all together hold enough. Where the parts of those that answer do not suffice and one of them gives no answer,
 * the node's own reserve decides.
 *
 * <p>Bound: {@value #MAX_OPEN_REQUESTS} open questions; one account a configured tenant. A request costs at most
 * twice {@link QuotaDivision#HOLDERS} questions. For one event loop.
 */
final class QuotaClient {
    /** A control node that has not answered by then is passed over. */
    static final long ANSWER_TIMEOUT_MS = 50;
    private static final int MAX_OPEN_REQUESTS = 4_096;
    /** For how long a control node that did not answer is asked last. */
    private static final long SUSPECT_DURATION_MS = 400;
    /** One that has answered nothing for longer is asked only once in each {@value #SUSPECT_DURATION_MS} ms. */
    private static final long SILENCE_TIMEOUT_MS = 600;
    /** What a late answer granted may be used by another request for so long. */
    private static final long SPARE_DURATION_MS = 500;
    /** After a denial, requests that would be denied as well get no question for so long at most. */
    private static final long MAX_DENIAL_CACHE_MS = 60;
    private static final double MS_PER_SECOND = 1_000;
    /** Sums of parts may miss the whole by so little. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    /** Whether a request may be sent. */
    enum Outcome { ADMITTED, DENIED, UNKNOWN }

    /** @param waitMs where it is not admitted: when it may be, in milliseconds; 0 where that is not known */
    record Admission(Outcome outcome, long waitMs) {
        static final Admission ADMITTED = new Admission(Outcome.ADMITTED, 0);
        static final Admission UNKNOWN = new Admission(Outcome.UNKNOWN, 0);
    }

    /** Gets the answer to one request's question, at once or later. */
    interface AdmissionCallback {
        /** @return whether the request is still there; else what was admitted is kept for another one */
        boolean decided(Admission admission);
    }

    /** The way to the control nodes. */
    interface Transport {
        /** Addresses of the control nodes among which limits are divided; empty before one has been heard. */
        List<String> controlNodes();

        /** @return whether there is a connection to send on */
        boolean send(String controlNode, PeerMessage message);

        /** Now, on the steady clock in milliseconds. */
        long nowMs();

        /** Runs a task later on the same event loop. */
        void schedule(Runnable task, long delayMs);
    }

    /** One tenant, as its requests are counted here. */
    private static final class Account {
        private final QuotaReserve reserve;
        private double spare;
        private long spareUntilMs;
        private double deniedAmount;
        private long deniedUntilMs;
        private long deniedWaitMs;
        private int nextHolder;

        Account(long windowMs) {
            reserve = new QuotaReserve(windowMs);
        }
    }

    /** What a control node is asked for. */
    private record ShareRequest(String controlNode, double amount) { }

    /** A control node that left a question without an answer, the first at one time, and until when it is asked last. */
    private record Unresponsiveness(long sinceMs, long suspectUntilMs) { }

    /** A part that has been asked for. */
    private record PendingRequest(AdmissionCheck check, ShareRequest shareRequest) { }

    /**
     * One request that waits for its answer. First each holder is asked for the whole of it; where all deny, and hold
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
        private double fairLevel;
        private boolean gathering;
        /** Whether a holder gave no answer: what it holds is out of reach. */
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

        /** The holder asked last gives no answer, or none that counts. */
        void skipHolder() {
            holderMissing = true;
            requestNext();
        }

        private PeerMessage.QuotaAsk message(long id, ShareRequest share) {
            return new PeerMessage.QuotaAsk(id, tenant.name(), share.amount(), gathering);
        }

        /** Whether a grant that comes late may still be of use here: it was asked for the whole of the request. */
        boolean canUse(ShareRequest share) {
            return !decided && !gathering && share.amount() >= amount - ROUNDING_TOLERANCE;
        }

        void granted(ShareRequest share) {
            if (decided) {
                keepSpare(account, share.amount()); // one that had been passed over was faster
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

        void denied(ShareRequest share, PeerMessage.QuotaAnswer answer) {
            if (decided) {
                return;
            }
            minWaitMs = Math.min(minWaitMs, answer.waitMs());
            if (gathering) {
                remaining.clear(); // others were faster
            } else {
                fairLevel = Math.max(fairLevel, answer.fairLevel());
                availableShares.add(new ShareRequest(share.controlNode(), answer.available()));
            }
            requestNext();
        }

        /** Where it is not known how many share the reserve, there is none. */
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

        /** What all holders together have to hold: a small request leaves room for a large one. */
        private double requiredAmount() {
            return amount * 2 >= fairLevel ? amount : fairLevel;
        }

        private double totalAvailable() {
            return availableShares.stream().mapToDouble(ShareRequest::amount).sum();
        }

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
    /** What may still be answered, after another control node has been asked. */
    private final Map<Long, PendingRequest> timedOut = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, PendingRequest> eldest) {
            return size() > MAX_OPEN_REQUESTS;
        }
    };
    private final Map<String, Unresponsiveness> unresponsive = new HashMap<>();
    private long lastId;

    /** @param fleetSize how many data nodes share the reserves */
    QuotaClient(Bounds bounds, FleetSize fleetSize, Transport transport) {
        this.bounds = bounds;
        this.fleetSize = fleetSize;
        this.transport = transport;
    }

    /** Takes the tenants of a new configuration. */
    void configure(List<TenantConfig> tenants) {
        Map<String, Account> before = new HashMap<>(accounts);
        accounts.clear();
        long windowMs = (long) (bounds.quotaWindowS() * MS_PER_SECOND);
        for (TenantConfig tenant : tenants) {
            Account known = before.get(tenant.name());
            accounts.put(tenant.name(), known == null ? new Account(windowMs) : known);
        }
    }

    /** What a request counts for its tenant. @param tokenUsage the client's token counts; null where it sent none */
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

    /** Counts a request if it is within its tenant's limit. */
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

    /** Control nodes that answer come first, each in its turn; those that have been silent for long are left out. */
    private List<String> orderHolders(List<String> holders, int turn) {
        long nowMs = transport.nowMs();
        List<String> ordered = new ArrayList<>(holders.size());
        List<String> suspects = new ArrayList<>(0);
        for (int i = 0; i < holders.size(); i++) {
            String holder = holders.get(Math.floorMod(turn + i, holders.size()));
            Unresponsiveness silence = unresponsive.get(holder);
            if (silence == null || silence.suspectUntilMs() <= nowMs) {
                ordered.add(holder);
            } else if (nowMs - silence.sinceMs() < SILENCE_TIMEOUT_MS) {
                suspects.add(holder);
            }
        }
        ordered.addAll(suspects);
        return ordered;
    }

    /** A control node's answer. */
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

    /** A control node that had been passed over answers: a grant is for the request that waits, else for the next one. */
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
        unresponsive.put(controlNode, new Unresponsiveness(before == null ? nowMs : before.sinceMs(), nowMs + SUSPECT_DURATION_MS));
    }

    private void keepSpare(Account account, double amount) {
        long nowMs = transport.nowMs();
        account.spare = (nowMs < account.spareUntilMs ? account.spare : 0) + amount;
        account.spareUntilMs = nowMs + SPARE_DURATION_MS;
    }

    /** A control node cannot be reached any more: what it was asked goes to the next one. */
    void disconnected(String controlNode) {
        unresponsive.remove(controlNode);
        List<Long> lost = pending.entrySet().stream()
                .filter(entry -> controlNode.equals(entry.getValue().shareRequest().controlNode()))
                .map(Map.Entry::getKey).toList();
        lost.forEach(id -> pending.remove(id).check().skipHolder());
    }
}
