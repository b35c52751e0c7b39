package routerfleet.config;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.constraints.NotBlank;
import jakarta.validation.constraints.PositiveOrZero;

/**
 * A service.
 *
 * @param maxConnections how many connections each of its servers takes from all callers together; 0 for no limit
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record BackendConfig(
        @NotBlank String name,
        @JsonProperty("health_check") String healthCheck,
        @JsonProperty("max_connections") @PositiveOrZero int maxConnections,
        @JsonProperty("runtime") Engine runtime) {
    /**
     * What is told of a language model's engine.
     *
     * @param capacity requests at once
     * @param kvCapacity tokens that its memory holds
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Engine(@PositiveOrZero int capacity, @JsonProperty("kv_capacity") @PositiveOrZero long kvCapacity,
            int stride) { }
}
