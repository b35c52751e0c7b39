package rowanplank.fleet.wire;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import rowanplank.agreement.Entry;
import rowanplank.agreement.PersistentState;
import rowanplank.agreement.Snapshot;
import rowanplank.agreement.Write;
import rowanplank.fleet.wire.BinaryReader.MalformedException;

/**
 * Encodes and decodes a voter's state file. It consists of a header that names its owner, and records, each with its
 * length, a checksum of the length and a checksum of the whole record. Both checksums continue from that of the
 * previous record, so that a record is only valid at its position.
 *
 * <p>A record at the end of the file that is shorter than its length says is an interrupted write: it was never synced
 * and nobody was told of it, so it is cut off. A length or a complete record with a wrong checksum is damage, whatever
 * follows: others may have been told of it, and a voter that forgets what it has acknowledged violates the assumptions
 * of Raft. So the file is rejected, and the voter has to be replaced by a new one. A system crash may also leave a
 * complete record that was never synced; to be safe, that is rejected too.
 */
public final class VoterFileCodec {
    private static final int VERSION = 1;
    private static final int RECORD_HEADER_BYTES = 3 * Integer.BYTES;

    /**
     * The content of a file.
     *
     * @param saved the state that it holds
     * @param length the number of bytes of complete records; the rest has to be cut off
     * @param chain the checksum of the last record
     */
    public record FileContent(PersistentState saved, int length, int chain) { }

    /**
     * Encoded records.
     *
     * @param chain the checksum of the last one
     */
    public record Encoded(byte[] bytes, int chain) { }

    private VoterFileCodec() { }

    /** The content of a new file: the header and the initial voters. */
    public static Encoded create(String fleet, String node, List<String> voters) {
        Encoded head = record(0, new BinaryWriter().octet(0).octet(VERSION).text(fleet).text(node).toByteArray());
        Encoded state = write(head.chain(), new Write.FullState(PersistentState.initial(voters)));
        return concat(head, state);
    }

    /** The content of a file that replaces another one and holds only this state. */
    public static Encoded replacement(String fleet, String node, Write.FullState state) {
        Encoded head = record(0, new BinaryWriter().octet(0).octet(VERSION).text(fleet).text(node).toByteArray());
        return concat(head, write(head.chain(), state));
    }

    private static Encoded concat(Encoded a, Encoded b) {
        byte[] bytes = ByteBuffer.allocate(a.bytes().length + b.bytes().length).put(a.bytes()).put(b.bytes()).array();
        return new Encoded(bytes, b.chain());
    }

    /**
     * Encodes a record.
     *
     * @param chain the checksum of the previous record
     */
    public static Encoded write(int chain, Write write) {
        BinaryWriter out = new BinaryWriter();
        if (write instanceof Write.Vote v) {
            out.octet(1);
            vote(out, v.term(), v.vote());
        } else if (write instanceof Write.Entries e) {
            LogCodec.entries(out.octet(2), e.entries());
        } else if (write instanceof Write.FullState w) {
            Snapshot s = w.saved().snapshot();
            out.octet(3);
            vote(out, w.saved().term(), w.saved().vote());
            out.varint(s.index()).varint(s.term());
            LogCodec.names(out, s.voters());
            LogCodec.entries(out.bytes(s.data()), w.saved().entries());
        }
        return record(chain, out.toByteArray());
    }

    private static void vote(BinaryWriter out, long term, String vote) {
        out.varint(term).flag(vote != null);
        if (vote != null) {
            out.text(vote);
        }
    }

    private static Encoded record(int chain, byte[] content) {
        int sum = checksum(chain, content.length, ByteBuffer.wrap(content));
        return new Encoded(ByteBuffer.allocate(RECORD_HEADER_BYTES + content.length).putInt(content.length)
                .putInt(checksum(chain, content.length, ByteBuffer.allocate(0))).putInt(sum).put(content).array(), sum);
    }

    private static int checksum(int chain, int length, ByteBuffer content) {
        CRC32C sum = new CRC32C();
        sum.update(ByteBuffer.allocate(RECORD_HEADER_BYTES).putInt(chain).putInt(length).flip());
        sum.update(content);
        return (int) sum.getValue();
    }

