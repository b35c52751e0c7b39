package routerfleet.data;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;

/**
 * An answer of this node's own to a request that no server has answered.
 *
 * @param comeBackMs when the client may ask again; negative where that is of no use
 */
record Refusal(int status, String text, long comeBackMs) {
    private static final long NEVER = -1;
    private static final double COME_BACK_PART = 0.25;
    private static final long LEAST_COME_BACK_MS = 50;
    private static final long MOST_COME_BACK_MS = 1_200;
    /** A node that can't serve yet, or no more, may be able to after so long. */
    private static final long NOT_READY_MS = 900;
    private static final int MS_A_SECOND = 1_000;

    /** The request is at fault, or what became of it is not known. */
    static Refusal fault(int status, String text) {
        return new Refusal(status, text, NEVER);
    }

    /** This node can't serve yet, or no more. */
    static Refusal notReady() {
        return new Refusal(503, "not ready", NOT_READY_MS);
    }

    /** There is no room: the client is asked to come back early enough for its objective. */
    static Refusal noRoom(long aimMs) {
        return new Refusal(503, "no room", comeBackMs(aimMs));
    }

    /** Beyond the tenant's limit. @param waitMs when it may be within it again */
    static Refusal overLimit(long waitMs, long aimMs) {
        return new Refusal(429, "over the limit", Math.max(waitMs, comeBackMs(aimMs)));
    }

    private static long comeBackMs(long aimMs) {
        return Math.max(LEAST_COME_BACK_MS, (long) (COME_BACK_PART * aimMs));
    }

    /** Seconds with three decimals. The platform's formatter would cost each refusal more than all the rest of it. */
    static String seconds(long ms) {
        String thousandths = Long.toString(MS_A_SECOND + ms % MS_A_SECOND).substring(1);
        return ms / MS_A_SECOND + "." + thousandths;
    }

    /** Gives the answer. */
    void to(ClientReply reply) {
        HttpHeaders headers = HopHeaders.fresh();
        if (comeBackMs >= 0) {
            headers.set(HttpHeaderNames.RETRY_AFTER,
                    seconds(Math.min(MOST_COME_BACK_MS, comeBackMs)));
        }
        reply.respond(status, headers, (text + "\n").getBytes(StandardCharsets.US_ASCII));
    }
}
