package rowanplank.fleet.wire;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.zip.CRC32C;
import net.openhft.hashing.LongHashFunction;
import rowanplank.agreement.Message;
import rowanplank.fleet.wire.BinaryReader.MalformedException;
import rowanplank.ledger.Ask;

/**
 * Encodes and decodes datagrams between nodes: two magic bytes, the format version, an eight-byte hash of the fleet's
 * name, the sender's name, incarnation and understood version, the content, and a CRC-32C checksum of all that.
 * Datagrams that are truncated, corrupted, of another fleet or of another format version are rejected.
 */
public final class EnvelopeCodec {
    /** The largest datagram in bytes. With IP and UDP headers it passes any network without fragmentation. */
    public static final int MAX_DATAGRAM_BYTES = 1400;
    /**
     * The limit in bytes of the entries, or of the snapshot chunk, in a datagram; it leaves room for everything else.
     */
    public static final int MAX_CONTENT_BYTES = 1000;
    /** The longest name of a node, a fleet or a lease, in bytes. */
    public static final int MAX_NAME_BYTES = 64;
    private static final int VERSION = 1;
    private static final int CHECKSUM_BYTES = Integer.BYTES;
    private static final int ANSWER = 32;
    private static final int ANSWER_WITH_PARTS = 63;
    private static final int ANSWER_WITH_LINE = 62;
    /** Request kinds introduced with version 5 of ledger entries; earlier ones are below {@link #ANSWER}. */
    private static final int POLL_WITH_SERVICE = 33;
    private static final int STAFF_WITH_WINDOW = 34;
    private static final int LOOK = 35;

    private final long fleet;

    public EnvelopeCodec(String fleet) {
        this.fleet = LongHashFunction.xx().hashChars(fleet);
    }

    /** Encodes a datagram. */
    public ByteBuffer write(Envelope e) {
        BinaryWriter out = new BinaryWriter().octet('r').octet('p').octet(VERSION).int64(fleet).text(e.sender())
                .int64(e.incarnation()).octet(e.understoodVersion());
        if (e.message() != null) {
            message(out, e.message());
        } else if (e.ask() != null) {
            ask(out, e.ask());
        } else if (e.gossip() != null) {
            GossipCodec.write(out, e.gossip());
        } else {
            boolean parts = !e.answer().parts().isEmpty();
            boolean line = e.answer().line() != null;
            out.octet(parts ? ANSWER_WITH_PARTS : line ? ANSWER_WITH_LINE : ANSWER).int64(e.answer().incarnation())
                    .varint(e.answer().number());
            LedgerCodec.result(out, e.answer().result());
            if (parts) {
                BudgetCodec.allocations(out, e.answer().parts());
            } else if (line) {
                WorkCodec.line(out, e.answer().line());
            }
        }
        byte[] bytes = out.toByteArray();
        return ByteBuffer.allocate(bytes.length + CHECKSUM_BYTES).put(bytes).putInt(checksum(ByteBuffer.wrap(bytes)))
                .flip();
    }

    private static int checksum(ByteBuffer bytes) {
        CRC32C sum = new CRC32C();
        sum.update(bytes);
        return (int) sum.getValue();
    }

    private static void message(BinaryWriter out, Message m) {
        if (m instanceof Message.VoteRequest v) {
            out.octet(1).varint(v.term()).flag(v.pre()).flag(v.handover()).varint(v.lastIndex()).varint(v.lastTerm());
        } else if (m instanceof Message.VoteResponse v) {
            out.octet(2).varint(v.term()).flag(v.pre()).flag(v.granted());
        } else if (m instanceof Message.AppendRequest a) {
            out.octet(3).varint(a.term()).varint(a.previous()).varint(a.previousTerm()).varint(a.commit())
                    .varint(a.round());
            LogCodec.entries(out, a.entries());
        } else if (m instanceof Message.AppendResponse a) {
            out.octet(4).varint(a.term()).varint(a.round()).flag(a.ok()).varint(a.match());
        } else if (m instanceof Message.SnapshotChunk p) {
            out.octet(5).varint(p.term()).varint(p.round()).varint(p.index()).varint(p.indexTerm());
            LogCodec.names(out, p.voters());
            out.varint(p.whole()).varint(p.offset()).bytes(p.bytes());
        } else if (m instanceof Message.SnapshotChunkResponse p) {
            out.octet(6).varint(p.term()).varint(p.round()).varint(p.index()).varint(p.have());
        } else if (m instanceof Message.TimeoutNow t) {
            out.octet(7).varint(t.term());
        }
    }

    private static void ask(BinaryWriter out, Ask a) {
        if (a.what() instanceof Ask.Open) {
            writeRequestHeader(out, 16, a);
        } else if (a.what() instanceof Ask.Renew) {
            writeRequestHeader(out, 17, a);
        } else if (a.what() instanceof Ask.Acquire w) {
            writeRequestHeader(out, 18, a).text(w.lease()).varint(w.length().toNanos());
        } else if (a.what() instanceof Ask.Release w) {
            writeRequestHeader(out, 19, a).text(w.lease()).varint(w.fence());
        } else if (a.what() instanceof Ask.Claim w) {
            writeRequestHeader(out, 21, a).text(w.lease()).varint(w.fence()).text(w.task()).varint(w.every().toNanos())
                    .varint(w.period());
        } else if (a.what() instanceof Ask.Read w) {
            writeRequestHeader(out, 20, a).text(w.lease());
        } else if (a.what() instanceof Ask.Poll w && w.service() != null) {
            WorkCodec.service(writeRequestHeader(out, POLL_WITH_SERVICE, a).text(w.machine()).text(w.hall()),
                    w.service());
        } else if (a.what() instanceof Ask.Poll w) {
            writeRequestHeader(out, 26, a).text(w.machine()).text(w.hall());
        } else if (a.what() instanceof Ask.Step w) {
            writeRequestHeader(out, 27, a).varint(w.fence()).octet(w.from().ordinal());
        } else if (a.what() instanceof Ask.Look w) {
            writeRequestHeader(out, LOOK, a).varint(w.from());
        } else if (a.what() instanceof Ask.Staff w && WorkCodec.needsLatestVersion(w.words())) {
            WorkCodec.window(WorkCodec.staff(writeRequestHeader(out, STAFF_WITH_WINDOW, a), w.words()),
                    w.words().window());
        } else if (a.what() instanceof Ask.Staff w) {
            WorkCodec.staff(writeRequestHeader(out, 28, a), w.words());
        } else {
            BudgetCodec.ask(out, a);
        }
    }

