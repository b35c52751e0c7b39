package rowanplank.decision;

import java.time.Duration;

/**
 * Limits that apply to the whole fleet, as seen by this node. Each call returns immediately and takes constant time.
 */
public interface FleetLimits {
    /** No limits. */
    FleetLimits NONE = new FleetLimits() { };

    /** Records that the first attempt of a request is being sent. */
    default void recordFirstAttempt() { }

    /** Returns whether a retry could begin now; if not, this counts as one that was rejected. */
    default boolean mayRetry() {
        return true;
    }

    /** Takes the allowance for a retry that begins now; returns false if there is none. */
    default boolean tryAcquireRetry() {
        return true;
    }

    /**
     * Takes the allowance for one call to discovery.
     *
     * @return zero if discovery may be called now; otherwise the delay after which to ask again
     */
    default Duration tryAcquireDiscoveryCall() {
        return Duration.ZERO;
    }
}
