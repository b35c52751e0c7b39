package rowanplank.balancer;

import java.util.List;

/**
 * The whole interface between a proxy node and its {@link Balancer}.
 *
 * <p>Units: all times and durations are milliseconds on one clock that never goes back; its origin does not matter.
 * Threading: one thread at a time per instance; instances share nothing. Ordering: the node delivers events in the
 * order in which they happened, and carries out actions in the order in which they were called. The balancer calls
 * actions only from its constructor and from within events; they must not call back into it.
 *
 * <p>The node guarantees: exactly one {@link Events#onOutcome} for each {@link Actions#send}, also after the request
 * has ended; a time-out outcome by the request's deadline at the latest; a request id is never used twice.
 */
public interface BalancerApi {

    /** What a repeat of a request may do. */
    enum Effect { REPEATABLE, BY_KEY, ONCE }

    /** The servers that drop repeats of one keyed request among themselves. */
    enum DedupGroup { ALL, ZONE, CELL }

    enum Lifecycle { GONE, READY, DRAINING }

    /** FULL and CACHED lists are complete; a FAILED one carries no servers and changes nothing. */
    enum ListKind { FULL, CACHED, FAILED, DELTA }

    /** How an attempt ended. */
    enum Outcome {
        OK(false), ERROR(false), FULL(true), TIMEOUT(false), CONNECT_FAILED(true), RESET(false), CANCELLED(false),
        MOOT(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** Whether this outcome proves that the server never began the attempt's work. */
        public boolean neverRan() {
            return neverRan;
        }
    }

    /**
     * A server as discovery lists it.
     *
     * @param id opaque; the same at every node and across restarts of the process
     * @param weight rough size against other servers; 1 where nothing is known
     * @param startedAtMs when the process last started; 0 means long ago
     */
    record Server(long id, int zone, int cell, Lifecycle lifecycle, double weight, double startedAtMs) {
        public Server {
            require(weight > 0, "server share");
        }
    }

    /**
     * A request class.
     *
     * @param targetMs an answer within this time earns the whole worth
     * @param deadlineMs how long a client waits at most
     * @param lateWorth fraction of the worth that a late answer earns
     * @param dedupWindowMs for {@link Effect#BY_KEY}: how long servers remember a key, from the first send that may have run
     */
    record RequestClass(double targetMs, double deadlineMs, double worth, double lateWorth,
            Effect effect, DedupGroup dedupGroup, double dedupWindowMs, boolean streaming) {
        public RequestClass {
            require(targetMs > 0, "classes[].aim_ms");
            require(deadlineMs >= targetMs, "classes[].deadline_ms");
            require(worth >= 0, "classes[].worth");
            require(lateWorth >= 0 && lateWorth <= 1, "classes[].late_worth");
            require(dedupWindowMs >= 0, "classes[].window_ms");
        }

        /**
         * Whether a client may be told that asking again is harmless.
         *
         * @param mayHaveRun whether an attempt of its request may have had its effect, or may yet
         */
        public boolean mayBeRejected(boolean mayHaveRun) {
            return !mayHaveRun || effect == Effect.REPEATABLE || effect == Effect.BY_KEY && dedupGroup == DedupGroup.ALL;
        }

        /** How long after the first send that may have run a repeat may begin; the rest is for its way to the server. */
        public double retryWindowMs() {
            return dedupWindowMs * 0.9;
        }
    }

    /** A tenant and the requests per second, over all nodes, that count as within its share. */
    record Tenant(double quotaPerS) {
        public Tenant {
            require(quotaPerS >= 0, "tenants[].quota_per_s");
        }
    }

    /** What the site permits. */
    record Limits(int maxAttempts, boolean cancel, boolean hedging, double maxRetryAfterMs) {
        public Limits {
            require(maxAttempts >= 1, "ceilings.most_tries");
            require(maxRetryAfterMs >= 0, "ceilings.max_retry_after_ms");
        }
    }

