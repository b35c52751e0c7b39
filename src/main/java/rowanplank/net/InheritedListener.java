package rowanplank.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;

/**
 * The listening socket that the platform holds and hands to each process as descriptor 0. The JDK gives a copy of the
 * descriptor; two processes share what lies under it: the queue of connections, and whether accepting waits.
 */
public final class InheritedListener {
    private InheritedListener() { }

    /** Descriptor 0 is no listening socket, or not the one that was meant. */
    public static final class UnusableException extends IOException {
        private static final long serialVersionUID = 1;

        UnusableException(String message) {
            super(message);
        }
    }

    /**
     * Looks whether there is such a socket.
     *
     * @throws UnusableException if descriptor 0 is something else
     */
    public static void check(InetSocketAddress address) throws IOException {
        take(address);
    }

    /**
     * The socket, the same at each call.
     *
     * @param address where it has to listen
     * @throws UnusableException if descriptor 0 is something else
     */
    static ServerSocketChannel take(InetSocketAddress address) throws IOException {
        Channel inherited;
        try {
            inherited = System.inheritedChannel();
        } catch (IOException e) {
            throw new UnusableException("descriptor 0 can't be taken: " + e.getMessage());
        }
        if (!(inherited instanceof ServerSocketChannel listener)) {
            throw new UnusableException("descriptor 0 is no listening socket");
        }
        InetSocketAddress at = (InetSocketAddress) listener.getLocalAddress();
        if (!address.equals(at)) {
            throw new UnusableException("descriptor 0 listens at " + text(at) + ", not at " + text(address));
        }
        return listener;
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
