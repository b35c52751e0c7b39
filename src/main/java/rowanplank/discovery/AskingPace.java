package rowanplank.discovery;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * How soon discovery is asked again, and how long an answer is waited for. What discovery has counts as told 6 s after it
 * could be reached, whatever has failed before, so all of it keeps to one bound: from the beginning of a call that fails
 * to that of the next it is {@link #LONGEST_GAP} at most.
 *
 * <p><b>Where lists are asked for</b>, discovery is one service of fixed capacity for all nodes: each call that is given
 * up and made again takes a place in its queue, and nodes that start together would ask together for ever. After k
 * failures in a row the next call begins at a random time between a half and all of RETRY 2^k after the failed one did,
 * at most nodes x {@link #SLOWEST_RETRY}, within that bound; a failed one that took longer is part of that time.
 *
 * <p><b>Where lists are pushed</b>, an agent on the node's own machine answers at once and at no cost, and what it has
 * counts as told: the next call always comes after a moment, and while calls fail none of them waits for news, so that
 * an agent that is back is heard at once.
 *
 * <p>An answer sets all back. Chance comes from the seed alone.
 */
final class AskingPace {
    /** Well within the 200 ms in which a next call still continues the last one. */
    private static final Duration RETRY = Duration.ofMillis(50);
    private static final Duration SLOWEST_RETRY = Duration.ofMillis(200);
    /** From the beginning of a call to that of the next: what is left of the 6 s is for the connection and discovery. */
    static final Duration LONGEST_GAP = Duration.ofSeconds(4);
    /** Once calls fail; less than the gap: nodes whose calls are given up together draw lots for the next one. */
    private static final Duration LONGEST_CALL = Duration.ofMillis(2500);
    /** How long a watch waits for news; short, since a call that has gone astray shows only after it. */
    private static final Duration WAIT = Duration.ofSeconds(2);
    /** The same once calls fail: what is late in discovery's queue has the more time beyond it. */
    private static final Duration WAIT_AFTER_FAILURE = Duration.ofSeconds(1);
    /** Within it, beyond a watch's wait, an answer must have begun to come, at first. */
    private static final Duration PATIENCE = Duration.ofSeconds(1);
    private static final Duration PATIENCE_WITH_AN_AGENT = Duration.ofMillis(250);
    /** Within it an answer that has begun to come must be whole, at first. */
    private static final Duration REST = Duration.ofSeconds(1);
    /** An answer of which no more has come for so long has stopped: what it was to tell counts as told meanwhile. */
    private static final Duration STALL = Duration.ofMillis(80);
    private static final Duration LONGEST_STALL = Duration.ofSeconds(1);
    /** So many stop half-way in a row before discovery is taken for one that is slow, and not for one that breaks off. */
    private static final int STALLS = 3;

    private final SplittableRandom random;
    private final boolean pushed;
    private final Duration slowestRetry;
    private int failures;
    private int stalls;

    /**
     * @param nodes how many share discovery
     * @param pushed whether lists come from an agent on the node's own machine, at no cost
     */
    AskingPace(int nodes, boolean pushed, long seed) {
        random = new SplittableRandom(seed);
        this.pushed = pushed;
        slowestRetry = pushed ? RETRY : shorter(SLOWEST_RETRY.multipliedBy(nodes), LONGEST_GAP);
    }

    void answered() {
        failures = 0;
        stalls = 0;
    }

    /** An answer stopped half-way; this is a failure as well, which is counted by itself. */
    void stalled() {
        stalls++;
    }

    /** Counts a failure, and tells how long to wait before the next call. @param spent since the failed one began */
    Duration failed(Duration spent) {
        Duration most = grown(RETRY, failures, slowestRetry);
        failures++;
        Duration latest = longer(most.minus(spent), RETRY);
        Duration earliest = longer(most.dividedBy(2).minus(spent), RETRY.dividedBy(2));
        return earliest.plusNanos(Math.round(latest.minus(earliest).toNanos() * random.nextDouble()));
    }

    /** How long discovery may hold a watch that has no news. */
    Duration watchWait() {
        return failures == 0 ? WAIT : pushed ? Duration.ZERO : WAIT_AFTER_FAILURE;
    }

    /** How long after a call's beginning its answer must have begun to come. @param wait that discovery may hold it */
    Duration patience(Duration wait) {
        Duration beyond = pushed ? grown(PATIENCE_WITH_AN_AGENT, failures, PATIENCE)
                : grown(PATIENCE, failures, LONGEST_CALL);
        Duration whole = wait.plus(beyond);
        return failures == 0 ? whole : shorter(whole, LONGEST_CALL);
    }

    /** How long the rest of an answer that has begun to come may take. @param spent since its call began */
    Duration patienceForRest(Duration spent) {
        Duration left = LONGEST_GAP.minus(spent);
        return shorter(grown(REST, failures, LONGEST_CALL), longer(left, REST));
    }

    /** How long no more of an answer may come before it has stopped. */
    Duration stall() {
        return grown(STALL, Math.max(0, stalls - STALLS), LONGEST_STALL);
    }

    private static Duration longer(Duration one, Duration other) {
        return one.compareTo(other) < 0 ? other : one;
    }

    private static Duration shorter(Duration one, Duration other) {
        return one.compareTo(other) < 0 ? one : other;
    }

    /** Doubled so often; the shift is bounded, so that it does not overflow while discovery is down for long. */
    private static Duration grown(Duration from, int times, Duration most) {
        return shorter(from.multipliedBy(1L << Math.min(times, 20)), most);
    }
}
