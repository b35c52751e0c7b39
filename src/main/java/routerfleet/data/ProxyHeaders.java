package routerfleet.data;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.Locale;

/** Names of the fleet's own headers, and the removal of hop-by-hop headers (RFC 9110, section 7.6.1). */
final class ProxyHeaders {
    static final AsciiString ATTEMPT_ID = AsciiString.cached("Rowanplank-Attempt-Id");
    static final AsciiString DEADLINE = AsciiString.cached("Rowanplank-Deadline-Ms");
    static final AsciiString API_KEY = AsciiString.cached("Api-Key");
    static final AsciiString TENANT = AsciiString.cached("Rowanplank-Tenant");
    static final AsciiString EXPECT_INSTANCE = AsciiString.cached("Rowanplank-Expect-Instance");
    static final AsciiString EXPECT_VERSION = AsciiString.cached("Expect-Version");
    static final AsciiString SIGNATURE = AsciiString.cached("Rowanplank-Server-Signature");
    static final AsciiString NOT_EXECUTED = AsciiString.cached("Rowanplank-Not-Executed");
    static final AsciiString TOKEN_USAGE = AsciiString.cached("Rowanplank-Token-Usage");
    static final AsciiString PROMPT_PREFIX = AsciiString.cached("Rowanplank-Prompt-Prefix");
    static final AsciiString LAST_EVENT_ID = AsciiString.cached("Last-Event-Id");
    static final AsciiString WARMUP = AsciiString.cached("Rowanplank-Warmup-Ms");
    static final AsciiString PRIORITY = AsciiString.cached("Priority");

    private static final List<CharSequence> HOP_BY_HOP = List.of(HttpHeaderNames.CONNECTION,
            AsciiString.cached("Keep-Alive"), HttpHeaderNames.TE, HttpHeaderNames.TRAILER,
            HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderNames.UPGRADE, HttpHeaderNames.PROXY_AUTHENTICATE,
            HttpHeaderNames.PROXY_AUTHORIZATION, AsciiString.cached("Proxy-Connection"), HttpHeaderNames.EXPECT);

    private ProxyHeaders() { }

    /** Parses a header value as a number of milliseconds, rounded down; 0 if it is not a number. */
    static long parseMillis(String value) {
        try {
            return (long) Double.parseDouble(value.strip());
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** Creates headers without validation, for values that were validated when they were read. */
    static HttpHeaders withoutValidation() {
        return DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
    }

    /**
     * Removes hop-by-hop headers, including those that the {@code Connection} header names, except {@code Host},
     * {@code Content-Length} and the fleet's own.
     */
    static void removeHopByHop(HttpHeaders headers) {
        for (String line : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : line.split(",")) {
                String token = name.strip().toLowerCase(Locale.ROOT);
                if (!token.isEmpty() && !token.equals("close") && !token.startsWith("rowanplank-")
                        && !token.equals("host") && !token.equals("content-length")) {
                    headers.remove(token);
                }
            }
        }
        HOP_BY_HOP.forEach(headers::remove);
    }
}
