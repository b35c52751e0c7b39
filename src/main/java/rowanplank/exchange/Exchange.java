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
        void answer(Answer answer);

        /** Whether the client still waits, as far as can be known at this moment. */
        default boolean isThere() {
            return true;
        }
    }

    /** Who follows the request's life. */
    public interface Listener {
        /**
         * @param served what the peer answered where the outcome is OK, else null; also null where the answer had begun
         *     before
         */
        void tryEnded(Try attempt, Outcome outcome, Answer.Served served);

        /** A large answer has begun to come; the try ends with its last byte. @param at when its head had come */
        default void tryBegun(Try attempt, Answer.Begun begun, Instant at) { }

        /** The last byte of an upload has come: its deadline counts from here. */
        default void uploaded(Exchange exchange) { }

        /** The client has left; nothing is owed any more. */
        void departed(Exchange exchange);
    }

    /** One attempt to have the request served by a peer. */
    public final class Try {
        private final int number;
        private final long peer;
        private final Instant until;
        private final Instant startBy;
        private Instant started;
        private boolean goneOut;
        private boolean begun;
        private boolean ended;

        private Try(int number, long peer, Instant started, Instant until, Instant startBy) {
            this.number = number;
            this.peer = peer;
            this.started = started;
            this.until = until;
            this.startBy = startBy;
        }

        /** Tells the outcome; only the first one counts, since a try may fail in more than one place. */
        public void end(Outcome outcome, Answer.Served served) {
            if (ended) {
                return;
            }
            ended = true;
            outstanding = null;
            if (mayHaveRunSince == null && !outcome.neverRan()) {
                mayHaveRunSince = started;
            }
            listener.tryEnded(this, outcome, served);
        }

        /** The first part of a large answer has come: there is no time-out and no other try any more. */
        public void begin(Answer.Begun answer, Instant at) {
            begun = true;
            listener.tryBegun(this, answer, at);
        }

        public boolean begun() {
            return begun;
        }

        /** Whether its first byte may be written now: its connection may have come up too late, or for nobody. */
        public boolean mayGoOut(Instant now) {
            return !ended && !Exchange.this.ended && now.isBefore(startBy()) && now.isBefore(until());
        }

        /** Its first byte is being written. */
        public void goesOut() {
            goneOut = true;
        }

        /** Whether something of it was written; before that it surely has not run. */
        public boolean hasGoneOut() {
            return goneOut;
        }

        /** The request's last byte has gone out: only from now on can the peer's time be told. */
        public void sent(Instant now) {
            started = now;
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

        public long peer() {
            return peer;
        }

        /** Since when the peer has had the request: since its sending began, or, of a large one, ended. */
        public Instant started() {
            return started;
        }

        /** No answer is waited for beyond this, the time it takes to connect included. */
        public Instant until() {
            return until.isBefore(deadline) ? until : deadline;
        }

        /** Its first byte must have been written before this. */
        public Instant startBy() {
            return startBy;
        }
    }

    private final long number;
    private final RequestContext context;
    private final Client client;
    private final Listener listener;
    private Instant deadline;
    private Try outstanding;
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
    public Try begin(int number, long peer, Instant now, Instant until) {
        return begin(number, peer, now, until, until);
    }

    /** The same. @param startBy its first byte may be written before this only */
    public Try begin(int number, long peer, Instant now, Instant until, Instant startBy) {
        if (ended || outstanding != null) {
            return null;
        }
        outstanding = new Try(number, peer, now, until, startBy);
        return outstanding;
    }

    /** @return whether this became the final answer: false if the request had ended before */
    public boolean answer(Answer answer) {
        if (ended) {
            return false;
        }
        ended = true;
        client.answer(answer);
        return true;
    }

    /** The client has gone away; no answer is given any more. */
    public void depart() {
        if (!ended) {
            ended = true;
            listener.departed(this);
        }
    }

    /**
     * Whether an answer is still wanted. To be asked before a request is sent: looks for a client's end that has come
     * in but was not yet read, and takes that for the departure it is.
     */
    public boolean isWanted() {
        if (!ended && !client.isThere()) {
            depart();
        }
        return !ended;
    }

    /** The last byte of an upload has come. */
    public void uploaded(Instant now) {
        if (!ended) {
            deadline = now.plus(context.payload().upload().patience());
            listener.uploaded(this);
        }
    }

    /** When the client stops waiting. */
    public Instant deadline() {
        return deadline;
    }

    public boolean ended() {
        return ended;
    }

    public Try outstanding() {
        return outstanding;
    }

    /** When the first of the tries that have ended began that may have run; null if none of them may have. */
    public Instant mayHaveRunSince() {
        return mayHaveRunSince;
    }

    /** Whether a server may have begun with the request, be it by a try that is still out. */
    public boolean mayHaveRun() {
        return mayHaveRunSince != null || outstanding != null && outstanding.hasGoneOut();
    }

    public long number() {
        return number;
    }

    public RequestContext context() {
        return context;
    }
}
