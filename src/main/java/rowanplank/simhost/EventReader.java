package rowanplank.simhost;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import rowanplank.balancer.BalancerApi.Lifecycle;
import rowanplank.balancer.BalancerApi.ListKind;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.balancer.BalancerApi.Request;
import rowanplank.balancer.BalancerApi.Server;

/** A cursor over the event records of one batch. */
final class EventReader {
    static final int RECORD_BYTES = 56;
    private static final int ENTRY_BYTES = 24;

    static final int LIST = 1000;
    static final int TIMER = 1010;
    static final int PEER = 1020;
    static final int PROBED = 1030;
    static final int INIT = 1040;
    static final int STREAM = 1050;
    static final int SERVERS = 1060;
    static final int STOP = 1070;
    static final int OUTCOME = 1080;
    static final int GONE = 1090;
    static final int REQUEST = 1100;

    private static final int COST_HINT = 1;
    private static final int REPEAT = 2;
    private static final Outcome[] OUTCOMES = Outcome.values();

    private final ByteBuffer in;
    private final int count;
    private final int tail;
    private int record = -1;
    private int at;

    EventReader(byte[] body, int count) {
        in = ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN);
        this.count = count;
        tail = count * RECORD_BYTES;
    }

    boolean next() {
        record++;
        at = record * RECORD_BYTES;
        return record < count;
    }

    int code() {
        return in.getShort(at) & 0xFFFF;
    }

    int instance() {
        return in.getInt(at + 2);
    }

    int listNumber() {
        return in.getShort(at + 2) & 0xFFFF;
    }

    List<Server> entries() {
        int count = in.getInt(at + 8);
        int from = tailOffset(at + 4, (long) count * ENTRY_BYTES);
        List<Server> servers = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            servers.add(entry(from + i * ENTRY_BYTES));
        }
        return servers;
    }

    private Server entry(int e) {
        int code = in.get(e + 11);
        Lifecycle lifecycle = switch (code) {
            case 0 -> Lifecycle.GONE;
            case 1 -> Lifecycle.READY;
            case 2 -> Lifecycle.DRAINING;
            default -> throw new MalformedFrameException("unknown lifecycle " + code);
        };
        return new Server(server(e), in.getShort(e + 6) & 0xFFFF, in.getShort(e + 9) & 0xFFFF,
                lifecycle, Math.max(in.getFloat(e + 12), 0.01), in.getDouble(e + 16));
    }

    long seed() {
        return in.getLong(at + 6);
    }

    String settings() {
        return new String(bytes(at + 14), StandardCharsets.UTF_8);
    }

    ListKind listKind() {
        int code = in.get(at + 6);
        return switch (code) {
            case 0 -> ListKind.FULL;
            case 1 -> ListKind.CACHED;
            case 2 -> ListKind.FAILED;
            case 4 -> ListKind.DELTA;
            default -> throw new MalformedFrameException("unknown list kind " + code);
        };
    }

    int membersList() {
        return in.getShort(at + 11) & 0xFFFF;
    }

    Request request() {
        int flags = in.getShort(at + 43);
        return new Request(requestId(), in.get(at + 14) & 0xFF, in.getInt(at + 15), in.getLong(at + 19),
                in.getDouble(at + 27), (flags & COST_HINT) != 0 ? in.getDouble(at + 35) : 0,
                (flags & REPEAT) != 0);
    }

    long requestId() {
        return in.getLong(at + 6);
    }

    int attempt() {
        return in.getShort(at + (code() == STREAM ? 20 : 14)) & 0xFFFF;
    }

    Outcome outcome() {
        return outcome(in.get(at + 22));
    }

    double latency() {
        return in.getDouble(at + 23);
    }

    boolean concluded() {
        return in.get(at + 31) != 0;
    }

    long token() {
        return in.getLong(at + 6);
    }

    private static Outcome outcome(int code) {
        if (code < 1 || code > OUTCOMES.length) {
            throw new MalformedFrameException("unknown outcome " + code);
        }
        return OUTCOMES[code - 1];
    }

    /** Four bytes of address and a port, kept as they stand in the low six bytes of a long. */
    private long server(int offset) {
        return in.getInt(offset) & 0xFFFFFFFFL | (in.getShort(offset + 4) & 0xFFFFL) << 32;
    }

    private byte[] bytes(int offset) {
        int length = in.getInt(offset + 4);
        byte[] bytes = new byte[Math.max(0, length)];
        in.get(tailOffset(offset, length), bytes);
        return bytes;
    }

    private int tailOffset(int offset, long length) {
        long from = tail + (in.getInt(offset) & 0xFFFFFFFFL);
        if (length < 0 || from + length > in.capacity()) {
            throw new MalformedFrameException("a field reaches beyond the end of its frame");
        }
        return (int) from;
    }
}
