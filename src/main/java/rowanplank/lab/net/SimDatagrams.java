package rowanplank.lab.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import rowanplank.net.Loop;

/** An address from and to which datagrams go. */
final class SimDatagrams implements Loop.Datagrams {
    /** UDP over IPv4 carries no more. */
    private static final int MOST_BYTES = 65_507;
    /** What Linux's receive buffer holds of small datagrams; more are dropped. */
    private static final int MOST_WAITING = 256;

    private final SimProcess process;
    private final InetSocketAddress address;
    private final int mostBytes;
    private final Loop.Receiver receiver;
    private int waiting;
    private boolean closed;

    SimDatagrams(SimProcess process, InetSocketAddress address, int mostBytes, Loop.Receiver receiver) {
        this.process = process;
        this.address = address;
        this.mostBytes = mostBytes;
        this.receiver = receiver;
    }

    @Override
    public InetSocketAddress address() {
        return address;
    }

    @Override
    public boolean send(InetSocketAddress to, ByteBuffer payload) {
        if (closed || payload.remaining() > MOST_BYTES) {
            return false;
        }
        byte[] bytes = new byte[payload.remaining()];
        payload.get(bytes);
        process.moved(bytes.length);
        process.machine().network.sendDatagram(process.machine(), address, to, bytes);
        return true;
    }

    void arrived(InetSocketAddress from, byte[] payload) {
        if (waiting == MOST_WAITING) {
            return;
        }
        waiting++;
        process.due(new Work(process) {
            @Override
            void perform() {
                waiting--;
                if (!closed && payload.length <= mostBytes) {
                    process.moved(payload.length);
                    receiver.received(from, ByteBuffer.wrap(payload));
                }
            }
        });
    }

    @Override
    public void close() {
        if (!closed) {
            closed = true;
            process.closed(this);
        }
    }
}
