package rowanplank.ledger;

/**
 * What came of a request.
 *
 * @param value a session's number, or a fence; else 0
 * @param node who holds it, or who leads; else empty
 */
public record Result(Kind kind, long value, String node) {
    /** The order is that of the codec: new ones go to the end. */
    public enum Kind {
        /** The session's number is the value. */
        OPENED,
        /** The fence is the value. */
        GRANTED,
        /** It waits for its turn; another answer follows. */
        PARKED,
        /** Somebody else holds it under this fence. */
        HELD,
        RELEASED,
        /** The session stands, and all that it holds. */
        RENEWED,
        /** There is no such session (any more). */
        NO_SESSION,
        /** The request's number is under its session's floor. */
        STALE,
        /** A bound is reached. */
        FULL,
        /** Nobody holds it; the value is the fence of the last grant of any lease. */
        FREE,
        /** Ask the node named here, or another where none is named. */
        NOT_LEADER,
        /** The run in this period is the asker's. */
        CLAIMED,
        /** Somebody has claimed the run in this period, which is the asked one or a later one. */
        DONE,
        /** The asker does not hold the lease under that fence. */
        NOT_HELD,
        /** That period is still to come, by the leader's clock. */
        AHEAD,
        /** Not all voters understand this yet: some are of an earlier version. */
        TOO_NEW,
        /** A budget is as asked for; the value is a figure of it. */
        SET,
        /** The whole would be less than what is set aside, or there is no such budget. */
        TOO_SMALL,
        /** Parts may be had under this epoch, which is the value. */
        JOINED,
        /** The asker has no parts, or not under this epoch. */
        NOT_JOINED,
        /** It was taken back; the value is the change's number. */
        GIVEN,
        /** What has changed of parts, up to the change whose number is the value. */
        PARTS
    }

    public static Result of(Kind kind) {
        return new Result(kind, 0, "");
    }

    public static Result of(Kind kind, long value) {
        return new Result(kind, value, "");
    }
}
