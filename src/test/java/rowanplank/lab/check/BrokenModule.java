package rowanplank.lab.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rowanplank.balancer.BalancerApi.Actions;
import rowanplank.balancer.BalancerApi.Events;
import rowanplank.balancer.BalancerApi.Lifecycle;
import rowanplank.balancer.BalancerApi.ListKind;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.balancer.BalancerApi.Request;
import rowanplank.balancer.BalancerApi.Server;

/** Decision modules that are broken on purpose, each in one way; all send to one server after the other. */
class BrokenModule implements Events {
    final Actions actions;
    private final Map<Long, Server> servers = new HashMap<>();
    private int turn;

    BrokenModule(Actions actions) {
        this.actions = actions;
    }

    /** Sends all to the server that started last. */
    static final class Overdrives extends BrokenModule {
        Overdrives(Actions actions) {
            super(actions);
        }

        @Override
        Server pick(List<Server> ready) {
            return ready.stream().max(Comparator.comparingDouble(Server::startedAtMs)).orElseThrow();
        }
    }

    /** Sends again whatever became of the try before, and refuses in the end. */
    static final class SendsAgain extends BrokenModule {
        SendsAgain(Actions actions) {
            super(actions);
        }

        @Override
        void failed(long request, Outcome outcome) {
            if (outcome == Outcome.MOOT) {
                actions.reject(request, 100);
            } else {
                send(request);
            }
        }
    }

    /** Throws now and then. */
    static final class Throws extends BrokenModule {
        Throws(Actions actions) {
            super(actions);
        }

        @Override
        Server pick(List<Server> ready) {
            if (super.turn % 20 == 19) {
                throw new IllegalStateException("on purpose");
            }
            return super.pick(ready);
        }
    }

    @Override
    public void onServers(double nowMs, ListKind kind, List<Server> list) {
        if (kind == ListKind.FULL || kind == ListKind.CACHED) {
            servers.clear();
        }
        list.forEach(s -> servers.put(s.id(), s));
    }

    @Override
    public void onRequest(double nowMs, Request request) {
        send(request.id());
    }

    void send(long request) {
        List<Server> ready = new ArrayList<>(servers.values());
        ready.removeIf(s -> s.lifecycle() != Lifecycle.READY);
        ready.sort(Comparator.comparingLong(Server::id));
        turn++;
        if (ready.isEmpty()) {
            actions.reject(request, 100);
        } else {
            actions.send(request, pick(ready).id(), 60_000);
        }
    }

    Server pick(List<Server> ready) {
        return ready.get(turn % ready.size());
    }

    @Override
    public void onOutcome(double nowMs, long request, int attempt, Outcome outcome, double latencyMs,
            boolean concluded) {
        if (!concluded) {
            failed(request, outcome);
        }
    }

    void failed(long request, Outcome outcome) {
        actions.fail(request);
    }

    @Override
    public void onStreamStarted(double nowMs, long request, int attempt) { }

    @Override
    public void onClientLeft(double nowMs, long request) { }

    @Override
    public void onTimer(double nowMs, long token) { }
}
