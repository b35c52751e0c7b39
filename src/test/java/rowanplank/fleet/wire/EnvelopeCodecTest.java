package rowanplank.fleet.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import rowanplank.agreement.Entry;
import rowanplank.agreement.Message;
import rowanplank.fleet.wire.BinaryReader.MalformedException;
import rowanplank.ledger.Ask;
import rowanplank.ledger.Command;
import rowanplank.ledger.Result;
import rowanplank.ledger.Window;
import rowanplank.membership.GossipMessage;
import rowanplank.membership.MemberUpdate;

/** Round trips of datagrams, and the rejection of invalid ones. */
class EnvelopeCodecTest {
    private static final EnvelopeCodec CODEC = new EnvelopeCodec("press");

    private static final List<MemberUpdate> UPDATES =
            List.of(new MemberUpdate("n4", "10.0.0.4:7946", 1L << 60, MemberUpdate.State.SUSPECT, true, "n2"),
            new MemberUpdate("n5", "10.0.0.5:7946", 1, MemberUpdate.State.ALIVE, false, ""));

    static List<Envelope> envelopes() {
        return List.of(of(new Message.VoteRequest(9, true, false, 1L << 40, 8)),
                of(new Message.VoteResponse(9, false, true)),
                of(new Message.AppendRequest(9, 5, 8, 4, 77, List.of(Entry.command(6, 9, new byte[] {1, 2, 3}),
                        Entry.voterChange(7, 9, List.of("a", "b"))))),
                of(new Message.AppendResponse(9, 77, false, 3)),
                of(new Message.SnapshotChunk(9, 1, 100, 8, List.of("a"), 5, 2, new byte[] {4, 5, 6})),
                of(new Message.SnapshotChunkResponse(9, 1, 100, 5)), of(new Message.TimeoutNow(9)),
                of(new Ask.Open()), of(new Ask.Renew()), of(new Ask.Acquire("backup", Duration.ofSeconds(4))),
                of(new Ask.Release("backup", 12)), of(new Ask.Read("backup")),
                of(new Ask.Claim("backup", 12, "nightly", Duration.ofDays(1), 20_000)),
                of(new Ask.Poll("m1", "north")), of(new Ask.Poll("m1", "", new Ask.Service(1L << 40, 2, 3, 4, 5, 6))),
                of(new Ask.Staff(new Command.Staff(7, Command.StaffWord.ASK, List.of("n1"), "n2", "", false, true, 9,
                        Window.parse("22:00-04:30")))),
                of(new GossipMessage.Ping(9, UPDATES)), of(new GossipMessage.Ack(1L << 40, List.of())),
                of(new GossipMessage.PingRequest(9, "n4", "10.0.0.4:7", UPDATES)),
                of(new GossipMessage.Nack(9, UPDATES)), of(new GossipMessage.MemberListRequest("", UPDATES)),
                of(new GossipMessage.MemberListResponse("n4", UPDATES)),
                Envelope.of("n1", 5, 2, new Ask.Answer(44, 6, new Result(Result.Kind.HELD, 8, "n2"))));
    }

    private static Envelope of(Message m) {
        return Envelope.of("n1", 5, 2, m);
    }

    private static Envelope of(GossipMessage note) {
        return Envelope.of("n1", 5, 2, note);
    }

    private static Envelope of(Ask.What what) {
        return Envelope.of("n1", 5, 2, new Ask("n1", 5, 3, 1, 2, what));
    }

    private static byte[] bytes(Envelope e) {
        ByteBuffer written = CODEC.write(e);
        byte[] bytes = new byte[written.remaining()];
        written.get(bytes);
        return bytes;
    }

    @ParameterizedTest
    @MethodSource("envelopes")
    void writtenDatagramsAreRead(Envelope e) throws Exception {
        assertArrayEquals(bytes(e), bytes(CODEC.read(ByteBuffer.wrap(bytes(e)))));
        assertEquals(e.toString().replaceAll("@[0-9a-f]+", ""),
                CODEC.read(ByteBuffer.wrap(bytes(e))).toString().replaceAll("@[0-9a-f]+", ""));
    }

    /** Datagrams that are truncated or corrupted at any byte, or belong to another fleet, must be rejected. */
    @ParameterizedTest
    @MethodSource("envelopes")
    void incompleteDatagramsAreRejected(Envelope e) {
        byte[] bytes = bytes(e);
        for (int i = 0; i < bytes.length; i++) {
            int length = i;
            assertThrows(MalformedException.class, () -> CODEC.read(ByteBuffer.wrap(bytes, 0, length)));
            byte[] corrupted = bytes.clone();
            corrupted[i] ^= 32;
            assertThrows(MalformedException.class, () -> CODEC.read(ByteBuffer.wrap(corrupted)));
        }
        assertThrows(MalformedException.class, () -> new EnvelopeCodec("other").read(ByteBuffer.wrap(bytes)));
    }
}
