package routerfleet.wire;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import routerfleet.settings.HostPort;

/** Keeps a connection to each wanted address, opened anew after a pause whenever it is lost. For one thread. */
public final class PeerDialer {
    private static final long RETRY_MS = 250;
    /** An address that is likely to come up in a moment is called more often, for a while. */
    private static final long HURRIED_RETRY_MS = 60;
    private static final long HURRY_MS = 3_000;

    private final Scheduler scheduler;
    private final PeerNetwork network;
    private final LinkTiming timing;
    private final Function<HostPort, PeerLink.Listener> listeners;
    private final Map<String, Target> targets = new TreeMap<>();

    private static final class Target {
        private final HostPort address;
        private boolean wanted = true;
        private PeerNetwork.Connection connection;
        /** Whether it waits for its next attempt, and how many there were. */
        private boolean pausing;
        private long attempts;
        private boolean hurried;
        private long hurriedSinceNanos;

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

    /** Calls a wanted address more often for {@value #HURRY_MS} ms: its process may be about to start as this one is. */
    public void hurry(HostPort address) {
        Target target = targets.get(address.toString());
        if (target != null) {
            target.hurried = true;
            target.hurriedSinceNanos = scheduler.nanoTime();
        }
    }

    /** Calls a wanted address at once if its next attempt is awaited: its process is known to be up. */
    public void callNow(HostPort address) {
        Target target = targets.get(address.toString());
        if (target != null && target.pausing) {
            connect(target);
        }
    }

    private void connect(Target target) {
        if (target.wanted) {
            target.pausing = false;
            target.attempts++;
            target.connection = network.connect(target.address, timing, listeners.apply(target.address),
                    () -> pause(target));
        }
    }

    private void pause(Target target) {
        target.pausing = true;
        long attempt = target.attempts;
        scheduler.schedule(() -> {
            if (target.pausing && target.attempts == attempt) {
                connect(target);
            }
        }, pauseMs(target), TimeUnit.MILLISECONDS);
    }

    private long pauseMs(Target target) {
        boolean hurries = target.hurried
                && scheduler.nanoTime() - target.hurriedSinceNanos < TimeUnit.MILLISECONDS.toNanos(HURRY_MS);
        return hurries ? HURRIED_RETRY_MS : RETRY_MS;
    }
}
