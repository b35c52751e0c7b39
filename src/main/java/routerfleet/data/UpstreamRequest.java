package routerfleet.data;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;

/** Builds the request that is sent to a server from the client's request. */
final class UpstreamRequest {
    private static final int MAX_PRIORITY = 9;
    private static final int PRIORITY_LEVELS_PER_TENANT = 3;

    private UpstreamRequest() { }

    /**
     * Copies method, target, body and headers of the client's request, except for hop-by-hop headers and headers that only
     * the fleet may set.
     *
     * @param lastEventId id of the last event that was forwarded of a stream that is resumed; null if none was
     * @param remainingMs time until the request's deadline
     */
    static FullHttpRequest build(HttpRequest request, byte[] body, AdmittedRequest admitted, Server server,
            String lastEventId, long remainingMs) {
        FullHttpRequest out = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri(),
                Unpooled.wrappedBuffer(body), DefaultHttpHeadersFactory.headersFactory().withValidation(false),
                DefaultHttpHeadersFactory.trailersFactory());
        HttpHeaders headers = out.headers();
        headers.set(request.headers());
        ProxyHeaders.removeHopByHop(headers);
        headers.remove(ProxyHeaders.API_KEY);
        headers.remove(ProxyHeaders.TENANT);
        headers.set(ProxyHeaders.DEADLINE, Long.toString(Math.max(1, remainingMs)));
        headers.set(ProxyHeaders.EXPECT_INSTANCE, server.uid());
        if (admitted.tenant() != null) {
            headers.set(ProxyHeaders.TENANT, admitted.tenant().name());
        }
        headers.set(ProxyHeaders.PRIORITY, Integer.toString(priority(admitted)));
        if (lastEventId != null) {
            headers.set(ProxyHeaders.LAST_EVENT_ID, lastEventId);
        }
        if (body.length > 0 || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length));
        }
        return out;
    }

    /** The value of the {@code Priority} header: the tenant's priority takes precedence over the route's. */
    private static int priority(AdmittedRequest admitted) {
        int ofTenant = admitted.tenant() == null ? 0 : admitted.tenant().priority() * PRIORITY_LEVELS_PER_TENANT;
        return Math.min(MAX_PRIORITY, ofTenant + admitted.route().priority());
    }
}
