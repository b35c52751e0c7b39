package rowanplank.decision;

import java.time.Duration;

/** What this node may do of what the fleet bounds as a whole. Each question is answered at once, at constant cost. */
public interface Bounds {
    /** Nothing is bounded. */
    Bounds NONE = new Bounds() { };

    /** A request's first try goes out. */
    default void firstTry() { }

    /** Whether a try beyond a request's first could begin now; where not, that counts as refused. */
    default boolean mayTryAgain() {
        return true;
    }

    /** Whether a try beyond a request's first begins now. */
    default boolean tryAgain() {
        return true;
    }

    /** Zero where discovery is called now; else when to ask again. */
    default Duration call() {
        return Duration.ZERO;
    }
}
