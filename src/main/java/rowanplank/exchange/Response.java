package rowanplank.exchange;

import java.time.Duration;
import java.util.List;

/** The one final answer to a request. */
public sealed interface Response {
    /** A peer's answer, passed on without change. */
    record Served(List<Header> headers, byte[] body) implements Response {
        public Served {
            headers = List.copyOf(headers);
        }
    }

    /**
     * A peer's answer of which the first part has come; the rest follows, or fails.
     *
     * @param length of the whole body, in bytes; -1 where the peer does not tell it
     */
    record Streamed(List<Header> headers, long length, Transfer body) implements Response {
        public Streamed {
            headers = List.copyOf(headers);
        }
    }

    /** A reject: not served, and asking again is harmless, best after this time (zero: no advice). */
    record Rejected(Duration retryAfter) implements Response { }

    /** Not served, and nothing is promised. */
    record Failed() implements Response { }
}
