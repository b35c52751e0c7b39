package rowanplank.fleet.wire;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.zip.CRC32C;
import net.openhft.hashing.LongHashFunction;
import rowanplank.agreement.Message;
import rowanplank.fleet.wire.Unpacker.MalformedException;
import rowanplank.ledger.Ask;

/**
 * Datagrams between nodes as bytes: two letters, the version, eight bytes of the fleet's name, the sender and what it
 * understands, what it says, and a checksum (CRC-32C) of all that. What is cut, spoilt, of another fleet or of another version is refused whole.
 */
public final class EnvelopeForm {
    /** With the heads of IP and UDP this passes any network whole. */
    public static final int MOST_BYTES = 1400;
    /** The most of entries, or of a piece of a snapshot, that leaves room for all else. */
    public static final int MOST_CONTENT = 1000;
    /** The longest name of a node, a fleet or a lease, in bytes. */
    public static final int MOST_NAME = 64;
    private static final int VERSION = 1;
    private static final int CHECKSUM = Integer.BYTES;
    private static final int ANSWER = 32;
    private static final int ANSWER_WITH_PARTS = 63;
    private static final int ANSWER_WITH_LINE = 62;
    /** Asks that came with version 5 of the ledger's entries; those before are below {@link #ANSWER}. */
    private static final int POLL_WITH_SERVICE = 33;
    private static final int LATER_STAFF = 34;
    private static final int LOOK = 35;

    private final long fleet;

    public EnvelopeForm(String fleet) {
        this.fleet = LongHashFunction.xx().hashChars(fleet);
    }

    public ByteBuffer write(Envelope e) {
        Packer out = new Packer().octet('r').octet('p').octet(VERSION).int64(fleet).text(e.sender())
                .int64(e.incarnation()).octet(e.knows());
        if (e.message() != null) {
            message(out, e.message());
        } else if (e.ask() != null) {
            ask(out, e.ask());
        } else if (e.note() != null) {
            NoteForm.write(out, e.note());
        } else {
            boolean parts = !e.answer().parts().isEmpty();
            boolean line = e.answer().line() != null;
            out.octet(parts ? ANSWER_WITH_PARTS : line ? ANSWER_WITH_LINE : ANSWER).int64(e.answer().incarnation()).number(e.answer().number());
            LedgerForm.result(out, e.answer().result());
            if (parts) {
                BudgetForm.told(out, e.answer().parts());
            } else if (line) {
                WorkForm.line(out, e.answer().line());
            }
        }
        byte[] bytes = out.done();
        return ByteBuffer.allocate(bytes.length + CHECKSUM).put(bytes).putInt(checksum(ByteBuffer.wrap(bytes))).flip();
    }

    private static int checksum(ByteBuffer bytes) {
        CRC32C sum = new CRC32C();
        sum.update(bytes);
        return (int) sum.getValue();
    }

    private static void message(Packer out, Message m) {
        if (m instanceof Message.VoteRequest v) {
            out.octet(1).number(v.term()).flag(v.pre()).flag(v.handover()).number(v.lastIndex()).number(v.lastTerm());
        } else if (m instanceof Message.VoteResponse v) {
            out.octet(2).number(v.term()).flag(v.pre()).flag(v.granted());
        } else if (m instanceof Message.AppendRequest a) {
            out.octet(3).number(a.term()).number(a.previous()).number(a.previousTerm()).number(a.commit())
                    .number(a.round());
            LogForm.entries(out, a.entries());
        } else if (m instanceof Message.AppendResponse a) {
            out.octet(4).number(a.term()).number(a.round()).flag(a.ok()).number(a.match());
        } else if (m instanceof Message.SnapshotChunk p) {
            out.octet(5).number(p.term()).number(p.round()).number(p.index()).number(p.indexTerm());
            LogForm.names(out, p.voters());
            out.number(p.whole()).number(p.offset()).bytes(p.bytes());
        } else if (m instanceof Message.SnapshotChunkResponse p) {
            out.octet(6).number(p.term()).number(p.round()).number(p.index()).number(p.have());
        } else if (m instanceof Message.TimeoutNow t) {
            out.octet(7).number(t.term());
        }
    }

    private static void ask(Packer out, Ask a) {
        if (a.what() instanceof Ask.Open) {
            head(out, 16, a);
        } else if (a.what() instanceof Ask.Renew) {
            head(out, 17, a);
        } else if (a.what() instanceof Ask.Acquire w) {
            head(out, 18, a).text(w.lease()).number(w.length().toNanos());
        } else if (a.what() instanceof Ask.Release w) {
            head(out, 19, a).text(w.lease()).number(w.fence());
        } else if (a.what() instanceof Ask.Claim w) {
            head(out, 21, a).text(w.lease()).number(w.fence()).text(w.task()).number(w.every().toNanos())
                    .number(w.period());
        } else if (a.what() instanceof Ask.Read w) {
            head(out, 20, a).text(w.lease());
        } else if (a.what() instanceof Ask.Poll w && w.service() != null) {
            WorkForm.service(head(out, POLL_WITH_SERVICE, a).text(w.machine()).text(w.hall()), w.service());
        } else if (a.what() instanceof Ask.Poll w) {
            head(out, 26, a).text(w.machine()).text(w.hall());
        } else if (a.what() instanceof Ask.Step w) {
            head(out, 27, a).number(w.fence()).octet(w.from().ordinal());
        } else if (a.what() instanceof Ask.Look w) {
            head(out, LOOK, a).number(w.from());
        } else if (a.what() instanceof Ask.Staff w && WorkForm.isLater(w.words())) {
            WorkForm.window(WorkForm.staff(head(out, LATER_STAFF, a), w.words()), w.words().window());
        } else if (a.what() instanceof Ask.Staff w) {
            WorkForm.staff(head(out, 28, a), w.words());
        } else {
            BudgetForm.ask(out, a);
        }
    }

