package rowanplank.fleet.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rowanplank.agreement.RaftNode;
import rowanplank.fleet.wire.BinaryReader.MalformedException;
import rowanplank.ledger.Budgets;
import rowanplank.ledger.Command;
import rowanplank.ledger.Ledger;
import rowanplank.ledger.Result;
import rowanplank.ledger.Share;
import rowanplank.ledger.Window;

/** Round trips of commands and ledger snapshots in all versions. */
class LedgerCodecTest {
    private static Ledger.Picture picture(int level, List<Ledger.Run> runs) {
        return new Ledger.Picture(90, -7, 41, level, List.of(new Ledger.Session(3, "n1", 1L << 50, 4,
                Map.of(4L, Result.of(Result.Kind.GRANTED, 41)))),
                List.of(new Ledger.Lease("nightly", 3, 41, Duration.ofSeconds(4))), runs);
    }

    /** A snapshot that was truncated at any byte must be rejected. */
    @Test
    void truncatedSnapshotIsRejected() throws Exception {
        byte[] whole = LedgerCodec.snapshot(picture(2, List.of(new Ledger.Run("stamp", 20_000, 41))));
        assertEquals(picture(2, List.of(new Ledger.Run("stamp", 20_000, 41))), LedgerCodec.snapshot(whole));
        for (int length = 1; length < whole.length; length++) {
            byte[] cut = Arrays.copyOf(whole, length);
            assertThrows(MalformedException.class, () -> LedgerCodec.snapshot(cut), length + " bytes");
        }
    }

    /** What an older version can express must be written in that version, and newer content must be rejected by it. */
    @Test
    void olderVersionsRejectNewerContent() throws Exception {
        assertEquals(1, LedgerCodec.snapshot(picture(1, List.of()))[0]);
        assertEquals(picture(1, List.of()), LedgerCodec.snapshot(LedgerCodec.snapshot(picture(1, List.of()))));
        Command known = new Command.Acquire(3, 1, 5, "nightly", Duration.ofSeconds(4));
        assertEquals(known, LedgerCodec.command(LedgerCodec.command(known), 1));
        Command claim = new Command.Claim(3, 1, 5, "nightly", 41, "stamp", 20_000);
        assertEquals(claim, LedgerCodec.command(LedgerCodec.command(claim), 2));
        MalformedException told = assertThrows(MalformedException.class,
                () -> LedgerCodec.command(LedgerCodec.command(claim), 1));
        assertEquals("unsupported version 2, supported are 1 to 1", told.getMessage());
    }

    /**
     * Budgets came with version 3: they must survive a round trip, be rejected if truncated at any byte, and be
     * rejected by older versions.
     */
    @Test
    void budgetsNeedVersionThree() throws Exception {
        Share some = new Share(9000, 2500);
        Budgets.Picture budgets = new Budgets.Picture(7,
                List.of(new Budgets.Whole("starts", true, some, some, Share.NONE, 3)),
                List.of(new Budgets.Member(3, 77, Duration.ofSeconds(1), Duration.ofMillis(400))),
                List.of(new Budgets.Part("starts", 3, some, Share.NONE, 7)));
        Ledger.Picture p = new Ledger.Picture(90, -7, 41, 3, List.of(new Ledger.Session(3, "n1", -50, 4, Map.of())),
                List.of(), List.of(), budgets);
        byte[] whole = LedgerCodec.snapshot(p);
        assertEquals(p, LedgerCodec.snapshot(whole));
        for (int length = 1; length < whole.length; length++) {
            byte[] cut = Arrays.copyOf(whole, length);
            assertThrows(MalformedException.class, () -> LedgerCodec.snapshot(cut), length + " bytes");
        }
        for (Command c : List.of(new Command.Define("starts", true, some, Share.NONE, 3),
                new Command.Resize("starts", some),
                new Command.Join(3, 1, 5, Duration.ofSeconds(1), Duration.ofMillis(400)),
                new Command.Divide(List.of(new Command.Target("starts", 3, some))),
                new Command.Give(3, 1, 5, 77, "starts", some), new Command.Leave(3, 1, 5),
                new Command.Lapse(List.of(new Command.Gone(3, 77))))) {
            assertEquals(c, LedgerCodec.command(LedgerCodec.command(c), 3));
            assertThrows(MalformedException.class, () -> LedgerCodec.command(LedgerCodec.command(c), 2));
        }
    }

