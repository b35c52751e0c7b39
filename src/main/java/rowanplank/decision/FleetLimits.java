package rowanplank.decision;

import java.time.Duration;

/** What this node may do of what the fleet bounds as a whole. Each question is answered at once, at constant cost. */
public interface FleetLimits {
    /** Nothing is bounded. */
    FleetLimits NONE = new FleetLimits() { };

    /** A request's first try goes out. */
    default void recordFirstAttempt() { }

    /** Whether a try beyond a request's first could begin now; where not, that counts as refused. */
    default boolean mayRetry() {
        return true;
    }

    /** Whether a try beyond a request's first begins now. */
    default boolean tryAcquireRetry() {
        return true;
    }

    /** Zero where discovery is called now; else when to ask again. */
    default Duration tryAcquireDiscoveryCall() {
        return Duration.ZERO;
    }
}
