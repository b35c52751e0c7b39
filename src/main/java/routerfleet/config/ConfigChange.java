package routerfleet.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * An order that a leader has examined, as it stands in the log. It says what changes as typed values, so that replicas
 * apply it without reading or checking JSON.
 *
 * @param order as the operator sent it
 * @param digest names the order by its content
 * @param whole whether {@code items} take the place of the whole configuration
 * @param items what is added or replaced, with the resulting generation and limits
 * @param removedRoutes names of the routes that are taken away
 * @param removedBackends names of the services that are taken away
 * @param removedTenants names of the tenants that are taken away
 */
public record ConfigChange(ConfigOrder order, String digest, boolean whole, FleetConfiguration items,
        List<String> removedRoutes, List<String> removedBackends, List<String> removedTenants) {

    /** What an order makes of one configuration, as the difference to it where that says all, else as a whole. */
    static ConfigChange between(FleetConfiguration before, FleetConfiguration after, ConfigOrder order, String digest) {
        FleetConfiguration changed = new FleetConfiguration(after.generation(),
                changed(before.routes(), after.routes()), changed(before.backends(), after.backends()), after.limits(),
                changed(before.tenants(), after.tenants()));
        ConfigChange difference = new ConfigChange(order, digest, false, changed,
                removed(before.routes(), after.routes(), RouteConfig::name),
                removed(before.backends(), after.backends(), BackendConfig::name),
                removed(before.tenants(), after.tenants(), TenantConfig::name));
        return difference.applyTo(before).equals(after) ? difference
                : new ConfigChange(order, digest, true, after, List.of(), List.of(), List.of());
    }

    /** The items of the later list that do not stand in the earlier one as they are. */
    static <T> List<T> changed(List<T> before, List<T> after) {
        Set<T> known = new HashSet<>(before);
        List<T> changed = new ArrayList<>();
        for (T item : after) {
            if (!known.contains(item)) {
                changed.add(item);
            }
        }
        return changed;
    }

    private static <T> List<String> removed(List<T> before, List<T> after, Function<T, String> name) {
        Set<String> kept = new HashSet<>();
        after.forEach(item -> kept.add(name.apply(item)));
        List<String> removed = new ArrayList<>();
        for (T item : before) {
            if (!kept.contains(name.apply(item))) {
                removed.add(name.apply(item));
            }
        }
        return removed;
    }

    /** The configuration that this change makes of another one. */
    FleetConfiguration applyTo(FleetConfiguration before) {
        if (whole) {
            return items;
        }
        return new FleetConfiguration(items.generation(),
                merged(before.routes(), removedRoutes, items.routes(), RouteConfig::name),
                merged(before.backends(), removedBackends, items.backends(), BackendConfig::name), items.limits(),
                merged(before.tenants(), removedTenants, items.tenants(), TenantConfig::name));
    }

    private static <T> List<T> merged(List<T> before, Collection<String> removed, List<T> items,
            Function<T, String> name) {
        if (removed.isEmpty() && items.isEmpty()) {
            return before;
        }
        Map<String, T> byName = new LinkedHashMap<>();
        before.forEach(item -> byName.put(name.apply(item), item));
        removed.forEach(byName::remove);
        items.forEach(item -> byName.put(name.apply(item), item));
        return new ArrayList<>(byName.values());
    }
}
