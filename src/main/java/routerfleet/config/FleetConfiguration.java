package routerfleet.config;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import jakarta.validation.Valid;
import jakarta.validation.constraints.NotNull;
import java.util.List;

/** The operator's whole configuration of one generation, as typed values. Lists that are absent are empty. */
@JsonIgnoreProperties(ignoreUnknown = true)
public record FleetConfiguration(long generation, List<@NotNull @Valid RouteConfig> routes,
        List<@NotNull @Valid BackendConfig> backends, @Valid ClientLimits limits,
        List<@NotNull @Valid TenantConfig> tenants) {
    public FleetConfiguration {
        routes = routes == null ? List.of() : routes;
        backends = backends == null ? List.of() : backends;
        limits = limits == null ? ClientLimits.defaults() : limits;
        tenants = tenants == null ? List.of() : tenants;
    }
}
