package routerfleet.data;

import routerfleet.config.FleetConfiguration;
import routerfleet.settings.LocalSettings;
import routerfleet.wire.PeerCodec;
import routerfleet.wire.PeerMessage;
import routerfleet.wire.PeerNetwork;
import routerfleet.wire.Scheduler;

/** A data node's control client and server registry, without clients and servers, for simulations of the control plane. */
public final class ControlClientProbe {
    private static final long CLEANUP_INTERVAL_MS = 1_000;

    private final ServerRegistry registry;
    private final ControlClient client;
    private long generation;

    /** Creates and starts the control client; to be called on the scheduler's thread. */
    public ControlClientProbe(LocalSettings settings, Scheduler scheduler, PeerNetwork network, PeerCodec codec) {
        registry = new ServerRegistry(1, scheduler::nanoTime, settings.zone());
        client = new ControlClient(scheduler, network, settings, registry, codec, new ConfigurationListener());
        client.start();
        scheduler.every(CLEANUP_INTERVAL_MS, registry::removeStale);
    }

    /** The generation of the newest configuration received; 0 for none. */
    public long generation() {
        return generation;
    }

    /** Whether a data node would serve requests with its configuration, as far as that depends on control nodes. */
    public boolean mayServe() {
        return generation > 0 && client.hasBeenFresh();
    }

    /** Time since the configuration was last known to be the newest, in milliseconds. */
    public long staleMs() {
        return client.staleMs();
    }

    /** Whether this node would send requests to a server. */
    public boolean isListed(String uid) {
        for (Server server : registry.servers()) {
            if (server.uid().equals(uid)) {
                return server.listed();
            }
        }
        return false;
    }

    /** Records the newest generation. */
    private final class ConfigurationListener implements ControlClient.Listener {
        @Override
        public void configuration(FleetConfiguration configuration) {
            generation = configuration.generation();
        }

        @Override
        public void dataNodes(int present, boolean warming) {
            // not needed here
        }

        @Override
        public void quotaAnswered(PeerMessage.QuotaAnswer answer) {
            // quotas are not used
        }

        @Override
        public void disconnected(String controlNode) {
            // quotas are not used
        }
    }
}
