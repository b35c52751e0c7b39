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
 * One generation of the configuration, arranged for look-ups. Immutable. Finding a route costs one hash look-up for each
 * slash in the path; a key costs one.
 */
final class RoutingTable {
    /** What a node has before it has heard of any configuration. */
    static final RoutingTable EMPTY = new RoutingTable(new FleetConfiguration(0, null, null, null, null), null);

    private static final int MAX_SEGMENTS = 32;

    /** A route, and where the running sums of its services' weights stand. */
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

        /** @param random from 0 to below 1 */
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

    /** @param previous the table that this one takes the place of, whose unchanged routes are used again; null for none */
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

    /** The service of that name; null where there is none. */
    BackendConfig backend(String name) {
        return backends.get(name);
    }

    /** All services. */
    Iterable<BackendConfig> backends() {
        return backends.values();
    }

    /** The tenant that holds a key; null where none does. */
    TenantConfig tenantForKey(String key) {
        return tenantsByKey.get(key);
    }

    /** Whether requests need a key. */
    boolean hasTenants() {
        return !tenants.isEmpty();
    }

    /** The route of that host with the longest prefix of the path; null where there is none. */
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
