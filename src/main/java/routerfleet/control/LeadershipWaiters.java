package routerfleet.control;

import java.util.ArrayList;
import java.util.List;

/**
 * Requests that wait for this replica's leadership: either for a majority to confirm in a heartbeat round that it still
 * leads, or, right after its election, for it to learn which entries were committed before. Confined to the replica's
 * thread.
 *
 * <p>Bound: at most {@value #MAX_DEFERRED} requests are deferred for a new leader. Callers bound the number of requests
 * that wait for rounds.
 */
final class LeadershipWaiters {
    private static final int MAX_DEFERRED = 256;

    private record Waiter(long round, Runnable confirmed, Runnable lost) { }

    private final List<Waiter> waiters = new ArrayList<>();
    private final List<Runnable> deferred = new ArrayList<>();

    /** Runs one of the two callbacks: once the round or a later one is confirmed, or once leadership is lost. */
    void awaitRound(long round, Runnable confirmed, Runnable lost) {
        waiters.add(new Waiter(round, confirmed, lost));
    }

    /** Runs the callbacks of the round that a majority has answered, and of all earlier rounds. */
    void confirmed(long round) {
        List<Waiter> ready = waiters.stream().filter(waiter -> waiter.round() <= round).toList();
        waiters.removeIf(waiter -> waiter.round() <= round);
        ready.forEach(waiter -> waiter.confirmed().run());
    }

    /** Defers a request until the leader can answer it or has lost leadership. @return false if the limit is reached */
    boolean defer(Runnable request) {
        if (deferred.size() >= MAX_DEFERRED) {
            return false;
        }
        return deferred.add(request);
    }

    /** Runs the deferred requests again. */
    void retryDeferred() {
        List<Runnable> requests = new ArrayList<>(deferred);
        deferred.clear();
        requests.forEach(Runnable::run);
    }

    /** Fails the waiting rounds and runs the deferred requests, because this replica has lost leadership. */
    void leadershipLost() {
        List<Waiter> waiting = new ArrayList<>(waiters);
        waiters.clear();
        waiting.forEach(waiter -> waiter.lost().run());
        retryDeferred();
    }
}
