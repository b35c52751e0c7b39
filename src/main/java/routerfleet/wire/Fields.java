package routerfleet.wire;

import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.util.ArrayList;
import java.util.List;

/** Lists and byte arrays within an encoded value. A count that can't be true is refused before memory is taken for it. */
final class Fields {
    private Fields() { }

    /** Writes how many items follow. */
    static void writeCount(Output out, int count) {
        out.writeVarInt(count, true);
    }

    /** Reads how many items follow, of at least a byte each. */
    static int readCount(Input in) {
        int count = in.readVarInt(true);
        int left = in.limit() - in.position();
        if (count < 0 || count > left) {
            throw new KryoException(count + " items in " + left + " bytes");
        }
        return count;
    }

    /** Writes strings, or that there is no list. */
    static void writeStrings(Output out, List<String> strings) {
        if (strings == null) {
            writeCount(out, 0);
            return;
        }
        writeCount(out, strings.size() + 1);
        strings.forEach(out::writeString);
    }

    /** @return the strings; null where there is no list */
    static List<String> readStrings(Input in) {
        int count = in.readVarInt(true) - 1;
        if (count < 0) {
            return null;
        }
        if (count > in.limit() - in.position()) {
            throw new KryoException(count + " strings in " + (in.limit() - in.position()) + " bytes");
        }
        List<String> strings = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            strings.add(in.readString());
        }
        return strings;
    }

    /** Writes bytes with their count. */
    static void writeBytes(Output out, byte[] bytes) {
        writeCount(out, bytes.length);
        out.writeBytes(bytes);
    }

    static byte[] readBytes(Input in) {
        return in.readBytes(readCount(in));
    }

    /** A number that names one of an enumeration's values. @throws KryoException if there is no such value */
    static <T> T readChoice(Input in, T[] values) {
        int ordinal = in.readByte();
        if (ordinal < 0 || ordinal >= values.length) {
            throw new KryoException("no value " + ordinal + " of " + values.length);
        }
        return values[ordinal];
    }
}
