package rowanplank.fleet.wire;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rowanplank.fleet.wire.BinaryReader.MalformedException;
import rowanplank.ledger.Ask;
import rowanplank.ledger.Budgets;
import rowanplank.ledger.Command;
import rowanplank.ledger.Ledger;
import rowanplank.ledger.Result;
import rowanplank.ledger.Work;

/**
 * Encodes and decodes the ledger's commands and snapshots. Each starts with its version. A voter that does not know
 * the version stops with an error instead of skipping what the other voters apply.
 */
public final class LedgerCodec {
    /**
     * The latest known version of commands and snapshots. Content that an earlier version can express is written in
     * that version.
     */
    public static final int VERSION = 5;
    /**
     * The versions that introduced runs once per period, budgets, and maintenance plans. {@link #VERSION} added the
     * plans' time windows and halts.
     */
    private static final int RUNS_VERSION = 2;
    private static final int BUDGETS_VERSION = 3;
    private static final int WORK_VERSION = 4;
    /** The first version, which every process understands. */
    public static final int FIRST_VERSION = 1;

    private static final int FIRST_WORK_KIND = 17;

    private LedgerCodec() { }

    /** The version that a voter has to understand to apply a command. */
    public static int versionOf(Command command) {
        return command instanceof Command.Claim ? RUNS_VERSION : isBudgetCommand(command) ? BUDGETS_VERSION
                : WorkCodec.needsLatestVersion(command) ? VERSION : WorkCodec.isWorkCommand(command) ? WORK_VERSION
                : FIRST_VERSION;
    }

    private static boolean isBudgetCommand(Command c) {
        return c instanceof Command.Define || c instanceof Command.Resize || c instanceof Command.Join
                || c instanceof Command.Divide || c instanceof Command.Give || c instanceof Command.Leave
                || c instanceof Command.Lapse || c instanceof Command.Retire;
    }

    /** Returns a request in a form that a process with this version can read, without fields introduced later. */
    public static Ask downgrade(Ask ask, int known) {
        return known >= VERSION || !(ask.what() instanceof Ask.Poll p) || p.service() == null ? ask
                : new Ask(ask.node(), ask.incarnation(), ask.session(), ask.floor(), ask.number(),
                new Ask.Poll(p.machine(), p.hall()));
    }

    /** Encodes a command. */
    public static byte[] command(Command command) {
        BinaryWriter out = new BinaryWriter().octet(versionOf(command));
        if (command instanceof Command.Open c) {
            out.octet(1).text(c.node()).int64(c.incarnation());
        } else if (command instanceof Command.Close c) {
            out.octet(2).varint(c.session());
        } else if (command instanceof Command.Acquire c) {
            out.octet(3).varint(c.session()).varint(c.floor()).varint(c.number()).text(c.lease())
                    .varint(c.length().toNanos());
        } else if (command instanceof Command.Release c) {
            out.octet(4).varint(c.session()).varint(c.floor()).varint(c.number()).text(c.lease()).varint(c.fence());
        } else if (command instanceof Command.Expire c) {
            out.octet(5).varint(c.holdings().size());
            c.holdings().forEach(h -> out.text(h.lease()).varint(h.fence()));
        } else if (command instanceof Command.Audit c) {
            out.octet(6).varint(c.index()).int64(c.chain());
        } else if (command instanceof Command.Raise c) {
            out.octet(8).varint(c.level());
        } else if (command instanceof Command.Claim c) {
            out.octet(7).varint(c.session()).varint(c.floor()).varint(c.number()).text(c.lease()).varint(c.fence())
                    .text(c.task()).varint(c.period());
        } else {
            BudgetCodec.command(out, command);
            WorkCodec.command(out, command);
        }
        return out.toByteArray();
    }

    /**
     * Decodes a command.
     *
     * @param known the latest version that the reader understands
     * @throws MalformedException if it is invalid, of a later version or of an unknown kind
     */
    public static Command command(byte[] bytes, int known) throws MalformedException {
        BinaryReader in = new BinaryReader(bytes);
        version(in, known);
        int kind = in.octet();
        Command command = switch (kind) {
            case 1 -> new Command.Open(in.text(), in.int64());
            case 2 -> new Command.Close(in.varint());
            case 3 -> new Command.Acquire(in.varint(), in.varint(), in.varint(), in.text(),
                    Duration.ofNanos(in.varint()));
            case 4 -> new Command.Release(in.varint(), in.varint(), in.varint(), in.text(), in.varint());
            case 5 -> new Command.Expire(holdings(in));
            case 6 -> new Command.Audit(in.varint(), in.int64());
            case 7 -> new Command.Claim(in.varint(), in.varint(), in.varint(), in.text(), in.varint(), in.text(),
                    in.varint());
            case 8 -> new Command.Raise((int) in.varint());
            default -> kind < FIRST_WORK_KIND ? BudgetCodec.command(kind, in) : WorkCodec.command(kind, in);
        };
        in.end();
        return command;
    }

