package routerfleet.data;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Passes the events of one answer on to its client, whole and each one once, from one server or from several in turn. The
 * answer keeps the head of its first server.
 */
final class StreamRelay {
    private final ClientResponseWriter writer;
    private boolean started;
    private long lastEventId = -1;

    StreamRelay(ClientResponseWriter reply) {
        this.writer = reply;
    }

    /** Whether the client has been sent a head. */
    boolean hasStarted() {
        return started;
    }

    /** Number of the last event that was passed on; negative before the first. */
    long lastEventId() {
        return lastEventId;
    }

    /** Sends the head, the first time. */
    void writeHead(HttpResponse head) {
        if (started) {
            return;
        }
        started = true;
        HttpHeaders headers = ProxyHeaders.withoutValidation().set(head.headers());
        ProxyHeaders.removeHopByHop(headers);
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
        writer.startStream(new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status(), headers));
    }

    /**
     * Passes an event on, unless an earlier server has sent it.
     *
     * @param resumed whether it comes from another server than the first
     * @return false where events before it are missing
     */
    boolean forward(HttpResponse head, byte[] bytes, long eventId, boolean resumed) {
        boolean numbered = eventId >= 0 && lastEventId >= 0;
        if (numbered && eventId <= lastEventId) {
            return true;
        }
        if (numbered && resumed && started && eventId > lastEventId + 1) {
            return false;
        }
        writeHead(head);
        if (eventId >= 0) {
            lastEventId = eventId;
        }
        writer.writeChunk(bytes);
        return true;
    }
}
