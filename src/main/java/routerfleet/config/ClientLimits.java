package routerfleet.config;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.constraints.PositiveOrZero;

/** What a client may send, in bytes, and how long it may take or stay idle, in milliseconds; 0 takes the default. */
@JsonIgnoreProperties(ignoreUnknown = true)
public record ClientLimits(
        @JsonProperty("max_header_bytes") @PositiveOrZero int maxHeaderBytes,
        @JsonProperty("max_body_bytes") @PositiveOrZero int maxBodyBytes,
        @JsonProperty("header_timeout_ms") @PositiveOrZero long headerTimeoutMs,
        @JsonProperty("idle_timeout_ms") @PositiveOrZero long idleTimeoutMs) {
    private static final int DEFAULT_HEADER_BYTES = 16_384;
    private static final int DEFAULT_BODY_BYTES = 4 << 20;
    private static final long DEFAULT_HEADER_MS = 3_000;
    private static final long DEFAULT_IDLE_MS = 15_000;

    public ClientLimits {
        maxHeaderBytes = maxHeaderBytes == 0 ? DEFAULT_HEADER_BYTES : maxHeaderBytes;
        maxBodyBytes = maxBodyBytes == 0 ? DEFAULT_BODY_BYTES : maxBodyBytes;
        headerTimeoutMs = headerTimeoutMs == 0 ? DEFAULT_HEADER_MS : headerTimeoutMs;
        idleTimeoutMs = idleTimeoutMs == 0 ? DEFAULT_IDLE_MS : idleTimeoutMs;
    }

    /** Every limit at its default. */
    public static ClientLimits defaults() {
        return new ClientLimits(0, 0, 0, 0);
    }

    // Written out: generated ones are linked at their first use, which takes a small machine tens of milliseconds.
    @Override
    public boolean equals(Object object) {
        return object instanceof ClientLimits other && maxHeaderBytes == other.maxHeaderBytes
                && maxBodyBytes == other.maxBodyBytes
                && headerTimeoutMs == other.headerTimeoutMs && idleTimeoutMs == other.idleTimeoutMs;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(idleTimeoutMs) + maxBodyBytes;
    }
}
