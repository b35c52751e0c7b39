package rowanplank.exchange;

import java.time.Duration;

/** The one final answer to a request. */
public sealed interface Answer {
    /** A peer's answer, passed on without change. */
    record Served(byte[] body) implements Answer { }

    /** A reject: not served, and asking again is harmless, best after this time (zero: no advice). */
    record Rejected(Duration retryAfter) implements Answer { }

    /** Not served, and nothing is promised. */
    record Failed() implements Answer { }
}
