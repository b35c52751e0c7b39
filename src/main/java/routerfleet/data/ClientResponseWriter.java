package routerfleet.data;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/** The way back to the client of one request. Exactly one answer is given, whole or broken off. */
interface ClientResponseWriter {
    /** A whole answer. */
    void respond(int status, HttpHeaders headers, byte[] body);

    /** The head of an answer whose body follows in pieces. */
    void startStream(HttpResponse head);

    /** A piece of the body. */
    void writeChunk(byte[] bytes);

    /** The body is whole. */
    void endStream();

    /** Breaks the answer off, so that it can't look whole. */
    void abort();

    /** Whether the client takes more now. */
    boolean isWritable();
}
