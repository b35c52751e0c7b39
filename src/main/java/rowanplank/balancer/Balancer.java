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
 * Every decision of one proxy node. The interface (settings, events, actions) is in {@code BalancerApi.java}.
 *
 * <p>Ordinary path: a random neural network per request class learns from the latency of answers how good
 * each server is (q); of two random ready servers the one with the lower (own in-flight + 1)/q is chosen. All
 * else is an exception to that; docs/design.md states when each acts.
 */
public final class Balancer implements Events {
    /** Pace of housekeeping: well inside the slack that a final answer has after its deadline. */
    private static final double TICK_MS = 10;
    private static final long TICK = 0;
    private static final long RETRY_LIST = 1;
    /** Weight of one answer in a server's failure rate; two failures in a row eject, one does not. */
    private static final double FAILURE_RATE_GAIN = 0.15;
    private static final double EJECT_FAILURE_RATE = 0.25;
    /** Where servers fail now and then anyway, one must stand out from them; what fails always does. */
    private static final double EJECT_MEDIAN_MULTIPLE = 3;
    private static final double EJECT_ALWAYS_RATE = 0.9;
    private static final double FIRST_EJECTION_MS = 1000;
    private static final double MAX_EJECTION_MS = 8000;
    /** A server's mean answer should take this part of the aim; its in-flight limit keeps it so. */
    private static final double TARGET_SLOWNESS = 0.5;
    private static final double SLOWNESS_GAIN = 0.25;
    private static final double MEAN_SLOWNESS_GAIN = 0.05;
    /** Where a limit starts and ends, over all nodes: servers that hold more get less done. */
    private static final double MAX_IN_FLIGHT = 4;
    /** And while requests of full rank are refused. */
    private static final double MAX_IN_FLIGHT_REJECTING = 3;
    /** So little lets a choked server come to rest, and still shows when it has. */
    private static final double MIN_LIMIT_FRACTION = 0.06;
    private static final double LIMIT_GROWTH = 0.05;
    private static final double LIMIT_DECREASE = 0.8;
    /** However slow the servers are, a request may wait this part of its aim for room. */
    private static final double QUEUE_TARGET_SHARE = 0.2;
    /** A client that is turned away untried wants to know while half of its time is left. */
    private static final double QUEUE_UNSENT_SHARE = 0.5;
    /** A refused client is asked to stay away for this part of its aim. */
    private static final double RETRY_AFTER_SHARE = 0.25;
    /** Worth of a client's repeat, as part of its aim has gone by, beside that of a late answer. */
    private static final double MIN_CLIENT_RETRY_WORTH = 0.1;
    /** Once a request was refused for want of room, ones of lower rank are refused at once for so long. */
    private static final double SHED_MS = 500;
    /** Second copies and resends of what may have run, as a share of first sends. */
    private static final double RETRY_BUDGET_SHARE = 0.15;
    private static final double MAX_RETRY_BUDGET = 10;
    /** A try is given up for another server after this part of the aim, and this many mean answers. */
    private static final double STUCK_TARGET_SHARE = 0.5;
    private static final double STUCK_MEAN_MULTIPLE = 10;
    /** One with nothing out is sent what it is drawn for once so much time has passed since the last. */
    private static final double MAX_IDLE_MS = 500;
    /** A server in another zone must look this much better. */
    private static final double CROSS_ZONE_FACTOR = 1.15;
    /** The server that likely remembers the key may look this much worse than the other one drawn. */
    private static final double KEY_AFFINITY_FACTOR = 0.4;

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final Map<Long, Server> listed = new LinkedHashMap<>();
    private final ZoneRouter route;
    private final Subset subset;
    private final ColdStart coldStart;
    /** Nodes that use a server. */
    private double nodesPerServer;
    private final Map<Long, ServerState> serverStates = new LinkedHashMap<>();
    private final List<ServerState> readyServers = new ArrayList<>();
    private final Map<Long, OpenRequest> openRequests = new LinkedHashMap<>();
    private final List<OpenRequest> queue = new ArrayList<>();
    /** Servers no longer listed at which tries are still out; no more than there are such tries. */
    private final Map<Long, ServerState> removedServers = new LinkedHashMap<>();
    private final RandomNeuralNetwork[] networks;
    private final double[] tenantTokens;
    private double tokensUpdatedAt;
    private ServerState[] candidates = new ServerState[0];
    /** Mean slowness of all answers: what a server of which nothing is known is held to be like. */
    private double meanSlowness = TARGET_SLOWNESS;
    private double retryBudget = MAX_RETRY_BUDGET;
    /** Guards against repeats and over-share traffic taking the room that better requests need. */
    private double shedBelow;
    private double shedUntil;
    private boolean tickScheduled;
    private double now;

