package routerfleet.data;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import routerfleet.config.BackendConfig;
import routerfleet.settings.Bounds;

/** What all requests of a node share. For one event loop. */
final class DataPlane {
    /** What a request may still need to be read and checked, off the time until removed keys are refused. */
    private static final long REVOKE_MARGIN_MS = 400;
    private static final int MIN_IN_FLIGHT = 4;
    private static final double CAPACITY_SHARE_FACTOR = 2;
    private static final double CONNECTION_LIMIT_FRACTION = 0.9;

    private final EventLoop loop;
    private final Bounds bounds;
    private final ServerRegistry registry;
    private final QuotaClient quotas;
    private final FleetSize fleetSize;
    private final SplittableRandom random;
    private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
    /** How fast all nodes together may send to a cold server of a service that tells a bound, in requests a second. */
    private final Map<String, Double> coldRates = new HashMap<>();
    private final Set<Exchange> openExchanges = new LinkedHashSet<>();
    private RoutingTable table = RoutingTable.EMPTY;
    private ControlClient control;
    private boolean draining;

    DataPlane(EventLoop loop, Bounds bounds, ServerRegistry registry, QuotaClient quotas, FleetSize fleetSize,
            long seed) {
        this.loop = loop;
        this.bounds = bounds;
        this.registry = registry;
        this.quotas = quotas;
        this.fleetSize = fleetSize;
        random = new SplittableRandom(seed);
    }

    void control(ControlClient client) {
        control = client;
    }

    EventLoop loop() {
        return loop;
    }

    ServerRegistry registry() {
        return registry;
    }

    QuotaClient quotas() {
        return quotas;
    }

    RoutingTable table() {
        return table;
    }

    void table(RoutingTable newer) {
        table = newer;
        quotas.configure(newer.tenants());
        retryBudgets.keySet().removeIf(backend -> newer.backend(backend) == null);
        registry.retainClasses(newer.routeNames());
        coldRates.clear();
        for (BackendConfig backend : newer.backends()) {
            if (backend.warmupPerS() > 0) {
                double maxPerSecond = backend.warmupPerS() * bounds.warmupOvershoot() + bounds.warmupSlack();
                coldRates.put(backend.name(), WarmupRate.maxRate(maxPerSecond));
            }
        }
    }

    FleetSize fleetSize() {
        return fleetSize;
    }

    double nextRandom() {
        return random.nextDouble();
    }

    RetryBudget retryBudget(String backend) {
        return retryBudgets.computeIfAbsent(backend, b -> new RetryBudget(bounds));
    }

    /** The chance of a permission for a cold server of that service in one slice of time ({@link ColdAdmission}). */
    double coldPermitProbability(String backend) {
        Double rate = coldRates.get(backend);
        return rate == null ? ColdAdmission.UNLIMITED : WarmupRate.permitProbability(rate, fleetSize.divisor());
    }

    /** Whether keys may be trusted: no configuration that took one away can be in force without being known here. */
    boolean keysAreFresh() {
        return !bounds.revocation() || control.staleMs() < bounds.revokeMs() - REVOKE_MARGIN_MS;
    }

    /**
     * Whether there is a configuration to serve by. The first one of a process counts only once it was known to be the
     * newest; from then on each is newer than the one before.
     */
    boolean hasConfiguration() {
        return table.generation() > 0 && control.hasBeenFresh();
    }

    /** Whether the node can serve. */
    boolean isReady() {
        return !draining && hasConfiguration() && keysAreFresh();
    }

    /** Takes no new clients from now on. */
    void startDraining() {
        draining = true;
    }

    boolean isDraining() {
        return draining;
    }

    /** How many requests this node may have in flight at one server. */
    int inFlightLimit(String backend, int capacity) {
        int nodes = fleetSize.latest();
        BackendConfig config = table.backend(backend);
        int connections = config == null || config.maxConnections() == 0 ? Integer.MAX_VALUE : config.maxConnections();
        int share = Math.max(MIN_IN_FLIGHT, (int) Math.ceil(CAPACITY_SHARE_FACTOR * capacity / nodes));
        return Math.max(1, Math.min(share, (int) (CONNECTION_LIMIT_FRACTION * connections / nodes)));
    }

    void addExchange(Exchange exchange) {
        openExchanges.add(exchange);
    }

    void removeExchange(Exchange exchange) {
        openExchanges.remove(exchange);
    }

    /** Requests without a final answer. */
    List<Exchange> openExchanges() {
        return List.copyOf(openExchanges);
    }
}
