package rowanplank.fleet.wire;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Values to bytes: numbers big end first, small ones in few bytes, text and bytes behind their length. */
public final class BinaryWriter {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream(128);

    public BinaryWriter octet(int value) {
        out.write(value);
        return this;
    }

    public BinaryWriter flag(boolean value) {
        return octet(value ? 1 : 0);
    }

    public BinaryWriter int32(int value) {
        for (int shift = 24; shift >= 0; shift -= 8) {
            out.write(value >>> shift);
        }
        return this;
    }

    public BinaryWriter int64(long value) {
        return int32((int) (value >>> 32)).int32((int) value);
    }

    /** Seven bits a byte, the lowest first: for numbers that are mostly small. */
    public BinaryWriter varint(long value) {
        long rest = value;
        while ((rest & ~0x7fL) != 0) {
            out.write((int) (rest & 0x7f | 0x80));
            rest >>>= 7;
        }
        out.write((int) rest);
        return this;
    }

    public BinaryWriter bytes(byte[] value) {
        varint(value.length);
        out.writeBytes(value);
        return this;
    }

    public BinaryWriter text(String value) {
        return bytes(value.getBytes(StandardCharsets.UTF_8));
    }

    public byte[] toByteArray() {
        return out.toByteArray();
    }
}
