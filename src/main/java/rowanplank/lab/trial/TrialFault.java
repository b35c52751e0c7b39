package rowanplank.lab.trial;

import java.util.List;

/**
 * One fault of a trial, as a line that can be written down and played again. It was drawn ({@link Trouble}), or a person
 * wrote it. Nodes are named as in the history; {@code leader} and {@code holder} are whoever that is when it comes.
 *
 * @param atMs after the first moment in which something may break
 * @param node empty where it lies in ways; of {@link What#OUT} and {@link What#IN} the voter
 * @param ms how long it lasts; of what ends a node, how long it is away
 * @param ways of datagrams, {@code n1>n2}; {@code *} stands for all others
 * @param figures of {@link What#SICK}: shares lost, doubled and cut short, delay and its spread in ms; of
 *     {@link What#SLOW_DISK}: how much longer a sync takes, in ms
 * @param note what a person reads in the history; empty where the fault is told otherwise
 */
public record TrialFault(long atMs, What what, String node, long ms, List<String> ways, List<Double> figures, String note) {
    /** Where faults name whoever it is at that time. */
    public static final String LEADER = "leader";
    public static final String HOLDER = "holder";

    /** What it does. */
    public enum What {
        CUT, SICK, STALL, HELD_START, HELD_TURN, KILL, STOP, RELEASE, RELOAD, OUT, IN, SLOW_DISK, FULL_DISK, TORN, FLIPPED, LOST, OLDER
    }

    public TrialFault {
        ways = List.copyOf(ways);
        figures = List.copyOf(figures);
    }

    /** One that befalls a node. */
    public static TrialFault of(long atMs, What what, String node, long ms) {
        return new TrialFault(atMs, what, node, ms, List.of(), List.of(), "");
    }

    /** Nothing passes on these ways. */
    public static TrialFault cut(long atMs, long ms, String... ways) {
        return new TrialFault(atMs, What.CUT, "", ms, List.of(ways), List.of(), "cut " + String.join(" ", ways));
    }

    /** Syncs take so much longer. */
    public static TrialFault slow(long atMs, String node, long ms, double byMs) {
        return new TrialFault(atMs, What.SLOW_DISK, node, ms, List.of(), List.of(byMs), "slow disk at " + node);
    }

    public TrialFault at(long otherMs) {
        return new TrialFault(otherMs, what, node, ms, ways, figures, note);
    }

    public TrialFault lasting(long otherMs) {
        return new TrialFault(atMs, what, node, otherMs, ways, figures, note);
    }

    public TrialFault on(List<String> otherWays) {
        return new TrialFault(atMs, what, node, ms, otherWays, figures, note);
    }
}
