package rowanplank.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import rowanplank.fleet.wire.BinaryReader.MalformedException;
import rowanplank.fleet.wire.LedgerCodec;
import rowanplank.ledger.Command;
import rowanplank.ledger.Ledger;
import rowanplank.ledger.Result;
import rowanplank.ledger.Share;

/** What a voter's ledger holds, and what entries and snapshots of it take, without agreement, disk and network. */
final class LedgerCapacity {
    private static final int ROUNDS = 9;
    private static final int COPIES = 2;
    /** Targets in one entry: as many as an entry has room for. */
    private static final int TARGETS = 16;

    /**
     * @param holders processes, each with a session for leases and one for budgets
     * @param leases of each
     * @param budgets of which each has a part
     */
    record Size(int holders, int leases, int budgets) { }

    /**
     * @param entries that were applied until it stood so
     * @param entryBytes of all of them
     * @param restartBytes of those that one process's coming adds
     * @param micros processor time of an entry, applied
     * @param refused entries that met a bound
     * @param snapshotBytes, snapshotMicros of a snapshot, as it is made
     * @param restoreMicros of taking one up
     * @param heldBytes of the heap
     */
    record Cost(int entries, long entryBytes, double restartBytes, double micros, int refused, int snapshotBytes,
            double snapshotMicros, double restoreMicros, double heldBytes) { }

    private final Ledger ledger = new Ledger(Ledger.Picture.empty());
    private long index;
    private long bytes;
    private int refused;

    private Result apply(Command command) {
        bytes += LedgerCodec.command(command).length;
        Result result = ledger.apply(++index, command);
        refused += result.kind() == Result.Kind.FULL ? 1 : 0;
        return result;
    }

    private static LedgerCapacity filled(Size size) {
        LedgerCapacity c = new LedgerCapacity();
        c.apply(new Command.Raise(LedgerCodec.VERSION));
        for (int b = 0; b < size.budgets; b++) {
            c.apply(new Command.Define("budget-" + b, false, new Share(2L * size.holders, 0), Share.NONE, 0));
        }
        return c;
    }

    /** All that one process has entered from its start on. */
    private void come(int n, Size size) {
        long process = 1_767_225_600_000_000L + n;
        Duration length = Duration.ofSeconds(4);
        long session = apply(new Command.Open("node-" + n, process)).value();
        for (int l = 0; l < size.leases; l++) {
            apply(new Command.Acquire(session, l + 1, l + 1, "lease-" + n + "-" + l, length));
        }
        if (size.budgets == 0) {
            return;
        }
        long sharer = apply(new Command.Open("node-" + n, -process)).value();
        apply(new Command.Join(sharer, 1, 1, length, Duration.ofSeconds(2)));
        List<Command.Target> targets = new ArrayList<>();
        for (int b = 0; b < size.budgets; b++) {
            targets.add(new Command.Target("budget-" + b, sharer, new Share(1, 0)));
            if (targets.size() == TARGETS || b == size.budgets - 1) {
                apply(new Command.Divide(targets));
                targets.clear();
            }
        }
    }

    private static LedgerCapacity full(Size size) {
        LedgerCapacity c = filled(size);
        for (int n = 0; n < size.holders; n++) {
            c.come(n, size);
        }
        return c;
    }

    static Cost measure(Size size) {
        full(size); // until it is compiled
        double held = Spent.retained(COPIES, () -> full(size));
        LedgerCapacity c = filled(size);
        long before = c.bytes;
        long beforeIndex = c.index;
        Spent from = Spent.now();
        for (int n = 0; n < size.holders; n++) {
            c.come(n, size);
        }
        double micros = Spent.now().since(from).nanos() / 1e3 / (c.index - beforeIndex);
        double[] made = new double[ROUNDS];
        double[] restored = new double[ROUNDS];
        byte[] snapshot = new byte[0];
        for (int r = -ROUNDS; r < ROUNDS; r++) { // the first half is not counted
            Spent start = Spent.now();
            snapshot = LedgerCodec.snapshot(c.ledger.picture());
            Spent there = Spent.now();
            try {
                new Ledger(LedgerCodec.snapshot(snapshot));
            } catch (MalformedException e) {
                throw new IllegalStateException(e);
            }
            restored[Math.max(0, r)] = Spent.now().since(there).nanos() / 1e3;
            made[Math.max(0, r)] = there.since(start).nanos() / 1e3;
        }
        return new Cost((int) c.index, c.bytes, (double) (c.bytes - before) / size.holders, micros, c.refused, snapshot.length,
                ModuleCapacity.median(made), ModuleCapacity.median(restored), held);
    }

    /** How many budgets a ledger takes of so many. */
    static int budgetsTaken(int asked) {
        LedgerCapacity c = filled(new Size(1, 0, asked));
        return asked - c.refused;
    }

    /** How many processes a ledger takes of so many, each with a session for leases and one for budgets. */
    static int processesTaken(int asked) {
        LedgerCapacity c = filled(new Size(asked, 0, 1));
        int taken = 0;
        for (int n = 0; n < asked; n++) {
            int before = c.refused;
            c.come(n, new Size(asked, 0, 1));
            taken += c.refused == before ? 1 : 0;
        }
        return taken;
    }
}
