package routerfleet.data;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import routerfleet.config.BackendConfig;
import routerfleet.config.ClientLimits;
import routerfleet.config.FleetConfiguration;
import routerfleet.config.RouteConfig;
import routerfleet.config.TenantConfig;

/**
 * An index of one generation of the configuration, for lookups of routes, backends and tenants. Immutable. Finding a route
 * takes one hash lookup for each slash in the path; finding a key takes one.
 */
final class RoutingTable {
    /** The table of a node that has not received any configuration. */
    static final RoutingTable EMPTY = new RoutingTable(new FleetConfiguration(0, null, null, null, null), null);

    private static final int MAX_SEGMENTS = 32;

    /** A route, with the cumulative weights of its backends. */
    static final class Route {
        private final RouteConfig config;
        private final List<String> backends = new ArrayList<>();
        private final List<Double> cumulativeWeights = new ArrayList<>();

        Route(RouteConfig config) {
            this.config = config;
            double sum = 0;
            if (config.trafficSplit() != null) {
                for (RouteConfig.WeightedBackend weighted : config.trafficSplit()) {
                    if (weighted.weight() > 0) {
                        sum += weighted.weight();
                        backends.add(weighted.backend());
                        cumulativeWeights.add(sum);
                    }
                }
            }
            if (backends.isEmpty()) {
                backends.add(config.backend());
                cumulativeWeights.add(1.0);
            }
        }

        RouteConfig config() {
            return config;
        }

        /** Chooses a backend by weight. @param random uniform in [0, 1) */
        String backend(double random) {
            double point = random * cumulativeWeights.get(cumulativeWeights.size() - 1);
            for (int i = 0; i < backends.size(); i++) {
                if (point < cumulativeWeights.get(i)) {
                    return backends.get(i);
                }
            }
            return backends.get(backends.size() - 1);
        }
    }

    private final long generation;
    private final Map<String, Map<String, Route>> routesByHost = new HashMap<>();
    private final Map<String, TenantConfig> tenantsByKey = new HashMap<>();
    private final Map<String, BackendConfig> backends = new HashMap<>();
    private final Set<String> routeNames = new HashSet<>();
    private final List<TenantConfig> tenants;
    private final ClientLimits limits;

    /** @param previous the table that this one replaces, whose unchanged routes are reused; null for none */
    RoutingTable(FleetConfiguration configuration, RoutingTable previous) {
        generation = configuration.generation();
        limits = configuration.limits();
        tenants = configuration.tenants();
        for (RouteConfig route : configuration.routes()) {
            routeNames.add(route.name());
            String host = route.host().toLowerCase(Locale.ROOT);
            Route existing = previous == null ? null : previous.routeAt(host, route.pathPrefix());
            routesByHost.computeIfAbsent(host, h -> new HashMap<>())
                    .put(route.pathPrefix(), existing != null && existing.config == route ? existing : new Route(route));
        }
        for (BackendConfig backend : configuration.backends()) {
            backends.put(backend.name(), backend);
        }
        for (TenantConfig tenant : tenants) {
            if (tenant.apiKeys() != null) {
                tenant.apiKeys().forEach(key -> tenantsByKey.put(key, tenant));
            }
        }
    }

    private Route routeAt(String host, String pathPrefix) {
        Map<String, Route> routes = routesByHost.get(host);
        return routes == null ? null : routes.get(pathPrefix);
    }

    long generation() {
        return generation;
    }

    Set<String> routeNames() {
        return routeNames;
    }

    ClientLimits limits() {
        return limits;
    }

    List<TenantConfig> tenants() {
        return tenants;
    }

    /** The backend of that name; null if there is none. */
    BackendConfig backend(String name) {
        return backends.get(name);
    }

    /** All backends. */
    Iterable<BackendConfig> backends() {
        return backends.values();
    }

    /** The tenant that owns a key; null if there is none. */
    TenantConfig tenantForKey(String key) {
        return tenantsByKey.get(key);
    }

    /** Whether there are any tenants, in which case requests to routes that are not public need a key. */
    boolean hasTenants() {
        return !tenants.isEmpty();
    }

    /**
     * Finds the route of a host with the longest matching path prefix.
     *
     * @param host value of the {@code Host} header; may be null
     * @param target the request target, with or without a query
     * @return null if there is none
     */
    Route findRoute(String host, String target) {
        Map<String, Route> routes = host == null ? null : routesByHost.get(hostName(host));
        if (routes == null) {
            return null;
        }
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        int end = path.length();
        for (int i = 0; i < MAX_SEGMENTS; i++) {
            int slash = path.lastIndexOf('/', end - 1);
            if (slash < 0) {
                return null;
            }
            Route route = routes.get(path.substring(0, slash + 1));
            if (route != null) {
                return route;
            }
            end = slash;
        }
        return null;
    }

    private static String hostName(String header) {
        int colon = header.lastIndexOf(':');
        String name = colon > 0 ? header.substring(0, colon) : header;
        return name.strip().toLowerCase(Locale.ROOT);
    }
}
