package rowanplank.balancer;

import java.util.*;
import java.util.stream.*;
import rowanplank.balancer.BalancerApi.*;
import rowanplank.balancer.BalancerState.*;
import rowanplank.neural.*;
import rowanplank.route.ZoneRouter;
import rowanplank.subset.ColdStart;
import rowanplank.subset.Subset;

/**
 * Makes all decisions of one proxy node: which server gets each attempt of a request, which requests wait,
 * are retried, rejected or failed, and which servers are ejected. The interface (settings, events and
 * actions) is in {@link BalancerApi}.
 *
 * <p>In the ordinary case, a random neural network per request class learns from the latency of
 * responses how good each server is (its quality q). Of two random ready servers, the one with the lower
 * (own requests in flight + 1) / q is chosen. Everything else handles exceptions to that.
 */
public final class Balancer implements Events {
    /** Interval of periodic checks, well within the tolerance for a final response after its deadline. */
    private static final double TICK_MS = 10;
    private static final long TICK = 0;
    private static final long RETRY_LIST = 1;
    /** Weight of one response in a server's failure rate: two failures in a row eject it, one does not. */
    private static final double FAILURE_RATE_GAIN = 0.15;
    private static final double EJECT_FAILURE_RATE = 0.25;
    /** Where all servers fail at times, one must exceed the median by this factor to be ejected. */
    private static final double EJECT_MEDIAN_MULTIPLE = 3;
    /** A server with a higher failure rate than this is always ejected, whatever the others' rates. */
    private static final double EJECT_ALWAYS_RATE = 0.9;
    private static final double FIRST_EJECTION_MS = 1000;
    private static final double MAX_EJECTION_MS = 8000;
    /** A server's mean latency as a fraction of the target latency that its in-flight limit aims for. */
    private static final double TARGET_SLOWNESS = 0.5;
    private static final double SLOWNESS_GAIN = 0.25;
    private static final double MEAN_SLOWNESS_GAIN = 0.05;
    /**
     * Initial and highest in-flight limit of a server, over all nodes. Servers that hold more requests get
     * less done.
     */
    private static final double MAX_IN_FLIGHT = 4;
    /** The same while requests of full priority are being rejected. */
    private static final double MAX_IN_FLIGHT_REJECTING = 3;
    /**
     * Lowest fraction of the limit: low enough for an overloaded server to recover, and high enough to
     * notice when it has.
     */
    private static final double MIN_LIMIT_FRACTION = 0.06;
    private static final double LIMIT_GROWTH = 0.05;
    private static final double LIMIT_DECREASE = 0.8;
    /** Fraction of its target latency that a request may wait in the queue however slow the servers are. */
    private static final double QUEUE_TARGET_SHARE = 0.2;
    /**
     * Fraction of its deadline that a request may wait if it was never sent, so that its client hears of
     * the rejection while it can still try elsewhere.
     */
    private static final double QUEUE_UNSENT_SHARE = 0.5;
    /** Retry-After of a rejection as a fraction of the target latency. */
    private static final double RETRY_AFTER_SHARE = 0.25;
    /**
     * Lowest worth of a client's retry relative to a new request. Part of its target latency has passed
     * already, so it counts as a late response does, but no less than this.
     */
    private static final double MIN_CLIENT_RETRY_WORTH = 0.1;
    /**
     * How long requests of lower priority are rejected at once after one was rejected because no server had
     * a free slot.
     */
    private static final double SHED_MS = 500;
    /** Hedged requests and retries of requests that may have run, as a fraction of first attempts. */
    private static final double RETRY_BUDGET_SHARE = 0.15;
    private static final double MAX_RETRY_BUDGET = 10;
    /**
     * An attempt is cancelled and retried elsewhere after this fraction of the target latency and this many
     * mean latencies.
     */
    private static final double STUCK_TARGET_SHARE = 0.5;
    private static final double STUCK_MEAN_MULTIPLE = 10;
    /** A drawn server with nothing in flight is preferred if it was not sent anything for this long. */
    private static final double MAX_IDLE_MS = 500;
    /** Factor by which a server in another zone must score better to be chosen. */
    private static final double CROSS_ZONE_FACTOR = 1.15;
    /**
     * Score factor of the server that likely has the request's key in its cache; below 1 so that it may
     * score worse than the other candidate.
     */
    private static final double KEY_AFFINITY_FACTOR = 0.4;

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final Map<Long, Server> listed = new LinkedHashMap<>();
    private final ZoneRouter route;
    private final Subset subset;
    private final ColdStart coldStart;
    /** Number of nodes that share a server. */
    private double nodesPerServer;
    private final Map<Long, ServerState> serverStates = new LinkedHashMap<>();
    private final List<ServerState> readyServers = new ArrayList<>();
    private final Map<Long, OpenRequest> openRequests = new LinkedHashMap<>();
    private final List<OpenRequest> queue = new ArrayList<>();
    /**
     * Servers that are not listed any more and still have attempts pending; never more than there are such
     * attempts.
     */
    private final Map<Long, ServerState> removedServers = new LinkedHashMap<>();
    private final RandomNeuralNetwork[] networks;
    private final double[] tenantTokens;
    private double tokensUpdatedAt;
    private ServerState[] candidates = new ServerState[0];
    /**
     * Mean of latency / target latency over all responses; assumed of a server about which nothing is
     * known.
     */
    private double meanSlowness = TARGET_SLOWNESS;
    private double retryBudget = MAX_RETRY_BUDGET;
    /**
     * Requests of lower priority than this are rejected until {@link #shedUntil}, so that client retries
     * and traffic over quota do not take the slots that others need.
     */
    private double shedBelow;
    private double shedUntil;
    private boolean tickScheduled;
    private double now;

