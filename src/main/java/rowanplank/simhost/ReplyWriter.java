package rowanplank.simhost;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import rowanplank.balancer.BalancerApi.Actions;

/** Writes actions as records of one reply. */
final class ReplyWriter implements Actions {
    static final int RECORD_BYTES = 32;
    private static final int HEADER_BYTES = 8;

    private static final int TIMER = 1000;
    private static final int REFUSE = 1010;
    private static final int LOG = 1020;
    private static final int FAULT = 1030;
    private static final int CANCEL = 1050;
    private static final int SEND = 1070;
    private static final int FAIL = 1080;
    private static final int WATCH = 1090;
    private static final int CLOSE = 1100;

    private ByteBuffer records = buffer(new byte[1 << 16]);
    private ByteBuffer tail = buffer(new byte[1 << 12]);
    private int instance;

    void clear() {
        records.clear().position(HEADER_BYTES);
        tail.clear();
    }

    /** The instance that the actions to come are for. */
    void actFor(int instance) {
        this.instance = instance;
    }

    void writeTo(OutputStream out) throws IOException {
        int bytes = records.position() - HEADER_BYTES;
        records.putInt(0, bytes + tail.position()).putInt(4, bytes / RECORD_BYTES);
        out.write(records.array(), 0, records.position());
        out.write(tail.array(), 0, tail.position());
    }

    @Override
    public void send(long request, long server, double timeoutMs) {
        int at = record(SEND);
        records.putLong(at + 6, request).putDouble(at + 20, timeoutMs);
        putServer(at + 14, server);
    }

    @Override
    public void reject(long request, double retryAfterMs) {
        int at = record(REFUSE);
        records.putLong(at + 6, request).putDouble(at + 14, retryAfterMs);
    }

    @Override
    public void fail(long request) {
        records.putLong(record(FAIL) + 6, request);
    }

    @Override
    public void cancel(long request, int attempt) {
        int at = record(CANCEL);
        records.putLong(at + 6, request).putShort(at + 14, (short) attempt);
    }

    @Override
    public void timer(double delayMs, long token) {
        int at = record(TIMER);
        records.putDouble(at + 6, delayMs).putLong(at + 14, token);
    }

    @Override
    public void watchServers() {
        records.put(record(WATCH) + 6, (byte) 1);
    }

    @Override
    public void closeIdle(long server) {
        putServer(record(CLOSE) + 6, server);
    }

    @Override
    public void log(String line) {
        text(LOG, line);
    }

    /** Reports a failure of the decision code. */
    void fault(String text) {
        text(FAULT, text);
    }

    private void text(int code, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        int at = record(code);
        records.putInt(at + 6, tail.position()).putInt(at + 10, bytes.length);
        if (tail.remaining() < bytes.length) {
            tail = grown(tail, bytes.length);
        }
        tail.put(bytes);
    }

    private int record(int code) {
        if (records.remaining() < RECORD_BYTES) {
            records = grown(records, RECORD_BYTES);
        }
        int at = records.position();
        Arrays.fill(records.array(), at, at + RECORD_BYTES, (byte) 0);
        records.putShort(at, (short) code).putInt(at + 2, instance).position(at + RECORD_BYTES);
        return at;
    }

    private void putServer(int at, long server) {
        records.putInt(at, (int) server).putShort(at + 4, (short) (server >>> 32));
    }

    private static ByteBuffer grown(ByteBuffer full, int needed) {
        byte[] bytes = Arrays.copyOf(full.array(), 2 * (full.capacity() + needed));
        return buffer(bytes).position(full.position());
    }

    private static ByteBuffer buffer(byte[] bytes) {
        return ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
    }
}
