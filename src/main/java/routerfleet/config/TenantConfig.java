package routerfleet.config;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.constraints.NotBlank;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.PositiveOrZero;
import java.util.List;
import java.util.Objects;

/**
 * A tenant, its keys and its limit.
 *
 * @param unit {@code token_count} where {@code ratePerS} and {@code burst} count tokens, else they count requests
 * @param uncachedTokens what a request without a token count is counted as
 * @param ratePerS the limit over all nodes, a second; 0 for none
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record TenantConfig(
        @NotBlank String name,
        @JsonProperty("api_keys") List<@NotNull String> apiKeys,
        @PositiveOrZero int priority,
        String unit,
        @JsonProperty("uncached_tokens") @PositiveOrZero double uncachedTokens,
        @JsonProperty("rate_per_s") @PositiveOrZero double ratePerS,
        @PositiveOrZero double burst) {
    private static final String TOKENS = "token_count";

    /** Whether the limit counts tokens. */
    public boolean countsTokens() {
        return TOKENS.equals(unit);
    }

    // Written out: generated ones are linked at their first use, which takes a small machine tens of milliseconds.
    @Override
    public boolean equals(Object object) {
        return object instanceof TenantConfig other && Objects.equals(name, other.name)
                && Objects.equals(apiKeys, other.apiKeys) && priority == other.priority
                && Objects.equals(unit, other.unit) && Double.compare(uncachedTokens, other.uncachedTokens) == 0
                && Double.compare(ratePerS, other.ratePerS) == 0 && Double.compare(burst, other.burst) == 0;
    }

    @Override
    public int hashCode() {
        return Objects.hashCode(name);
    }
}
