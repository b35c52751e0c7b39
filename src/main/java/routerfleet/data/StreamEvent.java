package routerfleet.data;

/**
 * An event of a {@code text/event-stream}.
 *
 * @param bytes the event as received, including the empty line that ends it
 * @param id its id; null if it has none that a stream could be resumed after
 * @param hasData whether it carries data: others, such as comments, are of no account to the client
 */
record StreamEvent(byte[] bytes, String id, boolean hasData) { }
