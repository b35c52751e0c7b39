package routerfleet.config;

import io.vavr.control.Either;
import jakarta.validation.ConstraintViolation;
import jakarta.validation.Validation;
import jakarta.validation.Validator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.hibernate.validator.messageinterpolation.ParameterMessageInterpolator;

/** What makes a configuration invalid: single fields by Bean Validation, and what holds between items. */
final class ConfigRules {
    private final Validator validator = Validation.byDefaultProvider().configure().ignoreXmlConfiguration()
            .messageInterpolator(new ParameterMessageInterpolator()).buildValidatorFactory().getValidator();

    /** @param known a valid configuration; items that stand in it as they are need no second check of their fields */
    Either<ConfigFault, FleetConfiguration> check(FleetConfiguration configuration, FleetConfiguration known) {
        if (!validator.validate(unknown(configuration, known)).isEmpty()) {
            // Once more as a whole, for a path that the operator finds in what was sent.
            Set<ConstraintViolation<FleetConfiguration>> violations = validator.validate(configuration);
            ConstraintViolation<FleetConfiguration> first = violations.iterator().next();
            return Either.left(ConfigFault.invalid(first.getPropertyPath().toString(), first.getMessage()));
        }
        ConfigFault fault = betweenItems(configuration);
        return fault == null ? Either.right(configuration) : Either.left(fault);
    }

    private static FleetConfiguration unknown(FleetConfiguration configuration, FleetConfiguration known) {
        return new FleetConfiguration(configuration.generation(),
                ConfigDelta.changed(known.routes(), configuration.routes()),
                ConfigDelta.changed(known.backends(), configuration.backends()), configuration.limits(),
                ConfigDelta.changed(known.tenants(), configuration.tenants()));
    }

    private static ConfigFault betweenItems(FleetConfiguration configuration) {
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
            String other = places.put(route.host().toLowerCase(java.util.Locale.ROOT) + route.pathPrefix(), route.name());
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
            for (String key : tenant.apiKeys() == null ? java.util.List.<String>of() : tenant.apiKeys()) {
                String other = keys.put(key, tenant.name());
                if (other != null) {
                    return ConfigFault.invalid(item, "has a key of tenants[" + other + "]");
                }
            }
        }
        return null;
    }
}
