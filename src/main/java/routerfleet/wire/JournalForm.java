package routerfleet.wire;

import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import routerfleet.journal.JournalEntry;
import routerfleet.journal.JournalVector;
import routerfleet.journal.Origin;
import routerfleet.journal.OriginState;

/** Entries, vectors and states of journals as bytes and back, within messages and on disk. */
public final class JournalForm {
    private static final int FIRST_BUFFER = 512;
    /** First byte of what is stored. */
    private static final int FORMAT = 1;

    private JournalForm() { }

    /** Reads what was stored. */
    private interface Reading<T> {
        T read(Input in);
    }

    /** Entries as they are stored. */
    public static byte[] storedEntries(List<JournalEntry> entries) {
        Output out = stored();
        writeEntries(out, entries);
        return out.toBytes();
    }

    /** A journal's state as it is stored. @param self the origin that the disk belongs to */
    public static byte[] storedState(Origin self, List<OriginState> states) {
        Output out = stored();
        write(out, self);
        writeStates(out, states);
        return out.toBytes();
    }

    /** A stored state. @param self the origin that the disk belongs to */
    public record Stored(Origin self, List<OriginState> states) { }

    /** @throws PeerCodec.MalformedMessageException if the bytes are none, or of a later build */
    public static List<JournalEntry> readStoredEntries(byte[] bytes) throws PeerCodec.MalformedMessageException {
        return read(bytes, JournalForm::readEntries);
    }

    /** @throws PeerCodec.MalformedMessageException if the bytes are none, or of a later build */
    public static Stored readStoredState(byte[] bytes) throws PeerCodec.MalformedMessageException {
        return read(bytes, in -> new Stored(readOrigin(in), readStates(in)));
    }

    private static Output stored() {
        Output out = new Output(FIRST_BUFFER, -1);
        out.writeByte(FORMAT);
        return out;
    }

    private static <T> T read(byte[] bytes, Reading<T> reading) throws PeerCodec.MalformedMessageException {
        try {
            Input in = new Input(bytes);
            int format = in.readByte();
            if (format != FORMAT) {
                throw new KryoException("of format " + format + ", and this build reads " + FORMAT);
            }
            return reading.read(in);
        } catch (KryoException | IndexOutOfBoundsException | NegativeArraySizeException e) {
            throw new PeerCodec.MalformedMessageException("no part of a journal: " + e.getMessage(), e);
        }
    }

    static void write(Output out, Origin origin) {
        out.writeString(origin.node());
        out.writeLong(origin.life());
    }

    static Origin readOrigin(Input in) {
        return new Origin(in.readString(), in.readLong());
    }

    static void write(Output out, JournalVector vector) {
        Fields.writeCount(out, vector.upTo().size());
        vector.upTo().forEach((origin, number) -> {
            write(out, origin);
            out.writeVarLong(number, true);
        });
    }

    static JournalVector readVector(Input in) {
        int count = Fields.readCount(in);
        SortedMap<Origin, Long> upTo = new TreeMap<>();
        for (int i = 0; i < count; i++) {
            upTo.put(readOrigin(in), in.readVarLong(true));
        }
        return new JournalVector(upTo);
    }

    /** Those of one origin that follow each other share its name. */
    static void writeEntries(Output out, List<JournalEntry> entries) {
        Fields.writeCount(out, entries.size());
        Origin origin = null;
        for (JournalEntry entry : entries) {
            boolean same = entry.origin().equals(origin);
            out.writeBoolean(same);
            if (!same) {
                origin = entry.origin();
                write(out, origin);
            }
            out.writeVarLong(entry.number(), true);
            out.writeString(entry.tally());
            out.writeString(entry.uid());
            out.writeVarLong(entry.amount(), true);
        }
    }

    static List<JournalEntry> readEntries(Input in) {
        int count = Fields.readCount(in);
        List<JournalEntry> entries = new ArrayList<>(count);
        Origin origin = null;
        for (int i = 0; i < count; i++) {
            if (!in.readBoolean()) {
                origin = readOrigin(in);
            }
            if (origin == null) {
                throw new KryoException("an entry without an origin");
            }
            entries.add(new JournalEntry(origin, in.readVarLong(true), in.readString(), in.readString(),
                    in.readVarLong(true)));
        }
        return entries;
    }

    static void writeStates(Output out, List<OriginState> states) {
        Fields.writeCount(out, states.size());
        for (OriginState state : states) {
            write(out, state.origin());
            out.writeVarLong(state.folded(), true);
            Fields.writeCount(out, state.sums().size());
            for (Map.Entry<String, Long> sum : state.sums().entrySet()) {
                out.writeString(sum.getKey());
                out.writeVarLong(sum.getValue(), true);
            }
            Fields.writeCount(out, state.voided().size());
            state.voided().forEach(number -> out.writeVarLong(number, true));
            writeEntries(out, state.entries());
        }
    }

    static List<OriginState> readStates(Input in) {
        int count = Fields.readCount(in);
        List<OriginState> states = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            Origin origin = readOrigin(in);
            long folded = in.readVarLong(true);
            Map<String, Long> sums = new TreeMap<>();
            for (int left = Fields.readCount(in); left > 0; left--) {
                sums.put(in.readString(), in.readVarLong(true));
            }
            List<Long> voided = new ArrayList<>();
            for (int left = Fields.readCount(in); left > 0; left--) {
                voided.add(in.readVarLong(true));
            }
            states.add(new OriginState(origin, folded, sums, voided, readEntries(in)));
        }
        return states;
    }
}
