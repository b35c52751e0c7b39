package routerfleet.config;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** What has to hold between the items of a configuration: names that stand once, references that lead somewhere. */
final class ItemRules {
    private ItemRules() { }

    /** @return the first fault; null if there is none */
    static ConfigFault check(FleetConfiguration configuration) {
        Set<String> backends = new HashSet<>();
        for (BackendConfig backend : configuration.backends()) {
            if (!backends.add(backend.name())) {
                return ConfigFault.invalid("backends[" + backend.name() + "]", "stands twice");
            }
        }
        ConfigFault fault = routes(configuration, backends);
        return fault == null ? tenants(configuration) : fault;
    }

    private static ConfigFault routes(FleetConfiguration configuration, Set<String> backends) {
        Set<String> names = new HashSet<>();
        Map<String, String> places = new HashMap<>();
        for (RouteConfig route : configuration.routes()) {
            String item = "routes[" + route.name() + "]";
            if (!names.add(route.name())) {
                return ConfigFault.invalid(item, "stands twice");
            }
            String other = places.put(route.host().toLowerCase(Locale.ROOT) + route.pathPrefix(), route.name());
            if (other != null) {
                return ConfigFault.invalid(item, "has the host and prefix of routes[" + other + "]");
            }
            ConfigFault fault = targets(route, item, backends);
            if (fault != null) {
                return fault;
            }
        }
        return null;
    }

    private static ConfigFault targets(RouteConfig route, String item, Set<String> backends) {
        boolean split = route.trafficSplit() != null && !route.trafficSplit().isEmpty();
        if (!split) {
            return backends.contains(String.valueOf(route.backend())) ? null
                    : ConfigFault.invalid(item, "names a backend that is not known: " + route.backend());
        }
        double weights = 0;
        for (RouteConfig.WeightedBackend part : route.trafficSplit()) {
            if (!backends.contains(part.backend())) {
                return ConfigFault.invalid(item, "names a backend that is not known: " + part.backend());
            }
            weights += part.weight();
        }
        return weights > 0 ? null : ConfigFault.invalid(item, "has weights that add up to 0");
    }

    private static ConfigFault tenants(FleetConfiguration configuration) {
        Set<String> names = new HashSet<>();
        Map<String, String> keys = new HashMap<>();
        for (TenantConfig tenant : configuration.tenants()) {
            String item = "tenants[" + tenant.name() + "]";
            if (!names.add(tenant.name())) {
                return ConfigFault.invalid(item, "stands twice");
            }
            for (String key : tenant.apiKeys() == null ? List.<String>of() : tenant.apiKeys()) {
                String other = keys.put(key, tenant.name());
                if (other != null) {
                    return ConfigFault.invalid(item, "has a key of tenants[" + other + "]");
                }
            }
        }
        return null;
    }
}