    /**
     * Creates the module of one node.
     *
     * @param seed seed of all random choices
     */
    public Balancer(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        random = new SplittableRandom(seed);
        route = new ZoneRouter(settings.nodes(), settings.zone(), settings.crossZoneCost());
        // With this many nodes per server, a node's share of a server is at least one slot, also while
        // requests are rejected.
        subset = new Subset(settings.nodes(), settings.node(), settings.zone(), settings.crossZoneCost() > 0,
                MAX_IN_FLIGHT_REJECTING);
        Rules rules = settings.rules();
        coldStart = new ColdStart(rules.initialCapacity(), rules.warmupMs(), rules.overloadMultiple());
        networks = settings.classes().stream()
                .map(c -> new RandomNeuralNetwork())
                .toArray(RandomNeuralNetwork[]::new);
        tenantTokens = IntStream.range(0, settings.tenants().size()).mapToDouble(this::tenantRate).toArray();
        if (settings.requestList()) actions.watchServers();
    }

    // ---- events

    public void onServers(double nowMs, ListKind kind, List<Server> servers) {
        now = nowMs;
        if (kind == ListKind.FAILED) {
            if (settings.requestList()) actions.timer(settings.rules().pollWithinMs() / 4, RETRY_LIST);
            return;
        }
        if (kind != ListKind.DELTA) listed.clear();
        servers.forEach(s -> listed.put(s.id(), s));
        listed.values().removeIf(s -> s.lifecycle() != Lifecycle.READY);
        subset.updateServers(listed.size(), zones(listed.values().stream()));
        List.copyOf(readyServers).stream().filter(t -> !isStillValid(t)).forEach(this::removeServer);
        listed.values().stream().filter(this::isUsed).forEach(this::update);
        for (RandomNeuralNetwork n : networks) n.solve();
        nodesPerServer = subset.nodesPerServer();
        route.updateZones(zones(readyServers.stream().map(t -> t.server)));
        candidates = candidates.length < readyServers.size() ? new ServerState[readyServers.size() + 8]
                : candidates;
        sendQueued();
    }

