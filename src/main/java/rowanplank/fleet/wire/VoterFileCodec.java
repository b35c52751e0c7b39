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
 * A voter's file: a head that says whose it is, and records, each with its length, a checksum of the length, and one of
 * all of it; both go on from the checksum of the record before, so that a record fits only where it was written.
 *
 * <p>At the end of the file, a record that is shorter than it says is one whose writing was broken off: it was never
 * synced, nobody was told of it, and it is cut. A length or a record of full length whose checksum does not fit is
 * damage, whatever follows: it may have been told of, and a voter that forgets what it has told breaks the agreement. So it is refused,
 * and the voter's place is to be given to a new one. A system that crashes may leave a full-length record that was never
 * synced; that is refused as well, on the safe side.
 */
public final class VoterFileCodec {
    private static final int VERSION = 1;
    private static final int HEAD = 3 * Integer.BYTES;

    /**
     * @param saved what it holds
     * @param length how much of the file is whole records; the rest is to be cut off
     * @param chain the last record's checksum
     */
    public record FileContent(PersistentState saved, int length, int chain) { }

    /** Written records, and the last one's checksum. */
    public record Encoded(byte[] bytes, int chain) { }

    private VoterFileCodec() { }

    /** A new file: its head, and no records but the voters at the beginning. */
    public static Encoded create(String fleet, String node, List<String> voters) {
        Encoded head = record(0, new BinaryWriter().octet(0).octet(VERSION).text(fleet).text(node).toByteArray());
        Encoded beginning = write(head.chain(), new Write.FullState(PersistentState.initial(voters)));
        return joined(head, beginning);
    }

    /** A file that holds only what this write says, in place of another. */
    public static Encoded replacement(String fleet, String node, Write.FullState whole) {
        Encoded head = record(0, new BinaryWriter().octet(0).octet(VERSION).text(fleet).text(node).toByteArray());
        return joined(head, write(head.chain(), whole));
    }

    private static Encoded joined(Encoded a, Encoded b) {
        byte[] bytes = ByteBuffer.allocate(a.bytes().length + b.bytes().length).put(a.bytes()).put(b.bytes()).array();
        return new Encoded(bytes, b.chain());
    }

    /** @param chain of the record before it */
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
        return new Encoded(ByteBuffer.allocate(HEAD + content.length).putInt(content.length)
                .putInt(checksum(chain, content.length, ByteBuffer.allocate(0))).putInt(sum).put(content).array(), sum);
    }

    private static int checksum(int chain, int length, ByteBuffer content) {
        CRC32C sum = new CRC32C();
        sum.update(ByteBuffer.allocate(HEAD).putInt(chain).putInt(length).flip());
        sum.update(content);
        return (int) sum.getValue();
    }

    /** @throws MalformedException if it is not this node's file, or damaged: one line says where */
    public static FileContent read(byte[] file, String fleet, String node) throws MalformedException {
        ByteBuffer in = ByteBuffer.wrap(file);
        PersistentState saved = null;
        int chain = 0;
        boolean first = true;
        while (in.remaining() >= HEAD) {
            int start = in.position();
            int length = in.getInt();
            boolean isLength = in.getInt() == checksum(chain, length, ByteBuffer.allocate(0)) && length >= 0;
            int sum = in.getInt();
            if (isLength && length > in.remaining()) {
                in.position(start);
                break;
            }
            if (!isLength || checksum(chain, length, in.slice(in.position(), length)) != sum) {
                throw new MalformedException("damaged at byte " + start + " of " + file.length);
            }
            byte[] content = new byte[length];
            in.get(content);
            if (first) {
                head(new BinaryReader(content), fleet, node);
            } else {
                saved = with(saved, new BinaryReader(content), start);
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
     * What a file that may end in a torn write holds, up to there.
     *
     * @param fleet and node, the names in its head
     */
    public record Recovered(String fleet, String node, PersistentState saved, int length, int chain) { }

    /**
     * Reads a file whose writer syncs each write before it begins the next: then at most the last write is torn, nobody
     * was told of it, and everything from the first record that does not fit is dropped. Damage to what was synced is
     * taken for a torn write; so this is for disks that keep what they have synced.
     *
     * @return null where not even the first record of a state is whole
     */
    public static Recovered recover(byte[] file) {
        ByteBuffer in = ByteBuffer.wrap(file);
        String[] names = null;
        PersistentState saved = null;
        int chain = 0;
        int whole = 0;
        try {
            while (in.remaining() >= HEAD) {
                int start = in.position();
                int length = in.getInt();
                boolean isLength = in.getInt() == checksum(chain, length, ByteBuffer.allocate(0)) && length >= 0;
                int sum = in.getInt();
                if (!isLength || length > in.remaining()
                        || checksum(chain, length, in.slice(in.position(), length)) != sum) {
                    break;
                }
                byte[] content = new byte[length];
                in.get(content);
                if (names == null) {
                    names = names(new BinaryReader(content));
                } else {
                    saved = with(saved, new BinaryReader(content), start);
                }
                chain = sum;
                whole = in.position();
            }
        } catch (MalformedException e) {
            return null;
        }
        return saved == null ? null : new Recovered(names[0], names[1], saved, whole, chain);
    }

    private static void head(BinaryReader in, String fleet, String node) throws MalformedException {
        String[] names = names(in);
        if (!names[0].equals(fleet) || !names[1].equals(node)) {
            throw new MalformedException("of node " + names[1] + " in fleet " + names[0]);
        }
    }

    /** The fleet's and the node's name. */
    private static String[] names(BinaryReader in) throws MalformedException {
        if (in.octet() != 0) {
            throw new MalformedException("no voter's file");
        }
        int version = in.octet();
        if (version != VERSION) {
            throw new MalformedException("of version " + version + ", and this one knows " + VERSION);
        }
        String[] names = {in.text(), in.text()};
        in.end();
        return names;
    }

    private static PersistentState with(PersistentState before, BinaryReader in, int start) throws MalformedException {
        int kind = in.octet();
        PersistentState after;
        if (kind == 3) {
            long term = in.varint();
            String vote = in.flag() ? in.text() : null;
            Snapshot snapshot = new Snapshot(in.varint(), in.varint(), LogCodec.names(in), in.bytes());
            after = new PersistentState(term, vote, snapshot, LogCodec.entries(in));
        } else if (before == null || kind < 1 || kind > 3) {
            throw new MalformedException("a record of kind " + kind + " at byte " + start);
        } else if (kind == 1) {
            after = new PersistentState(in.varint(), in.flag() ? in.text() : null, before.snapshot(), before.entries());
        } else {
            after = new PersistentState(before.term(), before.vote(), before.snapshot(),
                    joined(before, LogCodec.entries(in), start));
        }
        in.end();
        return after;
    }

    private static List<Entry> joined(PersistentState before, List<Entry> entries, int start) throws MalformedException {
        long first = entries.isEmpty() ? -1 : entries.get(0).index();
        long kept = first - 1 - before.snapshot().index();
        if (kept < 0 || kept > before.entries().size()) {
            throw new MalformedException("entry " + first + " has no place, at byte " + start);
        }
        List<Entry> all = new ArrayList<>(before.entries().subList(0, (int) kept));
        all.addAll(entries);
        return all;
    }
}
