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
 * What one generation of the configuration changes of the one before, as typed values.
 *
 * @param base the generation that it changes
 * @param whole whether {@code items} take the place of the whole configuration, whatever was there before
 * @param items what is added or replaced, with the resulting generation and limits
 * @param removedRoutes names of the routes that are taken away
 * @param removedBackends names of the services that are taken away
 * @param removedTenants names of the tenants that are taken away
 */
public record ConfigDelta(long base, boolean whole, FleetConfiguration items, List<String> removedRoutes,
        List<String> removedBackends, List<String> removedTenants) {

    /**
     * What leads from one configuration to another: the difference where that says all, else the whole. The order of items
     * does not count, since each stands for itself.
     */
    static ConfigDelta between(FleetConfiguration before, FleetConfiguration after) {
        FleetConfiguration changed = new FleetConfiguration(after.generation(),
                changed(before.routes(), after.routes()), changed(before.backends(), after.backends()), after.limits(),
                changed(before.tenants(), after.tenants()));
        ConfigDelta difference = new ConfigDelta(before.generation(), false, changed,
                removed(before.routes(), after.routes(), RouteConfig::name),
                removed(before.backends(), after.backends(), BackendConfig::name),
                removed(before.tenants(), after.tenants(), TenantConfig::name));
        return sameItems(difference.applyTo(before), after) ? difference
                : new ConfigDelta(before.generation(), true, after, List.of(), List.of(), List.of());
    }

    /** Whether two configurations say the same, in whatever order. */
    static boolean sameItems(FleetConfiguration one, FleetConfiguration other) {
        return one.generation() == other.generation() && one.limits().equals(other.limits())
                && sameItems(one.routes(), other.routes()) && sameItems(one.backends(), other.backends())
                && sameItems(one.tenants(), other.tenants());
    }

    private static <T> boolean sameItems(List<T> one, List<T> other) {
        return one.size() == other.size() && new HashSet<>(one).equals(new HashSet<>(other));
    }

    /** The generation that it leads to. */
    public long generation() {
        return items.generation();
    }

    /** Whether it can be applied to that generation. */
    public boolean fits(long generation) {
        return whole || base == generation;
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

    /** The configuration that it makes of the one that it builds on. */
    public FleetConfiguration applyTo(FleetConfiguration before) {
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
