package rowanplank.intake.http;

import java.time.Duration;
import java.time.Instant;

/**
 * How long a request's body may take: guards sockets against bodies that trickle, and slow clients against being taken
 * for such. A body has the time of its head, and as long as what has come of it takes at the slowest pace, if it has not
 * stopped. It knows no clock.
 */
final class BodyPace {
    /** Half of what the slowest of clients manage, in bytes a second. */
    static final int SLOWEST = 32 * 1024;
    /** A body that has stopped for so long gets no more time. */
    private static final Duration LONGEST_GAP = Duration.ofSeconds(1);

    private Instant lastBytes = Instant.MIN;
    private Duration granted = Duration.ZERO;

    void came(Instant now) {
        lastBytes = now;
    }

    /** The next request begins. */
    void reset() {
        granted = Duration.ZERO;
    }

    /**
     * Asks for more time, the head's being up.
     *
     * @param bytes of the body have come
     * @return how much more it has, beyond all that was granted before; zero for none
     */
    Duration more(Instant now, int bytes) {
        Duration more = Duration.ofNanos(bytes * 1_000_000_000L / SLOWEST).minus(granted);
        if (more.isNegative() || !lastBytes.isAfter(now.minus(LONGEST_GAP))) {
            return Duration.ZERO;
        }
        granted = granted.plus(more);
        return more;
    }
}