    public void onRequest(double nowMs, Request request) {
        now = nowMs;
        RequestClass type = settings.classes().get(request.classIndex());
        OpenRequest r = new OpenRequest(request, type, now);
        openRequests.put(request.id(), r);
        retryBudget = Math.min(MAX_RETRY_BUDGET, retryBudget + RETRY_BUDGET_SHARE);
        r.priority = (isOverQuota(request.tenant(), request.clientRetry()) ? settings.overQuotaWorth() : 1)
                * (request.clientRetry() ? Math.max(MIN_CLIENT_RETRY_WORTH, type.lateWorth()) : 1);
        double mean = networks[request.classIndex()].meanLatency();
        r.worthDensity = r.priority * type.worth() / (settings.worthPerWork() || mean == 0 ? 1 : mean);
        if (r.priority < shedBelow && now < shedUntil) rejectOrFail(r);
        else if (!trySend(r)) enqueue(r);
        scheduleTick();
    }

    public void onStreamStarted(double nowMs, long request, int attempt) {
        now = nowMs;
        OpenRequest r = openRequests.get(request);
        if (r != null && !r.ended && attempt < r.attempts.size()) {
            r.streaming = true;
            cancelPending(r, attempt);
        }
    }

    public void onOutcome(double nowMs, long request, int attempt, Outcome outcome, double latencyMs,
            boolean concluded) {
        now = nowMs;
        OpenRequest r = openRequests.get(request);
        if (r == null || attempt >= r.attempts.size() || !r.attempts.get(attempt).pending) return;
        Attempt a = r.attempts.get(attempt);
        a.pending = false;
        r.streaming = false;
        a.neverRan = outcome.neverRan();
        if (--a.server.limit.inFlight == 0) removedServers.remove(a.server.server.id(), a.server);
        if (a.probe) a.server.probePending = false;
        // Cancelled as stuck and nothing received from the server since: the server is silent, not just one
        // connection.
        boolean silent = outcome == Outcome.CANCELLED && a.cancelled && a.server.lastResponseAt < a.sentAt;
        if (outcome != Outcome.OK && outcome != Outcome.MOOT) pauseColdServer(a, r);
        recordOutcome(a.server, r, silent ? Outcome.TIMEOUT : outcome, latencyMs);
        if (concluded && !r.ended) end(r);
        if (!r.ended && outcome != Outcome.OK && !r.pending()) retry(r, a);
        removeIfFinished(r);
        sendQueued();
    }

    public void onClientLeft(double nowMs, long request) {
        now = nowMs;
        OpenRequest r = openRequests.get(request);
        if (r != null && !r.ended) end(r);
    }

    public void onTimer(double nowMs, long token) {
        now = nowMs;
        if (token == RETRY_LIST) actions.watchServers();
        if (token != TICK) return;
        tickScheduled = false;
        for (OpenRequest r : List.copyOf(openRequests.values())) {
            if (!r.ended && !r.streaming) checkProgress(r);
        }
        sendQueued();
        if (!openRequests.isEmpty()) scheduleTick();
    }

    private void scheduleTick() {
        if (tickScheduled) return;
        tickScheduled = true;
        actions.timer(TICK_MS, TICK);
    }

    // ---- the server list

    /** What was learned about a server's old process, above all failures, is void once it restarts. */
    private boolean isStillValid(ServerState t) {
        Server s = listed.get(t.server.id());
        return s != null && isUsed(s) && s.startedAtMs() <= t.server.startedAtMs();
    }

    private void update(Server s) {
        if (!serverStates.containsKey(s.id())) addServer(s);
        serverStates.get(s.id()).server = s;
    }

    private boolean isUsed(Server s) {
        // Allocations of slots by the fleet are whole numbers: they tell which servers the node uses.
        double allocated = actions.slotLimit(s.id());
        return allocated < 0 ? subset.uses(s.id(), s.zone())
                : allocated > 0 || serverStates.containsKey(s.id());
    }

    private static Set<Integer> zones(Stream<Server> servers) {
        return servers.map(Server::zone).collect(Collectors.toCollection(TreeSet::new));
    }

