package rowanplank.fleet.wire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Bytes to values, as {@link BinaryWriter} wrote them. Whatever does not fit is a {@link MalformedException}. */
public final class BinaryReader {
    /** What was read is not what was written. */
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
            throw new MalformedException("ends too early");
        }
    }

    public int octet() throws MalformedException {
        need(1);
        return in.get() & 0xff;
    }

    public boolean flag() throws MalformedException {
        int value = octet();
        if (value > 1) {
            throw new MalformedException("neither yes nor no: " + value);
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
        throw new MalformedException("a number of too many bytes");
    }

    /** How many follow, each of a byte at least: guards against lists that claim more than has come. */
    public int count() throws MalformedException {
        long count = varint();
        if (count < 0 || count > in.remaining()) {
            throw new MalformedException("more than there is: " + count);
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

    /** Guards against a form that is longer than what is known of it. */
    public void end() throws MalformedException {
        if (in.hasRemaining()) {
            throw new MalformedException(in.remaining() + " bytes too many");
        }
    }
}
