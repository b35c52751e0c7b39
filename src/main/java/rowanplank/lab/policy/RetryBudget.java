package rowanplank.lab.policy;

import java.util.ArrayDeque;
import java.util.Deque;

/** How many retries there may be beside all that is sent. */
interface RetryBudget {
    /** No bound. */
    RetryBudget NONE = new RetryBudget() { };

    /** A request has come. */
    default void request(double nowMs) { }

    /** A try ended. @param failed in a way after which there would be a retry */
    default void ended(boolean failed) { }

    /** @return whether a retry may go out; if so it counts */
    default boolean take(double nowMs) {
        return true;
    }

    /**
     * Finagle's {@code RetryBudget} with its defaults (user's guide, Clients, Retries): in the last {@code ttl} = 10 s,
     * {@code percentCanRetry} = 20 % of the requests, and {@code minRetriesPerSec} = 10 besides.
     */
    final class Share implements RetryBudget {
        private static final double TTL_MS = 10_000;
        private static final double PART = 0.2;
        private static final double BESIDES = 10 * TTL_MS / 1000;

        /** When each request came, and each retry went, in the last 10 s. */
        private final Deque<Double> requests = new ArrayDeque<>();
        private final Deque<Double> retries = new ArrayDeque<>();

        @Override
        public void request(double nowMs) {
            requests.add(nowMs);
            forget(requests, nowMs);
        }

        @Override
        public boolean take(double nowMs) {
            forget(requests, nowMs);
            forget(retries, nowMs);
            return retries.size() + 1 <= BESIDES + PART * requests.size() && retries.add(nowMs);
        }

        private static void forget(Deque<Double> times, double nowMs) {
            while (!times.isEmpty() && times.peek() < nowMs - TTL_MS) {
                times.poll();
            }
        }
    }

    /**
     * gRPC's retry throttling (gRFC A6): a bucket of {@code maxTokens} = 10, of which each failure takes one and to
     * which each success adds {@code tokenRatio} = 0.1; retries while more than half of it is there. The figures are
     * those of the gRFC's example, which service configurations copy.
     */
    final class Tokens implements RetryBudget {
        private static final double MOST = 10;
        private static final double RATIO = 0.1;

        private double tokens = MOST;

        @Override
        public void ended(boolean failed) {
            tokens = failed ? Math.max(0, tokens - 1) : Math.min(MOST, tokens + RATIO);
        }

        @Override
        public boolean take(double nowMs) {
            return tokens > MOST / 2;
        }
    }
}
