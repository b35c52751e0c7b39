package rowanplank.lab.check;

/** What is counted and breaks no rule. */
public enum Count {
    /** Requests taken: asked on a connection that the node's machine had accepted. */
    TAKEN,
    /** Tries that came whole to a server. */
    TRIES,
    /**
     * Requests that no server was sent whole, refused or failed after more than half of their time, or never answered:
     * each costs a part of its worth.
     */
    LATE_UNTRIED,
    /** Refusals without {@code Retry-After} where the site allows one. */
    WITHOUT_RETRY_AFTER,
    /** Events of a request that had been judged, since they came later than anything should. */
    UNJUDGED
}
