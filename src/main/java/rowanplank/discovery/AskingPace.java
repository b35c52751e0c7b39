package rowanplank.discovery;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * How soon discovery is asked again, and how long an answer is waited for. Guards discovery, one service of fixed
 * capacity for all nodes: each call that is given up and made again takes a place in its queue, and nodes that start
 * together would ask together for ever.
 *
 * <p>After k failures in a row the next call comes after a random part, a half to all, of RETRY 2^k, at most
 * nodes x {@link #SLOWEST_RETRY}: however long discovery fails, all nodes together ask no more often than a single one
 * may. Waits and patience double alike. An answer sets all back. Chance comes from the seed alone.
 */
final class AskingPace {
    /** Well within the 200 ms in which a next call still continues the last one. */
    private static final Duration RETRY = Duration.ofMillis(50);
    private static final Duration SLOWEST_RETRY = Duration.ofMillis(200);
    /** How long a watch waits for news at first; short, since a call that has gone astray shows only after it. */
    private static final Duration WAIT = Duration.ofSeconds(2);
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(30);
    /** Within it a whole list must have begun to come, at first; what is 6 s late counts as told. */
    private static final Duration PATIENCE = Duration.ofSeconds(1);
    private static final Duration LONGEST_PATIENCE = Duration.ofSeconds(4);

    private final SplittableRandom random;
    private final Duration slowestRetry;
    private int failures;

    /** @param nodes how many share discovery */
    AskingPace(int nodes, long seed) {
        random = new SplittableRandom(seed);
        slowestRetry = SLOWEST_RETRY.multipliedBy(nodes);
    }

    void answered() {
        failures = 0;
    }

    /** Counts a failure, and tells how long to wait before the next call. */
    Duration failed() {
        Duration most = grown(RETRY, slowestRetry);
        failures++;
        return Duration.ofNanos(Math.round(most.toNanos() * (0.5 + random.nextDouble() / 2)));
    }

    /** How long discovery may hold a watch that has no news. */
    Duration watchWait() {
        return grown(WAIT, LONGEST_WAIT);
    }

    /** How long the whole list may take. */
    Duration listPatience() {
        return grown(PATIENCE, LONGEST_PATIENCE);
    }

    private Duration grown(Duration from, Duration most) {
        // the shift is bounded, so that it does not overflow while discovery is down for long
        Duration grown = from.multipliedBy(1L << Math.min(failures, 20));
        return grown.compareTo(most) < 0 ? grown : most;
    }
}
