package rowanplank.ledger;

import java.time.Duration;
import java.util.List;

/**
 * What a node asks of the leader.
 *
 * @param incarnation tells this process from others of its name
 * @param session 0 where it has none yet
 * @param floor all requests with lower numbers are over
 */
public record Ask(String node, long incarnation, long session, long floor, long number, What what) {
    /** What is asked for. */
    public sealed interface What { }

    public record Open() implements What { }

    /** All that the session holds, from the moment of asking on. */
    public record Renew() implements What { }

    public record Acquire(String lease, Duration length) implements What { }

    /** Also what waits for its turn. @param fence 0 for whichever the session holds it under */
    public record Release(String lease, long fence) implements What { }

    /**
     * The one run of a task in a period, for whoever holds the lease under that fence.
     *
     * @param every a period's length; they are counted from the beginning of 1970, by clocks on the wall
     */
    public record Claim(String lease, long fence, String task, Duration every, long period) implements What { }

    /** Who holds it, as of a moment after the asking. */
    public record Read(String lease) implements What { }

    /**
     * To have parts of budgets from now on, under a new epoch.
     *
     * @param length how long they last without a renewal
     * @param lasting after how long a use is over that was begun under one
     */
    public record Join(Duration length, Duration lasting) implements What { }

    /**
     * All parts, from the moment of asking on.
     *
     * @param known all changes of its parts up to this number have been heard of
     * @param wishes what of each budget would be used
     */
    public record Parts(long epoch, long known, List<Wish> wishes) implements What {
        public Parts {
            wishes = List.copyOf(wishes);
        }
    }

    /** So much of a part is used at the most from now on. */
    public record Give(long epoch, String budget, Share most) implements What { }

    /** No parts any more: all uses are over. */
    public record Leave() implements What { }

    /** What a node's machine is to do; it stands there. @param service how it serves; null where it does not say */
    public record Poll(String machine, String hall, Service service) implements What {
        /** Of a node that says nothing of its service. */
        public Poll(String machine, String hall) {
            this(machine, hall, null);
        }
    }

    /**
     * How a node has served lately, or since it came back where that is later.
     *
     * @param served requests answered with a page
     * @param refused requests turned away or rejected
     * @param failed requests that could not be answered with either
     * @param open requests at once, on average
     * @param used places at page servers in use at once, of all of them together
     * @param servers at which it may use places; 0 where places are not shared
     */
    public record Service(long served, long refused, long failed, long open, long used, long servers) {
        public static final Service NONE = new Service(0, 0, 0, 0, 0, 0);

        public long answered() {
            return served + refused + failed;
        }

        Service plus(Service o) {
            return new Service(served + o.served, refused + o.refused, failed + o.failed, open + o.open, used + o.used,
                    Math.max(servers, o.servers));
        }

        /** The part of what was asked that was served; 1 where nothing was asked. */
        public double part() {
            return answered() == 0 ? 1 : (double) served / answered();
        }
    }

    /** It has done what its machine's line asked of it in that state. */
    public record Step(long fence, Work.State from) implements What { }

    /** Staff's word, at whichever node; the same number is done once. */
    public record Staff(Command.Staff words) implements What { }

    /** The order of work as the leader tells it to staff, a piece of it: from so many letters on. */
    public record Look(int from) implements What {
        private static final int LENGTH = 24;
        private static final long MASK = (1L << LENGTH) - 1;

        /** Says which text a piece is of, and how long that is. */
        public static long stamp(String whole) {
            return (whole.hashCode() & MASK) << LENGTH | whole.length() & MASK;
        }

        public static int length(long stamp) {
            return (int) (stamp & MASK);
        }
    }

    /**
     * @param amount in uses; of a rate in thousandths of a use a second
     * @param weight the mean worth of what it is for, in thousandths; see {@link Division}
     */
    public record Wish(String budget, long amount, int weight) {
        public Wish(String budget, long amount) {
            this(budget, amount, Division.NORMAL);
        }
    }

    /** A part, as its holder is told of it. @param change the number of its last change */
    public record Told(String budget, long epoch, Share amount, Share target, long change) { }

    /**
     * The answer's way back.
     *
     * @param number of the ask; 0 where nothing was asked, and parts have changed
     * @param parts what has changed of parts; mostly nothing
     * @param line of the asker's machine; mostly null
     */
    public record Answer(long incarnation, long number, Result result, List<Told> parts, Work.Line line) {
        public Answer {
            parts = List.copyOf(parts);
        }

        public Answer(long incarnation, long number, Result result) {
            this(incarnation, number, result, List.of(), null);
        }

        public Answer(long incarnation, long number, Result result, List<Told> parts) {
            this(incarnation, number, result, parts, null);
        }

        public Answer(long incarnation, long number, Result result, Work.Line line) {
            this(incarnation, number, result, List.of(), line);
        }
    }
}
