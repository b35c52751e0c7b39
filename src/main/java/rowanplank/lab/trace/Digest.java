package rowanplank.lab.trace;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import net.openhft.hashing.LongHashFunction;
import rowanplank.lab.trace.Event.Kind;

/**
 * A digest over every field of every event, in order: two runs that differ in anything that was told differ here, but
 * for one chance in 2^64. It says nothing against someone who wants two traces to be alike.
 *
 * <p>Canonical form, little-endian: the xx hash of the kind's name, at, request, value (8 bytes each), node, server,
 * length of the text (4 bytes each; -1 for none), xx hash of the text's characters (8 bytes). These are hashed by xx
 * in runs of {@link #RUN} events, the seed of each run being the hash of the one before. Costs some 50 ns an event.
 */
public final class Digest implements Trace {
    private static final int EVENT_BYTES = 4 * Long.BYTES + 3 * Integer.BYTES + Long.BYTES;
    private static final int RUN = 64;
    private static final LongHashFunction TEXT = LongHashFunction.xx();
    private static final long[] KIND = new long[Kind.values().length];

    static {
        for (Kind kind : Kind.values()) {
            KIND[kind.ordinal()] = TEXT.hashChars(kind.name());
        }
    }

    private final byte[] run = new byte[RUN * EVENT_BYTES];
    private final ByteBuffer fields = ByteBuffer.wrap(run).order(ByteOrder.LITTLE_ENDIAN);
    private long before;
    private long events;

    @Override
    public void tell(Event e) {
        fields.putLong(KIND[e.kind().ordinal()]).putLong(e.at()).putLong(e.request()).putLong(e.value())
                .putInt(e.node()).putInt(e.server());
        if (e.text() == null) {
            fields.putInt(-1).putLong(0);
        } else {
            fields.putInt(e.text().length()).putLong(TEXT.hashChars(e.text()));
        }
        events++;
        if (!fields.hasRemaining()) {
            before = hash();
            fields.clear();
        }
    }

    private long hash() {
        return LongHashFunction.xx(before).hashBytes(run, 0, fields.position());
    }

    /** Over all events so far. */
    public long value() {
        return hash();
    }

    /** How many events it is over. */
    public long events() {
        return events;
    }

    /** @return 16 hex digits */
    @Override
    public String toString() {
        return String.format("%016x", value());
    }
}
