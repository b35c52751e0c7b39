package rowanplank.fleet.wire;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import rowanplank.fleet.wire.BinaryReader.MalformedException;
import rowanplank.ledger.Ask;
import rowanplank.ledger.Budgets;
import rowanplank.ledger.Command;
import rowanplank.ledger.Division;
import rowanplank.ledger.Share;

/** Encodes and decodes what concerns budgets: commands, ledger snapshots, requests and answers. */
final class BudgetCodec {
    /**
     * The message kind of a request for shares with weights. It is sent only if the operator has configured weights,
     * since older voters do not understand it.
     */
    static final int WEIGHTED = 31;

    private BudgetCodec() { }

    static BinaryWriter share(BinaryWriter out, Share s) {
        return out.varint(s.amount()).varint(s.burst());
    }

    static Share share(BinaryReader in) throws MalformedException {
        return new Share(in.varint(), in.varint());
    }

    private static Duration duration(BinaryReader in) throws MalformedException {
        return Duration.ofNanos(in.varint());
    }

    // ---- commands

    static void command(BinaryWriter out, Command command) {
        if (command instanceof Command.Define c) {
            share(share(out.octet(9).text(c.name()).flag(c.rate()), c.whole()), c.fixed()).varint(c.nodes());
        } else if (command instanceof Command.Resize c) {
            share(out.octet(10).text(c.name()), c.whole());
        } else if (command instanceof Command.Join c) {
            out.octet(11).varint(c.session()).varint(c.floor()).varint(c.number()).varint(c.length().toNanos())
                    .varint(c.lasting().toNanos());
        } else if (command instanceof Command.Divide c) {
            out.octet(12).varint(c.targets().size());
            c.targets().forEach(t -> share(out.text(t.budget()).varint(t.session()), t.target()));
        } else if (command instanceof Command.Give c) {
            share(out.octet(13).varint(c.session()).varint(c.floor()).varint(c.number()).varint(c.epoch())
                    .text(c.budget()), c.most());
        } else if (command instanceof Command.Leave c) {
            out.octet(14).varint(c.session()).varint(c.floor()).varint(c.number());
        } else if (command instanceof Command.Lapse c) {
            out.octet(15).varint(c.gone().size());
            c.gone().forEach(g -> out.varint(g.session()).varint(g.epoch()));
        } else if (command instanceof Command.Retire c) {
            out.octet(16);
            LogCodec.names(out, c.names());
        }
    }

    static Command command(int kind, BinaryReader in) throws MalformedException {
        return switch (kind) {
            case 9 -> new Command.Define(in.text(), in.flag(), share(in), share(in), (int) in.varint());
            case 10 -> new Command.Resize(in.text(), share(in));
            case 11 -> new Command.Join(in.varint(), in.varint(), in.varint(), duration(in), duration(in));
            case 12 -> new Command.Divide(targets(in));
            case 13 -> new Command.Give(in.varint(), in.varint(), in.varint(), in.varint(), in.text(), share(in));
            case 14 -> new Command.Leave(in.varint(), in.varint(), in.varint());
            case 15 -> new Command.Lapse(ended(in));
            case 16 -> new Command.Retire(LogCodec.names(in));
            default -> throw new MalformedException("unknown command kind: " + kind);
        };
    }

    private static List<Command.Target> targets(BinaryReader in) throws MalformedException {
        List<Command.Target> targets = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            targets.add(new Command.Target(in.text(), in.varint(), share(in)));
        }
        return targets;
    }

    private static List<Command.Gone> ended(BinaryReader in) throws MalformedException {
        List<Command.Gone> ended = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            ended.add(new Command.Gone(in.varint(), in.varint()));
        }
        return ended;
    }

    // ---- snapshots

    static void snapshot(BinaryWriter out, Budgets.Picture p) {
        out.varint(p.changes()).varint(p.wholes().size());
        p.wholes().forEach(w -> share(share(share(out.text(w.name()).flag(w.rate()), w.asked()), w.inForce()),
                w.fixed())
                .varint(w.nodes()));
        out.varint(p.members().size());
        p.members().forEach(m -> out.varint(m.session()).varint(m.epoch()).varint(m.length().toNanos())
                .varint(m.lasting().toNanos()));
        out.varint(p.parts().size());
        p.parts().forEach(t -> share(share(out.text(t.budget()).varint(t.session()), t.amount()), t.target())
                .varint(t.change()));
    }

    static Budgets.Picture snapshot(BinaryReader in) throws MalformedException {
        long changes = in.varint();
        List<Budgets.Whole> wholes = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            wholes.add(new Budgets.Whole(in.text(), in.flag(), share(in), share(in), share(in), (int) in.varint()));
        }
        List<Budgets.Member> members = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            members.add(new Budgets.Member(in.varint(), in.varint(), duration(in), duration(in)));
        }
        List<Budgets.Part> parts = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            parts.add(new Budgets.Part(in.text(), in.varint(), share(in), share(in), in.varint()));
        }
        return new Budgets.Picture(changes, wholes, members, parts);
    }

    // ---- requests and answers

    static void ask(BinaryWriter out, Ask a) {
        if (a.what() instanceof Ask.Join w) {
            EnvelopeCodec.writeRequestHeader(out, 22, a).varint(w.length().toNanos()).varint(w.lasting().toNanos());
        } else if (a.what() instanceof Ask.Parts w) {
            boolean weighted = w.wishes().stream().anyMatch(x -> x.weight() != Division.NORMAL);
            EnvelopeCodec.writeRequestHeader(out, weighted ? WEIGHTED : 23, a).varint(w.epoch()).varint(w.known())
                    .varint(w.wishes().size());
            w.wishes().forEach(x -> {
                out.text(x.budget()).varint(x.amount());
                if (weighted) {
                    out.varint(x.weight());
                }
            });
        } else if (a.what() instanceof Ask.Give w) {
            share(EnvelopeCodec.writeRequestHeader(out, 24, a).varint(w.epoch()).text(w.budget()), w.most());
        } else if (a.what() instanceof Ask.Leave) {
            EnvelopeCodec.writeRequestHeader(out, 25, a);
        }
    }

    static Ask.What what(int kind, BinaryReader in) throws MalformedException {
        return switch (kind) {
            case 22 -> new Ask.Join(duration(in), duration(in));
            case 23 -> new Ask.Parts(in.varint(), in.varint(), wishes(in, false));
            case WEIGHTED -> new Ask.Parts(in.varint(), in.varint(), wishes(in, true));
            case 24 -> new Ask.Give(in.varint(), in.text(), share(in));
            case 25 -> new Ask.Leave();
            default -> throw new MalformedException("unknown message kind: " + kind);
        };
    }

    private static List<Ask.Wish> wishes(BinaryReader in, boolean weighted) throws MalformedException {
        List<Ask.Wish> wishes = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            wishes.add(new Ask.Wish(in.text(), in.varint(),
                    weighted ? (int) Math.min(Integer.MAX_VALUE, in.varint()) : Division.NORMAL));
        }
        return wishes;
    }

    static void allocations(BinaryWriter out, List<Ask.Told> allocations) {
        out.varint(allocations.size());
        allocations.forEach(t -> share(share(out.text(t.budget()).varint(t.epoch()), t.amount()), t.target())
                .varint(t.change()));
    }

    static List<Ask.Told> allocations(BinaryReader in) throws MalformedException {
        List<Ask.Told> allocations = new ArrayList<>();
        for (int left = in.count(); left > 0; left--) {
            allocations.add(new Ask.Told(in.text(), in.varint(), share(in), share(in), in.varint()));
        }
        return allocations;
    }
}
