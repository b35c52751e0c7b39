package rowanplank.fleet.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rowanplank.fleet.wire.BinaryReader.MalformedException;
import rowanplank.ledger.Ask;
import rowanplank.ledger.Command;
import rowanplank.ledger.Window;
import rowanplank.ledger.Work;

/** Encodes and decodes what concerns the maintenance plan: commands, ledger snapshots, and the state of a machine. */
final class WorkCodec {
    private WorkCodec() { }

    /** Whether a command concerns the maintenance plan. */
    static boolean isWorkCommand(Command c) {
        return c instanceof Command.Announce || c instanceof Command.WorkTerms || c instanceof Command.Turn
                || c instanceof Command.Step || c instanceof Command.Staff || c instanceof Command.Halt;
    }

    /** Whether a command was introduced with the version after the first one that has maintenance plans. */
    static boolean needsLatestVersion(Command c) {
        return c instanceof Command.Halt
                || c instanceof Command.Staff s && (s.window() != null || s.what() == Command.StaffWord.FORGET);
    }

    static void command(BinaryWriter out, Command command) {
        if (command instanceof Command.Announce c) {
            out.octet(17).text(c.node()).text(c.machine()).text(c.hall());
        } else if (command instanceof Command.WorkTerms c) {
            out.octet(18).varint(c.mostOut()).varint(c.mostOutOfHall());
        } else if (command instanceof Command.Turn c) {
            out.octet(19).text(c.machine());
        } else if (command instanceof Command.Step c) {
            out.octet(20).text(c.node()).int64(c.process()).varint(c.fence()).octet(c.from().ordinal());
        } else if (command instanceof Command.Staff c && needsLatestVersion(c)) {
            window(staff(out.octet(26), c), c.window());
        } else if (command instanceof Command.Staff c) {
            staff(out.octet(21), c);
        } else if (command instanceof Command.Halt c) {
            out.octet(27).text(c.why());
        }
    }

    static Command command(int kind, BinaryReader in) throws MalformedException {
        return switch (kind) {
            case 17 -> new Command.Announce(in.text(), in.text(), in.text());
            case 18 -> new Command.WorkTerms((int) in.varint(), (int) in.varint());
            case 19 -> new Command.Turn(in.text());
            case 20 -> new Command.Step(in.text(), in.int64(), in.varint(), state(in));
            case 21 -> staff(in);
            case 26 -> staffWithWindow(in);
            case 27 -> new Command.Halt(in.text());
            default -> throw new MalformedException("unknown command kind: " + kind);
        };
    }

    static BinaryWriter staff(BinaryWriter out, Command.Staff c) {
        out.int64(c.id()).octet(c.what().ordinal());
        LogCodec.names(out, c.machines());
        return out.text(c.by()).text(c.why()).flag(c.first()).flag(c.restart()).varint(c.longestMs());
    }

    static Command.Staff staffWithWindow(BinaryReader in) throws MalformedException {
        Command.Staff c = staff(in);
        return new Command.Staff(c.id(), c.what(), c.machines(), c.by(), c.why(), c.first(), c.restart(),
                c.longestMs(), window(in));
    }

    static void window(BinaryWriter out, Window w) {
        out.flag(w != null).varint(w == null ? 0 : w.from()).varint(w == null ? 0 : w.until());
    }

    private static Window window(BinaryReader in) throws MalformedException {
        boolean isPresent = in.flag();
        long from = in.varint();
        long until = in.varint();
        try {
            return isPresent ? new Window(Math.toIntExact(from), Math.toIntExact(until)) : null;
        } catch (IllegalArgumentException | ArithmeticException e) {
            throw new MalformedException(e.getMessage());
        }
    }

    static void service(BinaryWriter out, Ask.Service s) {
        out.varint(s.served()).varint(s.refused()).varint(s.failed()).varint(s.open()).varint(s.used())
                .varint(s.servers());
    }

    static Ask.Service service(BinaryReader in) throws MalformedException {
        return new Ask.Service(in.varint(), in.varint(), in.varint(), in.varint(), in.varint(), in.varint());
    }

    static Command.Staff staff(BinaryReader in) throws MalformedException {
        return new Command.Staff(in.int64(), enumValue(Command.StaffWord.values(), in), LogCodec.names(in), in.text(),
                in.text(),
                in.flag(), in.flag(), in.varint());
    }

    static Work.State state(BinaryReader in) throws MalformedException {
        return enumValue(Work.State.values(), in);
    }

    private static <T> T enumValue(T[] values, BinaryReader in) throws MalformedException {
        int which = in.octet();
        if (which >= values.length) {
            throw new MalformedException("unknown enum value: " + which);
        }
        return values[which];
    }

    /** Writes a machine's state without its time window, which only the leader needs. */
    static void line(BinaryWriter out, Work.Line l) {
        out.text(l.machine()).octet(l.state().ordinal()).varint(l.asked()).text(l.by()).text(l.why()).flag(l.first())
                .flag(l.restart()).varint(l.longestMs()).varint(l.fence());
        numbers(out, l.said());
        out.flag(l.cancelled());
    }

    static Work.Line line(BinaryReader in) throws MalformedException {
        return new Work.Line(in.text(), state(in), in.varint(), in.text(), in.text(), in.flag(), in.flag(), in.varint(),
                in.varint(), numbers(in), in.flag());
    }

    private static void numbers(BinaryWriter out, Map<String, Long> numbers) {
        out.varint(numbers.size());
        numbers.forEach((name, n) -> out.text(name).int64(n));
    }

    private static Map<String, Long> numbers(BinaryReader in) throws MalformedException {
        Map<String, Long> numbers = new TreeMap<>();
        for (int left = in.count(); left > 0; left--) {
            numbers.put(in.text(), in.int64());
        }
        return numbers;
    }

    /**
     * Writes a snapshot of the plan.
     *
     * @param windows whether time windows are included
     */
    static void snapshot(BinaryWriter out, Work.Picture p, boolean windows) {
        out.varint(p.terms().mostOut()).varint(p.terms().mostOutOfHall()).text(p.held()).varint(p.places().size());
        p.places().forEach(x -> out.text(x.node()).text(x.machine()).text(x.hall()));
        out.varint(p.lines().size());
        p.lines().forEach(l -> {
            line(out, l);
            if (windows) {
                window(out, l.window());
            }
        });
        out.varint(p.history().size());
        p.history().forEach(h -> out.text(h.machine()).octet(h.how().ordinal()).varint(h.fence()).varint(h.asked()));
        out.varint(p.answers().size());
        p.answers().forEach(a -> LedgerCodec.result(out.int64(a.id()), a.result()));
        numbers(out, p.lastTurns());
    }

    static Work.Picture snapshot(BinaryReader in, boolean windows) throws MalformedException {
        Work.Terms terms = new Work.Terms((int) in.varint(), (int) in.varint());
        String held = in.text();
        List<Work.Place> places = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            places.add(new Work.Place(in.text(), in.text(), in.text()));
        }
        List<Work.Line> lines = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            Work.Line l = line(in);
            lines.add(windows ? new Work.Line(l.machine(), l.state(), l.asked(), l.by(), l.why(), l.first(),
                    l.restart(),
                    l.longestMs(), l.fence(), l.said(), l.cancelled(), window(in)) : l);
        }
        List<Work.Past> history = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            history.add(new Work.Past(in.text(), enumValue(Work.How.values(), in), in.varint(), in.varint()));
        }
        List<Work.Answered> answers = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            answers.add(new Work.Answered(in.int64(), LedgerCodec.result(in)));
        }
        return new Work.Picture(terms, held, places, lines, history, answers, numbers(in));
    }
}
