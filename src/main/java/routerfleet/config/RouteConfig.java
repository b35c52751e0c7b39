package routerfleet.config;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.Valid;
import jakarta.validation.constraints.NotBlank;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;
import jakarta.validation.constraints.Positive;
import jakarta.validation.constraints.PositiveOrZero;
import java.util.List;
import java.util.Objects;

/**
 * A route: which requests it takes, and which service or services get them.
 *
 * @param pathPrefix begins and ends with a slash
 * @param type {@code safe}, {@code unsafe} or {@code streaming}
 * @param timeoutMs the longest time that a request may be held
 * @param targetLatencyMs the time within which an answer earns its full worth
 * @param priority rank; 0 is the most urgent
 * @param maxAttempts to how many servers one request may be sent
 * @param streamResume whether a stream may be taken up at another server
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record RouteConfig(
        @NotBlank String name,
        @NotBlank String host,
        @JsonProperty("path_prefix") @NotBlank @Pattern(regexp = "/(.*/)?") String pathPrefix,
        String type,
        @JsonProperty("timeout_ms") @Positive long timeoutMs,
        @JsonProperty("target_latency_ms") @PositiveOrZero long targetLatencyMs,
        @PositiveOrZero int priority,
        String backend,
        @JsonProperty("traffic_split") List<@NotNull @Valid WeightedBackend> trafficSplit,
        @JsonProperty("max_attempts") @PositiveOrZero int maxAttempts,
        @JsonProperty("public") boolean isPublic,
        @JsonProperty("session_affinity") boolean sessionAffinity,
        @JsonProperty("stream_resume") boolean streamResume,
        @JsonProperty("gap_aim_ms") @PositiveOrZero long gapAimMs) {
    private static final String STREAMING = "streaming";
    private static final String SAFE = "safe";

    /** One service of a split route. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record WeightedBackend(@NotBlank String backend, @PositiveOrZero double weight) {
        // Written out: generated ones are linked at their first use, which takes a small machine tens of milliseconds.
        @Override
        public boolean equals(Object object) {
            return object instanceof WeightedBackend other && Objects.equals(backend, other.backend)
                    && Double.compare(weight, other.weight) == 0;
        }

        @Override
        public int hashCode() {
            return Objects.hashCode(backend);
        }
    }

    /** Whether its answers are series of events. */
    public boolean streaming() {
        return STREAMING.equals(type);
    }

    /** Whether a request may run more than once. */
    public boolean idempotent() {
        return SAFE.equals(type) || streaming() && streamResume;
    }

    /** To how many servers one request may be sent, at least 1. */
    public int attempts() {
        return Math.max(1, maxAttempts);
    }

    // Written out: generated ones are linked at their first use, which takes a small machine tens of milliseconds.
    @Override
    public boolean equals(Object object) {
        return object instanceof RouteConfig other && Objects.equals(name, other.name) && Objects.equals(host, other.host)
                && Objects.equals(pathPrefix, other.pathPrefix) && Objects.equals(type, other.type)
                && timeoutMs == other.timeoutMs && targetLatencyMs == other.targetLatencyMs
                && priority == other.priority && Objects.equals(backend, other.backend)
                && Objects.equals(trafficSplit, other.trafficSplit) && maxAttempts == other.maxAttempts
                && isPublic == other.isPublic && sessionAffinity == other.sessionAffinity
                && streamResume == other.streamResume && gapAimMs == other.gapAimMs;
    }

    @Override
    public int hashCode() {
        return Objects.hashCode(name);
    }
}
