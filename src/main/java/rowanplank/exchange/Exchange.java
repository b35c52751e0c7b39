package rowanplank.exchange;

import java.time.Instant;
import rowanplank.balancer.BalancerApi.Outcome;

/**
 * One request from its arrival to its final response: the only place where the client's side and the servers' side
 * meet. It enforces these invariants regardless of what the client, the servers or the decision module do: exactly
 * one final response, at most one attempt at a time, and exactly one outcome per attempt.
 */
public final class Exchange {
    /** The client side of an exchange, which receives the final response. */
    public interface Client {
        /** Passes the final response to the client; called at most once. */
        void respond(Response response);

        /** Returns whether the client still waits for the response, as far as that is known at this moment. */
        default boolean isConnected() {
            return true;
        }
    }

    /** Receives the events of an exchange. */
    public interface Listener {
        /**
         * An attempt has ended.
         *
         * @param served the server's response if the outcome is OK and the response had not started before; otherwise
         *     null
         */
        void attemptEnded(Attempt attempt, Outcome outcome, Response.Served served);

        /**
         * The beginning of a large response has arrived. The attempt ends with the last byte of the response.
         *
         * @param at when the response head arrived
         */
        default void responseStarted(Attempt attempt, Response.Streamed streamed, Instant at) { }

        /** The last byte of an upload has arrived. The request's deadline now counts from here. */
        default void uploadFinished(Exchange exchange) { }

        /** The client has disconnected before the final response; no response is needed any more. */
        void clientLeft(Exchange exchange);
    }

    /** One attempt to have the request served by a server. */
    public final class Attempt {
        private final int number;
        private final long server;
        private final Instant timeoutAt;
        private final Instant startDeadline;
        private Instant startedAt;
        private boolean sendStarted;
        private boolean responseStarted;
        private boolean ended;

        private Attempt(int number, long server, Instant startedAt, Instant timeoutAt, Instant startDeadline) {
            this.number = number;
            this.server = server;
            this.startedAt = startedAt;
            this.timeoutAt = timeoutAt;
            this.startDeadline = startDeadline;
        }

        /** Reports the outcome. Only the first report counts, since an attempt may fail in several places. */
        public void end(Outcome outcome, Response.Served served) {
            if (ended) {
                return;
            }
            ended = true;
            pendingAttempt = null;
            if (mayHaveRunSince == null && !outcome.neverRan()) {
                mayHaveRunSince = startedAt;
            }
            listener.attemptEnded(this, outcome, served);
        }

        /**
         * The beginning of a large response has arrived. From here on there is no further attempt and no time-out.
         */
        public void responseStarted(Response.Streamed response, Instant at) {
            responseStarted = true;
            listener.responseStarted(this, response, at);
        }

        /** Returns whether the beginning of a large response has arrived. */
        public boolean hasResponseStarted() {
            return responseStarted;
        }

        /**
         * Returns whether the first byte of the request may be written now. It may not if the connection was
         * established too late or the response is no longer wanted.
         */
        public boolean maySend(Instant now) {
            return !ended && !Exchange.this.ended && now.isBefore(startDeadline()) && now.isBefore(timeoutAt());
        }

        /** The first byte of the request is about to be written. */
        public void sendStarted() {
            sendStarted = true;
        }

        /** Returns whether any byte of the request was written. Before that the server cannot have run it. */
        public boolean hasSendStarted() {
            return sendStarted;
        }

        /** The last byte of the request was written. The server's latency is measured from here. */
        public void sendFinished(Instant now) {
            startedAt = now;
        }

        public boolean ended() {
            return ended;
        }

        public Exchange exchange() {
            return Exchange.this;
        }

        public int number() {
            return number;
        }

        public long server() {
            return server;
        }

        /**
         * Returns when the server received the request: when sending began or, for a large request, when it ended.
         */
        public Instant startedAt() {
            return startedAt;
        }

        /**
         * Returns until when the response is awaited, including the time to connect; never after the request's
         * deadline.
         */
        public Instant timeoutAt() {
            return timeoutAt.isBefore(deadline) ? timeoutAt : deadline;
        }

        /** Returns the time before which the first byte of the request must be written. */
        public Instant startDeadline() {
            return startDeadline;
        }
    }

    private final long number;
    private final RequestContext context;
    private final Client client;
    private final Listener listener;
    private Instant deadline;
    private Attempt pendingAttempt;
    /** When the earliest ended attempt that may have run was started; null if no ended attempt may have run. */
    private Instant mayHaveRunSince;
    private boolean ended;

    /**
     * Creates an exchange.
     *
     * @param number the request's number at this node, never used twice
     */
    public Exchange(long number, RequestContext context, Client client, Listener listener) {
        this.number = number;
        this.context = context;
        deadline = context.deadline();
        this.client = client;
        this.listener = listener;
    }

    /**
     * Begins an attempt; its first byte may be written until it times out.
     *
     * @param number the attempt's number within the request, from 0
     * @param server the id of the server
     * @param timeoutAt until when the response is awaited
     * @return the attempt, or null if none may begin because the request has ended or another attempt is pending
     */
    public Attempt beginAttempt(int number, long server, Instant now, Instant timeoutAt) {
        return beginAttempt(number, server, now, timeoutAt, timeoutAt);
    }

    /**
     * Begins an attempt.
     *
     * @param number the attempt's number within the request, from 0
     * @param server the id of the server
     * @param timeoutAt until when the response is awaited
     * @param startDeadline the time before which the first byte of the request must be written
     * @return the attempt, or null if none may begin because the request has ended or another attempt is pending
     */
    public Attempt beginAttempt(int number, long server, Instant now, Instant timeoutAt, Instant startDeadline) {
        if (ended || pendingAttempt != null) {
            return null;
        }
        pendingAttempt = new Attempt(number, server, now, timeoutAt, startDeadline);
        return pendingAttempt;
    }

    /**
     * Sends the final response to the client unless the request has ended.
     *
     * @return whether this became the final response; false if the request had ended before
     */
    public boolean respond(Response response) {
        if (ended) {
            return false;
        }
        ended = true;
        client.respond(response);
        return true;
    }

    /** The client has disconnected. It gets no response any more. */
    public void clientLeft() {
        if (!ended) {
            ended = true;
            listener.clientLeft(this);
        }
    }

    /**
     * Returns whether a response is still wanted. It is to be called before a request is sent: it checks for a
     * disconnect by the client that has arrived but was not read yet, and handles it as {@link #clientLeft}.
     */
    public boolean isResponseWanted() {
        if (!ended && !client.isConnected()) {
            clientLeft();
        }
        return !ended;
    }

    /** The last byte of an upload has arrived; the deadline counts from here. */
    public void uploadFinished(Instant now) {
        if (!ended) {
            deadline = now.plus(context.payload().upload().responseTimeout());
            listener.uploadFinished(this);
        }
    }

    /** Returns when the client stops waiting. */
    public Instant deadline() {
        return deadline;
    }

    public boolean ended() {
        return ended;
    }

    /** Returns the attempt that has no outcome yet, or null. */
    public Attempt pendingAttempt() {
        return pendingAttempt;
    }

    /**
     * Returns when the earliest ended attempt that may have run was started, or null if no ended attempt may have
     * run.
     */
    public Instant mayHaveRunSince() {
        return mayHaveRunSince;
    }

    /** Returns whether a server may have begun to process the request, including by a pending attempt. */
    public boolean mayHaveRun() {
        return mayHaveRunSince != null || pendingAttempt != null && pendingAttempt.hasSendStarted();
    }

    public long number() {
        return number;
    }

    public RequestContext context() {
        return context;
    }
}
