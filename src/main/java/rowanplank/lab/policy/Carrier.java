package rowanplank.lab.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import rowanplank.balancer.BalancerApi.Actions;
import rowanplank.balancer.BalancerApi.DedupGroup;
import rowanplank.balancer.BalancerApi.Effect;
import rowanplank.balancer.BalancerApi.Events;
import rowanplank.balancer.BalancerApi.Lifecycle;
import rowanplank.balancer.BalancerApi.ListKind;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.balancer.BalancerApi.Request;
import rowanplank.balancer.BalancerApi.RequestClass;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.balancer.BalancerApi.Settings;

/**
 * Carries a {@link Choice} through a node's events, so that a rival is only its choice and its {@link Handling}.
 *
 * <p>Kept whatever the rival does: one try of a request out at a time; nothing new to a server that is not ready;
 * nothing sent again that may have run and must not run twice (a keyed request is not sent again at all once it may
 * have); a final answer {@value #TICK_MS} ms before the deadline, which is a reject where trying again is harmless,
 * else a failure; a try is withdrawn once its request is over. Not kept, since no rival's original knows it: the
 * bound on work sent to cold servers.
 *
 * <p>A try waits for its answer until the deadline: none of the originals has a shorter time-out unless told to.
 *
 * <p>Bounded by the node's open requests. A tick costs a look at each of them, an event O(1) beside the choice, the
 * ejection and, while requests are held, those.
 */
final class Carrier implements Events {
    static final double TICK_MS = 10;
    private static final long TICK = 0;
    private static final long ASK_AGAIN = 1;

    /** A request that is owed an answer, or whose try is still out. */
    private static final class Open {
        final Request request;
        final RequestClass type;
        final double arrivedAt;
        final Set<Long> tried = new LinkedHashSet<>(2);
        Server at;
        int tries;
        int retries;
        boolean ranMaybe;
        boolean usedAtOnce;
        boolean streaming;
        boolean done;
        /** It waits for a server until then at the least. */
        double notBefore;

        Open(Request request, RequestClass type, double arrivedAt) {
            this.request = request;
            this.type = type;
            this.arrivedAt = arrivedAt;
        }
    }

    private final Settings settings;
    private final Actions actions;
    private final Choice choice;
    private final Retries retries;
    private final double holds;
    private final Ejection ejection;
    private final RetryBudget budget;
    private final SplittableRandom random;
    private final Map<Long, Server> listed = new LinkedHashMap<>();
    private List<Server> ready = List.of();
    private final Map<Long, Open> open = new LinkedHashMap<>();
    private final Set<Open> held = new LinkedHashSet<>();
    private boolean ticking;

    Carrier(Settings settings, long seed, Actions actions, Choice choice, Handling handling) {
        this.settings = settings;
        this.actions = actions;
        this.choice = choice;
        random = new SplittableRandom(seed);
        retries = handling.retries();
        holds = handling.holds();
        ejection = handling.ejection().apply(random.nextLong());
        budget = retries.budget().get();
        if (settings.requestList()) {
            actions.watchServers();
        }
    }

    @Override
    public void onServers(double nowMs, ListKind kind, List<Server> servers) {
        if (kind == ListKind.FAILED) {
            if (settings.requestList()) {
                actions.timer(settings.rules().pollWithinMs() / 4, ASK_AGAIN);
            }
            return;
        }
        if (kind != ListKind.DELTA) {
            listed.clear();
        }
        servers.forEach(s -> listed.put(s.id(), s));
        listed.values().removeIf(s -> s.lifecycle() != Lifecycle.READY);
        ready = List.copyOf(listed.values());
        choice.servers(nowMs, ready);
        ejection.servers(nowMs, ready);
        sendHeld(nowMs);
    }

    @Override
    public void onRequest(double nowMs, Request request) {
        Open r = new Open(request, settings.classes().get(request.classIndex()), nowMs);
        open.put(request.id(), r);
        budget.request(nowMs);
        place(nowMs, r);
        if (!open.isEmpty() && !ticking) {
            tick();
        }
    }

    private void tick() {
        ticking = true;
        actions.timer(TICK_MS, TICK);
    }

    @Override
    public void onStreamStarted(double nowMs, long request, int attempt) {
        Open r = open.get(request);
        if (r != null) {
            r.streaming = true;
        }
    }

