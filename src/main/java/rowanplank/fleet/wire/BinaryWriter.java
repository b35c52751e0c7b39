package rowanplank.fleet.wire;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Encodes values as bytes: fixed-size integers in big-endian order, variable-length integers, and byte strings
 * prefixed by their length.
 */
public final class BinaryWriter {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream(128);

    /** Writes the low eight bits. */
    public BinaryWriter octet(int value) {
        out.write(value);
        return this;
    }

    /** Writes one byte, 1 or 0. */
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

    /** Writes seven bits per byte, lowest first, which is compact for small numbers. */
    public BinaryWriter varint(long value) {
        long rest = value;
        while ((rest & ~0x7fL) != 0) {
            out.write((int) (rest & 0x7f | 0x80));
            rest >>>= 7;
        }
        out.write((int) rest);
        return this;
    }

    /** Writes the length as a varint, then the bytes. */
    public BinaryWriter bytes(byte[] value) {
        varint(value.length);
        out.writeBytes(value);
        return this;
    }

    /** Writes the length in bytes as a varint, then the text in UTF-8. */
    public BinaryWriter text(String value) {
        return bytes(value.getBytes(StandardCharsets.UTF_8));
    }

    public byte[] toByteArray() {
        return out.toByteArray();
    }
}
