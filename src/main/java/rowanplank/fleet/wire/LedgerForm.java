package rowanplank.fleet.wire;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rowanplank.fleet.wire.Unpacker.MalformedException;
import rowanplank.ledger.Ask;
import rowanplank.ledger.Budgets;
import rowanplank.ledger.Command;
import rowanplank.ledger.Ledger;
import rowanplank.ledger.Result;
import rowanplank.ledger.Work;

/**
 * The ledger's commands and pictures as bytes. Each begins with its version: a voter that does not know it says so and
 * stops, rather than leave out what the others do.
 */
public final class LedgerForm {
    /** The latest that is known here, of commands and of pictures; what an earlier one knew is written as its. */
    public static final int VERSION = 5;
    /** From here on runs once in a period; then budgets; the order of work; from {@link #VERSION} on its windows and halts. */
    private static final int RUNS = 2;
    private static final int BUDGETS = 3;
    private static final int WORK = 4;
    /** What all versions understand. */
    public static final int FIRST = 1;

    private static final int FIRST_OF_WORK = 17;

    private LedgerForm() { }

    /** Which version a voter has to know to understand it. */
    public static int versionOf(Command command) {
        return command instanceof Command.Claim ? RUNS : isOfBudgets(command) ? BUDGETS
                : WorkForm.isLater(command) ? VERSION : WorkForm.isOfWork(command) ? WORK : FIRST;
    }

    private static boolean isOfBudgets(Command c) {
        return c instanceof Command.Define || c instanceof Command.Resize || c instanceof Command.Join
                || c instanceof Command.Divide || c instanceof Command.Give || c instanceof Command.Leave
                || c instanceof Command.Lapse || c instanceof Command.Retire;
    }

    /** What is asked as a process can read it that understands no later version: without what came behind it. */
    public static Ask asUnderstood(Ask ask, int known) {
        return known >= VERSION || !(ask.what() instanceof Ask.Poll p) || p.service() == null ? ask
                : new Ask(ask.node(), ask.incarnation(), ask.session(), ask.floor(), ask.number(), new Ask.Poll(p.machine(), p.hall()));
    }

    public static byte[] command(Command command) {
        Packer out = new Packer().octet(versionOf(command));
        if (command instanceof Command.Open c) {
            out.octet(1).text(c.node()).int64(c.incarnation());
        } else if (command instanceof Command.Close c) {
            out.octet(2).number(c.session());
        } else if (command instanceof Command.Acquire c) {
            out.octet(3).number(c.session()).number(c.floor()).number(c.number()).text(c.lease())
                    .number(c.length().toNanos());
        } else if (command instanceof Command.Release c) {
            out.octet(4).number(c.session()).number(c.floor()).number(c.number()).text(c.lease()).number(c.fence());
        } else if (command instanceof Command.Expire c) {
            out.octet(5).number(c.holdings().size());
            c.holdings().forEach(h -> out.text(h.lease()).number(h.fence()));
        } else if (command instanceof Command.Audit c) {
            out.octet(6).number(c.index()).int64(c.chain());
        } else if (command instanceof Command.Raise c) {
            out.octet(8).number(c.level());
        } else if (command instanceof Command.Claim c) {
            out.octet(7).number(c.session()).number(c.floor()).number(c.number()).text(c.lease()).number(c.fence())
                    .text(c.task()).number(c.period());
        } else {
            BudgetForm.command(out, command);
            WorkForm.command(out, command);
        }
        return out.done();
    }

    /**
     * @param known the latest version that whoever reads it understands
     * @throws MalformedException also where it is of a later version, or of a kind that is not known here
     */
    public static Command command(byte[] bytes, int known) throws MalformedException {
        Unpacker in = new Unpacker(bytes);
        version(in, known);
        int kind = in.octet();
        Command command = switch (kind) {
            case 1 -> new Command.Open(in.text(), in.int64());
            case 2 -> new Command.Close(in.number());
            case 3 -> new Command.Acquire(in.number(), in.number(), in.number(), in.text(),
                    Duration.ofNanos(in.number()));
            case 4 -> new Command.Release(in.number(), in.number(), in.number(), in.text(), in.number());
            case 5 -> new Command.Expire(holdings(in));
            case 6 -> new Command.Audit(in.number(), in.int64());
            case 7 -> new Command.Claim(in.number(), in.number(), in.number(), in.text(), in.number(), in.text(),
                    in.number());
            case 8 -> new Command.Raise((int) in.number());
            default -> kind < FIRST_OF_WORK ? BudgetForm.command(kind, in) : WorkForm.command(kind, in);
        };
        in.end();
        return command;
    }

