package routerfleet.wire;

import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.util.ArrayList;
import java.util.List;
import rowanplank.agreement.Entry;
import rowanplank.agreement.Message;
import rowanplank.agreement.VoterConfig;

/** What replicas of a group tell each other, as bytes and back. */
final class ReplicationForm {
    private static final int VOTE_ASK = 1;
    private static final int VOTE_REPLY = 2;
    private static final int APPEND = 3;
    private static final int APPEND_REPLY = 4;
    private static final int PIECE = 5;
    private static final int PIECE_REPLY = 6;
    private static final int TAKE_OVER = 7;

    private ReplicationForm() { }

    static void write(Output out, Message message) {
        if (message instanceof Message.AppendRequest append) {
            writeAppend(out, append);
        } else if (message instanceof Message.AppendResponse reply) {
            begin(out, APPEND_REPLY, reply.term());
            out.writeVarLong(reply.round(), false);
            out.writeBoolean(reply.ok());
            out.writeVarLong(reply.match(), false);
        } else if (message instanceof Message.VoteRequest ask) {
            begin(out, VOTE_ASK, ask.term());
            out.writeBoolean(ask.pre());
            out.writeBoolean(ask.handover());
            out.writeVarLong(ask.lastIndex(), false);
            out.writeVarLong(ask.lastTerm(), false);
        } else if (message instanceof Message.VoteResponse reply) {
            begin(out, VOTE_REPLY, reply.term());
            out.writeBoolean(reply.pre());
            out.writeBoolean(reply.granted());
        } else if (message instanceof Message.SnapshotChunk piece) {
            writePiece(out, piece);
        } else if (message instanceof Message.SnapshotChunkResponse reply) {
            begin(out, PIECE_REPLY, reply.term());
            out.writeVarLong(reply.round(), false);
            out.writeVarLong(reply.index(), false);
            out.writeVarInt(reply.have(), true);
        } else {
            begin(out, TAKE_OVER, message.term());
        }
    }

    private static void begin(Output out, int kind, long term) {
        out.writeByte(kind);
        out.writeVarLong(term, false);
    }

    private static void writeAppend(Output out, Message.AppendRequest append) {
        begin(out, APPEND, append.term());
        out.writeVarLong(append.previous(), false);
        out.writeVarLong(append.previousTerm(), false);
        out.writeVarLong(append.commit(), false);
        out.writeVarLong(append.round(), false);
        Fields.writeCount(out, append.entries().size());
        for (Entry entry : append.entries()) {
            write(out, entry);
        }
    }

    private static void writePiece(Output out, Message.SnapshotChunk piece) {
        begin(out, PIECE, piece.term());
        out.writeVarLong(piece.round(), false);
        out.writeVarLong(piece.index(), false);
        out.writeVarLong(piece.indexTerm(), false);
        Fields.writeStrings(out, piece.voters());
        out.writeVarInt(piece.whole(), true);
        out.writeVarInt(piece.offset(), true);
        Fields.writeBytes(out, piece.bytes());
    }

    static Message readMessage(Input in) {
        int kind = in.readByte();
        long term = in.readVarLong(false);
        return switch (kind) {
            case VOTE_ASK -> new Message.VoteRequest(term, in.readBoolean(), in.readBoolean(), in.readVarLong(false),
                    in.readVarLong(false));
            case VOTE_REPLY -> new Message.VoteResponse(term, in.readBoolean(), in.readBoolean());
            case APPEND -> readAppend(in, term);
            case APPEND_REPLY -> new Message.AppendResponse(term, in.readVarLong(false), in.readBoolean(),
                    in.readVarLong(false));
            case PIECE -> new Message.SnapshotChunk(term, in.readVarLong(false), in.readVarLong(false),
                    in.readVarLong(false), Fields.readStrings(in), in.readVarInt(true), in.readVarInt(true),
                    Fields.readBytes(in));
            case PIECE_REPLY -> new Message.SnapshotChunkResponse(term, in.readVarLong(false), in.readVarLong(false),
                    in.readVarInt(true));
            case TAKE_OVER -> new Message.TimeoutNow(term);
            default -> throw new KryoException("no message of replicas of kind " + kind);
        };
    }

    private static Message readAppend(Input in, long term) {
        long previous = in.readVarLong(false);
        long previousTerm = in.readVarLong(false);
        long commit = in.readVarLong(false);
        long round = in.readVarLong(false);
        int count = Fields.readCount(in);
        List<Entry> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            entries.add(readEntry(in));
        }
        return new Message.AppendRequest(term, previous, previousTerm, commit, round, entries);
    }

    private static void write(Output out, Entry entry) {
        out.writeVarLong(entry.index(), false);
        out.writeVarLong(entry.term(), false);
        out.writeBoolean(entry.membership() != null);
        if (entry.membership() != null) {
            Fields.writeStrings(out, entry.membership().voters());
            Fields.writeStrings(out, entry.membership().outgoing());
        }
        Fields.writeBytes(out, entry.payload());
    }

    private static Entry readEntry(Input in) {
        long index = in.readVarLong(false);
        long term = in.readVarLong(false);
        VoterConfig membership = in.readBoolean() ? new VoterConfig(Fields.readStrings(in), Fields.readStrings(in)) : null;
        return new Entry(index, term, membership, Fields.readBytes(in));
    }
}
