package routerfleet.wire;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import routerfleet.settings.HostPort;

/** Keeps a connection to each wanted address, opened anew after a pause whenever it is lost. For one thread. */
public final class PeerDialer {
    private static final long RETRY_MS = 250;

    private final Scheduler scheduler;
    private final PeerNetwork network;
    private final LinkTiming timing;
    private final Function<HostPort, PeerLink.Listener> listeners;
    private final Map<String, Target> targets = new TreeMap<>();

    private static final class Target {
        private final HostPort address;
        private boolean wanted = true;
        private PeerNetwork.Connection connection;

        Target(HostPort address) {
            this.address = address;
        }
    }

    /** @param listeners who hears the connection to an address; asked for each new connection */
    public PeerDialer(Scheduler scheduler, PeerNetwork network, LinkTiming timing,
            Function<HostPort, PeerLink.Listener> listeners) {
        this.scheduler = scheduler;
        this.network = network;
        this.timing = timing;
        this.listeners = listeners;
    }

    /** Connects to an address from now on; no effect where it is wanted already. */
    public void want(HostPort address) {
        if (!targets.containsKey(address.toString())) {
            Target target = new Target(address);
            targets.put(address.toString(), target);
            connect(target);
        }
    }

    /** Gives up an address. */
    public void forget(HostPort address) {
        Target target = targets.remove(address.toString());
        if (target != null) {
            target.wanted = false;
            if (target.connection != null) {
                target.connection.close();
            }
        }
    }

    /** Whether an address is wanted. */
    public boolean wants(HostPort address) {
        return targets.containsKey(address.toString());
    }

    private void connect(Target target) {
        if (target.wanted) {
            target.connection = network.connect(target.address, timing, listeners.apply(target.address),
                    () -> scheduler.schedule(() -> connect(target), RETRY_MS, TimeUnit.MILLISECONDS));
        }
    }
}
