package rowanplank.lab.day;

import java.time.Duration;

/**
 * Something that goes wrong.
 *
 * @param at when it begins
 * @param length how long it lasts; zero for what happens in an instant
 * @param target which node, server, hall or directed pair of halls (first times the number of halls plus second);
 *        {@link #ALL} for all of them
 * @param size how strong it is; what it means stands at the kind
 */
public record Fault(Kind kind, Duration at, Duration length, int target, double size) {
    public static final int ALL = -1;

    /** What a fault is at. */
    public enum At { SERVER, NODE, HALL, PAIR_OF_HALLS, DISCOVERY, CLIENTS }

    /** The kinds of fault; size: what its field means, and its bounds. */
    public enum Kind {
        /** size: so many times slower. */
        SLOW(At.SERVER, 1, 100),
        /** It stands still now and then. size: milliseconds a pause; as much again and twice that lies between two. */
        PAUSES(At.SERVER, 1, 10_000),
        /** size: the share of requests answered 500. */
        ERRORS(At.SERVER, 0, 1),
        /** size: the share of answers that can't be read. */
        SPOILT(At.SERVER, 0, 1),
        /** Answers are good, but more comes with them than belongs there. size: the share. */
        EXTRAS(At.SERVER, 0, 1),
        /** size: the share of requests at which the connection is reset. */
        RESETS(At.SERVER, 0, 1),
        /** size: the share of requests after which the connection stays open and silent for ever. */
        SILENT(At.SERVER, 0, 1),
        /** Load reports come later. size: milliseconds more. */
        REPORTS_LATE(At.SERVER, 0, 60_000),
        /** Load reports that can't be read. size: the share. */
        REPORTS_BROKEN(At.SERVER, 0, 1),
        /** Its process is killed and comes back cold, under its name, after the fault's length. */
        SERVER_KILLED(At.SERVER, 0, 0),
        /** Its machine falls silent for the fault's length. */
        SERVER_VANISHED(At.SERVER, 0, 0),
        /** It drains, ends when it has nothing left, and is ready again, cold, after the fault's length. */
        SERVER_DRAINED(At.SERVER, 0, 0),
        /** A new one under a new name takes its place, at its address where size is 1. */
        SERVER_REPLACED(At.SERVER, 0, 1),
        /** The roster's news come later. size: milliseconds more. */
        DISCOVERY_STALE(At.DISCOVERY, 0, 120_000),
        /** Agents say nothing. */
        DISCOVERY_OUTAGE(At.DISCOVERY, 0, 0),
        /** size: the share of answers that stop half-way. */
        DISCOVERY_HALF(At.DISCOVERY, 0, 1),
        /** size: the share of answers that can't be read. */
        DISCOVERY_MALFORMED(At.DISCOVERY, 0, 1),
        /** Agents move to new addresses and nodes are told by a new configuration and SIGHUP. */
        DISCOVERY_MOVED(At.DISCOVERY, 0, 0),
        /** Its process is killed, and started again after the fault's length with its last list. */
        NODE_KILLED(At.NODE, 0, 0),
        /** A planned restart: SIGTERM, and a start after the fault's length or when it has ended, whichever is later. */
        NODE_RESTARTED(At.NODE, 0, 0),
        /** Its machine falls silent for the fault's length. */
        NODE_VANISHED(At.NODE, 0, 0),
        /** Its process stands still for the fault's length. */
        NODE_PAUSED(At.NODE, 0, 0),
        /** SIGHUP with a configuration; size 1: one that can't be used. */
        NODE_RELOADED(At.NODE, 0, 1),
        /** Its operators drain it, and take it back to work after the fault's length. */
        NODE_DRAINED(At.NODE, 0, 0),
        /** It has less of its core. size: the share that is left. */
        NODE_SHORT(At.NODE, 0.01, 1),
        /** Nothing passes from the first hall to the second. */
        CUT(At.PAIR_OF_HALLS, 0, 0),
        /** size: the share of segments and datagrams lost between the halls, one way. */
        LOSS(At.PAIR_OF_HALLS, 0, 0.9),
        /** size: milliseconds more between the halls, one way. */
        DELAY(At.PAIR_OF_HALLS, 0, 10_000),
        /** size: so many times the rate. */
        SPIKE(At.CLIENTS, 0, 100),
        /** size: the skew in force. */
        SKEW(At.CLIENTS, 0, 1),
        /** Bad clients of all kinds. size: connections a second, over all nodes. */
        BAD_CLIENTS(At.CLIENTS, 0, 10_000),
        /** Clients connect and say nothing. size: connections a second, over all nodes. */
        SILENT_CLIENTS(At.CLIENTS, 0, 10_000);

        private final At at;
        private final double least;
        private final double most;

        Kind(At at, double least, double most) {
            this.at = at;
            this.least = least;
            this.most = most;
        }

        public At at() {
            return at;
        }

        public double least() {
            return least;
        }

        public double most() {
            return most;
        }

        /** Whether its size has no meaning. */
        public boolean sizeless() {
            return least == 0 && most == 0;
        }
    }
}