    /** The figures of the rules on drains and cold servers. */
    record Rules(double pollWithinMs, double initialCapacity, double warmupMs, double overloadMultiple) {
        public Rules {
            require(pollWithinMs > 0, "rules.ask_within_ms");
            require(initialCapacity > 0 && initialCapacity <= 1, "rules.cold_from");
            require(warmupMs >= 0, "rules.cold_ms");
            require(overloadMultiple > 0, "rules.fall_multiple");
        }
    }

    /**
     * What an instance is told at its start.
     *
     * @param nodes how many instances serve this tier
     * @param node this instance's number among them, from 0
     * @param zone the instance's own zone
     * @param requestList whether the server list comes only when asked for
     * @param crossZoneCost what is lost if every request crosses zones once, as a part of all worth; 0 for none
     */
    record Settings(int nodes, int node, int zone, List<RequestClass> classes, List<Tenant> tenants, double overQuotaWorth,
            Limits limits, Rules rules, boolean requestList, boolean keyAffinity, boolean worthPerWork, double crossZoneCost) {
        public Settings {
            require(crossZoneCost >= 0, "deductions.cross_zone");
            require(nodes >= 1, "balancers");
            require(node >= 0 && node < nodes, "position");
            require(zone >= 0, "zone");
            require(!classes.isEmpty(), "classes");
            require(overQuotaWorth >= 0, "over_share_worth");
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
        }
    }

    /**
     * A client request.
     *
     * @param key requests with equal keys concern the same thing; 0 means none
     * @param deadlineMs clock time at which the client gives this try up
     * @param costMs expected work, or 0 where nothing is known
     * @param clientRetry the client has tried before
     */
    record Request(long id, int classIndex, int tenant, long key, double deadlineMs, double costMs,
            boolean clientRetry) { }

    /**
     * What the node tells the balancer. Unknown, late and repeated outcomes, departures and timers are ignored; a
     * request whose class is not among the settings' throws an {@link IndexOutOfBoundsException} and is not taken.
     */
    interface Events {
        void onServers(double nowMs, ListKind kind, List<Server> servers);

        /** From here on the balancer owes the request one final answer: an OK outcome, a refusal or a failure. */
        void onRequest(double nowMs, Request request);

        /**
         * An attempt's body is on its way, in either direction: a streamed answer has begun and belongs to the client,
         * or the client still sends its request. Until the attempt's outcome neither time-out nor deadline ends it, and
         * that nothing is heard from its server says nothing of it.
         */
        void onStreamStarted(double nowMs, long request, int attempt);

        /** @param concluded the request has ended, by this outcome or before */
        void onOutcome(double nowMs, long request, int attempt, Outcome outcome, double latencyMs,
                boolean concluded);

        /** The client has left; nothing is owed any more. */
        void onClientLeft(double nowMs, long request);

        void onTimer(double nowMs, long token);
    }

    /** What the balancer asks of the node. */
    interface Actions {
        /** Starts the request's next attempt; they are numbered from 0. It ends by {@code timeoutMs} at the latest. */
        void send(long request, long server, double timeoutMs);

        /** Final: not served, and trying again is harmless. */
        void reject(long request, double retryAfterMs);

        /** Final: not served, nothing promised. */
        void fail(long request);

        /** Stops waiting for an attempt; its outcome still comes. */
        void cancel(long request, int attempt);

        /** Asks for {@link Events#onTimer} with this token once the delay has passed. Timers can't be revoked. */
        void timer(double delayMs, long token);

        /** Asks for list changes from now on; answered by one {@link Events#onServers}. */
        void watchServers();

        /**
         * How many tries may be out at a server at once, where that is a part of the fleet's bound and not the module's own
         * choice; below zero where it is. It is asked at every choice, and answers at once.
         */
        default double slotLimit(long server) {
            return -1;
        }

        /** Whether a try beyond a request's first may begin now; where not, it is answered as if none were left to it. */
        default boolean mayRetry() {
            return true;
        }

        /** Closes this node's idle connections to a server. */
        void closeIdle(long server);

        void log(String line);
    }

    private static void require(boolean holds, String setting) {
        if (!holds) {
            throw new IllegalArgumentException("setting out of range: " + setting);
        }
    }
}
