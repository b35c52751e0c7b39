package rowanplank.exchange;

import java.time.Instant;
import rowanplank.balancer.BalancerApi.Outcome;

/**
 * One request's life, and the only place where the client's side and the peers' side meet. It guards what must hold
 * whatever either of them, or the decisions, do: exactly one final answer, one outstanding try at a time, and
 * exactly one outcome for each try.
 */
public final class Exchange {
    /** The client's side: it is handed the final answer. */
    public interface Client {
        void respond(Response answer);

        /** Whether the client still waits, as far as can be known at this moment. */
        default boolean isConnected() {
            return true;
        }
    }

    /** Who follows the request's life. */
    public interface Listener {
        /**
         * @param served what the peer answered where the outcome is OK, else null; also null where the answer had begun
         *     before
         */
        void attemptEnded(Attempt attempt, Outcome outcome, Response.Served served);

        /** A large answer has begun to come; the try ends with its last byte. @param at when its head had come */
        default void responseStarted(Attempt attempt, Response.Streamed begun, Instant at) { }

        /** The last byte of an upload has come: its deadline counts from here. */
        default void uploadFinished(Exchange exchange) { }

        /** The client has left; nothing is owed any more. */
        void clientLeft(Exchange exchange);
    }

    /** One attempt to have the request served by a peer. */
    public final class Attempt {
        private final int number;
        private final long server;
        private final Instant timeoutAt;
        private final Instant startDeadline;
        private Instant startedAt;
        private boolean sendStarted;
        private boolean responseStarted;
        private boolean ended;

        private Attempt(int number, long peer, Instant started, Instant until, Instant startBy) {
            this.number = number;
            this.server = peer;
            this.startedAt = started;
            this.timeoutAt = until;
            this.startDeadline = startBy;
        }

        /** Tells the outcome; only the first one counts, since a try may fail in more than one place. */
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

        /** The first part of a large answer has come: there is no time-out and no other try any more. */
        public void responseStarted(Response.Streamed answer, Instant at) {
            responseStarted = true;
            listener.responseStarted(this, answer, at);
        }

        public boolean hasResponseStarted() {
            return responseStarted;
        }

        /** Whether its first byte may be written now: its connection may have come up too late, or for nobody. */
        public boolean maySend(Instant now) {
            return !ended && !Exchange.this.ended && now.isBefore(startDeadline()) && now.isBefore(timeoutAt());
        }

        /** Its first byte is being written. */
        public void sendStarted() {
            sendStarted = true;
        }

        /** Whether something of it was written; before that it surely has not run. */
        public boolean hasSendStarted() {
            return sendStarted;
        }

        /** The request's last byte has gone out: only from now on can the peer's time be told. */
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

        /** Since when the peer has had the request: since its sending began, or, of a large one, ended. */
        public Instant startedAt() {
            return startedAt;
        }

        /** No answer is waited for beyond this, the time it takes to connect included. */
        public Instant timeoutAt() {
            return timeoutAt.isBefore(deadline) ? timeoutAt : deadline;
        }

        /** Its first byte must have been written before this. */
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
    /** When the first try began that may have run; null as long as none may have. */
    private Instant mayHaveRunSince;
    private boolean ended;

    /** @param number the request's number at this node, never used twice */
    public Exchange(long number, RequestContext context, Client client, Listener listener) {
        this.number = number;
        this.context = context;
        deadline = context.deadline();
        this.client = client;
        this.listener = listener;
    }

    /**
     * Begins a try.
     *
     * @param number which of the request's tries this is, from 0
     * @return null if none may go out: the request has ended, or another try is still out
     */
    public Attempt beginAttempt(int number, long peer, Instant now, Instant until) {
        return beginAttempt(number, peer, now, until, until);
    }

    /** The same. @param startBy its first byte may be written before this only */
    public Attempt beginAttempt(int number, long peer, Instant now, Instant until, Instant startBy) {
        if (ended || pendingAttempt != null) {
            return null;
        }
        pendingAttempt = new Attempt(number, peer, now, until, startBy);
        return pendingAttempt;
    }

    /** @return whether this became the final answer: false if the request had ended before */
    public boolean respond(Response answer) {
        if (ended) {
            return false;
        }
        ended = true;
        client.respond(answer);
        return true;
    }

    /** The client has gone away; no answer is given any more. */
    public void clientLeft() {
        if (!ended) {
            ended = true;
            listener.clientLeft(this);
        }
    }

    /**
     * Whether an answer is still wanted. To be asked before a request is sent: looks for a client's end that has come
     * in but was not yet read, and takes that for the departure it is.
     */
    public boolean isResponseWanted() {
        if (!ended && !client.isConnected()) {
            clientLeft();
        }
        return !ended;
    }

    /** The last byte of an upload has come. */
    public void uploadFinished(Instant now) {
        if (!ended) {
            deadline = now.plus(context.payload().upload().responseTimeout());
            listener.uploadFinished(this);
        }
    }

    /** When the client stops waiting. */
    public Instant deadline() {
        return deadline;
    }

    public boolean ended() {
        return ended;
    }

    public Attempt pendingAttempt() {
        return pendingAttempt;
    }

    /** When the first of the tries that have ended began that may have run; null if none of them may have. */
    public Instant mayHaveRunSince() {
        return mayHaveRunSince;
    }

    /** Whether a server may have begun with the request, be it by a try that is still out. */
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