    /** Returns the live list of servers that may be chosen; for tests. */
    List<ServerState> readyServers() {
        return readyServers;
    }

    private void addServer(Server s) {
        ServerState before = removedServers.remove(s.id());
        // One that was off the list for a moment still has its pending attempts, and keeps its state.
        ServerState t = before != null && s.startedAtMs() <= before.server.startedAtMs() ? before
                : newServerState(s);
        t.neurons = Stream.of(networks).map(RandomNeuralNetwork::addNeuron).toArray(Neuron[]::new);
        serverStates.put(s.id(), t);
        readyServers.add(t);
    }

    private ServerState newServerState(Server s) {
        double capacity = coldStart.capacityFraction(now, s.startedAtMs());
        ServerState t = new ServerState(s,
                new ConcurrencyLimit(meanSlowness * settings.classes().get(0).targetMs() / capacity, now));
        t.ejectionMs = FIRST_EJECTION_MS;
        t.lastSentAt = now;
        // Random, so that nodes which hear of a start at the same time do not all send at once.
        if (capacity < 1) t.limit.credit = random.nextDouble();
        return t;
    }

    private void removeServer(ServerState t) {
        serverStates.remove(t.server.id());
        readyServers.remove(t);
        for (int c = 0; c < networks.length; c++) networks[c].removeNeuron(t.neurons[c]);
        t.neurons = null;
        if (t.limit.inFlight > 0) removedServers.put(t.server.id(), t);
    }

    // ---- choosing a server

    private boolean trySend(OpenRequest r) {
        // A request may arrive after its deadline. If sent, it would end as never run and be retried.
        if (now > r.request.deadlineMs() - TICK_MS) return false;
        ServerState t = chooseServer(r);
        if (t != null) send(r, t);
        return t != null;
    }

    private ServerState chooseServer(OpenRequest r) {
        int healthyMinusEjected = 0;
        long zones = 0;
        long reachableZones = 0;
        for (ServerState t : readyServers) {
            updateLimit(t.limit, slots(t));
            zones |= 1L << t.server.zone();
            reachableZones |= t.unreachable ? 0 : 1L << t.server.zone();
            healthyMinusEjected += t.unreachable ? 0 : t.ejected ? -1 : 1;
        }
        // If no server of a zone can be reached, the zone is cut off, and its nodes take no share of the
        // other servers.
        nodesPerServer = subset.nodesPerServer() * Math.max(1, Long.bitCount(reachableZones))
                / Long.bitCount(zones);
        // If most reachable servers look bad, the cause is not theirs, and ejection is ignored.
        boolean ignoreEjection = healthyMinusEjected < 0;
        int c = r.request.classIndex();
        int n = 0;
        int bestRank = Integer.MAX_VALUE;
        for (ServerState t : readyServers) {
            if (!hasFreeSlot(t.limit) || !maySendTo(r, t)) continue;
            if (t.ejected && !ignoreEjection && mayProbe(t, r)) return t;
            int rank = route.zonePreference(t.server.zone());
            if (t.ejected && (!ignoreEjection || t.unreachable) || rank > bestRank) continue;
            n = rank < bestRank ? 0 : n;
            bestRank = rank;
            candidates[n++] = t;
        }
        if (n < 2) return n == 0 ? null : candidates[0];
        long key = settings.keyAffinity() ? r.request.key() : 0;
        ServerState a = drawCandidate(key, c, 0, n);
        ServerState b = drawCandidate(key, c, 1, n);
        if (isIdle(a) || isIdle(b)) return isIdle(a) ? a : b;
        return score(a, c) * (key != 0 ? KEY_AFFINITY_FACTOR : 1) <= score(b, c) ? a : b;
    }

