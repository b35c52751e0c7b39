package routerfleet.data;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;

/** A client's request as it goes to a server. */
final class UpstreamRequest {
    private static final int MAX_PRIORITY = 9;
    private static final int PRIORITY_LEVELS_PER_TENANT = 3;

    private UpstreamRequest() { }

    /**
     * Method, target, body and the client's headers go on as they are, except for those of one connection and those that
     * only the fleet may set.
     *
     * @param lastEventId of a stream that is taken up again; negative where it begins
     * @param remainingMs how long the server may take
     */
    static FullHttpRequest build(HttpRequest request, byte[] body, AdmittedRequest admitted, Server server,
            long lastEventId, long remainingMs) {
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
        if (lastEventId >= 0) {
            headers.set(ProxyHeaders.LAST_EVENT_ID, Long.toString(lastEventId));
        }
        if (body.length > 0 || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length));
        }
        return out;
    }

    /** The tenant's priority comes before the route's. */
    private static int priority(AdmittedRequest admitted) {
        int ofTenant = admitted.tenant() == null ? 0 : admitted.tenant().priority() * PRIORITY_LEVELS_PER_TENANT;
        return Math.min(MAX_PRIORITY, ofTenant + admitted.route().priority());
    }
}
