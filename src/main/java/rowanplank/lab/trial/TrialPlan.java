package rowanplank.lab.trial;

import java.time.Duration;
import java.util.List;
import rowanplank.fleet.wire.EnvelopeCodec;

/**
 * What a trial is to be.
 *
 * @param kind what it is about
 * @param command starts a node: the operator's file is put behind it; empty where all are stand-ins
 * @param standIn starts a node whose disk can be slow or full, which can be held up as it begins a task, and whose clock
 *     runs at another rate, put behind this before the file; empty where there is to be none
 * @param folder where all that it writes goes
 * @param lease its length, or that of a part of a budget
 * @param faults what may break; all where none is named
 * @param gap how far apart faults are on average
 * @param quiet at the end nothing breaks for so long
 */
public record TrialPlan(TrialKind kind, int nodes, long seed, Duration length, Duration quiet, Duration lease,
        List<Trouble.Kind> faults, Duration gap, List<String> command, List<String> standIn, String folder) {
    /** The stalls that the acts' bound includes. */
    static final Duration ALLOWANCE = Duration.ofMillis(200);
    /** The longest that an act may take. */
    static final Duration LONGEST = Duration.ofMillis(200);
    static final Duration LEAST_QUIET = Duration.ofSeconds(4);
    static final String LEASE = "recorder";
    /** The lease of a task that is to run once in a period. */
    static final String DAILY = "daily";
    static final Duration PERIOD = Duration.ofSeconds(1);
    /** Most trials' logs are too short for a snapshot at the usual distance: in a third of them it is nearer. */
    private static final int NEAR = 24;
    private static final int USUAL = 1024;
    /** Small enough that each entry goes by itself. */
    private static final int SMALL = 40;

    public TrialPlan {
        faults = List.copyOf(faults);
        command = List.copyOf(command);
        standIn = List.copyOf(standIn);
    }

    /** One in virtual time, with all that may break, by leases of a second. */
    public static TrialPlan virtual(TrialKind kind, int nodes, long seed, Duration length) {
        return new TrialPlan(kind, nodes, seed, length, kind.quiet(), Duration.ofSeconds(1), List.of(), Trouble.GAP, List.of(),
                List.of(), "");
    }

    /** A new leader waits for a whole lease before another node is granted it: no end is judged sooner than that allows. */
    public static Duration leastQuiet(Duration lease) {
        Duration least = lease.plusSeconds(3);
        return least.compareTo(LEAST_QUIET) < 0 ? LEAST_QUIET : least;
    }

    /** So many of the nodes vote. */
    int voters() {
        return nodes < 3 ? 1 : nodes < 5 ? 3 : 5;
    }

    /** With so many decided entries behind it, a snapshot is made. */
    int snapshot() {
        return seed % 3 == 0 ? NEAR : USUAL;
    }

    /**
     * Of the entries in one message. A new leader's first entry usually goes with all that stands before it; in a fifth of
     * the trials there is time for a fault between one and the next.
     */
    int mostBytes() {
        return seed % 5 == 0 ? SMALL : EnvelopeCodec.MAX_CONTENT_BYTES;
    }

    static String name(int node) {
        return "n" + (node + 1);
    }
}