    /**
     * Draws a candidate at random from those at index {@code from} and after and swaps it to that index.
     * For a key, it is instead the key's server by weighted rendezvous hashing. Nearly all nodes then
     * choose the same server for a key without sharing state, and a server of higher quality is chosen for
     * more keys.
     */
    private ServerState drawCandidate(long key, int c, int from, int n) {
        int chosen = from + random.nextInt(n - from);
        double nearest = Double.MAX_VALUE;
        for (int i = from; i < n && key != 0; i++) {
            double uniform = new SplittableRandom(key ^ candidates[i].server.id()).nextDouble();
            double distance = -Math.log(1 - uniform) / candidates[i].neurons[c].quality();
            if (distance < nearest) chosen = i;
            nearest = Math.min(nearest, distance);
        }
        ServerState t = candidates[chosen];
        candidates[chosen] = candidates[from];
        candidates[from] = t;
        return t;
    }

    /**
     * Returns whether the server has had nothing to do for a while and should be explored. Without
     * exploration a server that was slow once would rarely be chosen, so rarely be rewarded, and stay so.
     * The paper on which the algorithm is based explores with a tenth of all requests; this is far less,
     * and none where all servers are in use.
     */
    private boolean isIdle(ServerState t) {
        return t.limit.inFlight == 0 && now - t.lastSentAt > MAX_IDLE_MS;
    }

    private double score(ServerState t, int c) {
        double zone = t.server.zone() == settings.zone() ? 1 : CROSS_ZONE_FACTOR;
        return (t.limit.inFlight + 1) / (t.neurons[c].quality() * t.server.weight()) * zone;
    }

    /**
     * Returns whether another request may be sent to the server. This keeps servers from being crowded and
     * cold servers from being overloaded: since so little is in flight over all nodes, no more can be sent
     * than the server responds to plus these few.
     */
    private boolean hasFreeSlot(ConcurrencyLimit l) {
        if (now < l.pausedUntil) return false;
        return l.inFlight < Math.floor(l.slots) || l.inFlight < l.slots && l.credit >= 1;
    }

    private void pauseColdServer(Attempt a, OpenRequest r) {
        if (coldStart.isWarm(now, a.server.server.startedAtMs())) return;
        // Work that a cold server fails, rejects or does in vain still counts as load. The slot stays taken
        // for as long as a response would take.
        double responseMs = Math.max(a.server.limit.lastLatencyMs,
                networks[r.request.classIndex()].meanLatency());
        a.server.limit.pausedUntil = Math.max(a.server.limit.pausedUntil, a.sentAt + responseMs);
    }

    private void updateLimit(ConcurrencyLimit l, double slots) {
        // The credit is accumulated instead of computed from the last send; otherwise many nodes' waits
        // would end at once as a server warms up.
        double wholeSlots = Math.floor(slots);
        double wait = l.lastLatencyMs * (1 / (slots - wholeSlots) - 1);
        if (l.inFlight <= wholeSlots) l.credit = Math.min(1, l.credit + (now - l.updatedAt) / wait);
        l.slots = slots;
        l.updatedAt = now;
    }

    private double slots(ServerState t) {
        double capacity = coldStart.capacityFraction(now, t.server.startedAtMs());
        // While requests are being rejected there is always one to fill a free slot; more requests held at
        // the server would only wait.
        boolean rejecting = now < shedUntil && shedBelow >= 1;
        double limit = rejecting && capacity == 1 ? MAX_IN_FLIGHT_REJECTING : MAX_IN_FLIGHT;
        // Nor must a request that any zone can serve be rejected because it belongs to another zone.
        double share = rejecting ? 1 : route.serverShare(t.server.zone());
        // An allocation of the fleet-wide limit covers all zones, and is scaled down for a cold server.
        double allocated = actions.slotLimit(t.server.id());
        return (allocated < 0 ? limit * share / nodesPerServer : allocated) * t.limit.fraction
                * coldStart.limitFraction(capacity);
    }

    /**
     * Returns whether an ejected server may get a probe. A probe must be harmless to lose, so it is no
     * request that must run only once, unless all classes are such.
     */
    private boolean mayProbe(ServerState t, OpenRequest r) {
        return now >= t.nextProbeAt && !t.probePending && (r.type.effect() != Effect.ONCE
                || settings.classes().stream().allMatch(c -> c.effect() == Effect.ONCE));
    }