    private static int version(BinaryReader in, int known) throws MalformedException {
        int version = in.octet();
        if (version < FIRST_VERSION || version > known) {
            throw new MalformedException("unsupported version " + version + ", supported are " + FIRST_VERSION + " to "
                    + known);
        }
        return version;
    }

    private static List<Command.Holding> holdings(BinaryReader in) throws MalformedException {
        List<Command.Holding> holdings = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            holdings.add(new Command.Holding(in.text(), in.varint()));
        }
        return holdings;
    }

    static void result(BinaryWriter out, Result r) {
        out.octet(r.kind().ordinal()).varint(r.value()).text(r.node());
    }

    static Result result(BinaryReader in) throws MalformedException {
        int kind = in.octet();
        if (kind >= Result.Kind.values().length) {
            throw new MalformedException("unknown result kind: " + kind);
        }
        return new Result(Result.Kind.values()[kind], in.varint(), in.text());
    }

    /** Encodes a snapshot of the ledger in the version of its level. */
    public static byte[] snapshot(Ledger.Picture p) {
        int version = Math.max(FIRST_VERSION, Math.min(p.level(), VERSION));
        BinaryWriter out = new BinaryWriter().octet(version).varint(p.applied()).int64(p.chain()).varint(p.lastFence());
        out.varint(p.sessions().size());
        for (Ledger.Session s : p.sessions()) {
            out.varint(s.id()).text(s.node()).int64(s.incarnation()).varint(s.floor()).varint(s.results().size());
            s.results().forEach((number, r) -> result(out.varint(number), r));
        }
        out.varint(p.leases().size());
        for (Ledger.Lease l : p.leases()) {
            out.text(l.name()).varint(l.session()).varint(l.fence()).varint(l.length().toNanos());
        }
        if (version > FIRST_VERSION) {
            out.varint(p.level()).varint(p.runs().size());
            p.runs().forEach(r -> out.text(r.task()).varint(r.period()).varint(r.fence()));
        }
        if (version > RUNS_VERSION) {
            BudgetCodec.snapshot(out, p.budgets());
        }
        if (version > BUDGETS_VERSION) {
            WorkCodec.snapshot(out, p.work(), version > WORK_VERSION);
        }
        return out.toByteArray();
    }

    /**
     * Decodes a snapshot of the ledger; an empty array is the empty ledger.
     *
     * @throws MalformedException if it is invalid or of an unknown version
     */
    public static Ledger.Picture snapshot(byte[] bytes) throws MalformedException {
        if (bytes.length == 0) {
            return Ledger.Picture.empty();
        }
        BinaryReader in = new BinaryReader(bytes);
        int version = version(in, VERSION);
        long applied = in.varint();
        long chain = in.int64();
        long lastFence = in.varint();
        List<Ledger.Session> sessions = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            sessions.add(new Ledger.Session(in.varint(), in.text(), in.int64(), in.varint(), results(in)));
        }
        List<Ledger.Lease> leases = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            leases.add(new Ledger.Lease(in.text(), in.varint(), in.varint(), Duration.ofNanos(in.varint())));
        }
        List<Ledger.Run> runs = new ArrayList<>();
        int level = version > FIRST_VERSION ? (int) in.varint() : FIRST_VERSION;
        for (int left = version > FIRST_VERSION ? in.count() : 0; left > 0; left--) {
            runs.add(new Ledger.Run(in.text(), in.varint(), in.varint()));
        }
        Budgets.Picture budgets = version > RUNS_VERSION ? BudgetCodec.snapshot(in) : Budgets.Picture.empty();
        Work.Picture work = version > BUDGETS_VERSION ? WorkCodec.snapshot(in, version > WORK_VERSION)
                : Work.Picture.empty();
        in.end();
        return new Ledger.Picture(applied, chain, lastFence, level, sessions, leases, runs, budgets, work);
    }

    private static Map<Long, Result> results(BinaryReader in) throws MalformedException {
        Map<Long, Result> results = new TreeMap<>();
        for (int left = in.count(); left > 0; left--) {
            results.put(in.varint(), result(in));
        }
        return results;
    }
}
