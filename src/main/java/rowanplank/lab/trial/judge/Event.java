package rowanplank.lab.trial.judge;

/**
 * One line of a trial's history.
 *
 * @param at microseconds since the trial began, by the trial's clock
 * @param node whose; empty where it is nobody's
 * @param name a lease's or a budget's, or what a node is doing
 * @param number a fence, an epoch, a term, or a status
 * @param other a process's number, or up to where a log was applied
 * @param text what a person reads, a digest, or the period of an act that must be the only one in it
 */
public record Event(long at, Kind kind, String node, String name, long number, long other, String text) {
    /** What happened. */
    public enum Kind {
        /** An act of {@code name} under the fence or epoch {@code number} by the process {@code other} began, ended. */
        BEGIN, END,
        /** A node says: role {@code name}, term {@code number}, applied {@code other}, digest {@code text}. */
        STATUS,
        /** A voter says that it takes no part any more, and why. */
        HALTED,
        /** A node was started; killed by the trial; ended with status {@code number}. */
        STARTED, KILLED, ENDED,
        /** A node stood still from here on, {@code number} microseconds. */
        STALLED,
        /** What {@code node} thinks of node {@code name} from now on: {@code text}. */
        SEEN,
        /** A node's disk takes nothing for {@code number} microseconds: it is right that its voter steps aside, until it is started anew. */
        FULL,
        /** A voter's state was spoilt by the trial: it is right that it does not come up. */
        SPOILT,
        /** Any other fault that the trial brought about. */
        FAULT,
        /** A fault of the kind {@code name} is drawn, whatever comes of it: nothing, or several of the above. */
        DRAWN,
        /** A question who holds {@code name} was asked, as number {@code other}, of {@code node}. */
        ASKED,
        /** Its answer: the fence is {@code number}. */
        READ,
        /** A client of the ledger sends request {@code other} for lease {@code name}: {@code text} is what. */
        SENT,
        /** What it is told of request {@code other}, each time: {@code text}; the fence of a grant is {@code number}. */
        TOLD,
        /** No fault from here on, and all that was stopped runs again. */
        QUIET,
        /** The trial is over. */
        OVER,
        /** A voter that has applied {@code other} entries says {@code text} of budget {@code name}: see {@link Told}. */
        BUDGET,
        /** Staff ask, as number {@code other}, that the whole of budget {@code name} be {@code number}; or it came to nothing. */
        WHOLE,
        /** A node's file says from now on that it wants {@code number} copies of what uses budget {@code name}. */
        DEMAND,
        /**
         * A voter with the role {@code name} that has entries up to {@code number}, and has applied {@code other}, says
         * {@code text} of the order of work: see {@link ToldWork}.
         */
        WORK,
        /**
         * A node says of its own machine's line that it is in the state {@code name} under the fence {@code number}; the
         * {@code text} is {@code serves} or {@code drained}.
         */
        OWN,
        /** In virtual time: just now the node has begun to take no clients for the order of work's sake. */
        DRAINS,
        /** Staff say {@code text} of {@code name}, as call {@code other} under the number {@code number}, at {@code node}. */
        STAFF,
        /** What came of call {@code other}: {@code done}, {@code refused}, or {@code unknown}. */
        STAFF_TOLD,
        /** Staff drain the node by hand, or take it back to work: {@code text} is {@code evacuate} or {@code rejoin}. */
        BY_HAND,
        /** A client has sent request {@code other} to the node. */
        REQUEST,
        /** It was answered with status {@code number}. */
        ANSWER,
        /** It had no answer; {@code text} is why. */
        UNANSWERED
    }

    /** As one line: tabs between the fields. */
    public String line() {
        return String.join("\t", Long.toString(at), kind.name(), node, name, Long.toString(number),
                Long.toString(other), text.replaceAll("[\t\r\n]", " "));
    }

    /** @throws IllegalArgumentException if it is no line of a history */
    public static Event parse(String line) {
        String[] f = line.split("\t", -1);
        if (f.length != 7) {
            throw new IllegalArgumentException("no line of a history: " + line);
        }
        return new Event(Long.parseLong(f[0]), Kind.valueOf(f[1]), f[2], f[3], Long.parseLong(f[4]),
                Long.parseLong(f[5]), f[6]);
    }
}
