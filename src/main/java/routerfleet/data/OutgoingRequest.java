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
final class OutgoingRequest {
    private static final int MOST_PRIORITY = 9;
    private static final int PRIORITIES_A_TENANT = 3;

    private OutgoingRequest() { }

    /**
     * Method, target, body and the client's headers go on as they are, except for those of one connection and those that
     * only the fleet may set.
     *
     * @param lastEventId of a stream that is taken up again; negative where it begins
     * @param leftMs how long the server may take
     */
    static FullHttpRequest build(HttpRequest request, byte[] body, AdmittedRequest admitted, Server server,
            long lastEventId, long leftMs) {
        FullHttpRequest out = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri(),
                Unpooled.wrappedBuffer(body), DefaultHttpHeadersFactory.headersFactory().withValidation(false),
                DefaultHttpHeadersFactory.trailersFactory());
        HttpHeaders headers = out.headers();
        headers.set(request.headers());
        HopHeaders.strip(headers);
        headers.remove(HopHeaders.API_KEY);
        headers.remove(HopHeaders.TENANT);
        headers.set(HopHeaders.DEADLINE, Long.toString(Math.max(1, leftMs)));
        headers.set(HopHeaders.EXPECT_INSTANCE, server.uid());
        if (admitted.tenant() != null) {
            headers.set(HopHeaders.TENANT, admitted.tenant().name());
        }
        headers.set(HopHeaders.PRIORITY, Integer.toString(priority(admitted)));
        if (lastEventId >= 0) {
            headers.set(HopHeaders.LAST_EVENT_ID, Long.toString(lastEventId));
        }
        if (body.length > 0 || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length));
        }
        return out;
    }

    /** The tenant's priority comes before the route's. */
    private static int priority(AdmittedRequest admitted) {
        int ofTenant = admitted.tenant() == null ? 0 : admitted.tenant().priority() * PRIORITIES_A_TENANT;
        return Math.min(MOST_PRIORITY, ofTenant + admitted.route().priority());
    }
}
