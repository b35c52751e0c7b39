package rowanplank.fleet.wire;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import rowanplank.fleet.wire.Unpacker.MalformedException;
import rowanplank.ledger.Ask;
import rowanplank.ledger.Budgets;
import rowanplank.ledger.Command;
import rowanplank.ledger.Division;
import rowanplank.ledger.Share;

/** What concerns budgets, as bytes: commands, pictures, what is asked and what is told. */
final class BudgetForm {
    /** Parts asked for with weights: sent only where the operator has set them, since older voters do not know it. */
    static final int WEIGHTED = 31;

    private BudgetForm() { }

    static Packer share(Packer out, Share s) {
        return out.number(s.amount()).number(s.burst());
    }

    static Share share(Unpacker in) throws MalformedException {
        return new Share(in.number(), in.number());
    }

    private static Duration duration(Unpacker in) throws MalformedException {
        return Duration.ofNanos(in.number());
    }

    // ---- commands

    static void command(Packer out, Command command) {
        if (command instanceof Command.Define c) {
            share(share(out.octet(9).text(c.name()).flag(c.rate()), c.whole()), c.fixed()).number(c.nodes());
        } else if (command instanceof Command.Resize c) {
            share(out.octet(10).text(c.name()), c.whole());
        } else if (command instanceof Command.Join c) {
            out.octet(11).number(c.session()).number(c.floor()).number(c.number()).number(c.length().toNanos())
                    .number(c.lasting().toNanos());
        } else if (command instanceof Command.Divide c) {
            out.octet(12).number(c.targets().size());
            c.targets().forEach(t -> share(out.text(t.budget()).number(t.session()), t.target()));
        } else if (command instanceof Command.Give c) {
            share(out.octet(13).number(c.session()).number(c.floor()).number(c.number()).number(c.epoch())
                    .text(c.budget()), c.most());
        } else if (command instanceof Command.Leave c) {
            out.octet(14).number(c.session()).number(c.floor()).number(c.number());
        } else if (command instanceof Command.Lapse c) {
            out.octet(15).number(c.gone().size());
            c.gone().forEach(g -> out.number(g.session()).number(g.epoch()));
        } else if (command instanceof Command.Retire c) {
            out.octet(16);
            LogForm.names(out, c.names());
        }
    }

    static Command command(int kind, Unpacker in) throws MalformedException {
        return switch (kind) {
            case 9 -> new Command.Define(in.text(), in.flag(), share(in), share(in), (int) in.number());
            case 10 -> new Command.Resize(in.text(), share(in));
            case 11 -> new Command.Join(in.number(), in.number(), in.number(), duration(in), duration(in));
            case 12 -> new Command.Divide(targets(in));
            case 13 -> new Command.Give(in.number(), in.number(), in.number(), in.number(), in.text(), share(in));
            case 14 -> new Command.Leave(in.number(), in.number(), in.number());
            case 15 -> new Command.Lapse(gone(in));
            case 16 -> new Command.Retire(LogForm.names(in));
            default -> throw new MalformedException("a command of kind " + kind + ", which this version does not know");
        };
    }

    private static List<Command.Target> targets(Unpacker in) throws MalformedException {
        List<Command.Target> targets = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            targets.add(new Command.Target(in.text(), in.number(), share(in)));
        }
        return targets;
    }

    private static List<Command.Gone> gone(Unpacker in) throws MalformedException {
        List<Command.Gone> gone = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            gone.add(new Command.Gone(in.number(), in.number()));
        }
        return gone;
    }

    // ---- pictures

    static void picture(Packer out, Budgets.Picture p) {
        out.number(p.changes()).number(p.wholes().size());
        p.wholes().forEach(w -> share(share(share(out.text(w.name()).flag(w.rate()), w.asked()), w.inForce()), w.fixed())
                .number(w.nodes()));
        out.number(p.members().size());
        p.members().forEach(m -> out.number(m.session()).number(m.epoch()).number(m.length().toNanos())
                .number(m.lasting().toNanos()));
        out.number(p.parts().size());
        p.parts().forEach(t -> share(share(out.text(t.budget()).number(t.session()), t.amount()), t.target())
                .number(t.change()));
    }

    static Budgets.Picture picture(Unpacker in) throws MalformedException {
        long changes = in.number();
        List<Budgets.Whole> wholes = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            wholes.add(new Budgets.Whole(in.text(), in.flag(), share(in), share(in), share(in), (int) in.number()));
        }
        List<Budgets.Member> members = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            members.add(new Budgets.Member(in.number(), in.number(), duration(in), duration(in)));
        }
        List<Budgets.Part> parts = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            parts.add(new Budgets.Part(in.text(), in.number(), share(in), share(in), in.number()));
        }
        return new Budgets.Picture(changes, wholes, members, parts);
    }

    // ---- asked and told

    static void ask(Packer out, Ask a) {
        if (a.what() instanceof Ask.Join w) {
            EnvelopeForm.head(out, 22, a).number(w.length().toNanos()).number(w.lasting().toNanos());
        } else if (a.what() instanceof Ask.Parts w) {
            boolean weighted = w.wishes().stream().anyMatch(x -> x.weight() != Division.NORMAL);
            EnvelopeForm.head(out, weighted ? WEIGHTED : 23, a).number(w.epoch()).number(w.known()).number(w.wishes().size());
            w.wishes().forEach(x -> {
                out.text(x.budget()).number(x.amount());
                if (weighted) {
                    out.number(x.weight());
                }
            });
        } else if (a.what() instanceof Ask.Give w) {
            share(EnvelopeForm.head(out, 24, a).number(w.epoch()).text(w.budget()), w.most());
        } else if (a.what() instanceof Ask.Leave) {
            EnvelopeForm.head(out, 25, a);
        }
    }

    static Ask.What what(int kind, Unpacker in) throws MalformedException {
        return switch (kind) {
            case 22 -> new Ask.Join(duration(in), duration(in));
            case 23 -> new Ask.Parts(in.number(), in.number(), wishes(in, false));
            case WEIGHTED -> new Ask.Parts(in.number(), in.number(), wishes(in, true));
            case 24 -> new Ask.Give(in.number(), in.text(), share(in));
            case 25 -> new Ask.Leave();
            default -> throw new MalformedException("a message of kind " + kind + ", which this version does not know");
        };
    }

    private static List<Ask.Wish> wishes(Unpacker in, boolean weighted) throws MalformedException {
        List<Ask.Wish> wishes = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            wishes.add(new Ask.Wish(in.text(), in.number(),
                    weighted ? (int) Math.min(Integer.MAX_VALUE, in.number()) : Division.NORMAL));
        }
        return wishes;
    }

    static void told(Packer out, List<Ask.Told> told) {
        out.number(told.size());
        told.forEach(t -> share(share(out.text(t.budget()).number(t.epoch()), t.amount()), t.target()).number(t.change()));
    }

    static List<Ask.Told> told(Unpacker in) throws MalformedException {
        List<Ask.Told> told = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            told.add(new Ask.Told(in.text(), in.number(), share(in), share(in), in.number()));
        }
        return told;
    }
}
