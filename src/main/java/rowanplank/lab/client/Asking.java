package rowanplank.lab.client;

import rowanplank.net.Loop;

/** One request, from when a client wants it to the one thing that becomes of it. */
final class Asking {
    /** What is asked again has a number so far above the last, so that no number hangs on the order of answers. */
    static final long RETRY_STEP = 1L << 36;

    final Arrival arrival;
    final long number;
    /** When the client stops waiting: nanoseconds since the beginning. */
    final long stopsAt;
    Loop.Timer patience;
    /** Whose connection is being opened for it, or carries it; null while it waits for one. */
    NodePool pool;
    /** Not null while a connection is being opened for it. */
    Loop.Opening opening;
    /** Not null once it is being written, or is written. */
    FrontConnection connection;
    boolean written;
    boolean sentAnew;
    boolean over;

    Asking(Arrival arrival, long number, long stopsAt) {
        this.arrival = arrival;
        this.number = number;
        this.stopsAt = stopsAt;
    }

    /** The same once more, in what is left of the client's time. */
    Asking again() {
        return new Asking(arrival, number + RETRY_STEP, stopsAt);
    }

    /** Whether there is a number left for it: guards against a node that answers all with a Retry-After near zero. */
    boolean canRetry() {
        return number + RETRY_STEP < BadClients.FIRST_NUMBER;
    }

    boolean isRetry() {
        return number >= RETRY_STEP;
    }
}