    private static int version(Unpacker in, int known) throws MalformedException {
        int version = in.octet();
        if (version < FIRST || version > known) {
            throw new MalformedException("version " + version + ", and this one knows " + FIRST + " to " + known);
        }
        return version;
    }

    private static List<Command.Holding> holdings(Unpacker in) throws MalformedException {
        List<Command.Holding> holdings = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            holdings.add(new Command.Holding(in.text(), in.number()));
        }
        return holdings;
    }

    static void result(Packer out, Result r) {
        out.octet(r.kind().ordinal()).number(r.value()).text(r.node());
    }

    static Result result(Unpacker in) throws MalformedException {
        int kind = in.octet();
        if (kind >= Result.Kind.values().length) {
            throw new MalformedException("no such result: " + kind);
        }
        return new Result(Result.Kind.values()[kind], in.number(), in.text());
    }

    public static byte[] picture(Ledger.Picture p) {
        int version = Math.max(FIRST, Math.min(p.level(), VERSION));
        Packer out = new Packer().octet(version).number(p.applied()).int64(p.chain()).number(p.lastFence());
        out.number(p.sessions().size());
        for (Ledger.Session s : p.sessions()) {
            out.number(s.id()).text(s.node()).int64(s.incarnation()).number(s.floor()).number(s.results().size());
            s.results().forEach((number, r) -> result(out.number(number), r));
        }
        out.number(p.leases().size());
        for (Ledger.Lease l : p.leases()) {
            out.text(l.name()).number(l.session()).number(l.fence()).number(l.length().toNanos());
        }
        if (version > FIRST) {
            out.number(p.level()).number(p.runs().size());
            p.runs().forEach(r -> out.text(r.task()).number(r.period()).number(r.fence()));
        }
        if (version > RUNS) {
            BudgetForm.picture(out, p.budgets());
        }
        if (version > BUDGETS) {
            WorkForm.picture(out, p.work(), version > WORK);
        }
        return out.done();
    }

    /** @throws MalformedException also where it is of a version that is not known here */
    public static Ledger.Picture picture(byte[] bytes) throws MalformedException {
        if (bytes.length == 0) {
            return Ledger.Picture.empty();
        }
        Unpacker in = new Unpacker(bytes);
        int version = version(in, VERSION);
        long applied = in.number();
        long chain = in.int64();
        long lastFence = in.number();
        List<Ledger.Session> sessions = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            sessions.add(new Ledger.Session(in.number(), in.text(), in.int64(), in.number(), results(in)));
        }
        List<Ledger.Lease> leases = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            leases.add(new Ledger.Lease(in.text(), in.number(), in.number(), Duration.ofNanos(in.number())));
        }
        List<Ledger.Run> runs = new ArrayList<>();
        int level = version > FIRST ? (int) in.number() : FIRST;
        for (int left = version > FIRST ? in.count() : 0; left > 0; left--) {
            runs.add(new Ledger.Run(in.text(), in.number(), in.number()));
        }
        Budgets.Picture budgets = version > RUNS ? BudgetForm.picture(in) : Budgets.Picture.empty();
        Work.Picture work = version > BUDGETS ? WorkForm.picture(in, version > WORK) : Work.Picture.empty();
        in.end();
        return new Ledger.Picture(applied, chain, lastFence, level, sessions, leases, runs, budgets, work);
    }

    private static Map<Long, Result> results(Unpacker in) throws MalformedException {
        Map<Long, Result> results = new TreeMap<>();
        for (int left = in.count(); left > 0; left--) {
            results.put(in.number(), result(in));
        }
        return results;
    }
}
