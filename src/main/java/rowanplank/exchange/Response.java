package rowanplank.exchange;

import java.time.Duration;
import java.util.List;

/** The final response to a request. Each request gets exactly one. */
public sealed interface Response {
    /** A complete response from a server, passed on unchanged. */
    record Served(List<Header> headers, byte[] body) implements Response {
        public Served {
            headers = List.copyOf(headers);
        }
    }

    /**
     * A response from a server of which the beginning has arrived. The rest of the body follows through a {@link
     * Transfer}, which may still fail.
     *
     * @param length length of the whole body in bytes, or -1 if the server does not announce it
     * @param body the rest of the body
     */
    record Streamed(List<Header> headers, long length, Transfer body) implements Response {
        public Streamed {
            headers = List.copyOf(headers);
        }
    }

    /**
     * The request was not served and may be sent again without harm.
     *
     * @param retryAfter how long the client should wait before it retries; zero if there is no advice
     */
    record Rejected(Duration retryAfter) implements Response { }

    /** The request was not served, and it is unknown whether it had an effect. */
    record Failed() implements Response { }
}
