package rowanplank.exchange;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * A client's request as the core sees it, independent of its protocol.
 *
 * @param id the client's id of the request, passed on to servers
 * @param classIndex the index of the request class in the settings
 * @param tenant the index of the tenant in the settings; beyond the last one for a tenant that is not in the settings
 * @param key requests with equal keys concern the same object; 0 means none
 * @param clientRetry whether the client says that it has sent the request before
 * @param deadline when the client stops waiting; while an upload is being received, the latest time that this can be
 * @param payload what is passed on to a server unchanged
 */
public record RequestContext(String id, int classIndex, int tenant, long key, boolean clientRetry, Instant arrivedAt,
        Instant deadline, Payload payload) {
    /** Creates a request for a site without tenants, without a key. */
    public RequestContext(String id, int classIndex, boolean clientRetry, Instant arrivedAt, Instant deadline,
            Payload payload) {
        this(id, classIndex, 0, 0, clientRetry, arrivedAt, deadline, payload);
    }

    /**
     * The content to be sent to a server. The core does not interpret it.
     *
     * @param body the whole body, or its first part
     * @param upload the rest of a body that is too large to be buffered; null if there is none
     */
    public record Payload(String method, String target, List<Header> headers, byte[] body, Upload upload) {
        public Payload {
            headers = List.copyOf(headers);
        }

        public Payload(String method, String target, List<Header> headers, byte[] body) {
            this(method, target, headers, body, null);
        }

        /** Returns whether the request can still be sent from its beginning. */
        public boolean isReplayable() {
            return upload == null || !upload.remainder().hasReadStarted();
        }

        /** Returns whether the client is still sending the body. */
        public boolean isUploading() {
            return upload != null && !upload.remainder().isFullyReceived();
        }
    }

    /**
     * The rest of a body that is forwarded as it arrives.
     *
     * @param length the length of the whole body in bytes, or -1 if the client does not announce it
     * @param responseTimeout how long the client waits for the response after it has sent the last byte
     * @param remainder the part of the body after the first
     */
    public record Upload(long length, Duration responseTimeout, Transfer remainder) { }
}
