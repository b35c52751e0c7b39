package rowanplank.lab.policy;

import rowanplank.balancer.BalancerApi.Request;

/**
 * What a rival's original has and the module's interface lacks. There only for policies of the laboratory. What
 * listeners are told they remember: they call no action and no {@link Choice} from it.
 */
public interface Extras {
    /** There is none of it: for a module that only outcomes are known to. */
    Extras NONE = new Extras() { };

    /**
     * What a server said of its load, as old as the site makes it.
     *
     * @param queue requests that wait there
     * @param latencyMs its recent time in work, without waiting
     * @param utilisation share of its cores' time with something to do
     */
    record Report(double queue, double latencyMs, double utilisation) { }

    /**
     * What a server of Prequal's own says in a probe's answer.
     *
     * @param latencyMs median of what requests that came to so many lately took; below 0 where there is none
     */
    record Crowd(int inFlight, double latencyMs) { }

    /** Who hears of load. */
    interface Listener {
        /** An answer from this server had a report. */
        default void onReport(double nowMs, long server, Report report) { }

        /** A probe was answered in time. Either may be null: the answer had none that can be read. */
        default void onProbe(double nowMs, long server, Report report, Crowd crowd) { }
    }

    default void listen(Listener listener) { }

    /** Sends a probe to a server; what does not come within this time never does. */
    default void probe(long server, double timeoutMs) { }

    /** How long until a request sent there now has its answer: see {@link rowanplank.lab.site.Truth}. */
    default double doneInMs(Request request, long server) {
        throw new UnsupportedOperationException("nothing is known here of the true state of servers");
    }

    /** Whether one more request would cost the server throughput. */
    default boolean isCrowded(long server) {
        return false;
    }

    /** Tells the world that the request has been sent there now. */
    default void sent(Request request, long server) { }
}
