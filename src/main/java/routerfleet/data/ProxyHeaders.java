package routerfleet.data;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.Locale;

/** Headers that concern one connection only (RFC 9110, section 7.6.1), and the fleet's own. */
final class ProxyHeaders {
    static final AsciiString ATTEMPT_ID = AsciiString.cached("Rowanplank-Attempt-Id");
    static final AsciiString DEADLINE = AsciiString.cached("Rowanplank-Deadline-Ms");
    static final AsciiString API_KEY = AsciiString.cached("Api-Key");
    static final AsciiString TENANT = AsciiString.cached("Rowanplank-Tenant");
    static final AsciiString EXPECT_INSTANCE = AsciiString.cached("Rowanplank-Expect-Instance");
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

    /** The whole milliseconds of a header; 0 where it holds no number. */
    static long parseMillis(String value) {
        try {
            return (long) Double.parseDouble(value.strip());
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** Headers without any checks: what is put in has been checked as it was read. */
    static HttpHeaders withoutValidation() {
        return DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
    }

    /** Takes out what concerns one connection only, and what {@code Connection} names. */
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
