package rowanplank.ledger;

import java.time.Duration;
import java.util.List;

/** What the ledger is told, entry by entry: the same at all voters, and in the same order. */
public sealed interface Command {
    /**
     * A process asks to be known. Twice for one incarnation is once.
     *
     * @param incarnation tells this process from all others of the node's name, before and after it
     */
    record Open(String node, long incarnation) implements Command { }

    /** A process is not to be known any more, unless it holds something. */
    record Close(long session) implements Command { }

    /**
     * @param floor all requests of this session with lower numbers are over for whoever asked: they are refused from
     *     now on, and their results forgotten
     * @param number of the request: the same number twice is done once
     */
    record Acquire(long session, long floor, long number, String lease, Duration length) implements Command { }

    /** @param fence 0 for whichever the session holds it under */
    record Release(long session, long floor, long number, String lease, long fence) implements Command { }

    /** These are over, where they are still held under that fence. */
    record Expire(List<Holding> holdings) implements Command {
        public Expire {
            holdings = List.copyOf(holdings);
        }
    }

    /** A task's run in a period, which must be the only one: taken by whoever asks first and holds the lease. */
    record Claim(long session, long floor, long number, String lease, long fence, String task, long period)
            implements Command { }

    /**
     * From now on entries of versions up to this one may be written: all voters have said that they understand them. A
     * voter that comes later and does not stops at this entry.
     */
    record Raise(int level) implements Command { }

    /** The chain of results was this after that entry, at the leader that wrote this. */
    record Audit(long index, long chain) implements Command { }

    /** A lease as it was granted once. */
    record Holding(String lease, long fence) { }

    // ---- budgets

    /** A budget that is not known yet; of one that is, nothing changes. */
    record Define(String name, boolean rate, Share whole, Share fixed, int nodes) implements Command { }

    /** Another whole of a budget. */
    record Resize(String name, Share whole) implements Command { }

    /** A process may have parts, under a new epoch: the entry's index. */
    record Join(long session, long floor, long number, Duration length, Duration lasting) implements Command { }

    /** What parts are to be, as the leader has divided. */
    record Divide(List<Target> targets) implements Command {
        public Divide {
            targets = List.copyOf(targets);
        }
    }

    /** Its holder uses no more than that of its part any more. */
    record Give(long session, long floor, long number, long epoch, String budget, Share most) implements Command { }

    /** A process has ended all its uses and wants no parts any more. */
    record Leave(long session, long floor, long number) implements Command { }

    /** The parts of these are over, where they have not joined anew. */
    record Lapse(List<Gone> gone) implements Command {
        public Lapse {
            gone = List.copyOf(gone);
        }
    }

    /** Budgets of which nobody has a part are known no more. */
    record Retire(List<String> names) implements Command {
        public Retire {
            names = List.copyOf(names);
        }
    }

    /** What one part is to be. */
    record Target(String budget, long session, Share target) { }

    /** A process as it joined once. */
    record Gone(long session, long epoch) { }

    // ---- the order of work

    /** Where a node stands. */
    record Announce(String node, String machine, String hall) implements Command { }

    /** Never more out at once, of all machines and of those of one hall. */
    record WorkTerms(int mostOut, int mostOutOfHall) implements Command { }

    /** The machine may go out now. */
    record Turn(String machine) implements Command { }

    /**
     * A node has done what its machine's line asks of it.
     *
     * @param process the number of its process
     * @param from the state that the line was in as it did so
     */
    record Step(String node, long process, long fence, Work.State from) implements Command { }

    /** What staff can say. The order is that of the codec: new ones go to the end. */
    enum StaffWord { ASK, DONE, CANCEL, SKIP, HOLD, GO, FORGET }

    /** The leader has seen what a person has to look at: no more turns before staff's word. */
    record Halt(String why) implements Command { }

    /**
     * Staff's word, once for each number.
     *
     * @param machines those asked for; one for what concerns one; none for all of it
     * @param window in which a turn may be given; null for any time
     */
    record Staff(long id, StaffWord what, List<String> machines, String by, String why, boolean first, boolean restart,
            long longestMs, Window window) implements Command {
        public Staff {
            machines = List.copyOf(machines);
        }

        /** At any time. */
        public Staff(long id, StaffWord what, List<String> machines, String by, String why, boolean first, boolean restart,
                long longestMs) {
            this(id, what, machines, by, why, first, restart, longestMs, null);
        }
    }
}
