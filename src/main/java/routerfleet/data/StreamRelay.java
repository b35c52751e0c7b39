package routerfleet.data;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Forwards the events of one streamed response to its client, complete and each once, from one server or from several in
 * turn if the stream is resumed. The response has the head that the first server sent.
 */
final class StreamRelay {
    private final ClientResponseWriter writer;
    private boolean started;
    private long lastEventId = -1;

    StreamRelay(ClientResponseWriter writer) {
        this.writer = writer;
    }

    /** Whether the head of the response has been written. */
    boolean hasStarted() {
        return started;
    }

    /** Number of the last event that was forwarded; negative before the first. */
    long lastEventId() {
        return lastEventId;
    }

    /** Writes the head of the response unless it has been written. */
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
     * Forwards an event unless it has already been received from an earlier server.
     *
     * @param head written to the client before the first event
     * @param resumed whether this is not the first attempt of the request
     * @return false if events before this one are missing
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