    @Override
    public void onOutcome(double nowMs, long request, int attempt, Outcome outcome, double latencyMs,
            boolean concluded) {
        Open r = open.get(request);
        if (r == null || r.at == null || attempt != r.tries - 1) {
            return;
        }
        Server at = r.at;
        r.at = null;
        r.ranMaybe |= !outcome.neverRan();
        choice.ended(nowMs, request, attempt, outcome, latencyMs);
        ejection.ended(nowMs, at.id(), outcome);
        budget.ended(retries.after().contains(outcome));
        if (concluded || outcome == Outcome.OK) {
            r.done = true;
        }
        if (!r.done) {
            again(nowMs, r, outcome);
        }
        forget(r);
        sendHeld(nowMs);
    }

    @Override
    public void onClientLeft(double nowMs, long request) {
        Open r = open.get(request);
        if (r != null && !r.done) {
            end(r);
        }
    }

    @Override
    public void onTimer(double nowMs, long token) {
        if (token == ASK_AGAIN) {
            actions.watchServers();
        }
        if (token != TICK) {
            return;
        }
        for (Open r : List.copyOf(open.values())) {
            if (!r.done && !r.streaming && isOver(nowMs, r)) {
                answer(r);
            }
        }
        sendHeld(nowMs);
        ticking = false;
        if (!open.isEmpty()) {
            tick();
        }
    }

    private static boolean isOver(double nowMs, Open r) {
        return nowMs > r.request.deadlineMs() - TICK_MS;
    }

    private void sendHeld(double nowMs) {
        for (Open r : List.copyOf(held)) {
            if (held.contains(r) && nowMs >= r.notBefore) {
                place(nowMs, r);
            }
        }
    }

    /** Sends it, holds it, or answers it. */
    private void place(double nowMs, Open r) {
        held.remove(r);
        if (isOver(nowMs, r)) {
            answer(r);
            return;
        }
        List<Server> candidates = candidates(nowMs, r);
        Server server = candidates.isEmpty() ? null : choice.choose(nowMs, r.request, candidates);
        if (server != null) {
            send(nowMs, r, server);
        } else if (!candidates.isEmpty() && nowMs < r.arrivedAt + holds * r.type.targetMs()) {
            held.add(r);
        } else {
            answer(r);
        }
    }

    private List<Server> candidates(double nowMs, Open r) {
        List<Server> left = ready.isEmpty() ? ready : ejection.left(nowMs, ready);
        if (!retries.elsewhere() || r.tried.isEmpty()) {
            return left;
        }
        List<Server> others = new ArrayList<>(left);
        others.removeIf(s -> r.tried.contains(s.id()));
        return others.isEmpty() ? left : others;
    }

    private void send(double nowMs, Open r, Server server) {
        int attempt = r.tries++;
        r.at = server;
        r.tried.add(server.id());
        choice.sent(nowMs, r.request, attempt, server);
        ejection.sent(nowMs, server.id());
        actions.send(r.request.id(), server.id(), r.request.deadlineMs() - nowMs);
    }

    private void again(double nowMs, Open r, Outcome outcome) {
        boolean harmless = !r.ranMaybe || r.type.effect() == Effect.REPEATABLE;
        if (!harmless || r.tries >= settings.limits().maxAttempts()) {
            answer(r);
        } else if (outcome == Outcome.MOOT) {
            place(nowMs, r); // it never left this node: no failure of a server's
        } else if (!retries.after().contains(outcome)) {
            answer(r);
        } else if (retries.atOnce() && outcome.neverRan() && !r.usedAtOnce) {
            r.usedAtOnce = true;
            place(nowMs, r);
        } else if (r.retries >= retries.most() || !budget.take(nowMs)) {
            answer(r);
        } else {
            r.notBefore = nowMs + retries.backOff().drawMs(r.retries++, random);
            held.add(r);
        }
    }

    private void answer(Open r) {
        boolean harmless = !r.ranMaybe && r.at == null || r.type.effect() == Effect.REPEATABLE
                || r.type.effect() == Effect.BY_KEY && r.type.dedupGroup() == DedupGroup.ALL;
        if (harmless) {
            actions.reject(r.request.id(), 0);
        } else {
            actions.fail(r.request.id());
        }
        end(r);
    }

    private void end(Open r) {
        r.done = true;
        held.remove(r);
        if (r.at != null && settings.limits().cancel()) {
            actions.cancel(r.request.id(), r.tries - 1);
        }
        forget(r);
    }

    private void forget(Open r) {
        if (r.done && r.at == null) {
            open.remove(r.request.id());
        }
    }

    Choice choice() {
        return choice;
    }

    /** How many requests it remembers. */
    int kept() {
        return open.size() + held.size();
    }
}
