package routerfleet.wire;

import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;

/** {@link PeerMessage}s as bytes and back: a byte that tells the kind, then the fields in their order. */
final class MessageForm {
    private static final int PING = 1;
    private static final int PONG = 2;
    private static final int CONTROL_HELLO = 3;
    private static final int REPLICATION = 4;
    private static final int ORDER_REQUEST = 5;
    private static final int ORDER_REPLY = 6;
    private static final int READ_INDEX_REQUEST = 7;
    private static final int READ_INDEX_REPLY = 8;
    private static final int SESSIONS = 9;
    private static final int SESSIONS_ACK = 10;
    private static final int SESSIONS_DIGEST = 11;
    private static final int DATA_HELLO = 12;
    private static final int POLL = 13;
    private static final int POLL_REPLY = 14;
    private static final int QUOTA_ASK = 15;
    private static final int QUOTA_ANSWER = 16;
    private static final int SESSION_CHANGES = 17;
    private static final int CONFIG_NOTICE = 18;
    private static final int CONFIG_REQUEST = 19;
    private static final int COMMITTED_CONFIG = 20;
    private static final int COMMITTED_DELTA = 21;
    private static final int LEAVING = 22;
    private static final int EARLIER_SESSIONS = 23;
    private static final int EVACUATION_NOTICE = 30;
    private static final int EVACUATION_REQUEST = 31;
    private static final int EVACUATION_REPLY = 32;
    private static final PeerMessage.EvacuationOutcome[] OUTCOMES = PeerMessage.EvacuationOutcome.values();
    private static final int TALLY_VECTOR = 24;
    private static final int TALLY_ENTRIES = 25;
    private static final int TALLY_HELD = 26;
    private static final int TALLY_BASES = 27;
    private static final PeerMessage.QuotaVerdict[] VERDICTS = PeerMessage.QuotaVerdict.values();

    private MessageForm() { }

    /** Writes a message; the most frequent kinds are looked for first. */
    static void write(Output out, PeerMessage message) {
        boolean written = writeQuota(out, message) || writePoll(out, message) || writeReplication(out, message)
                || writeSession(out, message) || writeTally(out, message) || writeConfiguration(out, message)
                || writeEvacuation(out, message) || writeLink(out, message);
        if (!written) {
            throw new IllegalArgumentException("no form for " + message.getClass());
        }
    }

    private static boolean writeQuota(Output out, PeerMessage message) {
        if (message instanceof PeerMessage.QuotaAsk ask) {
            begin(out, QUOTA_ASK, ask.id());
            out.writeString(ask.tenant());
            out.writeDouble(ask.amount());
            out.writeBoolean(ask.part());
        } else if (message instanceof PeerMessage.QuotaAnswer answer) {
            begin(out, QUOTA_ANSWER, answer.id());
            out.writeByte(answer.verdict().ordinal());
            out.writeVarLong(answer.waitMs(), false);
            out.writeDouble(answer.available());
            out.writeDouble(answer.fairLevel());
        } else {
            return false;
        }
        return true;
    }

    private static boolean writePoll(Output out, PeerMessage message) {
        if (message instanceof PeerMessage.Poll poll) {
            begin(out, POLL, poll.id());
            out.writeVarLong(poll.generation(), false);
            out.writeBoolean(poll.primary());
        } else if (message instanceof PeerMessage.PollReply reply) {
            begin(out, POLL_REPLY, reply.id());
            out.writeVarLong(reply.generation(), false);
            out.writeVarLong(reply.freshAgeMicros(), false);
            out.writeBoolean(reply.warming());
            out.writeVarInt(reply.dataNodes(), true);
            Fields.writeStrings(out, reply.controlNodes());
            Fields.writeStrings(out, reply.replicas());
            EvacuationForm.write(out, reply.evacuations());
        } else {
            return false;
        }
        return true;
    }

    private static boolean writeReplication(Output out, PeerMessage message) {
        if (message instanceof PeerMessage.Replication replication) {
            out.writeByte(REPLICATION);
            out.writeString(replication.from());
            out.writeString(replication.to());
            ReplicationForm.write(out, replication.message());
        } else if (message instanceof PeerMessage.ReadIndexRequest request) {
            begin(out, READ_INDEX_REQUEST, request.id());
        } else if (message instanceof PeerMessage.ReadIndexReply reply) {
            begin(out, READ_INDEX_REPLY, reply.id());
            out.writeVarLong(reply.index(), false);
        } else if (message instanceof PeerMessage.OrderRequest request) {
            begin(out, ORDER_REQUEST, request.id());
            ConfigForm.write(out, request.order());
        } else if (message instanceof PeerMessage.OrderReply reply) {
            begin(out, ORDER_REPLY, reply.id());
            out.writeVarInt(reply.status(), true);
            out.writeString(reply.text());
        } else {
            return false;
        }
        return true;
    }

