package routerfleet.data;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;

/**
 * An answer of this node's own to a request that no server has answered.
 *
 * @param retryAfterMs when the client may ask again; negative where that is of no use
 */
record ErrorResponse(int status, String text, long retryAfterMs) {
    private static final long NO_RETRY = -1;
    private static final double RETRY_AFTER_FRACTION = 0.25;
    private static final long MIN_RETRY_AFTER_MS = 50;
    private static final long MAX_RETRY_AFTER_MS = 1_200;
    /** A node that can't serve yet, or no more, may be able to after so long. */
    private static final long NOT_READY_RETRY_AFTER_MS = 900;
    private static final int MS_PER_SECOND = 1_000;

    /** The request is at fault, or what became of it is not known. */
    static ErrorResponse withoutRetry(int status, String text) {
        return new ErrorResponse(status, text, NO_RETRY);
    }

    /** This node can't serve yet, or no more. */
    static ErrorResponse notReady() {
        return new ErrorResponse(503, "not ready", NOT_READY_RETRY_AFTER_MS);
    }

    /** There is no room: the client is asked to come back early enough for its objective. */
    static ErrorResponse noCapacity(long targetLatencyMs) {
        return new ErrorResponse(503, "no room", retryAfterMs(targetLatencyMs));
    }

    /** Beyond the tenant's limit. @param waitMs when it may be within it again */
    static ErrorResponse rateLimited(long waitMs, long targetLatencyMs) {
        return new ErrorResponse(429, "over the limit", Math.max(waitMs, retryAfterMs(targetLatencyMs)));
    }

    private static long retryAfterMs(long targetLatencyMs) {
        return Math.max(MIN_RETRY_AFTER_MS, (long) (RETRY_AFTER_FRACTION * targetLatencyMs));
    }

    /** Seconds with three decimals. The platform's formatter would cost each refusal more than all the rest of it. */
    static String seconds(long ms) {
        String thousandths = Long.toString(MS_PER_SECOND + ms % MS_PER_SECOND).substring(1);
        return ms / MS_PER_SECOND + "." + thousandths;
    }

    /** Gives the answer. */
    void writeTo(ClientResponseWriter writer) {
        HttpHeaders headers = ProxyHeaders.withoutValidation();
        if (retryAfterMs >= 0) {
            headers.set(HttpHeaderNames.RETRY_AFTER,
                    seconds(Math.min(MAX_RETRY_AFTER_MS, retryAfterMs)));
        }
        writer.respond(status, headers, (text + "\n").getBytes(StandardCharsets.US_ASCII));
    }
}