    static BinaryWriter writeRequestHeader(BinaryWriter out, int kind, Ask a) {
        return out.octet(kind).varint(a.session()).varint(a.floor()).varint(a.number());
    }

    /**
     * Decodes a datagram.
     *
     * @throws MalformedException if it is truncated, corrupted, of another fleet or of another format version
     */
    public Envelope read(ByteBuffer datagram) throws MalformedException {
        int length = datagram.remaining() - CHECKSUM_BYTES;
        if (length < 0) {
            throw new MalformedException("shorter than its checksum");
        }
        ByteBuffer content = datagram.slice(datagram.position(), length);
        if (datagram.getInt(datagram.position() + length) != checksum(content.duplicate())) {
            throw new MalformedException("checksum mismatch");
        }
        BinaryReader in = new BinaryReader(content);
        if (in.octet() != 'r' || in.octet() != 'p') {
            throw new MalformedException("not a fleet datagram");
        }
        int version = in.octet();
        if (version != VERSION) {
            throw new MalformedException("unsupported format version " + version + ", expected " + VERSION);
        }
        if (in.int64() != fleet) {
            throw new MalformedException("belongs to another fleet");
        }
        Envelope e = content(in.text(), in.int64(), in.octet(), in);
        in.end();
        return e;
    }

    private static Envelope content(String sender, long incarnation, int understoodVersion,
            BinaryReader in) throws MalformedException {
        int kind = in.octet();
        if (kind < 16) {
            return Envelope.of(sender, incarnation, understoodVersion, message(kind, in));
        }
        if (kind < ANSWER || kind >= POLL_WITH_SERVICE && kind <= LOOK) {
            long session = in.varint();
            long floor = in.varint();
            long number = in.varint();
            return Envelope.of(sender, incarnation, understoodVersion,
                    new Ask(sender, incarnation, session, floor, number, what(kind, in)));
        }
        if (kind == ANSWER || kind == ANSWER_WITH_PARTS || kind == ANSWER_WITH_LINE) {
            return Envelope.of(sender, incarnation, understoodVersion,
                    new Ask.Answer(in.int64(), in.varint(), LedgerCodec.result(in),
                    kind == ANSWER_WITH_PARTS ? BudgetCodec.allocations(in) : List.of(),
                    kind == ANSWER_WITH_LINE ? WorkCodec.line(in) : null));
        }
        return Envelope.of(sender, incarnation, understoodVersion, GossipCodec.read(kind, in));
    }

    private static Message message(int kind, BinaryReader in) throws MalformedException {
        return switch (kind) {
            case 1 -> new Message.VoteRequest(in.varint(), in.flag(), in.flag(), in.varint(), in.varint());
            case 2 -> new Message.VoteResponse(in.varint(), in.flag(), in.flag());
            case 3 -> new Message.AppendRequest(in.varint(), in.varint(), in.varint(), in.varint(), in.varint(),
                    LogCodec.entries(in));
            case 4 -> new Message.AppendResponse(in.varint(), in.varint(), in.flag(), in.varint());
            case 5 -> new Message.SnapshotChunk(in.varint(), in.varint(), in.varint(), in.varint(), LogCodec.names(in),
                    size(in), size(in), in.bytes());
            case 6 -> new Message.SnapshotChunkResponse(in.varint(), in.varint(), in.varint(), size(in));
            case 7 -> new Message.TimeoutNow(in.varint());
            default -> throw new MalformedException("unknown message kind: " + kind);
        };
    }

    private static int size(BinaryReader in) throws MalformedException {
        long size = in.varint();
        if (size < 0 || size > Integer.MAX_VALUE) {
            throw new MalformedException("invalid size: " + size);
        }
        return (int) size;
    }

    private static Ask.What what(int kind, BinaryReader in) throws MalformedException {
        return switch (kind) {
            case 16 -> new Ask.Open();
            case 17 -> new Ask.Renew();
            case 18 -> new Ask.Acquire(in.text(), Duration.ofNanos(in.varint()));
            case 19 -> new Ask.Release(in.text(), in.varint());
            case 20 -> new Ask.Read(in.text());
            case 21 -> new Ask.Claim(in.text(), in.varint(), in.text(), Duration.ofNanos(in.varint()), in.varint());
            case 26 -> new Ask.Poll(in.text(), in.text());
            case 27 -> new Ask.Step(in.varint(), WorkCodec.state(in));
            case 28 -> new Ask.Staff(WorkCodec.staff(in));
            case POLL_WITH_SERVICE -> new Ask.Poll(in.text(), in.text(), WorkCodec.service(in));
            case LOOK -> new Ask.Look(size(in));
            case STAFF_WITH_WINDOW -> new Ask.Staff(WorkCodec.staffWithWindow(in));
            default -> BudgetCodec.what(kind, in);
        };
    }
}