    /**
     * Decodes a file.
     *
     * @throws MalformedException with a one-line message that says where, if the file is damaged or belongs to another
     *     node
     */
    public static FileContent read(byte[] file, String fleet, String node) throws MalformedException {
        ByteBuffer in = ByteBuffer.wrap(file);
        PersistentState saved = null;
        int chain = 0;
        boolean first = true;
        while (in.remaining() >= RECORD_HEADER_BYTES) {
            int start = in.position();
            int length = in.getInt();
            boolean isLengthValid = in.getInt() == checksum(chain, length, ByteBuffer.allocate(0)) && length >= 0;
            int sum = in.getInt();
            if (isLengthValid && length > in.remaining()) {
                in.position(start);
                break;
            }
            if (!isLengthValid || checksum(chain, length, in.slice(in.position(), length)) != sum) {
                throw new MalformedException("damaged at byte " + start + " of " + file.length);
            }
            byte[] content = new byte[length];
            in.get(content);
            if (first) {
                checkHeader(new BinaryReader(content), fleet, node);
            } else {
                saved = applyRecord(saved, new BinaryReader(content), start);
            }
            first = false;
            chain = sum;
        }
        if (saved == null) {
            throw new MalformedException("ends before its first record");
        }
        return new FileContent(saved, in.position(), chain);
    }

    /**
     * The content of a file up to a torn write, if there is one.
     *
     * @param fleet the fleet's name in the header
     * @param node the node's name in the header
     * @param saved the state that it holds
     * @param length the number of bytes of complete records
     * @param chain the checksum of the last record
     */
    public record Recovered(String fleet, String node, PersistentState saved, int length, int chain) { }

    /**
     * Reads a file whose writer syncs each write before it starts the next one. Then at most the last write is torn,
     * nobody was told of it, and everything from the first invalid record on is dropped. Damage to synced data is
     * mistaken for a torn write, so this is only suitable for disks that keep what they have synced.
     *
     * @return null if not even the first state record is complete
     */
    public static Recovered recover(byte[] file) {
        ByteBuffer in = ByteBuffer.wrap(file);
        String[] names = null;
        PersistentState saved = null;
        int chain = 0;
        int completeLength = 0;
        try {
            while (in.remaining() >= RECORD_HEADER_BYTES) {
                int start = in.position();
                int length = in.getInt();
                boolean isLengthValid = in.getInt() == checksum(chain, length, ByteBuffer.allocate(0)) && length >= 0;
                int sum = in.getInt();
                if (!isLengthValid || length > in.remaining()
                        || checksum(chain, length, in.slice(in.position(), length)) != sum) {
                    break;
                }
                byte[] content = new byte[length];
                in.get(content);
                if (names == null) {
                    names = names(new BinaryReader(content));
                } else {
                    saved = applyRecord(saved, new BinaryReader(content), start);
                }
                chain = sum;
                completeLength = in.position();
            }
        } catch (MalformedException e) {
            return null;
        }
        return saved == null ? null : new Recovered(names[0], names[1], saved, completeLength, chain);
    }

    private static void checkHeader(BinaryReader in, String fleet, String node) throws MalformedException {
        String[] names = names(in);
        if (!names[0].equals(fleet) || !names[1].equals(node)) {
            throw new MalformedException("of node " + names[1] + " in fleet " + names[0]);
        }
    }

    /** Reads the header: the fleet's and the node's name. */
    private static String[] names(BinaryReader in) throws MalformedException {
        if (in.octet() != 0) {
            throw new MalformedException("not a voter's state file");
        }
        int version = in.octet();
        if (version != VERSION) {
            throw new MalformedException("unsupported format version " + version + ", expected " + VERSION);
        }
        String[] names = {in.text(), in.text()};
        in.end();
        return names;
    }

    private static PersistentState applyRecord(PersistentState before, BinaryReader in,
            int start) throws MalformedException {
        int kind = in.octet();
        PersistentState after;
        if (kind == 3) {
            long term = in.varint();
            String vote = in.flag() ? in.text() : null;
            Snapshot snapshot = new Snapshot(in.varint(), in.varint(), LogCodec.names(in), in.bytes());
            after = new PersistentState(term, vote, snapshot, LogCodec.entries(in));
        } else if (before == null || kind < 1 || kind > 3) {
            throw new MalformedException("unexpected record of kind " + kind + " at byte " + start);
        } else if (kind == 1) {
            after = new PersistentState(in.varint(), in.flag() ? in.text() : null, before.snapshot(), before.entries());
        } else {
            after = new PersistentState(before.term(), before.vote(), before.snapshot(),
                    withEntries(before, LogCodec.entries(in), start));
        }
        in.end();
        return after;
    }

    private static List<Entry> withEntries(PersistentState before, List<Entry> entries,
            int start) throws MalformedException {
        long first = entries.isEmpty() ? -1 : entries.get(0).index();
        long kept = first - 1 - before.snapshot().index();
        if (kept < 0 || kept > before.entries().size()) {
            throw new MalformedException("entry " + first + " does not follow the entries before it, at byte " + start);
        }
        List<Entry> all = new ArrayList<>(before.entries().subList(0, (int) kept));
        all.addAll(entries);
        return all;
    }
}
