package routerfleet.config;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.constraints.NotBlank;
import jakarta.validation.constraints.PositiveOrZero;
import java.util.Objects;

/**
 * A service.
 *
 * @param maxConnections how many connections each of its servers takes from all callers together; 0 for no limit
 * @param warmupS for how long a server is cold after a start during traffic, in seconds
 * @param warmupPerS how many requests a second a cold server bears; 0 where no bound is told
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record BackendConfig(
        @NotBlank String name,
        @JsonProperty("health_check") String healthCheck,
        @JsonProperty("max_connections") @PositiveOrZero int maxConnections,
        @JsonProperty("runtime") Engine runtime,
        @JsonProperty("warmup_s") @PositiveOrZero double warmupS,
        @JsonProperty("warmup_per_s") @PositiveOrZero double warmupPerS) {
    /**
     * What is told of a language model's engine.
     *
     * @param capacity requests at once
     * @param kvCapacity tokens that its memory holds
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Engine(@PositiveOrZero int capacity, @JsonProperty("kv_capacity") @PositiveOrZero long kvCapacity,
            int stride) {
        // Written out: generated ones are linked at their first use, which takes a small machine tens of milliseconds.
        @Override
        public boolean equals(Object object) {
            return object instanceof Engine other && capacity == other.capacity
                    && kvCapacity == other.kvCapacity && stride == other.stride;
        }

        @Override
        public int hashCode() {
            return Long.hashCode(kvCapacity) + capacity;
        }
    }

    // Written out: generated ones are linked at their first use, which takes a small machine tens of milliseconds.
    @Override
    public boolean equals(Object object) {
        return object instanceof BackendConfig other && Objects.equals(name, other.name)
                && Objects.equals(healthCheck, other.healthCheck)
                && maxConnections == other.maxConnections && Objects.equals(runtime, other.runtime)
                && Double.compare(warmupS, other.warmupS) == 0 && Double.compare(warmupPerS, other.warmupPerS) == 0;
    }

    @Override
    public int hashCode() {
        return Objects.hashCode(name);
    }
}
