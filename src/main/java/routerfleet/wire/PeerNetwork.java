package routerfleet.wire;

import java.io.Closeable;
import java.net.BindException;
import java.util.function.Supplier;
import routerfleet.settings.HostPort;

/** Connections between the processes of the fleet: sockets ({@link NettyPeerNetwork}), or simulated ones. */
public interface PeerNetwork {
    /** An attempt to connect, or the connection that came of it. */
    interface Connection {
        /** Gives it up. */
        void close();
    }

    /** An address that is listened at. */
    interface Listener extends Closeable {
        /** Takes connections from now on; those that came before have waited. */
        void accept();
    }

    /**
     * Connects to an address.
     *
     * @param listener hears the connection once it is up
     * @param ended run once, when the attempt has failed or the connection is gone
     */
    Connection connect(HostPort address, LinkTiming timing, PeerLink.Listener listener, Runnable ended);

    /**
     * Listens at an address; connections are taken once {@link Listener#accept} is called.
     *
     * @param listeners who hears a connection; asked for each new one
     * @throws BindException if the address stays taken
     */
    Listener listen(HostPort address, LinkTiming timing, Supplier<PeerLink.Listener> listeners) throws BindException;
}
