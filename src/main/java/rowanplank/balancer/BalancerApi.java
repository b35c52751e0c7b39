package rowanplank.balancer;

import java.util.List;

/**
 * The interface between a proxy node and its {@link Balancer}.
 *
 * <p>Units: all times and durations are milliseconds of one monotonic clock with an arbitrary origin. Threading:
 * one thread at a time per instance; instances share nothing. Ordering: the node delivers events in the order in
 * which they happened, and carries out actions in the order in which they were called. The balancer calls actions
 * only from its constructor and from within events; actions must not call back into it.
 *
 * <p>The node guarantees exactly one {@link Events#onOutcome} for each {@link Actions#send}, also after the
 * request has ended; a time-out outcome by the request's deadline at the latest; and that a request id is never
 * reused.
 */
public interface BalancerApi {

    /**
     * How a request may be repeated: any number of times, only where servers deduplicate it by its key, or not at all
     * once it may have run.
     */
    enum Effect { REPEATABLE, BY_KEY, ONCE }

    /**
     * The scope in which servers deduplicate the attempts of a keyed request: all servers, those of one zone or those
     * of one cell.
     */
    enum DedupGroup { ALL, ZONE, CELL }

    /** The state of a server. Only READY servers get new requests. */
    enum Lifecycle { GONE, READY, DRAINING }

    /**
     * The kinds of server lists. FULL and CACHED lists are complete, a DELTA holds changes only, and a FAILED one
     * holds no servers and changes nothing.
     */
    enum ListKind { FULL, CACHED, FAILED, DELTA }

    /**
     * How an attempt ended. FULL is a rejection by the server; MOOT means that the attempt was not sent after all.
     */
    enum Outcome {
        OK(false), ERROR(false), FULL(true), TIMEOUT(false), CONNECT_FAILED(true), RESET(false), CANCELLED(false),
        MOOT(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** Returns whether this outcome proves that the server never began to process the attempt. */
        public boolean neverRan() {
            return neverRan;
        }
    }

    /**
     * A server as discovery lists it.
     *
     * @param id opaque; the same at every node and across restarts of the process
     * @param weight approximate capacity relative to other servers; 1 if nothing is known
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
     * @param targetMs the target latency; a response within this time earns the full worth
     * @param deadlineMs how long a client waits at most
     * @param worth the value of a response in time, relative to other classes
     * @param lateWorth the fraction of the worth that a late response earns
     * @param dedupWindowMs for {@link Effect#BY_KEY}: how long servers remember a key, from the first attempt that
     *     may have run
     * @param streaming whether responses of this class are streams
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
         * Returns whether a request may be rejected, which tells the client that a retry is harmless.
         *
         * @param mayHaveRun whether an attempt of the request may have had its effect, or may still have it
         */
        public boolean mayBeRejected(boolean mayHaveRun) {
            return !mayHaveRun || effect == Effect.REPEATABLE
                    || effect == Effect.BY_KEY && dedupGroup == DedupGroup.ALL;
        }

        /**
         * Returns how long after the first attempt that may have run a retry may begin, in milliseconds. A tenth of
         * the deduplication window is left for its way to the server.
         */
        public double retryWindowMs() {
            return dedupWindowMs * 0.9;
        }
    }

    /**
     * A tenant.
     *
     * @param quotaPerS the requests per second, over all nodes, that count as within its quota
     */
    record Tenant(double quotaPerS) {
        public Tenant {
            require(quotaPerS >= 0, "tenants[].quota_per_s");
        }
    }

    /**
     * What the site permits.
     *
     * @param maxAttempts attempts per request at most, including the first
     * @param cancel whether pending attempts may be cancelled
     * @param hedging whether a second attempt may be sent while the first is pending
     * @param maxRetryAfterMs the longest Retry-After advice
     */
    record Limits(int maxAttempts, boolean cancel, boolean hedging, double maxRetryAfterMs) {
        public Limits {
            require(maxAttempts >= 1, "ceilings.most_tries");
            require(maxRetryAfterMs >= 0, "ceilings.max_retry_after_ms");
        }
    }

