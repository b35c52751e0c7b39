package rowanplank.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.function.Consumer;
import org.eclipse.jetty.io.ManagedSelector;

/** A datagram channel on the selector's thread. */
final class SelectorDatagrams implements Loop.Datagrams, ManagedSelector.Selectable {
    /** So many are taken before the other sockets have their turn. */
    private static final int MOST_A_TURN = 64;

    private final DatagramChannel channel;
    private final InetSocketAddress address;
    private final Loop.Receiver receiver;
    private final Consumer<Runnable> guarded;
    private final ByteBuffer in;
    private final int mostBytes;

    SelectorDatagrams(DatagramChannel channel, int mostBytes, Loop.Receiver receiver, Consumer<Runnable> guarded)
            throws IOException {
        this.channel = channel;
        this.mostBytes = mostBytes;
        this.receiver = receiver;
        this.guarded = guarded;
        address = (InetSocketAddress) channel.getLocalAddress();
        in = ByteBuffer.allocate(mostBytes + 1); // one more shows that a datagram is too long
    }

    void register(Selector selector) {
        try {
            channel.register(selector, SelectionKey.OP_READ, this);
        } catch (IOException e) {
            // closed before it was registered
        }
    }

    @Override
    public Runnable onSelected() {
        try {
            for (int i = 0; i < MOST_A_TURN; i++) {
                in.clear();
                InetSocketAddress from = (InetSocketAddress) channel.receive(in);
                if (from == null) {
                    break;
                }
                in.flip();
                if (in.remaining() <= mostBytes) {
                    guarded.accept(() -> receiver.received(from, in));
                }
            }
        } catch (IOException e) {
            // closed, or what was sent found nobody: a datagram promises nothing
        }
        return null;
    }

    @Override
    public void updateKey() { }

    @Override
    public void replaceKey(SelectionKey key) { }

    @Override
    public InetSocketAddress address() {
        return address;
    }

    @Override
    public boolean send(InetSocketAddress to, ByteBuffer payload) {
        try {
            return channel.send(payload, to) > 0;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
