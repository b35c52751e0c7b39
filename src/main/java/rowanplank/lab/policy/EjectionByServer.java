package rowanplank.lab.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.balancer.BalancerApi.Server;

/** Ejection that looks at each server by itself. A server that has restarted is a new one. O(n) a look. */
abstract class EjectionByServer<S> implements Ejection {
    private record Known<S>(double startedAtMs, S state) { }

    private final Map<Long, Known<S>> states = new LinkedHashMap<>();
    private final Supplier<S> fresh;

    EjectionByServer(Supplier<S> fresh) {
        this.fresh = fresh;
    }

    abstract boolean isOut(double nowMs, S state);

    abstract void ended(double nowMs, S state, Outcome outcome);

    /** What is to be had where all are out: usually the ready ones all the same. */
    List<Server> noneLeft(List<Server> ready) {
        return ready;
    }

    @Override
    public final void servers(double nowMs, List<Server> ready) {
        Map<Long, Known<S>> former = new LinkedHashMap<>(states);
        states.clear();
        for (Server s : ready) {
            Known<S> known = former.get(s.id());
            states.put(s.id(), known != null && known.startedAtMs >= s.startedAtMs() ? known
                    : new Known<>(s.startedAtMs(), fresh.get()));
        }
    }

    @Override
    public final List<Server> left(double nowMs, List<Server> ready) {
        List<Server> left = new ArrayList<>(ready.size());
        for (Server s : ready) {
            if (!isOut(nowMs, state(s.id()))) {
                left.add(s);
            }
        }
        return left.isEmpty() ? noneLeft(ready) : left;
    }

    @Override
    public final void ended(double nowMs, long server, Outcome outcome) {
        if (states.containsKey(server)) {
            ended(nowMs, state(server), outcome);
        }
    }

    /** Of a ready server. */
    final S state(long server) {
        return states.get(server).state;
    }

    final List<S> all() {
        return states.values().stream().map(Known::state).toList();
    }
}
