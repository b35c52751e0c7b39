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

    /** What a node's machine is to do; it stands there. */
    public record Poll(String machine, String hall) implements What { }

    /** It has done what its machine's line asked of it in that state. */
    public record Step(long fence, Work.State from) implements What { }

    /** Staff's word, at whichever node; the same number is done once. */
    public record Staff(Command.Staff words) implements What { }

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
