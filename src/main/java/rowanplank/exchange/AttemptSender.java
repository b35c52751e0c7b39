package rowanplank.exchange;

import java.time.Duration;

/** The peers' side, as the decisions drive it. Each try that it is given ends with one outcome. */
public interface AttemptSender {
    void send(Exchange.Attempt attempt);

    /** Stops waiting for a try that is out; it ends as cancelled, and its connection is closed first. */
    void cancel(Exchange.Attempt attempt);

    /** From now on a try that is out ends with a time-out after this time, unless its answer has begun. */
    void limitTime(Exchange.Attempt attempt, Duration left);

    /** A try whose answer has begun ends if that answer stands still once this time has passed. */
    default void expectCompletion(Exchange.Attempt attempt, Duration left) { }

    void closeIdle(long peer);
}
