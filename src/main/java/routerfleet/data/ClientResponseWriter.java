package routerfleet.data;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/** Writes the response of one request to its client. Each request gets exactly one response, complete or aborted. */
interface ClientResponseWriter {
    /** Writes a complete response. */
    void respond(int status, HttpHeaders headers, byte[] body);

    /** Writes the head of a response whose body follows in chunks. */
    void startStream(HttpResponse head);

    /** Writes a chunk of the body. */
    void writeChunk(byte[] bytes);

    /** Ends the body. */
    void endStream();

    /** Closes the connection without ending the body, so that the client can't take the response for a complete one. */
    void abort();

    /** Whether more can be written without exceeding the output buffer's limit. */
    boolean isWritable();
}