    /** The fullest ledger must fit a Raft snapshot, or a returning voter could never be caught up. */
    @Test
    void fullestLedgerFitsASnapshot() {
        Ledger ledger = new Ledger(Ledger.Picture.empty());
        long index = 0;
        String longest = "x".repeat(60);
        for (int s = 1; s <= Ledger.MOST_SESSIONS; s++) {
            ledger.apply(++index, new Command.Open(longest + s, Long.MIN_VALUE + s));
        }
        for (int l = 0; l < Ledger.MOST_LEASES; l++) {
            ledger.apply(++index, new Command.Acquire(1 + l / 63, 1, 1L << 40 | l, longest + l % 10_000,
                    Duration.ofHours(24)));
        }
        for (int s = 1; s <= Ledger.MOST_SESSIONS; s++) {
            for (int r = 0; r < Ledger.MOST_RESULTS; r++) {
                ledger.apply(++index, new Command.Acquire(s, 1, 1L << 40 | r, longest + 9999, Duration.ofHours(1)));
            }
        }
        assertEquals(Ledger.MOST_LEASES, ledger.leases().size());
        int bytes = LedgerCodec.snapshot(ledger.picture()).length;
        assertTrue(bytes < RaftNode.MAX_SNAPSHOT_BYTES, bytes + " bytes");
    }

    /**
     * Maintenance plans came with version 4, their time windows, halts and the forget command with version 5; each
     * version must read what it knows and reject the rest.
     */
    @Test
    void maintenancePlansNeedVersionsFourAndFive() throws Exception {
        Command.Staff plain = new Command.Staff(7, Command.StaffWord.ASK, List.of("n1"), "n2", "kernel", false, true,
                60_000);
        Command.Staff night = new Command.Staff(8, Command.StaffWord.ASK, List.of("n1"), "n2", "", true, false, 9,
                Window.parse("22:00-04:30"));
        Command.Staff forget = new Command.Staff(9, Command.StaffWord.FORGET, List.of("n1"), "n2", "", false, false, 0);
        assertEquals(plain, LedgerCodec.command(LedgerCodec.command(plain), 4));
        for (Command later : List.of(night, forget, new Command.Halt("n1 came back badly"))) {
            assertEquals(5, LedgerCodec.versionOf(later));
            assertEquals(later, LedgerCodec.command(LedgerCodec.command(later), 5));
            assertThrows(MalformedException.class, () -> LedgerCodec.command(LedgerCodec.command(later), 4));
        }
        Ledger ledger = new Ledger(Ledger.Picture.empty());
        ledger.apply(1, new Command.Raise(5));
        ledger.apply(2, new Command.Announce("n1", "n1", "north"));
        ledger.apply(3, night);
        byte[] whole = LedgerCodec.snapshot(ledger.picture());
        assertEquals(5, whole[0]);
        assertEquals(ledger.picture(), LedgerCodec.snapshot(whole));
        for (int length = 1; length < whole.length; length++) {
            byte[] cut = Arrays.copyOf(whole, length);
            assertThrows(MalformedException.class, () -> LedgerCodec.snapshot(cut), length + " bytes");
        }
        Ledger older = new Ledger(Ledger.Picture.empty());
        older.apply(1, new Command.Raise(4));
        older.apply(2, new Command.Announce("n1", "n1", "north"));
        older.apply(3, plain);
        assertEquals(4, LedgerCodec.snapshot(older.picture())[0]);
        assertEquals(older.picture(), LedgerCodec.snapshot(LedgerCodec.snapshot(older.picture())));
    }
}