    private static boolean writeSession(Output out, PeerMessage message) {
        if (message instanceof PeerMessage.Sessions sessions) {
            begin(out, SESSIONS, sessions.id());
            SessionForm.writeRecords(out, sessions.sessions());
        } else if (message instanceof PeerMessage.SessionsAck ack) {
            begin(out, SESSIONS_ACK, ack.id());
        } else if (message instanceof PeerMessage.SessionsDigest digest) {
            out.writeByte(SESSIONS_DIGEST);
            out.writeLong(digest.digest());
        } else if (message instanceof PeerMessage.SessionChanges changes) {
            out.writeByte(SESSION_CHANGES);
            out.writeLong(changes.epoch());
            out.writeVarLong(changes.revision(), false);
            out.writeBoolean(changes.whole());
            SessionForm.writeViews(out, changes.sessions());
        } else if (message instanceof PeerMessage.EarlierSessions earlier) {
            out.writeByte(EARLIER_SESSIONS);
            Fields.writeBytes(out, earlier.sessions());
        } else {
            return false;
        }
        return true;
    }

    private static boolean writeConfiguration(Output out, PeerMessage message) {
        if (message instanceof PeerMessage.ConfigNotice notice) {
            begin(out, CONFIG_NOTICE, notice.generation());
        } else if (message instanceof PeerMessage.ConfigRequest request) {
            begin(out, CONFIG_REQUEST, request.knownGeneration());
        } else if (message instanceof PeerMessage.CommittedConfig committed) {
            begin(out, COMMITTED_CONFIG, committed.generation());
            Fields.writeBytes(out, committed.configuration());
        } else if (message instanceof PeerMessage.CommittedDelta delta) {
            begin(out, COMMITTED_DELTA, delta.base());
            out.writeVarLong(delta.generation(), false);
            Fields.writeBytes(out, delta.delta());
        } else {
            return false;
        }
        return true;
    }

    private static boolean writeEvacuation(Output out, PeerMessage message) {
        if (message instanceof PeerMessage.EvacuationNotice notice) {
            out.writeByte(EVACUATION_NOTICE);
            EvacuationForm.write(out, notice.evacuations());
        } else if (message instanceof PeerMessage.EvacuationRequest request) {
            begin(out, EVACUATION_REQUEST, request.id());
            EvacuationForm.write(out, request.order());
        } else if (message instanceof PeerMessage.EvacuationReply reply) {
            begin(out, EVACUATION_REPLY, reply.id());
            out.writeByte(reply.outcome().ordinal());
        } else {
            return false;
        }
        return true;
    }

    private static boolean writeTally(Output out, PeerMessage message) {
        if (message instanceof PeerMessage.TallyEntries tally) {
            out.writeByte(TALLY_ENTRIES);
            JournalForm.writeEntries(out, tally.entries());
            out.writeBoolean(tally.more());
            out.writeBoolean(tally.answers());
            out.writeBoolean(tally.filled());
        } else if (message instanceof PeerMessage.TallyHeld held) {
            out.writeByte(TALLY_HELD);
            JournalForm.write(out, held.holder());
            JournalForm.write(out, held.origin());
            out.writeVarLong(held.upTo(), true);
        } else if (message instanceof PeerMessage.TallyVector vector) {
            out.writeByte(TALLY_VECTOR);
            JournalForm.write(out, vector.holder());
            JournalForm.write(out, vector.held());
            out.writeBoolean(vector.asks());
        } else if (message instanceof PeerMessage.TallyBases bases) {
            out.writeByte(TALLY_BASES);
            JournalForm.writeStates(out, bases.bases());
        } else {
            return false;
        }
        return true;
    }

    private static boolean writeLink(Output out, PeerMessage message) {
        if (message instanceof PeerMessage.Ping ping) {
            begin(out, PING, ping.id());
        } else if (message instanceof PeerMessage.Pong pong) {
            begin(out, PONG, pong.id());
        } else if (message instanceof PeerMessage.ControlHello hello) {
            out.writeByte(CONTROL_HELLO);
            out.writeString(hello.nodeName());
            out.writeString(hello.ip());
            out.writeString(hello.zone());
            out.writeString(hello.replica());
            Fields.writeStrings(out, hello.controlNodes());
        } else if (message instanceof PeerMessage.DataHello hello) {
            out.writeByte(DATA_HELLO);
            out.writeString(hello.nodeName());
            out.writeString(hello.ip());
            out.writeString(hello.zone());
            out.writeLong(hello.epoch());
            out.writeVarLong(hello.revision(), false);
        } else if (message instanceof PeerMessage.Leaving leaving) {
            out.writeByte(LEAVING);
            out.writeString(leaving.replica());
        } else {
            return false;
        }
        return true;
    }

