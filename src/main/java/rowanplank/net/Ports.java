package rowanplank.net;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Hands out loopback addresses at which nobody listens yet, for connections or datagrams, one after the other. They lie
 * below the range from which systems take the ports of outgoing connections, so that what listens there can come back
 * after it was away.
 *
 * <p>Where a host is one's own ({@link #apart}) its ports are free without a look. Elsewhere each is looked at, by
 * listening there for a moment; nothing keeps another program from taking it between that look and its use, nor a process
 * that is just being started from holding a copy of the look's own socket for some milliseconds. Whoever listens hears of
 * that.
 */
public final class Ports implements AutoCloseable {
    /** Linux takes ports of outgoing connections from here on, other systems from 49,152. */
    public static final int BOUND = 32_768;

    private static final int FIRST = 10_000;
    /** Loopback addresses that are tried for {@link #apart}. */
    private static final int HOSTS = 1000;

    private final InetAddress host;
    private final boolean exact;
    /** Keeps others from the same host; null where its ports are shared. */
    private final ServerSocket claim;
    private int next;

    private Ports(InetAddress host, ServerSocket claim, int first, boolean exact) {
        this.host = host;
        this.claim = claim;
        next = first;
        this.exact = exact;
    }

    /** Exactly those from this port on. */
    public static Ports from(int first) {
        return new Ports(InetAddress.getLoopbackAddress(), null, first, true);
    }

    /** Whichever are free. Processes begin at different places, since many may look at once. */
    public static Ports free() {
        return new Ports(InetAddress.getLoopbackAddress(), null,
                FIRST + (int) (ProcessHandle.current().pid() * 97 % (BOUND - 2 * FIRST)), false);
    }

    /**
     * For addresses that are used long after they were chosen: all of a loopback host that nobody else is given until
     * {@link #close}, in this process or another. Where the system has no such hosts it is as with {@link #free}.
     */
    public static Ports apart() {
        // whoever looks at once, or soon after, begins elsewhere: what ends on a host that was given back has time for it
        long begin = ProcessHandle.current().pid() + System.nanoTime() / 1_000_000;
        for (int n = 0; n < HOSTS; n++) {
            int number = (int) Math.floorMod(begin + n, (long) HOSTS);
            try {
                InetAddress host = InetAddress.getByAddress(
                        new byte[] {127, 64, (byte) (number / 250), (byte) (number % 250 + 1)});
                return new Ports(host, new ServerSocket(FIRST, 1, host), FIRST + 1, false);
            } catch (IOException e) {
                // somebody has it, or the system does not know it
            }
        }
        return free();
    }

    /** Others may be given what was held for this one. */
    @Override
    public void close() {
        try {
            if (claim != null) {
                claim.close();
            }
        } catch (IOException e) {
            // it ends with the process
        }
    }

    /** @throws IOException if the port that would be next is in use, or none is left */
    public InetSocketAddress next() throws IOException {
        while (true) {
            if (next >= 1 << 16) {
                throw new IOException("no port is left below " + (1 << 16));
            }
            InetSocketAddress address = new InetSocketAddress(host, next++);
            if (claim != null || isFree(address)) {
                return address;
            }
            if (exact) {
                throw new IOException("port " + address.getPort() + " is in use");
            }
        }
    }

    private static boolean isFree(InetSocketAddress address) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.setReuseAddress(true);
            socket.bind(address, 1);
        } catch (IOException e) {
            return false;
        }
        try (DatagramSocket socket = new DatagramSocket(address)) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