    /**
     * Returns whether the request may be sent to the server now, given its class's effect and its earlier
     * attempts.
     */
    private boolean maySendTo(OpenRequest r, ServerState t) {
        if (r.attempts.isEmpty()) return true;
        if (r.attempts.stream().anyMatch(a -> a.server == t)) return false;
        Attempt first = r.firstMayHaveRun();
        if (first == null || r.type.effect() == Effect.REPEATABLE) return true;
        return r.type.effect() == Effect.BY_KEY && now - first.sentAt < r.type.retryWindowMs()
                && sameGroup(r.type.dedupGroup(), first.server.server, t.server);
    }

    private static boolean sameGroup(DedupGroup group, Server a, Server b) {
        return group == DedupGroup.ALL
                || (group == DedupGroup.ZONE ? a.zone() == b.zone() : a.cell() == b.cell());
    }

    private void send(OpenRequest r, ServerState t) {
        r.attempts.add(new Attempt(t, now, t.ejected));
        r.queued = false;
        t.probePending |= t.ejected;
        t.limit.inFlight++;
        t.lastSentAt = now;
        t.limit.credit = 0;
        actions.send(r.request.id(), t.server.id(), r.request.deadlineMs() - now);
    }

    // ---- evaluating servers

    private void recordOutcome(ServerState t, OpenRequest r, Outcome outcome, double latency) {
        // Attempts that are cancelled late, mostly because their client's time was up, show that the server
        // was at least this slow.
        boolean late = outcome == Outcome.CANCELLED && latency > r.type.targetMs();
        if (outcome == Outcome.CANCELLED && !late || outcome == Outcome.MOOT) return;
        boolean ok = outcome == Outcome.OK;
        int c = r.request.classIndex();
        if (!late && outcome != Outcome.TIMEOUT && outcome != Outcome.CONNECT_FAILED) t.lastResponseAt = now;
        if (t.neurons != null) {
            double learned = ok || late ? latency : Math.max(latency, r.type.deadlineMs());
            networks[c].learn(t.neurons[c], learned, ok);
        }
        if (outcome == Outcome.FULL) {
            t.limit.fraction = Math.max(MIN_LIMIT_FRACTION, t.limit.fraction * LIMIT_DECREASE);
            return;
        }
        // An immediate failure of a cold server does not show how long a slot is taken; it must not lead to
        // faster sends.
        boolean isSlotTime = ok || coldStart.isWarm(now, t.server.startedAtMs());
        t.limit.lastLatencyMs = Math.max(isSlotTime ? 1 : t.limit.lastLatencyMs, latency);
        double relativeLatency = latency / r.type.targetMs();
        adjustLimit(t.limit, latency, Math.min(2, relativeLatency));
        route.recordLatency(t.server.zone(), Math.min(2, relativeLatency));
        meanSlowness += MEAN_SLOWNESS_GAIN * (Math.min(1, relativeLatency) - meanSlowness);
        if (late) return;
        t.unreachable = outcome == Outcome.CONNECT_FAILED || t.unreachable && outcome == Outcome.TIMEOUT;
        t.failureRate += FAILURE_RATE_GAIN * ((ok ? 0 : 1) - t.failureRate);
        if (!ok && (t.ejected || t.failureRate > EJECT_FAILURE_RATE && t.failureRate > ejectionThreshold())) {
            eject(t, outcome);
        } else if (ok && t.ejected) {
            t.nextProbeAt = now;
            if (t.failureRate < ejectionThreshold() / 2) {
                t.ejected = false;
                t.ejectionMs = FIRST_EJECTION_MS;
                actions.log(t.name() + " readmitted");
            }
        }
    }