    public Balancer(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        random = new SplittableRandom(seed);
        route = new ZoneRouter(settings.nodes(), settings.zone(), settings.crossZoneCost());
        // A node's part of a server is then a whole place, also while requests are refused.
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
        candidates = candidates.length < readyServers.size() ? new ServerState[readyServers.size() + 8] : candidates;
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
        // Withdrawn as stuck, and nothing heard from the server since: it is silent, not one connection.
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

    /** What was learned of an old process, its failures above all, says nothing of a restarted one. */
    private boolean isStillValid(ServerState t) {
        Server s = listed.get(t.server.id());
        return s != null && isUsed(s) && s.startedAtMs() <= t.server.startedAtMs();
    }

    private void update(Server s) {
        if (!serverStates.containsKey(s.id())) addServer(s);
        serverStates.get(s.id()).server = s;
    }

    private boolean isUsed(Server s) {
        // Parts of the fleet's places are whole ones: where there are any, they say which servers it uses.
        double told = actions.slotLimit(s.id());
        return told < 0 ? subset.uses(s.id(), s.zone()) : told > 0 || serverStates.containsKey(s.id());
    }

    private static Set<Integer> zones(Stream<Server> servers) {
        return servers.map(Server::zone).collect(Collectors.toCollection(TreeSet::new));
    }

    /** The servers that may be chosen, as they stand: for tests. */
    List<ServerState> readyServers() {
        return readyServers;
    }

    private void addServer(Server s) {
        ServerState before = removedServers.remove(s.id());
        // One that was off the list for a moment still holds what was sent to it, and is as it was.
        ServerState t = before != null && s.startedAtMs() <= before.server.startedAtMs() ? before : newServerState(s);
        t.neurons = Stream.of(networks).map(RandomNeuralNetwork::addNeuron).toArray(Neuron[]::new);
        serverStates.put(s.id(), t);
        readyServers.add(t);
    }

    private ServerState newServerState(Server s) {
        double warmth = coldStart.capacityFraction(now, s.startedAtMs());
        ServerState t = new ServerState(s, new ConcurrencyLimit(meanSlowness * settings.classes().get(0).targetMs() / warmth, now));
        t.ejectionMs = FIRST_EJECTION_MS;
        t.lastSentAt = now;
        // Nodes that hear of a start together must not all send at once.
        if (warmth < 1) t.limit.credit = random.nextDouble();
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
        // A request may come with its time already up: sent, it would end as never run and be sent again.
        if (now > r.request.deadlineMs() - TICK_MS) return false;
        ServerState t = chooseServer(r);
        if (t != null) send(r, t);
        return t != null;
    }

    private ServerState chooseServer(OpenRequest r) {
        int balance = 0;
        long zones = 0;
        long reached = 0;
        for (ServerState t : readyServers) {
            updateLimit(t.limit, slots(t));
            zones |= 1L << t.server.zone();
            reached |= t.unreachable ? 0 : 1L << t.server.zone();
            balance += t.unreachable ? 0 : t.ejected ? -1 : 1;
        }
        // A zone of which nothing is reached is cut off: its nodes take no part of the other servers.
        nodesPerServer = subset.nodesPerServer() * Math.max(1, Long.bitCount(reached)) / Long.bitCount(zones);
        // More than half of the reachable servers look bad: the cause is not theirs, and ejection is ignored.
        boolean panic = balance < 0;
        int c = r.request.classIndex();
        int n = 0;
        int best = Integer.MAX_VALUE;
        for (ServerState t : readyServers) {
            if (!hasFreeSlot(t.limit) || !maySendTo(r, t)) continue;
            if (t.ejected && !panic && mayProbe(t, r)) return t;
            int rank = route.zonePreference(t.server.zone());
            if (t.ejected && (!panic || t.unreachable) || rank > best) continue;
            n = rank < best ? 0 : n;
            best = rank;
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
     * Any of the servers from this place on; for a key, its home by rendezvous hash: nearly the same at every
     * node, which a memory of one's own would not give, and a better server is home to more keys.
     */
    private ServerState drawCandidate(long key, int c, int from, int n) {
        int chosen = from + random.nextInt(n - from);
        double nearest = Double.MAX_VALUE;
        for (int i = from; i < n && key != 0; i++) {
            double lot = new SplittableRandom(key ^ candidates[i].server.id()).nextDouble();
            double distance = -Math.log(1 - lot) / candidates[i].neurons[c].quality();
            if (distance < nearest) chosen = i;
            nearest = Math.min(nearest, distance);
        }
        ServerState t = candidates[chosen];
        candidates[chosen] = candidates[from];
        candidates[from] = t;
        return t;
    }

    /**
     * Guards servers that were slow once: what is seldom drawn is seldom rewarded. The paper
     * explores with a tenth of all requests; this is far less, and none where all servers are in use.
     */
    private boolean isIdle(ServerState t) {
        return t.limit.inFlight == 0 && now - t.lastSentAt > MAX_IDLE_MS;
    }

    private double score(ServerState t, int c) {
        double zone = t.server.zone() == settings.zone() ? 1 : CROSS_ZONE_FACTOR;
        return (t.limit.inFlight + 1) / (t.neurons[c].quality() * t.server.weight()) * zone;
    }

    /**
     * Guards against crowding, and against pushing a cold server over: where so little is out over all nodes,
     * no more can be sent than what the server answers and these few.
     */
    private boolean hasFreeSlot(ConcurrencyLimit l) {
        if (now < l.pausedUntil) return false;
        return l.inFlight < Math.floor(l.slots) || l.inFlight < l.slots && l.credit >= 1;
    }

    private void pauseColdServer(Attempt a, OpenRequest r) {
        if (coldStart.isWarm(now, a.server.server.startedAtMs())) return;
        // What it fails, turns away or does in vain counts as work that it gets: the place stays taken for
        // as long as an answer takes, as it would if one came.
        double answer = Math.max(a.server.limit.lastLatencyMs, networks[r.request.classIndex()].meanLatency());
        a.server.limit.pausedUntil = Math.max(a.server.limit.pausedUntil, a.sentAt + answer);
    }

    private void updateLimit(ConcurrencyLimit l, double places) {
        // Summed up and not reckoned from the last send: as a server warms, many nodes' waits end at once.
        double whole = Math.floor(places);
        double wait = l.lastLatencyMs * (1 / (places - whole) - 1);
        if (l.inFlight <= whole) l.credit = Math.min(1, l.credit + (now - l.updatedAt) / wait);
        l.slots = places;
        l.updatedAt = now;
    }

    private double slots(ServerState t) {
        double warmth = coldStart.capacityFraction(now, t.server.startedAtMs());
        // While requests are refused there is always one to fill a place: more held at the server only waits.
        boolean refusing = now < shedUntil && shedBelow >= 1;
        double most = refusing && warmth == 1 ? MAX_IN_FLIGHT_REJECTING : MAX_IN_FLIGHT;
        // And a request that some zone can still take must not be refused for being another zone's.
        double parts = refusing ? 1 : route.serverShare(t.server.zone());
        // Of the fleet's bound, this node's part is told: for all zones, and a due share of a cold one.
        double told = actions.slotLimit(t.server.id());
        return (told < 0 ? most * parts / nodesPerServer : told) * t.limit.fraction * coldStart.limitFraction(warmth);
    }

    /** A half-open trial must be harmless to lose, where any class is. */
    private boolean mayProbe(ServerState t, OpenRequest r) {
        return now >= t.nextProbeAt && !t.probePending && (r.type.effect() != Effect.ONCE
                || settings.classes().stream().allMatch(c -> c.effect() == Effect.ONCE));
    }

    /** Whether the request may be sent to this server now, by its effect and by what is already out. */
    private boolean maySendTo(OpenRequest r, ServerState t) {
        if (r.attempts.isEmpty()) return true;
        if (r.attempts.stream().anyMatch(a -> a.server == t)) return false;
        Attempt first = r.firstMayHaveRun();
        if (first == null || r.type.effect() == Effect.REPEATABLE) return true;
        return r.type.effect() == Effect.BY_KEY && now - first.sentAt < r.type.retryWindowMs()
                && sameGroup(r.type.dedupGroup(), first.server.server, t.server);
    }

    private static boolean sameGroup(DedupGroup group, Server a, Server b) {
        return group == DedupGroup.ALL || (group == DedupGroup.ZONE ? a.zone() == b.zone() : a.cell() == b.cell());
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

    // ---- judging servers

    private void recordOutcome(ServerState t, OpenRequest r, Outcome outcome, double latency) {
        // Cancelled late, most of them as their client's time was up: the server was at least so slow.
        boolean late = outcome == Outcome.CANCELLED && latency > r.type.targetMs();
        if (outcome == Outcome.CANCELLED && !late || outcome == Outcome.MOOT) return;
        boolean ok = outcome == Outcome.OK;
        int c = r.request.classIndex();
        if (!late && outcome != Outcome.TIMEOUT && outcome != Outcome.CONNECT_FAILED) t.lastResponseAt = now;
        if (t.neurons != null) {
            double counted = ok || late ? latency : Math.max(latency, r.type.deadlineMs());
            networks[c].learn(t.neurons[c], counted, ok);
        }
        if (outcome == Outcome.FULL) {
            t.limit.fraction = Math.max(MIN_LIMIT_FRACTION, t.limit.fraction * LIMIT_DECREASE);
            return;
        }
        // What a cold server fails at once says not how long a place is taken: it must not hasten sends.
        boolean any = ok || coldStart.isWarm(now, t.server.startedAtMs());
        t.limit.lastLatencyMs = Math.max(any ? 1 : t.limit.lastLatencyMs, latency);
        double slow = latency / r.type.targetMs();
        adjustLimit(t.limit, latency, Math.min(2, slow));
        route.recordLatency(t.server.zone(), Math.min(2, slow));
        meanSlowness += MEAN_SLOWNESS_GAIN * (Math.min(1, slow) - meanSlowness);
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
     * Guards against ejecting servers for what all of them suffer, as when the network resets connections:
     * too few would be left for the load. The median is like a server that is not in trouble itself.
     */
    private double ejectionThreshold() {
        double[] rates = readyServers.stream().mapToDouble(t -> t.failureRate).sorted().toArray();
        double usual = rates.length == 0 ? 0 : rates[(rates.length - 1) / 2];
        return Math.min(EJECT_ALWAYS_RATE, EJECT_FAILURE_RATE + EJECT_MEDIAN_MULTIPLE * usual);
    }

    /**
     * Guards against crowding: servers slow down, choke or turn work away when they hold too much, and no
     * answer gets better by waiting there. The broken part of a limit is spaced out (see hasRoom).
     */
    private void adjustLimit(ConcurrencyLimit l, double latency, double slow) {
        l.slowness += (++l.samples == 1 ? 1 : SLOWNESS_GAIN) * (slow - l.slowness);
        double ratio = TARGET_SLOWNESS / l.slowness;
        // One cut for all that was sent before it: a backlog's answers all tell of the same crowding.
        if (ratio < 1 && now - latency >= l.reducedAt) {
            l.fraction = Math.max(MIN_LIMIT_FRACTION, l.fraction * Math.max(LIMIT_DECREASE, ratio));
            l.reducedAt = now;
        }
        if (ratio > 1 && l.inFlight + 1 >= Math.floor(l.slots)) l.fraction = Math.min(1, l.fraction + LIMIT_GROWTH);
    }

    private void eject(ServerState t, Object reason) {
        if (t.ejected && now < t.nextProbeAt) return;
        t.ejected = true;
        t.nextProbeAt = now + t.ejectionMs;
        t.ejectionMs = Math.min(MAX_EJECTION_MS, t.ejectionMs * 2);
        actions.closeIdle(t.server.id());
        actions.log(t.name() + " ejected: " + reason);
    }

    // ---- requests that wait, are sent again, or are answered here

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

    /** After this an answer would come too late to be worth the server's time. */
    private double queueDeadline(OpenRequest r) {
        double aimed = r.type.targetMs() - 2 * networks[r.request.classIndex()].meanLatency();
        double most = r.attempts.isEmpty() ? QUEUE_UNSENT_SHARE * (r.request.deadlineMs() - r.arrivedAt)
                : r.request.deadlineMs() - r.arrivedAt;
        return r.arrivedAt + Math.min(Math.max(aimed, QUEUE_TARGET_SHARE * r.type.targetMs()), most - 2 * TICK_MS);
    }

    private void sendQueued() {
        boolean room = true;
        for (OpenRequest r : queue) {
            if (r.queued && room) room = trySend(r) || !r.attempts.isEmpty();
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
            // Nothing heard from a server for twice as long as clients care to wait: it has gone silent.
            boolean unheard = a.pending && !a.server.ejected && a.server.lastResponseAt < a.sentAt;
            if (unheard && now - a.sentAt > 2 * r.type.targetMs()) eject(a.server, "silent");
        }
        Attempt last = r.attempts.get(r.attempts.size() - 1);
        if (last.pending && !last.cancelled && isStuck(r, last)) {
            last.cancelled = true;
            actions.cancel(r.request.id(), r.attempts.size() - 1);
            return;
        }
        // Only where the server has said nothing since: a copy of what is merely slow adds load to load.
        if (settings.limits().hedging() && now - last.sentAt > r.type.targetMs() && retryBudget >= 1
                && last.server.lastResponseAt < last.sentAt && r.type.effect() != Effect.ONCE && queue.isEmpty()
                && r.attempts.size() < settings.limits().maxAttempts() && actions.mayRetry()
                && trySend(r)) {
            retryBudget--;
        }
    }

    /**
     * Guards places and requests against connections that fall silent: where all other answers take a few
     * milliseconds, one that takes a large part of the aim does not come. It must be allowed to run again.
     * That no server has room is no reason to keep it: such tries are what takes the room.
     */
    private boolean isStuck(OpenRequest r, Attempt a) {
        double mean = networks[r.request.classIndex()].meanLatency();
        return now - a.sentAt > Math.max(STUCK_TARGET_SHARE * r.type.targetMs(), STUCK_MEAN_MULTIPLE * mean) && mean > 0
                && r.type.effect() == Effect.REPEATABLE && settings.limits().cancel() && retryBudget >= 1
                && r.attempts.size() < settings.limits().maxAttempts();
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

    /** The final answer: a refusal where trying again is harmless, else a failure. */
    private void rejectOrFail(OpenRequest r) {
        boolean harmless = r.type.mayBeRejected(r.firstMayHaveRun() != null);
        // Where clients heed it, they come back when room may have come up, and still in time for their aim.
        double retryAfter = Math.min(settings.limits().maxRetryAfterMs(), RETRY_AFTER_SHARE * r.type.targetMs());
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

    /** Whether the tenant is beyond this node's even part of its quota; repeats take no part of it. */
    private boolean isOverQuota(int tenant, boolean repeat) {
        if (tenant >= tenantTokens.length) return false;
        for (int t = 0; t < tenantTokens.length; t++) {
            double rate = tenantRate(t);
            tenantTokens[t] = Math.min(rate, tenantTokens[t] + rate * (now - tokensUpdatedAt) / 1000);
        }
        tokensUpdatedAt = now;
        if (tenantTokens[tenant] < 1) return true;
        tenantTokens[tenant] -= repeat ? 0 : 1;
        return false;
    }

    private double tenantRate(int tenant) {
        return Math.max(2, settings.tenants().get(tenant).quotaPerS() / settings.nodes());
    }
}
