package rowanplank.fleet.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import rowanplank.agreement.Entry;
import rowanplank.agreement.PersistentState;
import rowanplank.agreement.Snapshot;
import rowanplank.agreement.Write;
import rowanplank.fleet.wire.BinaryReader.MalformedException;

/** Round trips of a voter's state file, and the rejection of damaged ones. */
class VoterFileCodecTest {
    private static final List<String> VOTERS = List.of("n1", "n2", "n3");
    private int lastRecord;

    /** A file with a vote, and entries of which the second is overwritten. */
    private byte[] file() {
        VoterFileCodec.Encoded w = VoterFileCodec.create("press", "n1", VOTERS);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(w.bytes());
        for (Write write : List.of(new Write.Vote(3, "n2"),
                new Write.Entries(List.of(Entry.noOp(1, 3), Entry.command(2, 3, new byte[] {1}))),
                new Write.Entries(List.of(Entry.command(2, 4, new byte[] {9, 9}))))) {
            lastRecord = out.size();
            w = VoterFileCodec.write(w.chain(), write);
            out.writeBytes(w.bytes());
        }
        return out.toByteArray();
    }

    @Test
    void writtenFileIsRead() throws Exception {
        VoterFileCodec.FileContent read = VoterFileCodec.read(file(), "press", "n1");
        assertEquals(3, read.saved().term());
        assertEquals("n2", read.saved().vote());
        assertEquals(List.of(3L, 4L), read.saved().entries().stream().map(Entry::term).toList());
        assertEquals(VOTERS, read.saved().snapshot().voters());
    }

    /** Damage of any bit must be found: a voter must not start without what it has acknowledged. */
    @Test
    void everyFlippedBitIsFound() {
        byte[] file = file();
        for (int bit = 0; bit < file.length * 8; bit++) {
            byte[] corrupted = file.clone();
            corrupted[bit / 8] ^= (byte) (1 << bit % 8);
            assertThrows(MalformedException.class, () -> VoterFileCodec.read(corrupted, "press", "n1"), "bit " + bit);
        }
    }

    @Test
    void tornRecordIsCutOff() throws Exception {
        byte[] file = file();
        for (int length = lastRecord; length < file.length; length++) {
            VoterFileCodec.FileContent read = VoterFileCodec.read(Arrays.copyOf(file, length), "press", "n1");
            assertEquals(lastRecord, read.length());
            assertEquals(List.of(3L, 3L), read.saved().entries().stream().map(Entry::term).toList());
        }
    }

    /**
     * A truncated file with a snapshot must be rejected; without the snapshot the voter would start as if it knew
     * nothing.
     */
    @Test
    void truncatedSnapshotIsRejected() throws Exception {
        Snapshot snapshot = new Snapshot(900, 7, VOTERS, new byte[3000]);
        byte[] complete = VoterFileCodec.replacement("press", "n1",
                new Write.FullState(new PersistentState(8, "n2", snapshot,
                List.of(Entry.command(901, 8, new byte[500]))))).bytes();
        assertEquals(900, VoterFileCodec.read(complete, "press", "n1").saved().snapshot().index());
        for (int length = 0; length < complete.length; length += 10) {
            byte[] truncated = Arrays.copyOf(complete, length);
            assertThrows(MalformedException.class, () -> VoterFileCodec.read(truncated, "press", "n1"), length
                    + " bytes");
        }
    }

    @Test
    void fileOfAnotherNodeIsRejected() {
        String line = assertThrows(MalformedException.class, () -> VoterFileCodec.read(file(), "press", "n2"))
                .getMessage();
        assertTrue(line.contains("n1"), line);
        assertThrows(MalformedException.class, () -> VoterFileCodec.read(file(), "other", "n1"));
        assertThrows(MalformedException.class, () -> VoterFileCodec.read(new byte[0], "press", "n1"));
    }
}