    /**
     * Returns the failure rate above which a server is ejected. It rises with the median rate, so that
     * servers are not ejected for what affects all of them, such as connection resets by the network; too
     * few servers would be left for the load. The median represents a server that is not in trouble itself.
     */
    private double ejectionThreshold() {
        double[] rates = readyServers.stream().mapToDouble(t -> t.failureRate).sorted().toArray();
        double median = rates.length == 0 ? 0 : rates[(rates.length - 1) / 2];
        return Math.min(EJECT_ALWAYS_RATE, EJECT_FAILURE_RATE + EJECT_MEDIAN_MULTIPLE * median);
    }

    /**
     * Adapts a server's limit to its latency. Servers slow down, stall or reject work when they hold too
     * many requests, and no response gets faster by waiting there. The fractional part of a limit is spread
     * over time (see {@link #hasFreeSlot}).
     */
    private void adjustLimit(ConcurrencyLimit l, double latency, double relativeLatency) {
        l.slowness += (++l.samples == 1 ? 1 : SLOWNESS_GAIN) * (relativeLatency - l.slowness);
        double ratio = TARGET_SLOWNESS / l.slowness;
        // One decrease for all requests that were sent before it: the responses of a backlog all show the
        // same overload.
        if (ratio < 1 && now - latency >= l.reducedAt) {
            l.fraction = Math.max(MIN_LIMIT_FRACTION, l.fraction * Math.max(LIMIT_DECREASE, ratio));
            l.reducedAt = now;
        }
        if (ratio > 1 && l.inFlight + 1 >= Math.floor(l.slots)) {
            l.fraction = Math.min(1, l.fraction + LIMIT_GROWTH);
        }
    }

    private void eject(ServerState t, Object reason) {
        if (t.ejected && now < t.nextProbeAt) return;
        t.ejected = true;
        t.nextProbeAt = now + t.ejectionMs;
        t.ejectionMs = Math.min(MAX_EJECTION_MS, t.ejectionMs * 2);
        actions.closeIdle(t.server.id());
        actions.log(t.name() + " ejected: " + reason);
    }

    // ---- requests that wait, are retried, or get their final response here

    private void enqueue(OpenRequest r) {
        if (now >= queueDeadline(r)) {
            rejectOrFail(r);
            return;
        }
        r.queued = true;
        int i = queue.size();
        while (i > 0 && queue.get(i - 1).worthDensity <= r.worthDensity) i--;
        queue.add(i, r);
    }

    /**
     * Returns until when the request may wait; after that a response would come too late to be worth the
     * server's time.
     */
    private double queueDeadline(OpenRequest r) {
        double untilTarget = r.type.targetMs() - 2 * networks[r.request.classIndex()].meanLatency();
        double longest = r.attempts.isEmpty() ? QUEUE_UNSENT_SHARE * (r.request.deadlineMs() - r.arrivedAt)
                : r.request.deadlineMs() - r.arrivedAt;
        return r.arrivedAt + Math.min(Math.max(untilTarget, QUEUE_TARGET_SHARE * r.type.targetMs()),
                longest - 2 * TICK_MS);
    }

    private void sendQueued() {
        boolean slotsLeft = true;
        for (OpenRequest r : queue) {
            if (r.queued && slotsLeft) slotsLeft = trySend(r) || !r.attempts.isEmpty();
        }
        queue.removeIf(r -> !r.queued);
    }

