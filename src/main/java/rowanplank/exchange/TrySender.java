package rowanplank.exchange;

/** The peers' side, as the decisions drive it. Each try that it is given ends with one outcome. */
public interface TrySender {
    void send(Exchange.Try attempt);

    /** Stops waiting for a try that is out; it ends as cancelled, and its connection is closed first. */
    void cancel(Exchange.Try attempt);

    void closeIdle(long peer);
}
