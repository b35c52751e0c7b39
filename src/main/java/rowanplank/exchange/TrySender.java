package rowanplank.exchange;

import java.time.Duration;

/** The peers' side, as the decisions drive it. Each try that it is given ends with one outcome. */
public interface TrySender {
    void send(Exchange.Try attempt);

    /** Stops waiting for a try that is out; it ends as cancelled, and its connection is closed first. */
    void cancel(Exchange.Try attempt);

    /** From now on a try that is out ends with a time-out after this time, unless its answer has begun. */
    void limit(Exchange.Try attempt, Duration left);

    /** A try whose answer has begun ends if that answer stands still once this time has passed. */
    default void expectEnd(Exchange.Try attempt, Duration left) { }

    void closeIdle(long peer);
}