    private void checkProgress(OpenRequest r) {
        if (now > r.request.deadlineMs() - TICK_MS) {
            rejectOrFail(r);
            return;
        }
        if (r.queued) {
            if (now >= queueDeadline(r)) {
                shedBelow = now < shedUntil ? Math.max(shedBelow, r.priority) : r.priority;
                shedUntil = now + SHED_MS;
                rejectOrFail(r);
            }
            return;
        }
        for (Attempt a : r.attempts) {
            // Nothing was received from the server for twice the target latency: it has gone silent.
            boolean silent = a.pending && !a.server.ejected && a.server.lastResponseAt < a.sentAt;
            if (silent && now - a.sentAt > 2 * r.type.targetMs()) eject(a.server, "silent");
        }
        Attempt last = r.attempts.get(r.attempts.size() - 1);
        if (last.pending && !last.cancelled && isStuck(r, last)) {
            last.cancelled = true;
            actions.cancel(r.request.id(), r.attempts.size() - 1);
            return;
        }
        // A hedged request is only sent where the server has been silent since the attempt; a copy of an
        // attempt that is merely slow would add load to load.
        if (settings.limits().hedging() && now - last.sentAt > r.type.targetMs() && retryBudget >= 1
                && last.server.lastResponseAt < last.sentAt && r.type.effect() != Effect.ONCE
                && queue.isEmpty() && r.attempts.size() < settings.limits().maxAttempts()
                && actions.mayRetry() && trySend(r)) {
            retryBudget--;
        }
    }

    /**
     * Returns whether an attempt should be cancelled because its connection has probably gone silent: where
     * other responses take a few milliseconds, one that takes a large part of the target latency will not
     * come. The request must be allowed to run again. An attempt is cancelled even if no server has a free
     * slot, since such attempts are what takes the slots.
     */
    private boolean isStuck(OpenRequest r, Attempt a) {
        double mean = networks[r.request.classIndex()].meanLatency();
        return now - a.sentAt > Math.max(STUCK_TARGET_SHARE * r.type.targetMs(), STUCK_MEAN_MULTIPLE * mean)
                && mean > 0 && r.type.effect() == Effect.REPEATABLE && settings.limits().cancel()
                && retryBudget >= 1 && r.attempts.size() < settings.limits().maxAttempts();
    }

    private void retry(OpenRequest r, Attempt failed) {
        boolean attemptsLeft = r.attempts.size() < settings.limits().maxAttempts();
        boolean allowed = failed.neverRan || r.type.effect() != Effect.ONCE && retryBudget >= 1;
        if (!attemptsLeft || !allowed || !actions.mayRetry()) {
            rejectOrFail(r);
            return;
        }
        retryBudget -= failed.neverRan ? 0 : 1;
        if (!trySend(r)) enqueue(r);
    }

    /** Gives the final response: a rejection where a retry is harmless, otherwise a failure. */
    private void rejectOrFail(OpenRequest r) {
        boolean harmless = r.type.mayBeRejected(r.firstMayHaveRun() != null);
        // Clients that follow the advice come back when a slot may have become free and still in time for
        // their target latency.
        double retryAfter = Math.min(settings.limits().maxRetryAfterMs(),
                RETRY_AFTER_SHARE * r.type.targetMs());
        if (harmless) actions.reject(r.request.id(), retryAfter);
        else actions.fail(r.request.id());
        end(r);
    }

    private void end(OpenRequest r) {
        r.ended = true;
        r.queued = false;
        cancelPending(r, -1);
        removeIfFinished(r);
    }

    private void cancelPending(OpenRequest r, int except) {
        for (int i = 0; i < r.attempts.size() && settings.limits().cancel(); i++) {
            if (i != except && r.attempts.get(i).pending) actions.cancel(r.request.id(), i);
        }
    }

    private void removeIfFinished(OpenRequest r) {
        if (r.ended && !r.pending()) openRequests.remove(r.request.id());
    }

    /** Returns whether the tenant exceeds this node's share of its quota; client retries use up none. */
    private boolean isOverQuota(int tenant, boolean clientRetry) {
        if (tenant >= tenantTokens.length) return false;
        for (int t = 0; t < tenantTokens.length; t++) {
            double rate = tenantRate(t);
            tenantTokens[t] = Math.min(rate, tenantTokens[t] + rate * (now - tokensUpdatedAt) / 1000);
        }
        tokensUpdatedAt = now;
        if (tenantTokens[tenant] < 1) return true;
        tenantTokens[tenant] -= clientRetry ? 0 : 1;
        return false;
    }

    private double tenantRate(int tenant) {
        return Math.max(2, settings.tenants().get(tenant).quotaPerS() / settings.nodes());
    }
}
