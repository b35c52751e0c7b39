package routerfleet.control;

import java.util.ArrayList;
import java.util.List;

/**
 * What callers of tallies and a fault injector did and observed: the input of {@link TallyHistoryChecker}. Times are in
 * nanoseconds of one clock; a period that hasn't ended lasts until {@link #OPEN}.
 */
final class TallyHistory {
    static final long OPEN = Long.MAX_VALUE;

    /**
     * One attempt of a call.
     *
     * @param caller location of the caller
     * @param life number of the machine's process, counted over its starts, that the call was sent to
     * @param status 0 if no response arrived in time
     */
    record Attempt(String caller, String machine, int life, long sentNanos, long answeredNanos, int status) {
        boolean isAcknowledged() {
            return status == 200;
        }

        /** Whether the response promises that the call had no effect. */
        boolean isRefused() {
            return status == 503 || status == 429;
        }
    }

    /** An add, with all attempts that have the same uid and amount. */
    static final class Add {
        final String tally;
        final String uid;
        final long amount;
        final List<Attempt> attempts = new ArrayList<>();

        Add(String tally, String uid, long amount) {
            this.tally = tally;
            this.uid = uid;
            this.amount = amount;
        }

        /** Whether the add may be counted in a response that arrived at a moment. */
        boolean couldCountBy(long nanos) {
            return attempts.stream().anyMatch(t -> t.sentNanos() < nanos && !t.isRefused());
        }

        @Override
        public String toString() {
            return "add " + uid + " of " + amount;
        }
    }

    /** A read of a tally; the total counts only where the status is 200. */
    record Read(String tally, Attempt attempt, long total) { }

    /** A disruption of any kind. @param isCut whether it only cuts connections between machines */
    record Disruption(String what, boolean isCut, long fromNanos, long untilNanos) { }

    /** A connection that is cut in one or both directions; between two machines, or a caller and a machine. */
    record Cut(String one, String other, long fromNanos, long untilNanos) {
        boolean touches(String name) {
            return one.equals(name) || other.equals(name);
        }
    }

    /** The loss of a machine's disk. */
    record DiskLoss(String machine, long atNanos) { }

    final List<Add> adds = new ArrayList<>();
    final List<Read> reads = new ArrayList<>();
    /** Reads at the end, after which nothing more happens. */
    final List<Read> finalReads = new ArrayList<>();
    final List<Disruption> disruptions = new ArrayList<>();
    final List<Cut> cuts = new ArrayList<>();
    final List<Cut> callerCuts = new ArrayList<>();
    final List<DiskLoss> diskLosses = new ArrayList<>();
}
