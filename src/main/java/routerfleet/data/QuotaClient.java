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
 * <p>Bound: {@value #MOST_OPEN} open questions; one account a configured tenant. A request costs at most
 * twice {@link QuotaDivision#HOLDERS} questions. For one event loop.
 */
final class QuotaClient {
    /** A control node that has not answered by then is passed over. */
    static final long ANSWER_MS = 50;
    private static final int MOST_OPEN = 4_096;
    /** For how long a control node that did not answer is asked last. */
    private static final long SUSPECT_MS = 400;
    /** One that has answered nothing for longer is asked only once in each {@value #SUSPECT_MS} ms. */
    private static final long SILENT_MS = 600;
    /** What a late answer granted may be used by another request for so long. */
    private static final long SPARE_MS = 500;
    /** After a denial, requests that would be denied as well get no question for so long at most. */
    private static final long DENIED_MS = 60;
    private static final double MS_A_SECOND = 1_000;
    /** Sums of parts may miss the whole by so little. */
    private static final double ROUNDING = 1e-6;

    /** Whether a request may be sent. */
    enum Outcome { ADMITTED, DENIED, UNKNOWN }

    /** @param waitMs where it is not admitted: when it may be, in milliseconds; 0 where that is not known */
    record Admission(Outcome outcome, long waitMs) {
        static final Admission ADMITTED = new Admission(Outcome.ADMITTED, 0);
        static final Admission UNKNOWN = new Admission(Outcome.UNKNOWN, 0);
    }

    /** Gets the answer to one request's question, at once or later. */
    interface Applicant {
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
        private int turn;

        Account(long windowMs) {
            reserve = new QuotaReserve(windowMs);
        }
    }

    /** What a control node is asked for. */
    private record Part(String controlNode, double amount) { }

    /** A control node that left a question without an answer, the first at one time, and until when it is asked last. */
    private record Silence(long sinceMs, long suspectUntilMs) { }

    /** A part that has been asked for. */
    private record OpenAsk(Question question, Part part) { }

    /**
     * One request that waits for its answer. First each holder is asked for the whole of it; where all deny, and hold
     * enough together, each is asked for what it holds.
     */
    private final class Question {
        private final TenantConfig tenant;
        private final Account account;
        private final double amount;
        private final Applicant applicant;
        private final Deque<Part> left = new ArrayDeque<>();
        private final List<Part> held = new ArrayList<>(QuotaDivision.HOLDERS);
        private long leastWaitMs = Long.MAX_VALUE;
        private double fairLevel;
        private boolean gathering;
        /** Whether a holder gave no answer: what it holds is out of reach. */
        private boolean partMissing;
        private double gathered;
        private boolean decided;

        Question(TenantConfig tenant, Account account, double amount, Applicant applicant) {
            this.tenant = tenant;
            this.account = account;
            this.amount = amount;
            this.applicant = applicant;
            List<String> holders = QuotaDivision.holders(tenant.name(), transport.controlNodes());
            order(holders, account.turn++).forEach(holder -> left.add(new Part(holder, amount)));
            partMissing = left.size() < holders.size();
        }

        void askNext() {
            if (decided) {
                return;
            }
            while (!left.isEmpty()) {
                Part part = left.poll();
                long id = ++lastId;
                if (transport.send(part.controlNode(), ask(id, part))) {
                    open.put(id, new OpenAsk(this, part));
                    transport.schedule(() -> unanswered(id), ANSWER_MS);
                    return;
                }
                partMissing = true;
            }
            exhausted();
        }

        /** The holder asked last gives no answer, or none that counts. */
        void passOver() {
            partMissing = true;
            askNext();
        }

        private PeerMessage.QuotaAsk ask(long id, Part part) {
            return new PeerMessage.QuotaAsk(id, tenant.name(), part.amount(), gathering);
        }

        /** Whether a grant that comes late may still be of use here: it was asked for the whole of the request. */
        boolean waits(Part part) {
            return !decided && !gathering && part.amount() >= amount - ROUNDING;
        }

        void granted(Part part) {
            if (decided) {
                keep(account, part.amount()); // one that had been passed over was faster
                return;
            }
            gathered += part.amount();
            if (gathered >= amount - ROUNDING) {
                if (!decide(Admission.ADMITTED)) {
                    keep(account, gathered);
                }
            } else {
                askNext();
            }
        }

        private boolean decide(Admission admission) {
            decided = true;
            return applicant.decided(admission);
        }

        void denied(Part part, PeerMessage.QuotaAnswer answer) {
            if (decided) {
                return;
            }
            leastWaitMs = Math.min(leastWaitMs, answer.waitMs());
            if (gathering) {
                left.clear(); // others were faster
            } else {
                fairLevel = Math.max(fairLevel, answer.fairLevel());
                held.add(new Part(part.controlNode(), answer.available()));
            }
            askNext();
        }

        /** Where it is not known how many share the reserve, there is none. */
        private boolean takeReserve() {
            int sharers = fleetSize.divisor();
            return sharers > 0 && account.reserve.take(amount, QuotaDivision.reserve(tenant, bounds, sharers),
                    transport.nowMs());
        }

        private void exhausted() {
            boolean denied = leastWaitMs < Long.MAX_VALUE;
            if (denied && !gathering && heldTogether() >= needed()) {
                gather();
            } else if ((partMissing || !denied) && takeReserve()) {
                if (!decide(Admission.ADMITTED)) {
                    keep(account, amount);
                }
            } else if (denied) {
                deny();
            } else {
                decide(Admission.UNKNOWN);
            }
        }

        /** What all holders together have to hold: a small request leaves room for a large one. */
        private double needed() {
            return amount * 2 >= fairLevel ? amount : fairLevel;
        }

        private double heldTogether() {
            return held.stream().mapToDouble(Part::amount).sum();
        }

        private void gather() {
            gathering = true;
            double missing = amount;
            for (Part part : held) {
                double taken = Math.min(missing, part.amount());
                missing -= taken;
                if (taken > 0) {
                    left.add(new Part(part.controlNode(), taken));
                }
            }
            askNext();
        }

        private void deny() {
            if (gathered > 0) {
                keep(account, gathered);
            }
            double missing = needed() - heldTogether();
            long togetherMs = (long) Math.ceil(missing / tenant.ratePerS() * MS_A_SECOND);
            long waitMs = Math.max(1, Math.min(leastWaitMs, togetherMs));
            account.deniedAmount = heldTogether() < fairLevel ? 0 : amount;
            account.deniedWaitMs = waitMs;
            account.deniedUntilMs = transport.nowMs() + Math.min(DENIED_MS, waitMs);
            decide(new Admission(Outcome.DENIED, waitMs));
        }
    }

    private final Bounds bounds;
    private final FleetSize fleetSize;
    private final Transport transport;
    private final Map<String, Account> accounts = new HashMap<>();
    private final Map<Long, OpenAsk> open = new HashMap<>();
    /** What may still be answered, after another control node has been asked. */
    private final Map<Long, OpenAsk> late = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, OpenAsk> eldest) {
            return size() > MOST_OPEN;
        }
    };
    private final Map<String, Silence> silences = new HashMap<>();
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
        long windowMs = (long) (bounds.quotaWindowS() * MS_A_SECOND);
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
        for (String part : tokenUsage.split(",")) {
            try {
                sum += Math.max(0, Double.parseDouble(part.strip()));
            } catch (NumberFormatException e) {
                return tenant.uncachedTokens();
            }
        }
        return Double.isFinite(sum) ? sum : tenant.uncachedTokens();
    }

    /** Counts a request if it is within its tenant's limit. */
    void admit(TenantConfig tenant, double amount, Applicant applicant) {
        Account account = accounts.get(tenant.name());
        long nowMs = transport.nowMs();
        if (account == null || tenant.ratePerS() <= 0) {
            applicant.decided(Admission.ADMITTED);
        } else if (nowMs < account.spareUntilMs && account.spare >= amount) {
            account.spare -= amount;
            applicant.decided(Admission.ADMITTED);
        } else if (nowMs < account.deniedUntilMs && amount >= account.deniedAmount) {
            applicant.decided(new Admission(Outcome.DENIED, account.deniedWaitMs));
        } else if (open.size() >= MOST_OPEN) {
            applicant.decided(Admission.UNKNOWN);
        } else {
            new Question(tenant, account, amount, applicant).askNext();
        }
    }

    /** Control nodes that answer come first, each in its turn; those that have been silent for long are left out. */
    private List<String> order(List<String> holders, int turn) {
        long nowMs = transport.nowMs();
        List<String> ordered = new ArrayList<>(holders.size());
        List<String> suspects = new ArrayList<>(0);
        for (int i = 0; i < holders.size(); i++) {
            String holder = holders.get(Math.floorMod(turn + i, holders.size()));
            Silence silence = silences.get(holder);
            if (silence == null || silence.suspectUntilMs() <= nowMs) {
                ordered.add(holder);
            } else if (nowMs - silence.sinceMs() < SILENT_MS) {
                suspects.add(holder);
            }
        }
        ordered.addAll(suspects);
        return ordered;
    }

    /** A control node's answer. */
    void answered(PeerMessage.QuotaAnswer answer) {
        boolean granted = answer.verdict() == PeerMessage.QuotaVerdict.GRANTED;
        OpenAsk ask = open.remove(answer.id());
        if (ask == null) {
            answeredLate(late.remove(answer.id()), granted);
            return;
        }
        silences.remove(ask.part().controlNode());
        if (granted) {
            ask.question().granted(ask.part());
        } else if (answer.verdict() == PeerMessage.QuotaVerdict.DENIED) {
            ask.question().denied(ask.part(), answer);
        } else {
            ask.question().passOver();
        }
    }

    /** A control node that had been passed over answers: a grant is for the request that waits, else for the next one. */
    private void answeredLate(OpenAsk ask, boolean granted) {
        if (ask != null) {
            silences.remove(ask.part().controlNode());
        }
        if (ask == null || !granted) {
            return;
        }
        if (ask.question().waits(ask.part())) {
            ask.question().granted(ask.part());
        } else {
            keep(ask.question().account, ask.part().amount());
        }
    }

    private void unanswered(long id) {
        OpenAsk ask = open.remove(id);
        if (ask != null) {
            if (transport.controlNodes().contains(ask.part().controlNode())) {
                silent(ask.part().controlNode());
            }
            late.put(id, ask);
            ask.question().passOver();
        }
    }

    private void silent(String controlNode) {
        long nowMs = transport.nowMs();
        Silence before = silences.get(controlNode);
        silences.put(controlNode, new Silence(before == null ? nowMs : before.sinceMs(), nowMs + SUSPECT_MS));
    }

    private void keep(Account account, double amount) {
        long nowMs = transport.nowMs();
        account.spare = (nowMs < account.spareUntilMs ? account.spare : 0) + amount;
        account.spareUntilMs = nowMs + SPARE_MS;
    }

    /** A control node cannot be reached any more: what it was asked goes to the next one. */
    void disconnected(String controlNode) {
        silences.remove(controlNode);
        List<Long> lost = open.entrySet().stream()
                .filter(entry -> controlNode.equals(entry.getValue().part().controlNode()))
                .map(Map.Entry::getKey).toList();
        lost.forEach(id -> open.remove(id).question().passOver());
    }
}