    /**
     * The parameters of the rules on server lists and cold servers.
     *
     * @param pollWithinMs how soon the server list must be requested again
     * @param initialCapacity the fraction of its capacity that a server has at its start, at least
     * @param warmupMs how long after its start a server has its full capacity
     * @param overloadMultiple a server is overloaded by more than this multiple of its present capacity
     */
    record Rules(double pollWithinMs, double initialCapacity, double warmupMs, double overloadMultiple) {
        public Rules {
            require(pollWithinMs > 0, "rules.ask_within_ms");
            require(initialCapacity > 0 && initialCapacity <= 1, "rules.cold_from");
            require(warmupMs >= 0, "rules.cold_ms");
            require(overloadMultiple > 0, "rules.fall_multiple");
        }
    }

    /**
     * The settings of an instance.
     *
     * @param nodes the number of instances that serve this tier
     * @param node this instance's index among them, from 0
     * @param zone the instance's own zone
     * @param overQuotaWorth the worth of a tenant's requests over quota, relative to those within it
     * @param requestList whether the server list is only sent on request
     * @param keyAffinity whether requests with equal keys should go to the same server
     * @param worthPerWork whether queued requests are ordered by worth per mean latency instead of by worth
     * @param crossZoneCost the fraction of all worth that is lost if every request crosses zones once; 0 for none
     */
    record Settings(int nodes, int node, int zone, List<RequestClass> classes, List<Tenant> tenants,
            double overQuotaWorth, Limits limits, Rules rules, boolean requestList, boolean keyAffinity,
            boolean worthPerWork, double crossZoneCost) {
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
     * @param key requests with equal keys concern the same object; 0 means none
     * @param deadlineMs when the client gives up
     * @param costMs expected work, or 0 if nothing is known
     * @param clientRetry whether the client has sent the request before
     */
    record Request(long id, int classIndex, int tenant, long key, double deadlineMs, double costMs,
            boolean clientRetry) { }

    /**
     * The events that the node reports to the balancer. Outcomes, client departures and timers that are unknown, late
     * or repeated are ignored. A request whose class is not in the settings is not accepted; it throws an {@link
     * IndexOutOfBoundsException}.
     */
    interface Events {
        /** A server list has arrived, or could not be obtained. */
        void onServers(double nowMs, ListKind kind, List<Server> servers);

        /** A request has arrived. It must get one final response: an OK outcome, a rejection or a failure. */
        void onRequest(double nowMs, Request request);

        /**
         * A body of the attempt is being transferred in either direction: a streamed response has started and is
         * being passed to the client, or the client is still sending its request. Until the attempt's outcome,
         * neither time-out nor deadline ends it, and silence of its server means nothing.
         */
        void onStreamStarted(double nowMs, long request, int attempt);

        /**
         * An attempt has ended.
         *
         * @param latencyMs the time since the server received the request
         * @param concluded whether the request has ended, by this outcome or before
         */
        void onOutcome(double nowMs, long request, int attempt, Outcome outcome, double latencyMs,
                boolean concluded);

        /** The client has disconnected; no response is needed any more. */
        void onClientLeft(double nowMs, long request);

        /** A timer set by {@link Actions#timer} has expired. */
        void onTimer(double nowMs, long token);
    }

    /** The actions that the balancer requests from the node. */
    interface Actions {
        /**
         * Starts the request's next attempt; attempts are numbered from 0. The attempt ends after {@code timeoutMs}
         * at the latest.
         */
        void send(long request, long server, double timeoutMs);

        /** Final response: the request was not served and a retry is harmless. */
        void reject(long request, double retryAfterMs);

        /** Final response: the request was not served, and it may have had its effect. */
        void fail(long request);

        /** Cancels an attempt; its outcome still follows. */
        void cancel(long request, int attempt);

        /** Schedules an {@link Events#onTimer} with this token after the delay. Timers cannot be cancelled. */
        void timer(double delayMs, long token);

        /** Subscribes to list changes from now on; {@link Events#onServers} is called once in response. */
        void watchServers();

        /**
         * Returns how many attempts this node may have pending at a server at once if that is an allocation of a
         * fleet-wide limit; negative if the balancer chooses the limit itself. It is called at every choice and must
         * return immediately.
         */
        default double slotLimit(long server) {
            return -1;
        }

        /** Returns whether a retry may begin now. If not, the request is handled as if it had no attempts left. */
        default boolean mayRetry() {
            return true;
        }

        /** Closes this node's idle connections to a server. */
        void closeIdle(long server);

        /** Writes a line to the node's log. */
        void log(String line);
    }

    private static void require(boolean holds, String setting) {
        if (!holds) {
            throw new IllegalArgumentException("setting out of range: " + setting);
        }
    }
}
