package routerfleet.wire;

import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.util.ArrayList;
import java.util.List;

/** Sessions of model servers as bytes and back. */
final class SessionForm {
    private static final SessionRecord.Phase[] PHASES = SessionRecord.Phase.values();

    private SessionForm() { }

    static void write(Output out, SessionRecord session) {
        out.writeString(session.uid());
        out.writeString(session.backend());
        out.writeString(session.address());
        out.writeString(session.zone());
        out.writeVarInt(session.capacity(), true);
        out.writeByte(session.phase().ordinal());
        out.writeVarLong(session.sequence(), false);
        out.writeVarLong(session.warmupLeftMs(), false);
    }

    static SessionRecord readRecord(Input in) {
        return new SessionRecord(in.readString(), in.readString(), in.readString(), in.readString(), in.readVarInt(true),
                Fields.readChoice(in, PHASES), in.readVarLong(false), in.readVarLong(false));
    }

    static void writeRecords(Output out, List<SessionRecord> sessions) {
        Fields.writeCount(out, sessions.size());
        for (SessionRecord session : sessions) {
            write(out, session);
        }
    }

    static List<SessionRecord> readRecords(Input in) {
        int count = Fields.readCount(in);
        List<SessionRecord> sessions = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            sessions.add(readRecord(in));
        }
        return sessions;
    }

    static void writeViews(Output out, List<SessionView> views) {
        Fields.writeCount(out, views.size());
        for (SessionView view : views) {
            write(out, view.session());
            out.writeBoolean(view.live());
        }
    }

    static List<SessionView> readViews(Input in) {
        int count = Fields.readCount(in);
        List<SessionView> views = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            views.add(new SessionView(readRecord(in), in.readBoolean()));
        }
        return views;
    }
}
