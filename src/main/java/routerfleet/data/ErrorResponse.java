package routerfleet.data;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;

/**
 * An error response that this node generates itself for a request without a response from a server.
 *
 * @param retryAfterMs when the client should retry; negative for a response without a Retry-After header
 */
record ErrorResponse(int status, String text, long retryAfterMs) {
    private static final long NO_RETRY = -1;
    private static final double RETRY_AFTER_FRACTION = 0.25;
    private static final long MIN_RETRY_AFTER_MS = 50;
    private static final long MAX_RETRY_AFTER_MS = 1_200;
    /** The time after which a node that is not ready may have become so. */
    private static final long NOT_READY_RETRY_AFTER_MS = 900;
    private static final int MS_PER_SECOND = 1_000;

    /** A response without a Retry-After header: the request is invalid, or it may already have been executed. */
    static ErrorResponse withoutRetry(int status, String text) {
        return new ErrorResponse(status, text, NO_RETRY);
    }

    /** 503: this node can't serve requests yet, or no longer. */
    static ErrorResponse notReady() {
        return new ErrorResponse(503, "not ready", NOT_READY_RETRY_AFTER_MS);
    }

    /** 503: this node stops before it could respond. The client may retry at once, on a new connection to another node. */
    static ErrorResponse stopping() {
        return new ErrorResponse(503, "stopping", MIN_RETRY_AFTER_MS);
    }

    /** 503: no server has capacity. The client is asked to retry early enough to still meet its target latency. */
    static ErrorResponse noCapacity(long targetLatencyMs) {
        return new ErrorResponse(503, "no room", retryAfterMs(targetLatencyMs));
    }

    /** 429: the tenant's limit is exceeded. @param waitMs when the request may be within the limit, in milliseconds */
    static ErrorResponse rateLimited(long waitMs, long targetLatencyMs) {
        return new ErrorResponse(429, "over the limit", Math.max(waitMs, retryAfterMs(targetLatencyMs)));
    }

    private static long retryAfterMs(long targetLatencyMs) {
        return Math.max(MIN_RETRY_AFTER_MS, (long) (RETRY_AFTER_FRACTION * targetLatencyMs));
    }

    /**
     * Formats milliseconds as seconds with three decimals. {@code String.format} would take longer than all other work for
     * a refused request.
     */
    static String seconds(long ms) {
        String thousandths = Long.toString(MS_PER_SECOND + ms % MS_PER_SECOND).substring(1);
        return ms / MS_PER_SECOND + "." + thousandths;
    }

    /** Writes the response, with a Retry-After of at most {@value #MAX_RETRY_AFTER_MS} ms. */
    void writeTo(ClientResponseWriter writer) {
        HttpHeaders headers = ProxyHeaders.withoutValidation();
        if (retryAfterMs >= 0) {
            headers.set(HttpHeaderNames.RETRY_AFTER,
                    seconds(Math.min(MAX_RETRY_AFTER_MS, retryAfterMs)));
        }
        writer.respond(status, headers, (text + "\n").getBytes(StandardCharsets.US_ASCII));
    }
}
