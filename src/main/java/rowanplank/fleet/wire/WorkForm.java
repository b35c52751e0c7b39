package rowanplank.fleet.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rowanplank.fleet.wire.Unpacker.MalformedException;
import rowanplank.ledger.Ask;
import rowanplank.ledger.Command;
import rowanplank.ledger.Window;
import rowanplank.ledger.Work;

/** What concerns the order of work, as bytes: commands, pictures, and a machine's line. */
final class WorkForm {
    private WorkForm() { }

    static boolean isOfWork(Command c) {
        return c instanceof Command.Announce || c instanceof Command.WorkTerms || c instanceof Command.Turn
                || c instanceof Command.Step || c instanceof Command.Staff || c instanceof Command.Halt;
    }

    /** Whether it came with the version behind that of the first order of work. */
    static boolean isLater(Command c) {
        return c instanceof Command.Halt
                || c instanceof Command.Staff s && (s.window() != null || s.what() == Command.StaffWord.FORGET);
    }

    static void command(Packer out, Command command) {
        if (command instanceof Command.Announce c) {
            out.octet(17).text(c.node()).text(c.machine()).text(c.hall());
        } else if (command instanceof Command.WorkTerms c) {
            out.octet(18).number(c.mostOut()).number(c.mostOutOfHall());
        } else if (command instanceof Command.Turn c) {
            out.octet(19).text(c.machine());
        } else if (command instanceof Command.Step c) {
            out.octet(20).text(c.node()).int64(c.process()).number(c.fence()).octet(c.from().ordinal());
        } else if (command instanceof Command.Staff c && isLater(c)) {
            window(staff(out.octet(26), c), c.window());
        } else if (command instanceof Command.Staff c) {
            staff(out.octet(21), c);
        } else if (command instanceof Command.Halt c) {
            out.octet(27).text(c.why());
        }
    }

    static Command command(int kind, Unpacker in) throws MalformedException {
        return switch (kind) {
            case 17 -> new Command.Announce(in.text(), in.text(), in.text());
            case 18 -> new Command.WorkTerms((int) in.number(), (int) in.number());
            case 19 -> new Command.Turn(in.text());
            case 20 -> new Command.Step(in.text(), in.int64(), in.number(), state(in));
            case 21 -> staff(in);
            case 26 -> laterStaff(in);
            case 27 -> new Command.Halt(in.text());
            default -> throw new MalformedException("a command of kind " + kind + ", which this version does not know");
        };
    }

    static Packer staff(Packer out, Command.Staff c) {
        out.int64(c.id()).octet(c.what().ordinal());
        LogForm.names(out, c.machines());
        return out.text(c.by()).text(c.why()).flag(c.first()).flag(c.restart()).number(c.longestMs());
    }

    static Command.Staff laterStaff(Unpacker in) throws MalformedException {
        Command.Staff c = staff(in);
        return new Command.Staff(c.id(), c.what(), c.machines(), c.by(), c.why(), c.first(), c.restart(), c.longestMs(), window(in));
    }

    static void window(Packer out, Window w) {
        out.flag(w != null).number(w == null ? 0 : w.from()).number(w == null ? 0 : w.until());
    }

    private static Window window(Unpacker in) throws MalformedException {
        boolean is = in.flag();
        long from = in.number();
        long until = in.number();
        try {
            return is ? new Window(Math.toIntExact(from), Math.toIntExact(until)) : null;
        } catch (IllegalArgumentException | ArithmeticException e) {
            throw new MalformedException(e.getMessage());
        }
    }

    static void service(Packer out, Ask.Service s) {
        out.number(s.served()).number(s.refused()).number(s.failed()).number(s.open()).number(s.used()).number(s.servers());
    }

    static Ask.Service service(Unpacker in) throws MalformedException {
        return new Ask.Service(in.number(), in.number(), in.number(), in.number(), in.number(), in.number());
    }

    static Command.Staff staff(Unpacker in) throws MalformedException {
        return new Command.Staff(in.int64(), one(Command.StaffWord.values(), in), LogForm.names(in), in.text(), in.text(),
                in.flag(), in.flag(), in.number());
    }

    static Work.State state(Unpacker in) throws MalformedException {
        return one(Work.State.values(), in);
    }

    private static <T> T one(T[] values, Unpacker in) throws MalformedException {
        int which = in.octet();
        if (which >= values.length) {
            throw new MalformedException("no such word: " + which);
        }
        return values[which];
    }

    /** Without its window, which concerns the leader alone. */
    static void line(Packer out, Work.Line l) {
        out.text(l.machine()).octet(l.state().ordinal()).number(l.asked()).text(l.by()).text(l.why()).flag(l.first())
                .flag(l.restart()).number(l.longestMs()).number(l.fence());
        numbers(out, l.said());
        out.flag(l.cancelled());
    }

    static Work.Line line(Unpacker in) throws MalformedException {
        return new Work.Line(in.text(), state(in), in.number(), in.text(), in.text(), in.flag(), in.flag(), in.number(),
                in.number(), numbers(in), in.flag());
    }

    private static void numbers(Packer out, Map<String, Long> numbers) {
        out.number(numbers.size());
        numbers.forEach((name, n) -> out.text(name).int64(n));
    }

    private static Map<String, Long> numbers(Unpacker in) throws MalformedException {
        Map<String, Long> numbers = new TreeMap<>();
        for (int left = in.count(); left > 0; left--) {
            numbers.put(in.text(), in.int64());
        }
        return numbers;
    }

    /** @param windows whether lines are written with theirs */
    static void picture(Packer out, Work.Picture p, boolean windows) {
        out.number(p.terms().mostOut()).number(p.terms().mostOutOfHall()).text(p.held()).number(p.places().size());
        p.places().forEach(x -> out.text(x.node()).text(x.machine()).text(x.hall()));
        out.number(p.lines().size());
        p.lines().forEach(l -> {
            line(out, l);
            if (windows) {
                window(out, l.window());
            }
        });
        out.number(p.history().size());
        p.history().forEach(h -> out.text(h.machine()).octet(h.how().ordinal()).number(h.fence()).number(h.asked()));
        out.number(p.answers().size());
        p.answers().forEach(a -> LedgerForm.result(out.int64(a.id()), a.result()));
        numbers(out, p.lastTurns());
    }

    static Work.Picture picture(Unpacker in, boolean windows) throws MalformedException {
        Work.Terms terms = new Work.Terms((int) in.number(), (int) in.number());
        String held = in.text();
        List<Work.Place> places = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            places.add(new Work.Place(in.text(), in.text(), in.text()));
        }
        List<Work.Line> lines = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            Work.Line l = line(in);
            lines.add(windows ? new Work.Line(l.machine(), l.state(), l.asked(), l.by(), l.why(), l.first(), l.restart(),
                    l.longestMs(), l.fence(), l.said(), l.cancelled(), window(in)) : l);
        }
        List<Work.Past> history = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            history.add(new Work.Past(in.text(), one(Work.How.values(), in), in.number(), in.number()));
        }
        List<Work.Answered> answers = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            answers.add(new Work.Answered(in.int64(), LedgerForm.result(in)));
        }
        return new Work.Picture(terms, held, places, lines, history, answers, numbers(in));
    }
}
