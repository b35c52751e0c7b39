package routerfleet.soak;

import java.util.concurrent.TimeUnit;

/**
 * What a client saw of one request. Times are on the monotonic clock in nanoseconds.
 *
 * @param life the process that the client was connected to
 * @param route name of the route
 * @param executedOnce whether no more than one server may execute it
 * @param kept whether the connection had carried a request before
 * @param status of the response; 0 if no head was received
 * @param behind the request whose response preceded on the connection when this one was sent; null if there was none
 * @param stream all events that the stream has; null if it is none
 */
record RequestRecord(String id, String node, FleetProcess.Life life, String route, boolean executedOnce, boolean kept,
        long firstByteSentNanos, long lastByteSentNanos, long endNanos, long deadlineMs, Outcome outcome, int status,
        String stream, String body, RequestRecord behind) {
    /** How the request ended. */
    enum Outcome {
        /** A complete response was received. */
        COMPLETE,
        /** The connection was closed before the response was complete. */
        CLOSED,
        /** The connection was reset before the response was complete. */
        RESET,
        /** The client gave up, or closed the connection after a response that was broken off. */
        GIVEN_UP,
        /** The connection failed before the last byte was sent. */
        NOT_SENT
    }

    /** Whether the connection ended without a complete response. */
    boolean isCutOff() {
        return outcome == Outcome.CLOSED || outcome == Outcome.RESET;
    }

    long durationMs() {
        return TimeUnit.NANOSECONDS.toMillis(endNanos - firstByteSentNanos);
    }

    /** A line for reports. */
    String describe() {
        long termNanos = life.termNanos();
        String signal = termNanos == FleetProcess.NEVER ? "no SIGTERM" : "SIGTERM; sent "
                + TimeUnit.NANOSECONDS.toMillis(lastByteSentNanos - termNanos) + " ms and ended "
                + TimeUnit.NANOSECONDS.toMillis(endNanos - termNanos) + " ms after it";
        return id + " " + route + " at " + node + (kept ? " (kept connection) " : " ") + outcome + " status " + status
                + " after " + durationMs() + " ms of " + deadlineMs + "; " + signal;
    }
}