    static Packer head(Packer out, int kind, Ask a) {
        return out.octet(kind).number(a.session()).number(a.floor()).number(a.number());
    }

    /** @throws MalformedException if it is not whole, not of this fleet, or not of this version */
    public Envelope read(ByteBuffer datagram) throws MalformedException {
        int length = datagram.remaining() - CHECKSUM;
        if (length < 0) {
            throw new MalformedException("ends too early");
        }
        ByteBuffer content = datagram.slice(datagram.position(), length);
        if (datagram.getInt(datagram.position() + length) != checksum(content.duplicate())) {
            throw new MalformedException("spoilt on its way");
        }
        Unpacker in = new Unpacker(content);
        if (in.octet() != 'r' || in.octet() != 'p') {
            throw new MalformedException("no datagram of a fleet");
        }
        int version = in.octet();
        if (version != VERSION) {
            throw new MalformedException("version " + version + ", and this one knows " + VERSION);
        }
        if (in.int64() != fleet) {
            throw new MalformedException("of another fleet");
        }
        Envelope e = content(in.text(), in.int64(), in.octet(), in);
        in.end();
        return e;
    }

    private static Envelope content(String sender, long incarnation, int knows, Unpacker in) throws MalformedException {
        int kind = in.octet();
        if (kind < 16) {
            return Envelope.of(sender, incarnation, knows, message(kind, in));
        }
        if (kind < ANSWER || kind >= POLL_WITH_SERVICE && kind <= LOOK) {
            long session = in.number();
            long floor = in.number();
            long number = in.number();
            return Envelope.of(sender, incarnation, knows, new Ask(sender, incarnation, session, floor, number, what(kind, in)));
        }
        if (kind == ANSWER || kind == ANSWER_WITH_PARTS || kind == ANSWER_WITH_LINE) {
            return Envelope.of(sender, incarnation, knows, new Ask.Answer(in.int64(), in.number(), LedgerForm.result(in),
                    kind == ANSWER_WITH_PARTS ? BudgetForm.told(in) : List.of(),
                    kind == ANSWER_WITH_LINE ? WorkForm.line(in) : null));
        }
        return Envelope.of(sender, incarnation, knows, NoteForm.read(kind, in));
    }

    private static Message message(int kind, Unpacker in) throws MalformedException {
        return switch (kind) {
            case 1 -> new Message.VoteRequest(in.number(), in.flag(), in.flag(), in.number(), in.number());
            case 2 -> new Message.VoteResponse(in.number(), in.flag(), in.flag());
            case 3 -> new Message.AppendRequest(in.number(), in.number(), in.number(), in.number(), in.number(),
                    LogForm.entries(in));
            case 4 -> new Message.AppendResponse(in.number(), in.number(), in.flag(), in.number());
            case 5 -> new Message.SnapshotChunk(in.number(), in.number(), in.number(), in.number(), LogForm.names(in),
                    size(in), size(in), in.bytes());
            case 6 -> new Message.SnapshotChunkResponse(in.number(), in.number(), in.number(), size(in));
            case 7 -> new Message.TimeoutNow(in.number());
            default -> throw new MalformedException("a message of kind " + kind + ", which this version does not know");
        };
    }

    private static int size(Unpacker in) throws MalformedException {
        long size = in.number();
        if (size < 0 || size > Integer.MAX_VALUE) {
            throw new MalformedException("no size: " + size);
        }
        return (int) size;
    }

    private static Ask.What what(int kind, Unpacker in) throws MalformedException {
        return switch (kind) {
            case 16 -> new Ask.Open();
            case 17 -> new Ask.Renew();
            case 18 -> new Ask.Acquire(in.text(), Duration.ofNanos(in.number()));
            case 19 -> new Ask.Release(in.text(), in.number());
            case 20 -> new Ask.Read(in.text());
            case 21 -> new Ask.Claim(in.text(), in.number(), in.text(), Duration.ofNanos(in.number()), in.number());
            case 26 -> new Ask.Poll(in.text(), in.text());
            case 27 -> new Ask.Step(in.number(), WorkForm.state(in));
            case 28 -> new Ask.Staff(WorkForm.staff(in));
            case POLL_WITH_SERVICE -> new Ask.Poll(in.text(), in.text(), WorkForm.service(in));
            case LOOK -> new Ask.Look(size(in));
            case LATER_STAFF -> new Ask.Staff(WorkForm.laterStaff(in));
            default -> BudgetForm.what(kind, in);
        };
    }
}
