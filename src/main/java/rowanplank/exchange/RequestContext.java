package rowanplank.exchange;

import java.time.Instant;
import java.util.List;

/**
 * A client's request as the core knows it, whichever protocol it came by.
 *
 * @param id the client's own name for it, passed on to peers
 * @param classIndex its class, by its place in the settings
 * @param repeat the client says that it has asked before
 * @param deadline the client stops waiting then
 * @param payload what is passed on to a peer without change
 */
public record RequestContext(String id, int classIndex, boolean repeat, Instant arrived, Instant deadline,
        Payload payload) {

    /** What a peer is to be sent; the core never looks inside. */
    public record Payload(String method, String target, List<Header> headers, byte[] body) {
        public Payload {
            headers = List.copyOf(headers);
        }
    }
}
