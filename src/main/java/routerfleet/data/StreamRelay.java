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
    private String lastEventId;
    private boolean resumable = true;

    StreamRelay(ClientResponseWriter writer) {
        this.writer = writer;
    }

    /** Whether the head of the response has been written. */
    boolean hasStarted() {
        return started;
    }

    /** Id of the last event that was forwarded; null if none had one. */
    String lastEventId() {
        return lastEventId;
    }

    /** Where another server has to continue. */
    ResumePoint resumePoint() {
        return lastEventId == null ? ResumePoint.START : ResumePoint.after(lastEventId);
    }

    /** Whether another server can continue: not behind data without an id, which it would send once more. */
    boolean isResumable() {
        return resumable;
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

    /** Forwards an event. @param head written to the client before the first event */
    void forward(HttpResponse head, StreamEvent event) {
        writeHead(head);
        if (event.id() != null) {
            lastEventId = event.id();
            resumable = true;
        } else if (event.hasData()) {
            resumable = false;
        }
        writer.writeChunk(event.bytes());
    }
}