    /** @param first the message's first field */
    private static void begin(Output out, int kind, long first) {
        out.writeByte(kind);
        out.writeVarLong(first, false);
    }

    /** Reads a message. @throws KryoException if there is none */
    static PeerMessage read(Input in) {
        int kind = in.readByte();
        return switch (kind) {
            case PING -> new PeerMessage.Ping(in.readVarLong(false));
            case PONG -> new PeerMessage.Pong(in.readVarLong(false));
            case CONTROL_HELLO -> new PeerMessage.ControlHello(in.readString(), in.readString(), in.readString(),
                    in.readString(), Fields.readStrings(in));
            case REPLICATION -> new PeerMessage.Replication(in.readString(), in.readString(),
                    ReplicationForm.readMessage(in));
            case ORDER_REQUEST -> new PeerMessage.OrderRequest(in.readVarLong(false), ConfigForm.readOrder(in));
            case ORDER_REPLY -> new PeerMessage.OrderReply(in.readVarLong(false), in.readVarInt(true), in.readString());
            case READ_INDEX_REQUEST -> new PeerMessage.ReadIndexRequest(in.readVarLong(false));
            case READ_INDEX_REPLY -> new PeerMessage.ReadIndexReply(in.readVarLong(false), in.readVarLong(false));
            case SESSIONS -> new PeerMessage.Sessions(in.readVarLong(false), SessionForm.readRecords(in));
            case SESSIONS_ACK -> new PeerMessage.SessionsAck(in.readVarLong(false));
            case SESSIONS_DIGEST -> new PeerMessage.SessionsDigest(in.readLong());
            case EVACUATION_REQUEST -> new PeerMessage.EvacuationRequest(in.readVarLong(false),
                    EvacuationForm.readOrder(in));
            case EVACUATION_REPLY -> new PeerMessage.EvacuationReply(in.readVarLong(false),
                    Fields.readChoice(in, OUTCOMES));
            case TALLY_VECTOR -> new PeerMessage.TallyVector(JournalForm.readOrigin(in), JournalForm.readVector(in),
                    in.readBoolean());
            case TALLY_ENTRIES -> new PeerMessage.TallyEntries(JournalForm.readEntries(in), in.readBoolean(),
                    in.readBoolean(), in.readBoolean());
            case TALLY_HELD -> new PeerMessage.TallyHeld(JournalForm.readOrigin(in), JournalForm.readOrigin(in),
                    in.readVarLong(true));
            case TALLY_BASES -> new PeerMessage.TallyBases(JournalForm.readStates(in));
            default -> readOfDataNodes(kind, in);
        };
    }

    /** What goes between a data node and a control node. */
    private static PeerMessage readOfDataNodes(int kind, Input in) {
        return switch (kind) {
            case DATA_HELLO -> new PeerMessage.DataHello(in.readString(), in.readString(), in.readString(), in.readLong(),
                    in.readVarLong(false));
            case POLL -> new PeerMessage.Poll(in.readVarLong(false), in.readVarLong(false), in.readBoolean());
            case POLL_REPLY -> new PeerMessage.PollReply(in.readVarLong(false), in.readVarLong(false),
                    in.readVarLong(false), in.readBoolean(), in.readVarInt(true), Fields.readStrings(in),
                    Fields.readStrings(in), EvacuationForm.readEvacuations(in));
            case QUOTA_ASK -> new PeerMessage.QuotaAsk(in.readVarLong(false), in.readString(), in.readDouble(),
                    in.readBoolean());
            case QUOTA_ANSWER -> new PeerMessage.QuotaAnswer(in.readVarLong(false), Fields.readChoice(in, VERDICTS),
                    in.readVarLong(false), in.readDouble(), in.readDouble());
            case SESSION_CHANGES -> new PeerMessage.SessionChanges(in.readLong(), in.readVarLong(false), in.readBoolean(),
                    SessionForm.readViews(in));
            case EARLIER_SESSIONS -> new PeerMessage.EarlierSessions(Fields.readBytes(in));
            case CONFIG_NOTICE -> new PeerMessage.ConfigNotice(in.readVarLong(false));
            case CONFIG_REQUEST -> new PeerMessage.ConfigRequest(in.readVarLong(false));
            case COMMITTED_CONFIG -> new PeerMessage.CommittedConfig(in.readVarLong(false), Fields.readBytes(in));
            case COMMITTED_DELTA -> new PeerMessage.CommittedDelta(in.readVarLong(false), in.readVarLong(false),
                    Fields.readBytes(in));
            case EVACUATION_NOTICE -> new PeerMessage.EvacuationNotice(EvacuationForm.readEvacuations(in));
            case LEAVING -> new PeerMessage.Leaving(in.readString());
            default -> throw new KryoException("no message of kind " + kind);
        };
    }
}
