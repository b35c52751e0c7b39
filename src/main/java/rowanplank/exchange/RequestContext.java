package rowanplank.exchange;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * A client's request as the core knows it, whichever protocol it came by.
 *
 * @param id the client's own name for it, passed on to peers
 * @param classIndex its class, by its place in the settings
 * @param tenant whose request it is, by the tenant's place in the settings; beyond them for one that they don't name
 * @param key requests with equal keys concern the same thing; 0 means none
 * @param clientRetry the client says that it has asked before
 * @param deadline the client stops waiting then; of an upload that is still coming, the latest that this can be
 * @param payload what is passed on to a peer without change
 */
public record RequestContext(String id, int classIndex, int tenant, long key, boolean clientRetry, Instant arrivedAt,
        Instant deadline, Payload payload) {
    /** At a site without tenants, of a request that names no key. */
    public RequestContext(String id, int classIndex, boolean repeat, Instant arrived, Instant deadline, Payload payload) {
        this(id, classIndex, 0, 0, repeat, arrived, deadline, payload);
    }

    /**
     * What a peer is to be sent; the core never looks inside.
     *
     * @param body the whole body, or its first part
     * @param upload the rest of a body that is too large to be held; null where there is none
     */
    public record Payload(String method, String target, List<Header> headers, byte[] body, Upload upload) {
        public Payload {
            headers = List.copyOf(headers);
        }

        public Payload(String method, String target, List<Header> headers, byte[] body) {
            this(method, target, headers, body, null);
        }

        /** Whether it can still be sent from its start. */
        public boolean isReplayable() {
            return upload == null || !upload.remainder().hasReadStarted();
        }

        /** Whether its client is still sending it. */
        public boolean isUploading() {
            return upload != null && !upload.remainder().isFullyReceived();
        }
    }

    /**
     * The rest of a body that is sent on as it comes.
     *
     * @param length of the whole body, in bytes; -1 where the client does not tell it
     * @param responseTimeout how long the client waits, once its last byte has been sent
     */
    public record Upload(long length, Duration responseTimeout, Transfer remainder) { }
}
