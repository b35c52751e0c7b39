package rowanplank.fleet.wire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Decodes values written by {@link BinaryWriter}. Invalid input causes a {@link MalformedException}. */
public final class BinaryReader {
    /** The input is not valid. */
    public static final class MalformedException extends Exception {
        private static final long serialVersionUID = 1;

        public MalformedException(String message) {
            super(message);
        }
    }

    private final ByteBuffer in;

    public BinaryReader(byte[] bytes) {
        this(ByteBuffer.wrap(bytes));
    }

    public BinaryReader(ByteBuffer in) {
        this.in = in;
    }

    private void need(int bytes) throws MalformedException {
        if (bytes < 0 || in.remaining() < bytes) {
            throw new MalformedException("unexpected end of the input");
        }
    }

    public int octet() throws MalformedException {
        need(1);
        return in.get() & 0xff;
    }

    public boolean flag() throws MalformedException {
        int value = octet();
        if (value > 1) {
            throw new MalformedException("not a boolean: " + value);
        }
        return value == 1;
    }

    public int int32() throws MalformedException {
        need(Integer.BYTES);
        return in.getInt();
    }

    public long int64() throws MalformedException {
        need(Long.BYTES);
        return in.getLong();
    }

    public long varint() throws MalformedException {
        long value = 0;
        for (int shift = 0; shift < Long.SIZE; shift += 7) {
            int octet = octet();
            value |= (long) (octet & 0x7f) << shift;
            if (octet < 0x80) {
                return value;
            }
        }
        throw new MalformedException("number with too many bytes");
    }

    /**
     * Reads the number of elements that follow, each of at least one byte. Rejects counts that exceed the remaining
     * input.
     */
    public int count() throws MalformedException {
        long count = varint();
        if (count < 0 || count > in.remaining()) {
            throw new MalformedException("count exceeds the input: " + count);
        }
        return (int) count;
    }

    public byte[] bytes() throws MalformedException {
        byte[] value = new byte[count()];
        in.get(value);
        return value;
    }

    public String text() throws MalformedException {
        return new String(bytes(), StandardCharsets.UTF_8);
    }

    public boolean isEmpty() {
        return !in.hasRemaining();
    }

    /** Requires that the input is exhausted; additional data means that its format is not the expected one. */
    public void end() throws MalformedException {
        if (in.hasRemaining()) {
            throw new MalformedException(in.remaining() + " unexpected bytes at the end");
        }
    }
}
