package routerfleet.control;

import java.util.ArrayList;
import java.util.List;

/**
 * Who waits for an elected leader: for a majority to confirm in a round that it still leads, or, right after its election,
 * for it to know what was decided before. For the replica's thread.
 *
 * <p>Bound: {@value #MOST_KEPT} questions kept for a new leader; those that wait for rounds are bounded by who asks.
 */
final class LeadershipWaiters {
    private static final int MOST_KEPT = 256;

    private record Waiter(long round, Runnable confirmed, Runnable lost) { }

    private final List<Waiter> waiters = new ArrayList<>();
    private final List<Runnable> kept = new ArrayList<>();

    /** Runs one of the two: once that round or a later one is confirmed, or leadership is lost. */
    void awaitRound(long round, Runnable confirmed, Runnable lost) {
        waiters.add(new Waiter(round, confirmed, lost));
    }

    /** A majority has answered that round, and so all before it. */
    void confirmed(long round) {
        List<Waiter> ready = waiters.stream().filter(waiter -> waiter.round() <= round).toList();
        waiters.removeAll(ready);
        ready.forEach(waiter -> waiter.confirmed().run());
    }

    /** Keeps a question until the leader can answer, or leads no more. @return whether there was room */
    boolean defer(Runnable question) {
        if (kept.size() >= MOST_KEPT) {
            return false;
        }
        return kept.add(question);
    }

    /** The kept questions are asked again. */
    void retryDeferred() {
        List<Runnable> questions = new ArrayList<>(kept);
        kept.clear();
        questions.forEach(Runnable::run);
    }

    /** This replica leads no more. */
    void leadershipLost() {
        List<Waiter> waiting = new ArrayList<>(waiters);
        waiters.clear();
        waiting.forEach(waiter -> waiter.lost().run());
        retryDeferred();
    }
}
