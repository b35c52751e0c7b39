package rowanplank.balancer;

import java.util.*;
import java.util.stream.*;
import rowanplank.balancer.BalancerApi.*;
import rowanplank.balancer.NodeState.*;
import rowanplank.neural.*;
import rowanplank.route.Route;
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
    private static final long ASK_AGAIN = 1;
    /** Weight of one answer in a server's failure rate; two failures in a row eject, one does not. */
    private static final double FAILURE_GAIN = 0.15;
    private static final double EJECT_ABOVE = 0.25;
    /** Where servers fail now and then anyway, one must stand out from them; what fails always does. */
    private static final double EJECT_TIMES_USUAL = 3;
    private static final double EJECT_SURELY = 0.9;
    private static final double FIRST_EJECTION_MS = 1000;
    private static final double LONGEST_EJECTION_MS = 8000;
    /** A server's mean answer should take this part of the aim; its in-flight limit keeps it so. */
    private static final double SLOWNESS_AIM = 0.5;
    private static final double SLOWNESS_GAIN = 0.25;
    private static final double USUAL_GAIN = 0.05;
    /** Where a limit starts and ends, over all nodes: servers that hold more get less done. */
    private static final double MOST_IN_FLIGHT = 4;
    /** And while requests of full rank are refused. */
    private static final double SATURATED = 3;
    /** So little lets a choked server come to rest, and still shows when it has. */
    private static final double LEAST_PART = 0.06;
    private static final double GROWTH = 0.05;
    private static final double LIMIT_CUT = 0.8;
    /** However slow the servers are, a request may wait this part of its aim for room. */
    private static final double HOLD_SHARE = 0.2;
    /** A client that is turned away untried wants to know while half of its time is left. */
    private static final double HOLD_UNTRIED = 0.5;
    /** A refused client is asked to stay away for this part of its aim. */
    private static final double RETRY_AFTER_SHARE = 0.25;
    /** Worth of a client's repeat, as part of its aim has gone by, beside that of a late answer. */
    private static final double LEAST_REPEAT_WORTH = 0.1;
    /** Once a request was refused for want of room, ones of lower rank are refused at once for so long. */
    private static final double BAR_MS = 500;
    /** Second copies and resends of what may have run, as a share of first sends. */
    private static final double RETRY_SHARE = 0.15;
    private static final double RETRY_BURST = 10;
    /** A try is given up for another server after this part of the aim, and this many mean answers. */
    private static final double STUCK_SHARE = 0.5;
    private static final double STUCK_MEANS = 10;
    /** One with nothing out is sent what it is drawn for once so much time has passed since the last. */
    private static final double LONGEST_UNTRIED_MS = 500;
    /** A server in another zone must look this much better. */
    private static final double CROSS_ZONE = 1.15;
    /** The server that likely remembers the key may look this much worse than the other one drawn. */
    private static final double WARM_KEY = 0.4;

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final Map<Long, Server> listed = new LinkedHashMap<>();
    private final Route route;
    private final Subset subset;
    private final ColdStart cold;
    /** Nodes that use a server. */
    private double sharers;
    private final Map<Long, Target> targets = new LinkedHashMap<>();
    private final List<Target> ready = new ArrayList<>();
    private final Map<Long, Open> open = new LinkedHashMap<>();
    private final List<Open> held = new ArrayList<>();
    /** Servers no longer listed at which tries are still out; no more than there are such tries. */
    private final Map<Long, Target> left = new LinkedHashMap<>();
    private final RandomNeuralNetwork[] networks;
    private final double[] tenantTokens;
    private double tenantTokensAt;
    private Target[] drawn = new Target[0];
    /** Mean slowness of all answers: what a server of which nothing is known is held to be like. */
    private double usualSlowness = SLOWNESS_AIM;
    private double retryBudget = RETRY_BURST;
    /** Guards against repeats and over-share traffic taking the room that better requests need. */
    private double bar;
    private double barUntil;
    private boolean ticking;
    private double now;

    public Balancer(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        random = new SplittableRandom(seed);
        route = new Route(settings.nodes(), settings.zone(), settings.crossingPrice());
        // A node's part of a server is then a whole place, also while requests are refused.
        subset = new Subset(settings.nodes(), settings.node(), settings.zone(), settings.crossingPrice() > 0,
                SATURATED);
        Rules rules = settings.rules();
        cold = new ColdStart(rules.coldFrom(), rules.coldMs(), rules.fallMultiple());
        networks = settings.classes().stream()
                .map(c -> new RandomNeuralNetwork())
                .toArray(RandomNeuralNetwork[]::new);
        tenantTokens = IntStream.range(0, settings.tenants().size()).mapToDouble(this::tenantRate).toArray();
        if (settings.askForList()) actions.watchServers();
    }

    // ---- events

    public void onServers(double nowMs, ListKind kind, List<Server> servers) {
        now = nowMs;
        if (kind == ListKind.FAILED) {
            if (settings.askForList()) actions.timer(settings.rules().askWithinMs() / 4, ASK_AGAIN);
            return;
        }
        if (kind != ListKind.DELTA) listed.clear();
        servers.forEach(s -> listed.put(s.id(), s));
        listed.values().removeIf(s -> s.lifecycle() != Lifecycle.READY);
        subset.servers(listed.size(), zones(listed.values().stream()));
        List.copyOf(ready).stream().filter(t -> !stays(t)).forEach(this::leave);
        listed.values().stream().filter(this::isMine).forEach(this::update);
        for (RandomNeuralNetwork n : networks) n.settle();
        sharers = subset.nodesAServer();
        route.servers(zones(ready.stream().map(t -> t.listed)));
        drawn = drawn.length < ready.size() ? new Target[ready.size() + 8] : drawn;
        sendHeld();
    }

    public void onRequest(double nowMs, Request request) {
        now = nowMs;
        RequestClass type = settings.classes().get(request.classIndex());
        Open r = new Open(request, type, now);
        open.put(request.id(), r);
        retryBudget = Math.min(RETRY_BURST, retryBudget + RETRY_SHARE);
        r.rank = (overShare(request.tenant(), request.repeat()) ? settings.overShareWorth() : 1)
                * (request.repeat() ? Math.max(LEAST_REPEAT_WORTH, type.lateWorth()) : 1);
        double mean = networks[request.classIndex()].meanLatency();
        r.worthDensity = r.rank * type.worth() / (settings.worthByWork() || mean == 0 ? 1 : mean);
        if (r.rank < bar && now < barUntil) answer(r);
        else if (!trySend(r)) hold(r);
        keepTicking();
    }

    public void onStreamStarted(double nowMs, long request, int attempt) {
        now = nowMs;
        Open r = open.get(request);
        if (r != null && !r.done && attempt < r.attempts.size()) {
            r.streaming = true;
            cancelPending(r, attempt);
        }
    }

    public void onOutcome(double nowMs, long request, int attempt, Outcome outcome, double latencyMs,
            boolean concluded) {
        now = nowMs;
        Open r = open.get(request);
        if (r == null || attempt >= r.attempts.size() || !r.attempts.get(attempt).pending) return;
        Attempt a = r.attempts.get(attempt);
        a.pending = false;
        r.streaming = false;
        a.neverRan = outcome.neverRan();
        if (--a.target.limit.inFlight == 0) left.remove(a.target.listed.id(), a.target);
        if (a.trial) a.target.trialOut = false;
        // Withdrawn as stuck, and nothing heard from the server since: it is silent, not one connection.
        boolean silent = outcome == Outcome.CANCELLED && a.withdrawn && a.target.lastHeardAt < a.sentAt;
        if (outcome != Outcome.OK && outcome != Outcome.MOOT) rest(a, r);
        judge(a.target, r, silent ? Outcome.TIMEOUT : outcome, latencyMs);
        if (concluded && !r.done) end(r);
        if (!r.done && outcome != Outcome.OK && !r.pending()) sendAgain(r, a);
        forget(r);
        sendHeld();
    }

    public void onDeparture(double nowMs, long request) {
        now = nowMs;
        Open r = open.get(request);
        if (r != null && !r.done) end(r);
    }

    public void onTimer(double nowMs, long token) {
        now = nowMs;
        if (token == ASK_AGAIN) actions.watchServers();
        if (token != TICK) return;
        ticking = false;
        for (Open r : List.copyOf(open.values())) {
            if (!r.done && !r.streaming) review(r);
        }
        sendHeld();
        if (!open.isEmpty()) keepTicking();
    }

    private void keepTicking() {
        if (ticking) return;
        ticking = true;
        actions.timer(TICK_MS, TICK);
    }

    // ---- the server list

    /** What was learned of an old process, its failures above all, says nothing of a restarted one. */
    private boolean stays(Target t) {
        Server s = listed.get(t.listed.id());
        return s != null && isMine(s) && s.startedAtMs() <= t.listed.startedAtMs();
    }

    private void update(Server s) {
        if (!targets.containsKey(s.id())) enter(s);
        targets.get(s.id()).listed = s;
    }

    private boolean isMine(Server s) {
        // Parts of the fleet's places are whole ones: where there are any, they say which servers it uses.
        double told = actions.places(s.id());
        return told < 0 ? subset.uses(s.id(), s.zone()) : told > 0 || targets.containsKey(s.id());
    }

    private static Set<Integer> zones(Stream<Server> servers) {
        return servers.map(Server::zone).collect(Collectors.toCollection(TreeSet::new));
    }

    /** The servers that may be chosen, as they stand: for tests. */
    List<Target> ready() {
        return ready;
    }

    private void enter(Server s) {
        Target before = left.remove(s.id());
        // One that was off the list for a moment still holds what was sent to it, and is as it was.
        Target t = before != null && s.startedAtMs() <= before.listed.startedAtMs() ? before : newcomer(s);
        t.neurons = Stream.of(networks).map(RandomNeuralNetwork::enter).toArray(Neuron[]::new);
        targets.put(s.id(), t);
        ready.add(t);
    }

    private Target newcomer(Server s) {
        double warmth = cold.warmth(now, s.startedAtMs());
        Target t = new Target(s, new Limit(usualSlowness * settings.classes().get(0).aimMs() / warmth, now));
        t.ejectionMs = FIRST_EJECTION_MS;
        t.sentAt = now;
        // Nodes that hear of a start together must not all send at once.
        if (warmth < 1) t.limit.credit = random.nextDouble();
        return t;
    }

    private void leave(Target t) {
        targets.remove(t.listed.id());
        ready.remove(t);
        for (int c = 0; c < networks.length; c++) networks[c].leave(t.neurons[c]);
        t.neurons = null;
        if (t.limit.inFlight > 0) left.put(t.listed.id(), t);
    }

    // ---- choosing a server

    private boolean trySend(Open r) {
        // A request may come with its time already up: sent, it would end as never run and be sent again.
        if (now > r.request.deadlineMs() - TICK_MS) return false;
        Target t = pick(r);
        if (t != null) send(r, t);
        return t != null;
    }

    private Target pick(Open r) {
        int balance = 0;
        long zones = 0;
        long reached = 0;
        for (Target t : ready) {
            refresh(t.limit, places(t));
            zones |= 1L << t.listed.zone();
            reached |= t.unreachable ? 0 : 1L << t.listed.zone();
            balance += t.unreachable ? 0 : t.ejected ? -1 : 1;
        }
        // A zone of which nothing is reached is cut off: its nodes take no part of the other servers.
        sharers = subset.nodesAServer() * Math.max(1, Long.bitCount(reached)) / Long.bitCount(zones);
        // More than half of the reachable servers look bad: the cause is not theirs, and ejection is ignored.
        boolean panic = balance < 0;
        int c = r.request.classIndex();
        int n = 0;
        int best = Integer.MAX_VALUE;
        for (Target t : ready) {
            if (!hasRoom(t.limit) || !mayGo(r, t)) continue;
            if (t.ejected && !panic && trialDue(t, r)) return t;
            int rank = route.rank(t.listed.zone());
            if (t.ejected && (!panic || t.unreachable) || rank > best) continue;
            n = rank < best ? 0 : n;
            best = rank;
            drawn[n++] = t;
        }
        if (n < 2) return n == 0 ? null : drawn[0];
        long key = settings.warmKeys() ? r.request.key() : 0;
        Target a = draw(key, c, 0, n);
        Target b = draw(key, c, 1, n);
        if (isUntried(a) || isUntried(b)) return isUntried(a) ? a : b;
        return score(a, c) * (key != 0 ? WARM_KEY : 1) <= score(b, c) ? a : b;
    }

    /**
     * Any of the servers from this place on; for a key, its home by rendezvous hash: nearly the same at every
     * node, which a memory of one's own would not give, and a better server is home to more keys.
     */
    private Target draw(long key, int c, int from, int n) {
        int chosen = from + random.nextInt(n - from);
        double nearest = Double.MAX_VALUE;
        for (int i = from; i < n && key != 0; i++) {
            double lot = new SplittableRandom(key ^ drawn[i].listed.id()).nextDouble();
            double distance = -Math.log(1 - lot) / drawn[i].neurons[c].quality();
            if (distance < nearest) chosen = i;
            nearest = Math.min(nearest, distance);
        }
        Target t = drawn[chosen];
        drawn[chosen] = drawn[from];
        drawn[from] = t;
        return t;
    }

    /**
     * Guards servers that were slow once: what is seldom drawn is seldom rewarded. The paper
     * explores with a tenth of all requests; this is far less, and none where all servers are in use.
     */
    private boolean isUntried(Target t) {
        return t.limit.inFlight == 0 && now - t.sentAt > LONGEST_UNTRIED_MS;
    }

    private double score(Target t, int c) {
        double zone = t.listed.zone() == settings.zone() ? 1 : CROSS_ZONE;
        return (t.limit.inFlight + 1) / (t.neurons[c].quality() * t.listed.share()) * zone;
    }

    /**
     * Guards against crowding, and against pushing a cold server over: where so little is out over all nodes,
     * no more can be sent than what the server answers and these few.
     */
    private boolean hasRoom(Limit l) {
        if (now < l.restsUntil) return false;
        return l.inFlight < Math.floor(l.places) || l.inFlight < l.places && l.credit >= 1;
    }

    private void rest(Attempt a, Open r) {
        if (cold.isWarm(now, a.target.listed.startedAtMs())) return;
        // What it fails, turns away or does in vain counts as work that it gets: the place stays taken for
        // as long as an answer takes, as it would if one came.
        double answer = Math.max(a.target.limit.lastMs, networks[r.request.classIndex()].meanLatency());
        a.target.limit.restsUntil = Math.max(a.target.limit.restsUntil, a.sentAt + answer);
    }

    private void refresh(Limit l, double places) {
        // Summed up and not reckoned from the last send: as a server warms, many nodes' waits end at once.
        double whole = Math.floor(places);
        double wait = l.lastMs * (1 / (places - whole) - 1);
        if (l.inFlight <= whole) l.credit = Math.min(1, l.credit + (now - l.at) / wait);
        l.places = places;
        l.at = now;
    }

    private double places(Target t) {
        double warmth = cold.warmth(now, t.listed.startedAtMs());
        // While requests are refused there is always one to fill a place: more held at the server only waits.
        boolean refusing = now < barUntil && bar >= 1;
        double most = refusing && warmth == 1 ? SATURATED : MOST_IN_FLIGHT;
        // And a request that some zone can still take must not be refused for being another zone's.
        double parts = refusing ? 1 : route.parts(t.listed.zone());
        // Of the fleet's bound, this node's part is told: for all zones, and a due share of a cold one.
        double told = actions.places(t.listed.id());
        return (told < 0 ? most * parts / sharers : told) * t.limit.part * cold.part(warmth);
    }

    /** A half-open trial must be harmless to lose, where any class is. */
    private boolean trialDue(Target t, Open r) {
        return now >= t.trialAt && !t.trialOut && (r.type.effect() != Effect.ONCE
                || settings.classes().stream().allMatch(c -> c.effect() == Effect.ONCE));
    }

    /** Whether the request may be sent to this server now, by its effect and by what is already out. */
    private boolean mayGo(Open r, Target t) {
        if (r.attempts.isEmpty()) return true;
        if (r.attempts.stream().anyMatch(a -> a.target == t)) return false;
        Attempt first = r.firstMayHaveRun();
        if (first == null || r.type.effect() == Effect.REPEATABLE) return true;
        return r.type.effect() == Effect.BY_KEY && now - first.sentAt < r.type.repeatWithinMs()
                && sameGroup(r.type.group(), first.target.listed, t.listed);
    }

    private static boolean sameGroup(Group group, Server a, Server b) {
        return group == Group.ALL || (group == Group.ZONE ? a.zone() == b.zone() : a.cell() == b.cell());
    }

    private void send(Open r, Target t) {
        r.attempts.add(new Attempt(t, now, t.ejected));
        r.held = false;
        t.trialOut |= t.ejected;
        t.limit.inFlight++;
        t.sentAt = now;
        t.limit.credit = 0;
        actions.send(r.request.id(), t.listed.id(), r.request.deadlineMs() - now);
    }

    // ---- judging servers

    private void judge(Target t, Open r, Outcome outcome, double latency) {
        // Cancelled late, most of them as their client's time was up: the server was at least so slow.
        boolean late = outcome == Outcome.CANCELLED && latency > r.type.aimMs();
        if (outcome == Outcome.CANCELLED && !late || outcome == Outcome.MOOT) return;
        boolean ok = outcome == Outcome.OK;
        int c = r.request.classIndex();
        if (!late && outcome != Outcome.TIMEOUT && outcome != Outcome.CONNECT_FAILED) t.lastHeardAt = now;
        if (t.neurons != null) {
            double counted = ok || late ? latency : Math.max(latency, r.type.deadlineMs());
            networks[c].learn(t.neurons[c], counted, ok);
        }
        if (outcome == Outcome.FULL) {
            t.limit.part = Math.max(LEAST_PART, t.limit.part * LIMIT_CUT);
            return;
        }
        // What a cold server fails at once says not how long a place is taken: it must not hasten sends.
        boolean any = ok || cold.isWarm(now, t.listed.startedAtMs());
        t.limit.lastMs = Math.max(any ? 1 : t.limit.lastMs, latency);
        double slow = latency / r.type.aimMs();
        adjust(t.limit, latency, Math.min(2, slow));
        route.answered(t.listed.zone(), Math.min(2, slow));
        usualSlowness += USUAL_GAIN * (Math.min(1, slow) - usualSlowness);
        if (late) return;
        t.unreachable = outcome == Outcome.CONNECT_FAILED || t.unreachable && outcome == Outcome.TIMEOUT;
        t.failureRate += FAILURE_GAIN * ((ok ? 0 : 1) - t.failureRate);
        if (!ok && (t.ejected || t.failureRate > EJECT_ABOVE && t.failureRate > ejectAbove())) {
            eject(t, outcome);
        } else if (ok && t.ejected) {
            t.trialAt = now;
            if (t.failureRate < ejectAbove() / 2) {
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
    private double ejectAbove() {
        double[] rates = ready.stream().mapToDouble(t -> t.failureRate).sorted().toArray();
        double usual = rates.length == 0 ? 0 : rates[(rates.length - 1) / 2];
        return Math.min(EJECT_SURELY, EJECT_ABOVE + EJECT_TIMES_USUAL * usual);
    }

    /**
     * Guards against crowding: servers slow down, choke or turn work away when they hold too much, and no
     * answer gets better by waiting there. The broken part of a limit is spaced out (see hasRoom).
     */
    private void adjust(Limit l, double latency, double slow) {
        l.slowness += (++l.answers == 1 ? 1 : SLOWNESS_GAIN) * (slow - l.slowness);
        double ratio = SLOWNESS_AIM / l.slowness;
        // One cut for all that was sent before it: a backlog's answers all tell of the same crowding.
        if (ratio < 1 && now - latency >= l.cutAt) {
            l.part = Math.max(LEAST_PART, l.part * Math.max(LIMIT_CUT, ratio));
            l.cutAt = now;
        }
        if (ratio > 1 && l.inFlight + 1 >= Math.floor(l.places)) l.part = Math.min(1, l.part + GROWTH);
    }

    private void eject(Target t, Object reason) {
        if (t.ejected && now < t.trialAt) return;
        t.ejected = true;
        t.trialAt = now + t.ejectionMs;
        t.ejectionMs = Math.min(LONGEST_EJECTION_MS, t.ejectionMs * 2);
        actions.closeIdle(t.listed.id());
        actions.log(t.name() + " ejected: " + reason);
    }

    // ---- requests that wait, are sent again, or are answered here

    private void hold(Open r) {
        if (now >= holdUntil(r)) {
            answer(r);
            return;
        }
        r.held = true;
        int i = held.size();
        while (i > 0 && held.get(i - 1).worthDensity <= r.worthDensity) i--;
        held.add(i, r);
    }

    /** After this an answer would come too late to be worth the server's time. */
    private double holdUntil(Open r) {
        double aimed = r.type.aimMs() - 2 * networks[r.request.classIndex()].meanLatency();
        double most = r.attempts.isEmpty() ? HOLD_UNTRIED * (r.request.deadlineMs() - r.arrivedAt)
                : r.request.deadlineMs() - r.arrivedAt;
        return r.arrivedAt + Math.min(Math.max(aimed, HOLD_SHARE * r.type.aimMs()), most - 2 * TICK_MS);
    }

    private void sendHeld() {
        boolean room = true;
        for (Open r : held) {
            if (r.held && room) room = trySend(r) || !r.attempts.isEmpty();
        }
        held.removeIf(r -> !r.held);
    }

    private void review(Open r) {
        if (now > r.request.deadlineMs() - TICK_MS) {
            answer(r);
            return;
        }
        if (r.held) {
            if (now >= holdUntil(r)) {
                bar = now < barUntil ? Math.max(bar, r.rank) : r.rank;
                barUntil = now + BAR_MS;
                answer(r);
            }
            return;
        }
        for (Attempt a : r.attempts) {
            // Nothing heard from a server for twice as long as clients care to wait: it has gone silent.
            boolean unheard = a.pending && !a.target.ejected && a.target.lastHeardAt < a.sentAt;
            if (unheard && now - a.sentAt > 2 * r.type.aimMs()) eject(a.target, "silent");
        }
        Attempt last = r.attempts.get(r.attempts.size() - 1);
        if (last.pending && !last.withdrawn && isStuck(r, last)) {
            last.withdrawn = true;
            actions.cancel(r.request.id(), r.attempts.size() - 1);
            return;
        }
        // Only where the server has said nothing since: a copy of what is merely slow adds load to load.
        if (settings.limits().secondCopies() && now - last.sentAt > r.type.aimMs() && retryBudget >= 1
                && last.target.lastHeardAt < last.sentAt && r.type.effect() != Effect.ONCE && held.isEmpty()
                && r.attempts.size() < settings.limits().maxAttempts() && actions.mayTryAgain()
                && trySend(r)) {
            retryBudget--;
        }
    }

    /**
     * Guards places and requests against connections that fall silent: where all other answers take a few
     * milliseconds, one that takes a large part of the aim does not come. It must be allowed to run again.
     * That no server has room is no reason to keep it: such tries are what takes the room.
     */
    private boolean isStuck(Open r, Attempt a) {
        double mean = networks[r.request.classIndex()].meanLatency();
        return now - a.sentAt > Math.max(STUCK_SHARE * r.type.aimMs(), STUCK_MEANS * mean) && mean > 0
                && r.type.effect() == Effect.REPEATABLE && settings.limits().cancel() && retryBudget >= 1
                && r.attempts.size() < settings.limits().maxAttempts();
    }

    private void sendAgain(Open r, Attempt failed) {
        boolean attemptsLeft = r.attempts.size() < settings.limits().maxAttempts();
        boolean allowed = failed.neverRan || r.type.effect() != Effect.ONCE && retryBudget >= 1;
        if (!attemptsLeft || !allowed || !actions.mayTryAgain()) {
            answer(r);
            return;
        }
        retryBudget -= failed.neverRan ? 0 : 1;
        if (!trySend(r)) hold(r);
    }

    /** The final answer: a refusal where trying again is harmless, else a failure. */
    private void answer(Open r) {
        boolean harmless = r.type.mayBeRefused(r.firstMayHaveRun() != null);
        // Where clients heed it, they come back when room may have come up, and still in time for their aim.
        double retryAfter = Math.min(settings.limits().maxRetryAfterMs(), RETRY_AFTER_SHARE * r.type.aimMs());
        if (harmless) actions.refuse(r.request.id(), retryAfter);
        else actions.fail(r.request.id());
        end(r);
    }

    private void end(Open r) {
        r.done = true;
        r.held = false;
        cancelPending(r, -1);
        forget(r);
    }

    private void cancelPending(Open r, int except) {
        for (int i = 0; i < r.attempts.size() && settings.limits().cancel(); i++) {
            if (i != except && r.attempts.get(i).pending) actions.cancel(r.request.id(), i);
        }
    }

    private void forget(Open r) {
        if (r.done && !r.pending()) open.remove(r.request.id());
    }

    /** Whether the tenant is beyond this node's even part of its quota; repeats take no part of it. */
    private boolean overShare(int tenant, boolean repeat) {
        if (tenant >= tenantTokens.length) return false;
        for (int t = 0; t < tenantTokens.length; t++) {
            double rate = tenantRate(t);
            tenantTokens[t] = Math.min(rate, tenantTokens[t] + rate * (now - tenantTokensAt) / 1000);
        }
        tenantTokensAt = now;
        if (tenantTokens[tenant] < 1) return true;
        tenantTokens[tenant] -= repeat ? 0 : 1;
        return false;
    }

    private double tenantRate(int tenant) {
        return Math.max(2, settings.tenants().get(tenant).quotaPerS() / settings.nodes());
    }
}
