package rowanplank.exchange;

import java.time.Duration;

/**
 * Sends attempts to servers on behalf of the {@code DecisionDriver}. Each attempt passed to it ends with exactly one
 * outcome.
 */
public interface AttemptSender {
    /** Starts an attempt. */
    void send(Exchange.Attempt attempt);

    /**
     * Cancels a pending attempt. Its connection is closed first; then the attempt ends with the outcome CANCELLED.
     */
    void cancel(Exchange.Attempt attempt);

    /** Makes a pending attempt time out after the given duration from now, unless its response has started. */
    void limitTime(Exchange.Attempt attempt, Duration left);

    /**
     * Ends an attempt whose response has started if the response makes no progress once the given duration has
     * passed.
     */
    default void expectCompletion(Exchange.Attempt attempt, Duration left) { }

    /** Closes the idle connections to a server. */
    void closeIdle(long server);
}
