package rowanplank.lab.check;

/** What must hold in every day. Each constant's class in this package states the formula and what it excuses. */
public enum Rule {
    /** Each request that a node has taken gets one final answer, in time. */
    FINAL_ANSWER,
    /** One try of a request is out at a time, no more than are allowed, and none after its end. */
    ONE_TRY,
    /** What must not run twice is not sent again, and not refused, once it may have run. */
    EFFECT,
    /** Nothing new goes to a server that drains, is gone, or was never named. */
    DRAIN,
    /** No cold server is overdriven by those that were told of its start. */
    COLD_SERVER,
    /** What a client is served is what a server made for its request. */
    SERVED_BYTES,
    /** A bad client is told an error or closed in time, and never served. */
    BAD_CLIENT,
    /** A node neither breaks nor ends by itself, and holds nothing when all is at rest. */
    NODE_HEALTH,
    /** The day ends. */
    END_OF_DAY,
    /** A node that is told to stop answers what it has taken. */
    PLANNED_STOP
}
