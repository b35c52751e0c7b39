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
import routerfleet.wire.SteadyClock;

/** State that is shared by all requests of a data node. Not thread-safe; used on one event loop. */
final class DataPlane {
    /** Subtracted from the time within which removed keys must be refused: a request still has to be read and checked. */
    private static final long REVOKE_MARGIN_MS = 400;
    /** Minimum of requests that a node may have in flight at a server, unless the connection limit is lower. */
    private static final int MIN_IN_FLIGHT = 4;
    /** A node may use so many times its equal share of a server's capacity. */
    private static final double CAPACITY_SHARE_FACTOR = 2;
    /** Fraction of a server's connection limit that all nodes together use. */
    private static final double CONNECTION_LIMIT_FRACTION = 0.9;

    private final EventLoop loop;
    private final Bounds bounds;
    private final ServerRegistry registry;
    private final QuotaClient quotas;
    private final FleetSize fleetSize;
    private final SplittableRandom random;
    private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
    /** For services with a warm-up limit: requests per second that all nodes together may send to one cold server. */
    private final Map<String, Double> coldRates = new HashMap<>();
    private final ResponseLog responseLog = new ResponseLog();
    private final OperatorEvents operatorEvents = new OperatorEvents();
    private final Set<Exchange> openExchanges = new LinkedHashSet<>();
    private RoutingTable table = RoutingTable.EMPTY;
    private ControlClient control;
    /** Null until the node is told to stop. */
    private ShutdownSchedule shutdown;

    DataPlane(EventLoop loop, Bounds bounds, ServerRegistry registry, QuotaClient quotas, FleetSize fleetSize,
            long seed) {
        this.loop = loop;
        this.bounds = bounds;
        this.registry = registry;
        this.quotas = quotas;
        this.fleetSize = fleetSize;
        random = new SplittableRandom(seed);
    }

    /** Sets the control client; to be called once, before the node starts. */
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

    /** Replaces the routing table by one of a newer configuration. */
    void table(RoutingTable newer) {
        operatorEvents.record(OperatorEvents.Kind.CONFIGURATION, SteadyClock.millis());
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

    ResponseLog responseLog() {
        return responseLog;
    }

    OperatorEvents operatorEvents() {
        return operatorEvents;
    }

    FleetSize fleetSize() {
        return fleetSize;
    }

    /** A random number, uniform in [0, 1). */
    double nextRandom() {
        return random.nextDouble();
    }

    /** This node's budget of retries to a service. */
    RetryBudget retryBudget(String backend) {
        return retryBudgets.computeIfAbsent(backend, b -> new RetryBudget(bounds));
    }

    /** The probability of a permit for a cold server of the service in one time slice; see {@link ColdAdmission}. */
    double coldPermitProbability(String backend) {
        Double rate = coldRates.get(backend);
        return rate == null ? ColdAdmission.UNLIMITED : WarmupRate.permitProbability(rate, fleetSize.divisor());
    }

    /** Whether known keys may be accepted: a key that is still known here was not removed longer ago than is allowed. */
    boolean keysAreFresh() {
        return !bounds.revocation() || control.staleMs() < bounds.revokeMs() - REVOKE_MARGIN_MS;
    }

    /**
     * Whether there is a configuration to serve with. The first configuration of a process counts only after it was known
     * to be the newest; each later one is newer than the one before.
     */
    boolean hasConfiguration() {
        return table.generation() > 0 && control.hasBeenFresh();
    }

    /** Whether the node accepts client requests; reported to readiness probes. */
    boolean isReady() {
        return shutdown == null && hasConfiguration() && keysAreFresh();
    }

    /** Fails readiness probes from now on, and closes client connections after their current responses. */
    void startDraining(ShutdownSchedule schedule) {
        operatorEvents.record(OperatorEvents.Kind.SIGTERM, SteadyClock.millis());
        shutdown = schedule;
    }

    boolean isDraining() {
        return shutdown != null;
    }

    /** Whether a request with this deadline may still be sent to a server. */
    boolean acceptsUntil(long deadlineMs) {
        return shutdown == null || shutdown.accepts(deadlineMs, SteadyClock.millis());
    }

    /** The number of requests that this node may have in flight at one server of a service. */
    int inFlightLimit(String backend, int capacity) {
        int nodes = fleetSize.latest();
        BackendConfig config = table.backend(backend);
        int connections = config == null || config.maxConnections() == 0 ? Integer.MAX_VALUE : config.maxConnections();
        int share = Math.max(MIN_IN_FLIGHT, (int) Math.ceil(CAPACITY_SHARE_FACTOR * capacity / nodes));
        return Math.max(1, Math.min(share, (int) (CONNECTION_LIMIT_FRACTION * connections / nodes)));
    }

    /** Registers an exchange until {@link #removeExchange}. */
    void addExchange(Exchange exchange) {
        openExchanges.add(exchange);
    }

    void removeExchange(Exchange exchange) {
        openExchanges.remove(exchange);
    }

    /** Requests without a final response. */
    List<Exchange> openExchanges() {
        return List.copyOf(openExchanges);
    }
}
